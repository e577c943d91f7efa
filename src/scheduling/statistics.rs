//! What a scheduler has observed of its traffic.
//!
//! The record is handed over in an upgrade: fields are stored by position, so their order stays.

use serde::{Deserialize, Serialize};

use crate::scheduling::decaying_mean::{DecayingMean, WORKER_TIME_CONSTANT_S};
use crate::scheduling::fleet::SlotTotals;

/// Keeps a share of the traffic from dividing by zero.
const MIN_SLOTS: f64 = 1e-9;

/// What a scheduler has observed of its traffic; all of it decays except [`Self::longest_time_left_s`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct TrafficStatistics {
    /// ln(run time / estimated work) over all workers.
    pub log_run_time_ratio: DecayingMean,
    /// ln of the estimated work: places the complexity classes.
    pub log_work: DecayingMean,
    /// From dispatch to start, in seconds.
    pub start_delay: DecayingMean,
    /// The same of the last seconds, with attempts that were cancelled before they started.
    pub recent_start_delay: DecayingMean,
    /// ln(speed shown / least speed by the settings) of workers in slow start.
    pub log_slow_start_gain: DecayingMean,
    /// Fraction of the workers that were probed or sent a request and had no slot free.
    pub busy_fraction: DecayingMean,
    /// Priority of the requests by Eq. 1.
    pub priority: DecayingMean,
    /// Slots that this scheduler held at the workers when lists came.
    pub reserved_here: DecayingMean,
    /// Slots that all schedulers held at the workers when lists came.
    pub reserved_by_all: DecayingMean,
    /// Estimated work of all requests.
    pub work: DecayingMean,
    /// By class: the longest time to the deadline, which a client's first attempt has.
    pub longest_time_left_s: Vec<f64>,
    /// By class: estimated work.
    pub work_by_class: Vec<DecayingMean>,
}

impl TrafficStatistics {
    /// Makes room for this many classes; what is known of them stays.
    pub(crate) fn resize(&mut self, classes: usize) {
        self.longest_time_left_s.resize(classes, 0.0);
        self.work_by_class.resize(classes, DecayingMean::default());
    }

    /// The fraction of the traffic that comes to this scheduler, from what it and all hold at the workers.
    ///
    /// `expected` counts as one more list: an even share of all slots. The shares of all schedulers sum to one.
    pub(crate) fn traffic_share(&mut self, now: f64, held: SlotTotals, expected: SlotTotals) -> f64 {
        self.reserved_here.add(now, WORKER_TIME_CONSTANT_S, held.reserved_here, 1.0);
        self.reserved_by_all.add(now, WORKER_TIME_CONSTANT_S, held.reserved_by_all, 1.0);
        let reserved_by_all = (self.reserved_by_all.sum + expected.reserved_by_all).max(MIN_SLOTS);
        (self.reserved_here.sum + expected.reserved_here) / reserved_by_all
    }
}
