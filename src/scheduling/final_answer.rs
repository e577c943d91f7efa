//! The final answer: how a request ends here, at its deadline at the latest, and what becomes of its attempts.

use crate::scheduling::action::Action;
use crate::scheduling::identifiers::RequestId;
use crate::scheduling::request_table::{AttemptChange, RequestChange};
use crate::scheduling::state::SchedulerState;

impl SchedulerState {
    /// The only place that gives a final answer: rejected where a retry by the client is harmless, else failed.
    ///
    /// The deadline timer of each request ends here, so that every request is answered whatever else went wrong.
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
        self.act(answer);
        self.close(id);
    }

    /// Closes a request that has its answer or whose client is gone: attempts in flight are cancelled where that is
    /// allowed, and the request is forgotten once they have ended.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.all.get_mut(&id) else { return };
        tracked.advance(RequestChange::Close);
        if self.settings.cancellation_allowed {
            for (index, attempt) in tracked.attempts.iter_mut().enumerate() {
                if attempt.is_in_flight() {
                    attempt.advance(AttemptChange::Abandon);
                    self.actions.push(Action::Cancel { request: id, attempt: index });
                }
            }
        }
        self.requests.forget_if_over(id);
    }
}
