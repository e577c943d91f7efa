//! What is known of one worker and of a kind of worker: health, run times, capacity, and what it was sent lately.
//!
//! These are records. Who is ejected is decided in `outlier_detection.rs`, what may be sent during slow start in
//! `slow_start.rs`. Both records are handed over in an upgrade: fields are stored by position, so their order stays.

use serde::{Deserialize, Serialize};

use crate::scheduling::decaying_mean::DecayingMean;
use crate::scheduling::endpoint::{WorkerInfo, WorkerState};
use crate::scheduling::recent_sends::RecentSends;
use crate::scheduling::request::Request;
use crate::scheduling::settings::DeduplicationScope;

/// Complexity classes, as many as in the paper; each spans a factor of two of work.
pub(crate) const COMPLEXITY_CLASSES: usize = 5;
/// The class of a request with the fleet's mean work.
pub(crate) const MEDIUM_COMPLEXITY: usize = 2;

/// Whether a worker is in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) enum Health {
    /// It gets requests. After a readmission it is on probation until a request has succeeded.
    #[default]
    InService,
    /// It gets none until a health check or a request there has succeeded.
    Ejected {
        /// When the next health check is due.
        next_check_at: f64,
    },
}

/// Slots or memory of a worker: all of it, and who holds how much.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Capacity {
    pub total: f64,
    /// Estimate of what other schedulers hold.
    pub reserved_by_others: f64,
    /// What this scheduler's attempts hold.
    pub reserved_here: f64,
    /// When `reserved_by_others` was last updated.
    pub updated_at: f64,
}

/// What is known of a kind of worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct WorkerKind {
    /// ln(run time / estimated work).
    pub log_run_time_ratio: DecayingMean,
    /// Slots of one worker.
    pub slots: f64,
    /// How many workers of this kind are ready.
    pub ready_workers: f64,
    /// The largest weight listed: that of a worker that holds nothing.
    pub idle_weight: f64,
    /// By how much one held request raises the load of a worker: one core in all its cores. 0 while unknown.
    pub load_per_request: f64,
}

/// What is known of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Worker {
    pub info: WorkerInfo,
    /// ln(run time / estimated work) by complexity class.
    pub log_ratio_by_complexity: [DecayingMean; COMPLEXITY_CLASSES],
    /// ln(run time / estimated work) over all classes.
    pub log_run_time_ratio: DecayingMean,
    /// ln(speed shown / least speed by the settings) during slow start.
    pub log_slow_start_gain: DecayingMean,
    /// Decaying share of attempts that went well and in time, from 0 to 1.
    pub stability: f64,
    pub health: Health,
    /// Time until the next health check after an ejection; doubles with each ejection.
    pub ejection_backoff_s: f64,
    /// Requests that succeeded since it was last readmitted; infinite if it never was ejected.
    pub successes_since_readmission: f64,
    pub slots: Capacity,
    pub memory: Capacity,
    /// Attempts sent there and not known to have started.
    pub attempts_not_started: usize,
    /// It rejected an attempt: until then it gets none.
    pub rejecting_until: f64,
    /// When any attempt there last started, progressed or succeeded.
    pub last_notified_at: f64,
    /// Connections to it that were reset since then.
    pub consecutive_resets: u32,
    /// When a capacity probe was sent, while its answer is awaited; else minus infinity.
    pub probe_sent_at: f64,
    /// When it last answered a probe at once, which shows a free slot.
    pub free_slot_seen_at: f64,
    /// When it was last sent an attempt.
    pub last_dispatched_at: f64,
    /// Work it was sent lately, while in slow start.
    pub recent_sends: RecentSends,
    /// The affinity keys that it was sent lately, the latest first.
    pub recent_affinity_keys: Vec<u64>,
}

impl Worker {
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

    /// A new process on the same machine: only the machine's size and this scheduler's attempts stay.
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

    /// Whether it was readmitted and has not served a request since.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.successes_since_readmission < 1.0
    }

    /// Counts an attempt of this request as held there.
    pub(crate) fn reserve_capacity(&mut self, request: &Request, has_started: bool) {
        self.slots.reserved_here += request.slots;
        self.memory.reserved_here += request.memory;
        self.attempts_not_started += usize::from(!has_started);
    }

    /// An attempt of this request holds nothing there any more.
    pub(crate) fn release_capacity(&mut self, request: &Request, had_started: bool) {
        self.slots.reserved_here = (self.slots.reserved_here - request.slots).max(0.0);
        self.memory.reserved_here = (self.memory.reserved_here - request.memory).max(0.0);
        self.attempts_not_started = self.attempts_not_started.saturating_sub(usize::from(!had_started));
    }

    /// An attempt of this scheduler has started there; if it had been queued, all slots were taken.
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
    /// Whether two workers drop each other's repeats.
    pub(crate) fn includes(self, first: &Worker, second: &Worker) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.info.zone == second.info.zone,
            DeduplicationScope::Cell => first.info.cell == second.info.cell,
        }
    }
}

#[cfg(test)]
mod tests;
