//! Hedging: whether an overdue attempt is given up for another one at another worker.
//!
//! Where the settings allow two attempts in flight, the second one is a hedged request: the first answer counts. Else the
//! overdue attempt is cancelled; when its end arrives, `continue_request` in `attempt_progress.rs` queues the request again, and
//! `retry.rs` limits the workers. Where neither is allowed, the attempt is only abandoned.

use crate::scheduling::action::Action;
use crate::scheduling::identifiers::RequestId;
use crate::scheduling::request_table::TrackedRequest;
use crate::scheduling::settings::Idempotency;
use crate::scheduling::state::SchedulerState;

impl SchedulerState {
    /// Moves an overdue attempt elsewhere, where its class permits that and another worker can take it.
    pub(crate) fn replace_overdue_attempt(&mut self, id: RequestId, attempt: usize) {
        let Some(tracked) = self.requests.all.get(&id) else { return };
        if !self.may_replace_attempt(tracked, attempt) {
            return;
        }
        self.requests.abandon(id, attempt);
        if self.settings.hedging_allowed {
            self.requests.enqueue(id);
        } else if self.settings.cancellation_allowed {
            self.emit(Action::Cancel { request: id, attempt });
        }
    }

    fn may_replace_attempt(&self, tracked: &TrackedRequest, attempt: usize) -> bool {
        let overdue = &tracked.attempts[attempt];
        if tracked.is_closed() || overdue.is_abandoned() {
            return false;
        }
        if tracked.attempts.len() >= self.settings.max_attempts {
            return false;
        }
        if self.idempotency_of(tracked) == Idempotency::NonIdempotent {
            return false;
        }
        if self.settings.hedging_allowed && !self.has_worker_for_repeat(tracked) {
            return false;
        }
        // A late start where overload is not seen: another attempt would add to it.
        let may_be_queued = overdue.started_at.is_none() && !self.detects_overload();
        !may_be_queued && !self.is_fleet_full()
    }

    /// Whether any worker in service has a free slot and may be sent a repeat.
    fn has_worker_for_repeat(&self, tracked: &TrackedRequest) -> bool {
        self.fleet.ready_workers().any(|worker| {
            !worker.is_ejected() && self.free_slots(worker) >= 1.0 && self.may_repeat_at(tracked, worker)
        })
    }
}
