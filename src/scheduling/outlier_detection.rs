//! Outlier detection: decides which workers are ejected, for how long, and when they are readmitted.
//!
//! | event | consequence for the worker |
//! | --- | --- |
//! | connecting fails, or the connection breaks while a request is written | ejected |
//! | two connection resets or `lost` requests without a notification in between | ejected |
//! | an attempt is overdue to start or to progress (`overdue.rs`) | ejected, unless most of the fleet is ejected |
//! | low stability after failures, timeouts, resets or missed objectives | ejected, unless most of the fleet is ejected |
//! | a health check is answered, or an attempt progresses or succeeds | readmitted, on probation |
//!
//! An ejected worker is sent no requests. Its backoff doubles with each ejection and is reset once a request
//! succeeds there. After the backoff a health check is sent, or, where probes are not allowed, the worker is
//! readmitted. On probation a worker is opened one slot at a time (`free_slots` in `load_estimate.rs`) and is
//! sent only idempotent requests until one has succeeded.
//!
//! A single reset does not eject by itself, nor does a pooled connection that was already closed: both also
//! happen with healthy workers. With many schedulers (14 and more), however, a single failure takes the
//! stability below its limit. `update_worker` in `attempt_progress.rs` applies the limits;
//! `src/server/attempt_end.rs` classifies the outcomes.

use crate::scheduling::action::Action;
use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::worker::Health;

/// Minimum backoff of an ejection, before scaling by the number of schedulers per worker.
const MIN_EJECTION_BACKOFF_S: f64 = 0.5;
/// Maximum backoff of an ejection, before scaling by the number of schedulers per worker.
const MAX_EJECTION_BACKOFF_S: f64 = 4.0;
/// If more than this fraction of the fleet is ejected, lateness and low stability no longer eject: the fleet
/// is overloaded then, and each ejection would add load to the remaining workers.
const MAX_EJECTED_FRACTION: f64 = 0.6;
/// Maximum stability of a worker after an ejection.
const EJECTED_STABILITY: f64 = 0.5;
/// Minimum stability of a worker after its readmission.
const READMITTED_STABILITY: f64 = 0.5;

/// Why a worker is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionReason {
    /// A connection failed, or was reset twice without a notification in between.
    ConnectionFailure,
    /// An attempt was overdue, or the worker's stability is low.
    LateOrUnstable,
}

/// Bounds of the ejection backoff, in seconds.
struct BackoffBounds {
    min_s: f64,
    max_s: f64,
}

impl SchedulerState {
    /// Ejects a worker until it is readmitted; the module documentation says when.
    ///
    /// A connection failure always ejects; other reasons do not while more than [`MAX_EJECTED_FRACTION`] of
    /// the fleet is ejected.
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
        let fleet_size = self.fleet.candidate_order.len().max(1) as f64;
        let ejected_workers = self.fleet.ejected.len() as f64;
        reason == EjectionReason::ConnectionFailure || ejected_workers <= MAX_EJECTED_FRACTION * fleet_size
    }

    /// Scales the backoff with the number of schedulers per worker, because every scheduler checks an ejected
    /// worker.
    fn ejection_backoff_bounds(&self) -> BackoffBounds {
        let fleet_size = self.fleet.candidate_order.len().max(1) as f64;
        let backoff_factor = 1.0 + self.settings.scheduler_count as f64 / fleet_size;
        BackoffBounds {
            min_s: MIN_EJECTION_BACKOFF_S * backoff_factor,
            max_s: MAX_EJECTION_BACKOFF_S * backoff_factor,
        }
    }

    /// Readmits a worker that has proven healthy. It is on probation until a request has succeeded there.
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

    /// Sends health checks to the ejected workers whose backoff has elapsed, or readmits them where probes
    /// are not allowed.
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
