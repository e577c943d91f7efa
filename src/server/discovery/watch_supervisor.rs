//! Decides when discovery is polled and which of the open streams is the watch. Performs no I/O and reads no clock: all
//! times are relative to an origin chosen by the caller.
//!
//! A silent watch may be dead, and the changes that it misses count as notified nevertheless. A watch that has missed a
//! keep-alive line is therefore suspected, but not closed: a poll is opened in parallel, and the stream that receives
//! data first is the watch from then on. A false suspicion costs one poll, and a watch that was only late continues
//! unaffected. [`watch_state`](super::watch_state) defines the states.
//!
//! [`deadlines`](super::deadlines) defines the time limits and [`poll_backoff`](super::poll_backoff) the random delays.
//! [`watch`](super::watch) opens and reads the streams.

use std::time::Duration;

use crate::scheduling::Settings;
use crate::server::discovery::deadlines::{
    KEEP_ALIVE_INTERVAL, NOTIFIED_AFTER, NOTIFIED_AFTER_RELOAD, POLL_TIMEOUT,
};
use crate::server::discovery::poll_backoff::PollBackoff;
use crate::server::discovery::watch_state::{PollId, WatchEvent, WatchState};

#[cfg(test)]
mod tests;

/// Tolerated delay of a keep-alive line, caused by the network or a busy scheduler.
const KEEP_ALIVE_TOLERANCE: Duration = Duration::from_millis(400);
/// Upper bound of the time to read a list and act on it.
const PROCESSING_TIME: Duration = Duration::from_millis(100);
/// Lower bound of the timeout for polls of an agent, however short the drain grace is.
const MIN_AGENT_TIMEOUT: Duration = Duration::from_millis(50);
/// Upper bound of the timeout for polls of an agent, however long the drain grace is.
const MAX_AGENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Decides when a scheduler polls discovery.
#[derive(Debug)]
pub struct WatchSupervisor {
    /// Whether an agent on this host serves the list. Its polls cost nothing and are answered immediately.
    has_agent: bool,
    drain_grace: Duration,
    backoff: PollBackoff,
    state: WatchState,
    last_poll_id: PollId,
    next_poll_at: Duration,
}

impl WatchSupervisor {
    /// Creates a supervisor whose first poll is due at `now`. If schedulers share a discovery service, the poll has a
    /// random delay, because all of them may start at once.
    pub fn new(settings: &Settings, seed: u64, now: Duration) -> Self {
        let mut backoff = PollBackoff::new(settings.scheduler_count, seed);
        let has_agent = !settings.discovery_polled;
        let delay = if has_agent { Duration::ZERO } else { backoff.initial_delay() };
        let drain_grace = Duration::try_from_secs_f64(settings.drain_grace_s).unwrap_or_default();
        WatchSupervisor {
            has_agent,
            drain_grace,
            backoff,
            state: WatchState::Waiting,
            last_poll_id: 0,
            next_poll_at: now + delay,
        }
    }

    /// When the next poll is due, unless data is received first.
    pub fn next_poll_at(&self) -> Duration {
        self.next_poll_at
    }

    /// Whether the stream is still needed, as a poll or as the watch.
    pub fn is_open(&self, id: PollId) -> bool {
        self.state.is_open(id)
    }

    /// Records that a poll is opened, and returns its id.
    pub fn poll_opened(&mut self, now: Duration) -> PollId {
        self.last_poll_id += 1;
        self.state = self.state.after(WatchEvent::PollOpened(self.last_poll_id));
        self.next_poll_at = now + self.poll_timeout();
        self.last_poll_id
    }

    /// Records that an open stream received data. It becomes the watch, and all other streams are closed.
    pub fn data_received(&mut self, now: Duration, id: PollId) {
        self.state = self.state.after(WatchEvent::DataReceived(id));
        self.backoff.reset();
        self.next_poll_at = now + self.silence_timeout();
    }

    /// Records that a stream ended. Unless another poll is open, the next poll is due after a backoff.
    pub fn stream_ended(&mut self, now: Duration, id: PollId) {
        self.state = self.state.after(WatchEvent::StreamEnded(id));
        if self.state.has_open_polls() {
            return;
        }
        let delay = if self.has_agent { self.poll_timeout() / 2 } else { self.backoff.next_delay() };
        self.next_poll_at = now + delay;
    }

    /// Records that all streams are obsolete, for example because the address changed. The next poll is due after a
    /// random delay, because all schedulers may be reset at once.
    pub fn reset(&mut self, now: Duration) {
        self.state = self.state.after(WatchEvent::Reset);
        self.backoff.reset();
        self.next_poll_at = now + self.spread_delay(NOTIFIED_AFTER_RELOAD);
    }

    /// Time without data after which the watch is suspected.
    fn silence_timeout(&mut self) -> Duration {
        let keep_alive_due = KEEP_ALIVE_INTERVAL + KEEP_ALIVE_TOLERANCE;
        keep_alive_due + self.spread_delay(NOTIFIED_AFTER.saturating_sub(keep_alive_due))
    }

    /// Random delay for a poll that all schedulers may have to send at once. Leaves enough time for the poll to be
    /// answered before `due`, and for a second poll as well if the group is small enough.
    fn spread_delay(&mut self, due: Duration) -> Duration {
        let two_polls = self.poll_timeout() + self.backoff.group_poll_time();
        let poll_time = if two_polls < due { two_polls } else { POLL_TIMEOUT };
        let max_delay = (due + self.drain_grace).saturating_sub(PROCESSING_TIME + poll_time);
        if self.has_agent {
            return Duration::ZERO;
        }
        self.backoff.spread_delay(max_delay)
    }

    /// Time that a poll may stay unanswered before another is opened in parallel.
    ///
    /// With an agent, this is half the drain grace: a list counts as notified as soon as the agent has received it, and
    /// two polls must fit into the grace.
    ///
    /// Without an agent, this is half of the time left of [`NOTIFIED_AFTER`] when a watch becomes suspected. However,
    /// discovery answers the polls of a group one at a time, for up to [`POLL_TIMEOUT`]. While a poll may still wait in
    /// that queue, no other is opened, because discovery would reject the second poll and end the first one with it.
    fn poll_timeout(&self) -> Duration {
        if self.has_agent {
            return (self.drain_grace / 2).clamp(MIN_AGENT_TIMEOUT, MAX_AGENT_TIMEOUT);
        }
        let before_suspicion = KEEP_ALIVE_INTERVAL + KEEP_ALIVE_TOLERANCE + PROCESSING_TIME;
        let half = (NOTIFIED_AFTER + self.drain_grace).saturating_sub(before_suspicion) / 2;
        half.max(self.backoff.group_poll_time()).min(POLL_TIMEOUT + KEEP_ALIVE_TOLERANCE)
    }
}
