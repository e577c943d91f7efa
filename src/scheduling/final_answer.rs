//! Answers that the dispatcher gives itself (rejections and failures), and the closing of requests.
//!
//! The caller relays a worker's result to the client and reports it with the end of the attempt. A request that is
//! still open shortly before its deadline is rejected or failed by its deadline timer. A request whose client has
//! disconnected is closed without an answer.

use crate::scheduling::action::Action;
use crate::scheduling::identifiers::RequestId;
use crate::scheduling::request_table::{AttemptTransition, RequestTransition};
use crate::scheduling::state::SchedulerState;

impl SchedulerState {
    /// Rejects an open request if the client can safely retry it, fails it otherwise, and closes it. Does nothing if
    /// the request is closed or its response has started to stream.
    ///
    /// This is the only place where the dispatcher answers a tracked request. The deadline timer of each request calls
    /// it too, so an open request is answered whatever else goes wrong.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.all.get(&id) else { return };
        if !tracked.is_open() {
            return;
        }
        let answer = if self.may_reject(tracked) {
            // One latency objective, up to the longest Retry-After in the settings.
            let retry_after_s = self.settings.max_retry_after_s.min(tracked.objective_s);
            Action::Reject { request: id, retry_after_s }
        } else {
            Action::Fail(id)
        };
        self.emit(answer);
        self.close(id);
    }

    /// Closes a request that was answered or whose client disconnected. Cancels its attempts in flight if the settings
    /// allow it. The request is removed once all of its attempts have ended.
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
