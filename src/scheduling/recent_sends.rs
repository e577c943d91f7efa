//! Work recently sent to a worker. It is recorded for all workers and limits what is sent to those in slow start.
//!
//! A worker collapses if all schedulers together send it too much work within a window, relative to its current
//! capacity. Everything that arrives counts, even requests that are cancelled before they run. Clients' hints alone
//! would admit too much: a small allowance admits only requests with small hints, and those tend to be underestimates.
//! Each request therefore counts for at least the mean work of its class; see `SchedulerState::slow_start_work`.

use serde::{Deserialize, Serialize};

/// Work sent at one instant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct SentWork {
    sent_at: f64,
    work: f64,
}

/// Work recently sent to one worker, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecentSends(Vec<SentWork>);

impl RecentSends {
    /// Adds work sent now, and drops entries from before `window_start`.
    pub(crate) fn add(&mut self, window_start: f64, now: f64, work: f64) {
        self.0.retain(|sent| sent.sent_at >= window_start);
        self.0.push(SentWork { sent_at: now, work });
    }

    /// Total work sent at `start` or later.
    pub(crate) fn work_since(&self, start: f64) -> f64 {
        self.0.iter().filter(|sent| sent.sent_at >= start).map(|sent| sent.work).sum()
    }
}
