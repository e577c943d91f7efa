//! The engine's clock: Unix time in seconds for the dispatcher, which reads no clock itself.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Unix time that cannot run backwards: one reading of the wall clock, and monotonic time from then on.
///
/// The dispatcher compares it with the start times of workers and takes a time of 0 or less for long ago.
/// Seconds since the start of this process would make workers that have just started look past their slow start.
pub(super) struct Clock {
    started: Instant,
    started_unix_s: f64,
}

impl Clock {
    /// Reads the wall clock.
    pub(super) fn start() -> Self {
        // A wall clock before 1970 gives 0, which the dispatcher takes for long ago.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_unix_s: unix.as_secs_f64() }
    }

    /// Unix time at this instant, in seconds.
    pub(super) fn at(&self, instant: Instant) -> f64 {
        let after_start = instant.saturating_duration_since(self.started).as_secs_f64();
        let before_start = self.started.saturating_duration_since(instant).as_secs_f64();
        self.started_unix_s + after_start - before_start
    }
}
