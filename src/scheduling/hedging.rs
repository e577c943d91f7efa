//! Hedging: whether an overdue attempt is replaced by an attempt at another worker.
//!
//! If the settings allow two attempts in flight, the second one is a hedged request, and the first response
//! wins. If they only allow cancellation, the overdue attempt is cancelled. Once its end is reported,
//! `continue_request` in `attempt_progress.rs` queues the request again, and `retry.rs` restricts the
//! workers. If neither is allowed, the attempt is only marked abandoned.

use crate::scheduling::action::Action;
use crate::scheduling::identifiers::RequestId;
use crate::scheduling::request_table::TrackedRequest;
use crate::scheduling::settings::Idempotency;
use crate::scheduling::state::SchedulerState;

impl SchedulerState {
    /// Replaces an overdue attempt if the request class allows it and another worker can take the request.
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
        if self.settings.hedging_allowed && !self.has_worker_for_resend(tracked) {
            return false;
        }
        // Without overload detection a late start may be caused by overload, which another attempt would
        // aggravate.
        let awaits_start = overdue.started_at.is_none() && !overdue.end_is_uncertain;
        let may_be_queued = awaits_start && !self.detects_overload();
        !may_be_queued && !self.is_fleet_full()
    }

    /// Whether any worker in service has a free slot and may be sent the request again.
    fn has_worker_for_resend(&self, tracked: &TrackedRequest) -> bool {
        self.fleet.ready_workers().any(|worker| {
            !worker.is_ejected() && self.free_slots(worker) >= 1.0 && self.may_resend_to(tracked, worker)
        })
    }
}
