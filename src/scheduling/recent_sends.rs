//! The work that a worker in slow start was sent lately.
//!
//! A worker collapses by what all schedulers send it within a window, against what it can do at that moment. All that
//! arrives counts, also what is cancelled before it runs. Estimates by the clients' hints alone would let too much
//! through: a small allowance admits only requests with small hints, which are those whose hints say too little. So
//! a request counts for no less than the mean of its class; see `SchedulerState::slow_start_work`.

use serde::{Deserialize, Serialize};

/// Work sent at one time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct SentWork {
    at: f64,
    work: f64,
}

/// What a worker was sent lately.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecentSends(Vec<SentWork>);

impl RecentSends {
    /// Adds work sent now, and forgets what was sent before `keep_from`.
    pub(crate) fn add(&mut self, keep_from: f64, now: f64, work: f64) {
        self.0.retain(|sent| sent.at >= keep_from);
        self.0.push(SentWork { at: now, work });
    }

    /// The work sent at `from` or later.
    pub(crate) fn work_since(&self, from: f64) -> f64 {
        self.0.iter().filter(|sent| sent.at >= from).map(|sent| sent.work).sum()
    }
}
