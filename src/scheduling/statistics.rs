//! Statistics of the traffic that a scheduler has observed.
//!
//! They are handed over in an upgrade, serialized by field position, so fields must not be reordered.

use serde::{Deserialize, Serialize};

use crate::scheduling::decaying_mean::{DecayingMean, WORKER_TIME_CONSTANT_S};
use crate::scheduling::fleet::SlotTotals;

/// Lower bound of the reserved slots in [`TrafficStatistics::traffic_share`]; prevents division by zero.
const MIN_SLOTS: f64 = 1e-9;

/// Statistics of the observed traffic. All of them decay except [`Self::max_time_to_deadline_s`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct TrafficStatistics {
    /// ln(run time / estimated work), over all workers.
    pub log_run_time_ratio: DecayingMean,
    /// ln(estimated work); determines the boundaries of the complexity classes.
    pub log_work: DecayingMean,
    /// Delay from dispatch to start, in seconds.
    pub start_delay: DecayingMean,
    /// Delay from dispatch to start over the last few seconds; includes attempts cancelled before they started.
    pub recent_start_delay: DecayingMean,
    /// ln(observed speed / minimum speed from the settings) of workers in slow start.
    pub log_slow_start_gain: DecayingMean,
    /// Fraction of workers without a free slot, among those probed or sent a request.
    pub busy_fraction: DecayingMean,
    /// Request priority by Eq. 1.
    pub priority: DecayingMean,
    /// Slots reserved by this scheduler, sampled at each endpoint list.
    pub reserved_here: DecayingMean,
    /// Slots reserved by all schedulers, sampled at each endpoint list.
    pub reserved_by_all: DecayingMean,
    /// Estimated work of all requests.
    pub work: DecayingMean,
    /// Longest observed time to the deadline by class; a client's first try has this much time left, its retries less.
    pub max_time_to_deadline_s: Vec<f64>,
    /// Estimated work by class.
    pub work_by_class: Vec<DecayingMean>,
}

impl TrafficStatistics {
    /// Resizes the statistics by class; retains those of existing classes.
    pub(crate) fn resize(&mut self, classes: usize) {
        self.max_time_to_deadline_s.resize(classes, 0.0);
        self.work_by_class.resize(classes, DecayingMean::default());
    }

    /// Updates and returns this scheduler's fraction of the traffic, by the slots reserved here and by all schedulers.
    ///
    /// `expected`, an even share of all slots, counts like one more sample. The fractions of all schedulers sum to 1.
    pub(crate) fn traffic_share(&mut self, now: f64, reserved: SlotTotals, expected: SlotTotals) -> f64 {
        self.reserved_here.add(now, WORKER_TIME_CONSTANT_S, reserved.reserved_here, 1.0);
        self.reserved_by_all.add(now, WORKER_TIME_CONSTANT_S, reserved.reserved_by_all, 1.0);
        let reserved_by_all = (self.reserved_by_all.sum + expected.reserved_by_all).max(MIN_SLOTS);
        (self.reserved_here.sum + expected.reserved_here) / reserved_by_all
    }
}
