//! When discovery is polled, and which of the open streams is believed. Free of I/O and clock: all times count from
//! an origin that the caller chooses.
//!
//! A watch that brings nothing may be dead, and the changes that it misses count as notified all the same. So a watch
//! that has missed a keep-alive line is suspected, not closed: a poll is opened beside it, and whichever of them
//! brings data first is the watch from then on. A suspicion that was wrong costs one poll; a watch that was only late
//! goes on as if nothing had happened. [`watch_state`](super::watch_state) holds the states.
//!
//! The times come from [`deadlines`](super::deadlines), the random delays from
//! [`poll_backoff`](super::poll_backoff); [`watch`](super::watch) opens and reads the streams.

use std::time::Duration;

use crate::scheduling::Settings;
use crate::server::discovery::deadlines::{
    KEEP_ALIVE_INTERVAL, NOTIFIED_AFTER, NOTIFIED_AFTER_RELOAD, POLL_TIMEOUT,
};
use crate::server::discovery::poll_backoff::PollBackoff;
use crate::server::discovery::watch_state::{PollId, WatchEvent, WatchState};

#[cfg(test)]
mod tests;

/// A line may be late by this much: delays of the network, and of a busy scheduler.
const LINE_DELAY: Duration = Duration::from_millis(400);
/// Reading a list and acting on it takes no longer.
const PROCESSING_TIME: Duration = Duration::from_millis(100);
/// An agent's answer is awaited for no less than this, however short the grace is.
const MIN_AGENT_TIMEOUT: Duration = Duration::from_millis(50);
/// An agent's answer is awaited for no longer than this, however long the grace is.
const MAX_AGENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Decides when one scheduler polls discovery.
#[derive(Debug)]
pub struct WatchSupervisor {
    /// An agent on this machine serves the list: a poll costs nothing, and is answered at once.
    has_agent: bool,
    drain_grace: Duration,
    backoff: PollBackoff,
    state: WatchState,
    last_poll: PollId,
    next_poll_at: Duration,
}

impl WatchSupervisor {
    /// Begins at `now`. Schedulers that share one discovery service may all start at once, so their first polls are
    /// spread.
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
            last_poll: 0,
            next_poll_at: now + delay,
        }
    }

    /// When the next poll is due, unless data is received before.
    pub fn next_poll_at(&self) -> Duration {
        self.next_poll_at
    }

    /// Whether this stream is still wanted, as a poll or as the watch.
    pub fn is_open(&self, id: PollId) -> bool {
        self.state.is_open(id)
    }

    /// A poll is opened; gives its number.
    pub fn poll_opened(&mut self, now: Duration) -> PollId {
        self.last_poll += 1;
        self.state = self.state.after(WatchEvent::PollOpened(self.last_poll));
        self.next_poll_at = now + self.poll_timeout();
        self.last_poll
    }

    /// An open stream has brought data: it is the watch from now on, and the others are given up.
    pub fn data_received(&mut self, now: Duration, id: PollId) {
        self.state = self.state.after(WatchEvent::DataReceived(id));
        self.backoff.reset();
        self.next_poll_at = now + self.silence_timeout();
    }

    /// A stream has ended. Unless another poll is open, the next one follows after a backoff.
    pub fn stream_ended(&mut self, now: Duration, id: PollId) {
        self.state = self.state.after(WatchEvent::StreamEnded(id));
        if self.state.has_open_polls() {
            return;
        }
        let delay = if self.has_agent { self.poll_timeout() / 2 } else { self.backoff.next_delay() };
        self.next_poll_at = now + delay;
    }

    /// The list received so far is void, as at another address: polls again. All schedulers may have to do so at
    /// once.
    pub fn reopened(&mut self, now: Duration) {
        self.state = self.state.after(WatchEvent::Reopened);
        self.backoff.reset();
        self.next_poll_at = now + self.spread_delay(NOTIFIED_AFTER_RELOAD);
    }

    /// How long a watch may bring nothing before it is suspected.
    fn silence_timeout(&mut self) -> Duration {
        let line_due = KEEP_ALIVE_INTERVAL + LINE_DELAY;
        line_due + self.spread_delay(NOTIFIED_AFTER.saturating_sub(line_due))
    }

    /// A random delay for a poll that the whole fleet may have to make at once. It leaves the poll time to be
    /// answered before `due`, and a second poll too where the fleet is small enough.
    fn spread_delay(&mut self, due: Duration) -> Duration {
        let two_polls = self.poll_timeout() + self.backoff.fleet_poll_time();
        let poll_time = if two_polls < due { two_polls } else { POLL_TIMEOUT };
        let longest = (due + self.drain_grace).saturating_sub(PROCESSING_TIME + poll_time);
        if self.has_agent {
            return Duration::ZERO;
        }
        self.backoff.spread_delay(longest)
    }

    /// How long a poll may stay unanswered before another is opened beside it.
    ///
    /// With an agent: half the grace, since the list that an agent gets counts as notified at once, and two polls must
    /// fit. Without: half of what is left of [`NOTIFIED_AFTER`] once a watch is suspected. But discovery answers the
    /// polls of a fleet one after the other, for up to [`POLL_TIMEOUT`]. While a poll may still wait in that queue no
    /// other is opened: discovery would reject it, and end the first with it.
    fn poll_timeout(&self) -> Duration {
        if self.has_agent {
            return (self.drain_grace / 2).clamp(MIN_AGENT_TIMEOUT, MAX_AGENT_TIMEOUT);
        }
        let before_suspicion = KEEP_ALIVE_INTERVAL + LINE_DELAY + PROCESSING_TIME;
        let half = (NOTIFIED_AFTER + self.drain_grace).saturating_sub(before_suspicion) / 2;
        half.max(self.backoff.fleet_poll_time()).min(POLL_TIMEOUT + LINE_DELAY)
    }
}
