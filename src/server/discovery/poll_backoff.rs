//! Backoff between the polls of one scheduler in a group that shares a discovery service. Performs no I/O and reads no
//! clock.
//!
//! Discovery answers the polls of a group one at a time, and a poll that waits too long in its queue fails. If all
//! schedulers polled again at once, polls would fail faster than they are answered. Therefore every delay is drawn at
//! random between zero and a bound ("full jitter"). The bound doubles after each unanswered poll and grows with the
//! number of schedulers. The draws depend only on the scheduler's seed, so that runs are reproducible.
//!
//! [`watch_supervisor`](super::watch_supervisor) uses these delays to decide when to poll.

use std::time::Duration;

use crate::scheduling::random::uniform_draw;

#[cfg(test)]
mod tests;

/// Bound of the first backoff in a group of up to [`SMALL_GROUP_SCHEDULERS`] schedulers.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper limit of the bound in such a group.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Upper limit of the bound in a group of any size.
const MAX_SCALED_BACKOFF: Duration = Duration::from_millis(3500);
/// Number of schedulers up to which polls need no spreading. In larger groups, the bounds grow in proportion.
const SMALL_GROUP_SCHEDULERS: f64 = 4.0;
/// Time in which discovery answers one poll of each scheduler in a group of this size: 250 ms per poll.
const SMALL_GROUP_POLL_TIME: Duration = Duration::from_secs(1);
/// Maximum delay of the first poll after a start. Short, because a drain counts as notified as if the poll had been
/// sent immediately.
const MAX_INITIAL_DELAY: Duration = Duration::from_millis(250);

/// Computes the poll delays of one scheduler.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    seed: u64,
    /// Size of the group in units of [`SMALL_GROUP_SCHEDULERS`], at least 1.
    group_scale: f64,
    /// Number of random draws so far.
    draws: u64,
    /// Bound of the next backoff.
    bound: Duration,
}

impl PollBackoff {
    /// Creates the backoff for one of `scheduler_count` schedulers that share a discovery service.
    pub fn new(scheduler_count: usize, seed: u64) -> Self {
        let group_scale = (scheduler_count as f64 / SMALL_GROUP_SCHEDULERS).max(1.0);
        let mut backoff = PollBackoff { seed, group_scale, draws: 0, bound: Duration::ZERO };
        backoff.reset();
        backoff
    }

    /// Delay of the first poll after a start, since all schedulers may start at once. Zero in a small group.
    pub fn initial_delay(&mut self) -> Duration {
        self.spread_delay(MAX_INITIAL_DELAY)
    }

    /// Delay of a poll that all schedulers may have to send at once, at most `max_delay`. Zero in a small group.
    pub fn spread_delay(&mut self, max_delay: Duration) -> Duration {
        let excess_poll_time = self.group_poll_time() - SMALL_GROUP_POLL_TIME;
        self.draw_delay(excess_poll_time.min(max_delay))
    }

    /// Time that discovery needs to answer one poll of each scheduler.
    pub fn group_poll_time(&self) -> Duration {
        SMALL_GROUP_POLL_TIME.mul_f64(self.group_scale)
    }

    /// Delay before the next poll after an unanswered one. The bound doubles each time.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.draw_delay(self.bound);
        let max_bound = MAX_BACKOFF.mul_f64(self.group_scale).min(MAX_SCALED_BACKOFF);
        self.bound = (self.bound * 2).min(max_bound);
        delay
    }

    /// Resets the bound, after discovery answered or its address changed.
    pub fn reset(&mut self) {
        self.bound = INITIAL_BACKOFF.mul_f64(self.group_scale).min(MAX_SCALED_BACKOFF);
    }

    /// Draws a random delay of up to `bound`.
    fn draw_delay(&mut self, bound: Duration) -> Duration {
        self.draws += 1;
        bound.mul_f64(uniform_draw(self.seed ^ self.draws.wrapping_mul(0x9E37_79B9_7F4A_7C15)))
    }
}
