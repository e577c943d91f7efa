//! Delivers the final answer of a request and removes finished requests.
//!
//! The dispatcher, a worker's callback or the gateway has already determined the answer.

use super::request_table::WaitEnd;
use super::Engine;
use crate::scheduling::RequestId;
use crate::server::executed_requests::ExecutedRequest;
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::messages::FinalAnswer;
use crate::server::metrics::Counters;

impl Engine {
    /// Sends the final answer. Returns false if the client is no longer waiting.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer) -> bool {
        let Some(request) = self.requests.get_mut(id) else { return false };
        let Some(reply) = request.end_wait(WaitEnd::Answered) else { return false };
        count_answer(&self.counters, request.class, &answer);
        let name = request.payload.name.escape_ascii();
        tracing::debug!(request = %name, answer = answer.name(), "request answered");
        // The client may have just disconnected. Its `ClientDisconnected` message then has no effect.
        let _ = reply.send(answer);
        true
    }

    /// Returns the answer to a rejected request. A request from another site that never ran here is rejected
    /// as unstarted, so that its own site can still run it.
    pub(super) fn rejection(&self, id: RequestId, retry_after_s: f64) -> FinalAnswer {
        match self.requests.get(id) {
            Some(request) if request.forwarding.is_inbound() && request.never_ran() => {
                FinalAnswer::RejectedUnstarted
            }
            Some(_) | None => FinalAnswer::Rejected { retry_after_s },
        }
    }

    /// Removes a request whose client is not waiting and that has no open attempt.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if request.is_waiting() || request.has_open_attempt() {
            return;
        }
        let Some(request) = self.requests.remove(id) else { return };
        // First, so that the ID is known to the other processes at every moment.
        if request.may_have_been_executed() {
            let class = &self.settings.classes[request.class];
            let name = &request.payload.name;
            if let Some(executed) = ExecutedRequest::of_class(name, class, request.accepted_at) {
                self.peers.record_executed(None, executed);
            }
        }
        self.peers.broadcast(None, &HandoverFrame::RequestClosed(request.payload.name.clone()));
    }
}

fn count_answer(counters: &Counters, class: usize, answer: &FinalAnswer) {
    let class = counters.class(class);
    let (total, class_total) = match answer {
        FinalAnswer::Served(_) => (&counters.answered_served, &class.ok),
        FinalAnswer::Rejected { .. } | FinalAnswer::RejectedUnstarted => {
            (&counters.answered_rejected, &class.shed)
        }
        FinalAnswer::Failed
        | FinalAnswer::DuplicateId
        | FinalAnswer::RepeatedId
        | FinalAnswer::Migrated(_) => (&counters.answered_failed, &class.errors),
    };
    total.add();
    class_total.add();
}
