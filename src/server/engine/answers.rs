//! The one final answer of a request, and when the engine forgets the request.
//!
//! Which answer it is was decided before: by the dispatcher, by a worker's callback, or by the gateway.

use super::request_table::WaitEnd;
use super::Engine;
use crate::scheduling::RequestId;
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::messages::FinalAnswer;
use crate::server::metrics::Counters;

impl Engine {
    /// Gives the final answer; false if the client no longer waited for one.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer) -> bool {
        let Some(request) = self.requests.get_mut(id) else { return false };
        let Some(reply) = request.end_wait(WaitEnd::Answered) else { return false };
        count_answer(&self.counters, request.class, &answer);
        let name = request.payload.name.escape_ascii();
        tracing::debug!(request = %name, answer = answer.name(), "request answered");
        // The client may have disconnected this instant; the message that says so will find nothing to do.
        let _ = reply.send(answer);
        true
    }

    /// The answer to a request that is rejected. One of another site that never ran here is rejected as
    /// unstarted, so that its own site may still run it.
    pub(super) fn rejection(&self, id: RequestId, retry_after_s: f64) -> FinalAnswer {
        match self.requests.get(id) {
            Some(request) if request.forwarding.is_inbound() && request.never_ran() => {
                FinalAnswer::RejectedUnstarted
            }
            Some(_) | None => FinalAnswer::Rejected { retry_after_s },
        }
    }

    /// Forgets a request whose client does not wait and that has no open attempt.
    pub(super) fn forget_if_done(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if request.is_waiting() || request.has_open_attempt() {
            return;
        }
        let Some(request) = self.requests.remove(id) else { return };
        self.peers.broadcast(None, &HandoverFrame::RequestClosed(request.payload.name.clone()));
    }
}

fn count_answer(counters: &Counters, class: usize, answer: &FinalAnswer) {
    let class = counters.class(class);
    let (of_all, of_class) = match answer {
        FinalAnswer::Served(_) => (&counters.answered_served, &class.ok),
        FinalAnswer::Rejected { .. } | FinalAnswer::RejectedUnstarted => {
            (&counters.answered_rejected, &class.shed)
        }
        FinalAnswer::Failed | FinalAnswer::DuplicateId | FinalAnswer::Migrated(_) => {
            (&counters.answered_failed, &class.errors)
        }
    };
    of_all.add();
    of_class.add();
}
