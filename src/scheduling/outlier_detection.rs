//! Outlier detection: which workers are ejected, for how long, and when they are readmitted.
//!
//! | a worker | what follows |
//! | --- | --- |
//! | cannot be connected to, or breaks a connection while a request is written | ejected |
//! | resets two connections, or reports two requests `lost`, with no notification between | ejected |
//! | is late to start or to progress an attempt (`overdue.rs`) | ejected, unless most of the fleet is ejected |
//! | loses its stability: failures, timeouts, resets, missed objectives | ejected, unless most of the fleet is ejected |
//! | answers a health check, or an attempt there progresses or succeeds | readmitted, on probation |
//!
//! An ejected worker gets no requests. Its backoff doubles with each ejection, until a request has succeeded there; when
//! it is over a health check is sent, or, where probes are not allowed, the worker is readmitted. On probation a worker is
//! opened slot by slot (`free_slots` in `load_estimate.rs`) and gets only idempotent requests until one has succeeded. One reset does
//! not eject by itself, nor does a pooled connection that was closed already: sound workers show both. But where there are many
//! schedulers (14 and more) one failure takes the stability below its limit. The limits are in `attempt_progress.rs`,
//! `judge_worker`; what counts as which outcome is in `src/server/attempt_end.rs`.

use crate::scheduling::action::Action;
use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::worker::Health;

/// Shortest backoff of an ejection, for one scheduler alone with its workers.
const MIN_EJECTION_BACKOFF_S: f64 = 0.5;
/// Longest backoff of an ejection, for one scheduler alone with its workers.
const MAX_EJECTION_BACKOFF_S: f64 = 4.0;
/// With more than this fraction of the fleet ejected, lateness does not eject: the fleet is overloaded then, and each
/// ejection would load the rest further.
const MAX_EJECTED_FRACTION: f64 = 0.6;
/// An ejection lowers a worker's stability to this at the most.
const EJECTED_STABILITY: f64 = 0.5;
/// A worker is readmitted with this stability at the least.
const READMITTED_STABILITY: f64 = 0.5;

/// Why a worker is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionReason {
    /// A connection failed, or was reset twice with no notification between.
    ConnectionFailure,
    /// It was late, or its stability is low.
    LateOrUnstable,
}

struct BackoffBounds {
    min_s: f64,
    max_s: f64,
}

impl SchedulerState {
    /// Ejects a worker until it has answered a health check, which is sent once its backoff is over.
    ///
    /// A connection failure always ejects. Lateness does not while more than [`MAX_EJECTED_FRACTION`] of the fleet is
    /// ejected.
    pub(crate) fn eject(&mut self, id: WorkerId, reason: EjectionReason) {
        if !self.may_eject(reason) {
            return;
        }
        let bounds = self.ejection_backoff_bounds();
        let now = self.now;
        let Some(worker) = self.fleet.workers.get_mut(&id) else { return };
        if worker.is_ejected() {
            return;
        }
        worker.ejection_backoff_s = (2.0 * worker.ejection_backoff_s).clamp(bounds.min_s, bounds.max_s);
        worker.health = Health::Ejected { next_check_at: now + worker.ejection_backoff_s };
        worker.stability = worker.stability.min(EJECTED_STABILITY);
        self.fleet.ejected.push(id);
    }

    fn may_eject(&self, reason: EjectionReason) -> bool {
        let fleet = self.fleet.candidate_order.len().max(1) as f64;
        let ejected = self.fleet.ejected.len() as f64;
        reason == EjectionReason::ConnectionFailure || ejected <= MAX_EJECTED_FRACTION * fleet
    }

    /// All schedulers check an ejected worker, so each does it less often the more schedulers there are for a worker.
    fn ejection_backoff_bounds(&self) -> BackoffBounds {
        let fleet = self.fleet.candidate_order.len().max(1) as f64;
        let schedulers_per_worker = 1.0 + self.settings.scheduler_count as f64 / fleet;
        BackoffBounds {
            min_s: MIN_EJECTION_BACKOFF_S * schedulers_per_worker,
            max_s: MAX_EJECTION_BACKOFF_S * schedulers_per_worker,
        }
    }

    /// Readmits a worker that has shown that it works: it is on probation until a request has succeeded.
    pub(crate) fn readmit(&mut self, id: WorkerId) {
        let Some(worker) = self.fleet.workers.get_mut(&id) else { return };
        if !worker.is_ejected() {
            return;
        }
        worker.health = Health::InService;
        worker.stability = worker.stability.max(READMITTED_STABILITY);
        worker.successes_since_readmission = 0.0;
        self.fleet.ejected.retain(|ejected| *ejected != id);
    }

    /// Sends health checks to the ejected workers whose backoff is over; where probes are not allowed, readmits them.
    pub(crate) fn check_ejected_workers(&mut self) {
        for id in self.fleet.ejected.clone() {
            let Some(worker) = self.fleet.workers.get_mut(&id) else { continue };
            let Health::Ejected { next_check_at } = worker.health else { continue };
            if self.now < next_check_at {
                continue;
            }
            worker.health = Health::Ejected { next_check_at: self.now + worker.ejection_backoff_s };
            if self.settings.capacity_probes_allowed {
                self.emit(Action::Probe(id));
            } else {
                self.readmit(id);
            }
        }
    }
}
