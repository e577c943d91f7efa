//! Per-worker and per-kind state: health, run times, capacity and recent sends.
//!
//! This module only stores state. `outlier_detection.rs` decides on ejection and `slow_start.rs` limits sends during
//! slow start. [`Worker`] and [`WorkerKind`] are handed over in an upgrade; postcard stores fields by position, so
//! their order must not change.

use serde::{Deserialize, Serialize};

use crate::scheduling::decaying_mean::DecayingMean;
use crate::scheduling::endpoint::{WorkerInfo, WorkerState};
use crate::scheduling::recent_sends::RecentSends;
use crate::scheduling::request::Request;
use crate::scheduling::settings::DeduplicationScope;

/// Number of complexity classes, as in the paper. Each class spans a factor of two of estimated work.
pub(crate) const COMPLEXITY_CLASSES: usize = 5;
/// The class of an average request.
pub(crate) const MEDIUM_COMPLEXITY: usize = 2;

/// Whether a worker is in service or ejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) enum Health {
    /// The worker gets requests. After readmission it is on probation until a request succeeds.
    #[default]
    InService,
    /// The worker gets no requests until it is readmitted; see `outlier_detection.rs`.
    Ejected {
        /// When the next health check is due.
        next_check_at: f64,
    },
}

/// Slots or memory of a worker: the total and the reserved amounts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Capacity {
    pub total: f64,
    /// Estimated amount reserved by other schedulers.
    pub reserved_by_others: f64,
    /// Amount reserved by this scheduler's attempts.
    pub reserved_here: f64,
    /// When `reserved_by_others` was last updated.
    pub updated_at: f64,
}

/// What has been learned about a kind of worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct WorkerKind {
    /// Mean of ln(run time / estimated work).
    pub log_run_time_ratio: DecayingMean,
    /// Slots per worker.
    pub slots: f64,
    /// Number of ready workers of this kind.
    pub ready_workers: f64,
    /// The largest weight ever listed, which is the weight of an idle worker.
    pub idle_weight: f64,
    /// Load that one request adds to a worker: 1 / number of cores. 0 while unknown.
    pub load_per_request: f64,
}

/// A listed worker and what has been learned about it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Worker {
    pub info: WorkerInfo,
    /// Mean of ln(run time / estimated work) by complexity class.
    pub log_ratio_by_complexity: [DecayingMean; COMPLEXITY_CLASSES],
    /// Mean of ln(run time / estimated work) over all classes.
    pub log_run_time_ratio: DecayingMean,
    /// Mean of ln(observed speed / minimum speed according to the settings) during slow start.
    pub log_slow_start_gain: DecayingMean,
    /// Decaying fraction of attempts that succeeded in time, from 0 to 1.
    pub stability: f64,
    pub health: Health,
    /// Time from an ejection to the next health check. Doubles with each ejection until a request succeeds.
    pub ejection_backoff_s: f64,
    /// Requests that succeeded since the last readmission; infinite if the worker was never readmitted.
    pub successes_since_readmission: f64,
    pub slots: Capacity,
    pub memory: Capacity,
    /// Attempts sent to the worker that are not known to have started.
    pub attempts_not_started: usize,
    /// The worker rejected an attempt and gets no others until this time.
    pub rejecting_until: f64,
    /// When an attempt last started, progressed or succeeded on the worker.
    pub last_notified_at: f64,
    /// Connections reset since `last_notified_at`.
    pub consecutive_resets: u32,
    /// When the outstanding capacity probe was sent; minus infinity if there is none.
    pub probe_sent_at: f64,
    /// When the worker last answered a probe at once, which shows that it had a free slot.
    pub free_slot_seen_at: f64,
    /// When an attempt was last sent to the worker.
    pub last_dispatched_at: f64,
    /// Work recently sent to the worker. It limits further sends while the worker is in slow start.
    pub recent_sends: RecentSends,
    /// Affinity keys of requests recently sent to the worker, most recent first.
    pub recent_affinity_keys: Vec<u64>,
}

impl Worker {
    /// A worker about which nothing has been learned.
    pub(crate) fn unknown() -> Self {
        Worker {
            stability: 1.0,
            successes_since_readmission: f64::INFINITY,
            probe_sent_at: f64::NEG_INFINITY,
            free_slot_seen_at: f64::NEG_INFINITY,
            last_dispatched_at: f64::NEG_INFINITY,
            ..Worker::default()
        }
    }

    /// The state after the worker's process restarted on the same machine: only the size of the machine and this
    /// scheduler's attempts are kept.
    pub(crate) fn restarted(&self) -> Self {
        let mut worker = Worker { slots: self.slots, memory: self.memory, ..Worker::unknown() };
        worker.slots.reserved_by_others = 0.0;
        worker.memory.reserved_by_others = 0.0;
        worker.attempts_not_started = self.attempts_not_started;
        worker
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.info.state == WorkerState::Ready
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.health, Health::Ejected { .. })
    }

    /// Whether the worker was readmitted and no request has succeeded since.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.successes_since_readmission < 1.0
    }

    /// Reserves capacity for an attempt of this request.
    pub(crate) fn reserve_capacity(&mut self, request: &Request, has_started: bool) {
        self.slots.reserved_here += request.slots;
        self.memory.reserved_here += request.memory;
        self.attempts_not_started += usize::from(!has_started);
    }

    /// Releases the capacity of an attempt of this request.
    pub(crate) fn release_capacity(&mut self, request: &Request, had_started: bool) {
        self.slots.reserved_here = (self.slots.reserved_here - request.slots).max(0.0);
        self.memory.reserved_here = (self.memory.reserved_here - request.memory).max(0.0);
        self.attempts_not_started = self.attempts_not_started.saturating_sub(usize::from(!had_started));
    }

    /// Records that an attempt of this scheduler has started. If the attempt was queued first, all slots were in use.
    pub(crate) fn attempt_started(&mut self, now: f64, total_slots: f64, was_queued: bool) {
        self.attempts_not_started = self.attempts_not_started.saturating_sub(1);
        let running_here = self.slots.reserved_here - self.attempts_not_started as f64;
        self.slots.total = self.slots.total.max(running_here);
        let other_slots = total_slots - running_here;
        let reserved_by_others =
            if was_queued { other_slots } else { self.slots.reserved_by_others.min(other_slots) };
        self.slots.reserved_by_others = reserved_by_others.max(0.0);
        self.slots.updated_at = now;
    }
}

impl DeduplicationScope {
    /// Whether the two workers certainly share a deduplication scope.
    pub(crate) fn includes(self, first: &Worker, second: &Worker) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.info.shares_zone_with(&second.info),
            DeduplicationScope::Cell => first.info.shares_cell_with(&second.info),
        }
    }
}

#[cfg(test)]
mod tests;
