//! How fast one of many schedulers may poll discovery. Free of I/O and clock.
//!
//! A discovery service that several schedulers share answers their polls one after the other, and a poll that waits
//! too long in its queue fails. Polls that all schedulers repeat at once would fail faster than they are served. So
//! every delay is drawn at random between zero and a bound ("full jitter"), the bound doubles with each poll that
//! brought nothing, and it grows with the number of schedulers. The draws come from the scheduler's seed, so that a
//! run can be repeated.
//!
//! [`watch_supervisor`](super::watch_supervisor) decides when to poll and uses these delays.

use std::time::Duration;

use crate::scheduling::random::uniform_draw;

#[cfg(test)]
mod tests;

/// Bound of the first delay in a fleet of up to [`SMALL_FLEET`] schedulers.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Bound of all later delays in such a fleet.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Bound of every delay, however large the fleet is.
const MAX_BACKOFF_ANY_FLEET: Duration = Duration::from_millis(3500);
/// This many schedulers need no spreading; a larger fleet scales the bounds in proportion.
const SMALL_FLEET: f64 = 4.0;
/// Time in which discovery answers one poll of each scheduler of a small fleet: 250 ms for each.
const SMALL_FLEET_POLL_TIME: Duration = Duration::from_secs(1);
/// The first poll after a start is delayed no longer than this: a drain counts as notified as if the poll had been
/// made at once.
const MAX_INITIAL_DELAY: Duration = Duration::from_millis(250);

/// The poll delays of one scheduler.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    seed: u64,
    /// Size of the fleet in units of [`SMALL_FLEET`], at least 1.
    fleet_scale: f64,
    /// Random draws made so far.
    draws: u64,
    /// Bound of the next delay.
    bound: Duration,
}

impl PollBackoff {
    /// For one of `scheduler_count` schedulers that share a discovery service.
    pub fn new(scheduler_count: usize, seed: u64) -> Self {
        let fleet_scale = (scheduler_count as f64 / SMALL_FLEET).max(1.0);
        let mut backoff = PollBackoff { seed, fleet_scale, draws: 0, bound: Duration::ZERO };
        backoff.reset();
        backoff
    }

    /// Delay of the first poll after a start, when all schedulers may start at once. Zero in a small fleet.
    pub fn initial_delay(&mut self) -> Duration {
        self.spread_delay(MAX_INITIAL_DELAY)
    }

    /// Delay of a poll that all schedulers may have to make at once, at most `longest`. Zero in a small fleet.
    pub fn spread_delay(&mut self, longest: Duration) -> Duration {
        let beyond_small_fleet = self.fleet_poll_time() - SMALL_FLEET_POLL_TIME;
        self.jittered(beyond_small_fleet.min(longest))
    }

    /// How long discovery needs for one poll of each scheduler.
    pub fn fleet_poll_time(&self) -> Duration {
        SMALL_FLEET_POLL_TIME.mul_f64(self.fleet_scale)
    }

    /// Delay before the next poll after one that brought nothing; its bound doubles each time.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.jittered(self.bound);
        let longest = MAX_BACKOFF.mul_f64(self.fleet_scale).min(MAX_BACKOFF_ANY_FLEET);
        self.bound = (self.bound * 2).min(longest);
        delay
    }

    /// Discovery has answered, or is to be polled at another address: delays begin at the first bound again.
    pub fn reset(&mut self) {
        self.bound = FIRST_BACKOFF.mul_f64(self.fleet_scale).min(MAX_BACKOFF_ANY_FLEET);
    }

    /// A random delay of up to `bound`.
    fn jittered(&mut self, bound: Duration) -> Duration {
        self.draws += 1;
        bound.mul_f64(uniform_draw(self.seed ^ self.draws.wrapping_mul(0x9E37_79B9_7F4A_7C15)))
    }
}
