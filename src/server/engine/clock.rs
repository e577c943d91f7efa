//! Unix time in seconds for the dispatcher, which does not read a clock itself.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Unix time that never runs backwards: the wall clock is read once, and monotonic time is added to it.
///
/// The dispatcher compares this time with the start times of workers, and treats a start time of 0 or less as
/// the distant past. If it counted from the start of this process instead, workers that have just started
/// would appear to have finished their slow start.
pub(super) struct Clock {
    started: Instant,
    started_unix_s: f64,
}

impl Clock {
    /// Creates a clock from the current wall-clock time.
    pub(super) fn start() -> Self {
        // A wall clock before 1970 is read as 0, which the dispatcher treats as the distant past.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_unix_s: unix.as_secs_f64() }
    }

    /// Returns the Unix time at `instant`, in seconds.
    pub(super) fn at(&self, instant: Instant) -> f64 {
        let after_start = instant.saturating_duration_since(self.started).as_secs_f64();
        let before_start = self.started.saturating_duration_since(instant).as_secs_f64();
        self.started_unix_s + after_start - before_start
    }
}
