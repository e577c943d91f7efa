//! Final answers: every request gets one by its deadline at the latest, and attempts still in flight are cancelled.

use crate::scheduling::action::Action;
use crate::scheduling::identifiers::RequestId;
use crate::scheduling::request_table::{AttemptTransition, RequestTransition};
use crate::scheduling::state::SchedulerState;

impl SchedulerState {
    /// Answers an open request: rejected if the client can safely retry it, failed otherwise.
    ///
    /// This is the only place that answers a tracked request. Its deadline timer ends up here too, so every request is
    /// answered whatever else goes wrong.
    pub(crate) fn give_final_answer(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.all.get(&id) else { return };
        if !tracked.is_open() {
            return;
        }
        let answer = if self.may_reject(tracked) {
            let retry_after_s = self.settings.max_retry_after_s.min(tracked.objective_s);
            Action::Reject { request: id, retry_after_s }
        } else {
            Action::Fail(id)
        };
        self.emit(answer);
        self.close(id);
    }

    /// Closes a request that was answered or whose client disconnected. Attempts in flight are cancelled if the
    /// settings allow it, and the request is removed once all of them have ended.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.all.get_mut(&id) else { return };
        tracked.advance(RequestTransition::Close);
        if self.settings.cancellation_allowed {
            for (index, attempt) in tracked.attempts.iter_mut().enumerate() {
                if attempt.is_in_flight() {
                    attempt.advance(AttemptTransition::Abandon);
                    self.actions.push(Action::Cancel { request: id, attempt: index });
                }
            }
        }
        self.requests.remove_if_finished(id);
    }
}
