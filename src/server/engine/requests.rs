//! How a request begins, and the two ways in which it ends without an answer of the dispatcher: its client
//! disconnects, or its deadline passes.
//!
//! Whether a request is admitted, and where it runs, is the dispatcher's decision; it is notified here.

use tokio::sync::oneshot;

use super::attempt_state::AttemptChange;
use super::attempts::EndWithLoad;
use super::request_table::{TrackedRequest, WaitEnd};
use super::timers::Timer;
use super::Engine;
use crate::scheduling::{Event, LoadReport, Request, RequestId};
use crate::server::attempt_end::AttemptEnd;
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::messages::{ClientRequest, FinalAnswer};
use crate::server::metrics::Gauge;

impl Engine {
    /// Accepts a request, unless its id is in use, and notifies the dispatcher of it.
    pub(super) fn accept_request(
        &mut self,
        id: RequestId,
        submitted: ClientRequest,
        reply: oneshot::Sender<FinalAnswer>,
    ) {
        let name = &submitted.payload.name;
        if self.peers.has_open_request(name) || self.requests.is_in_use(name, id) {
            self.reject_duplicate(&submitted, reply);
            return;
        }
        self.counters.transactions_taken.add();
        self.peers.broadcast(None, &HandoverFrame::RequestOpened(name.clone()));
        tracing::debug!(
            request = %name.escape_ascii(),
            class = submitted.class,
            tenant = submitted.tenant,
            estimated_work_s = submitted.estimated_work_s,
            slots = submitted.slots,
            "request accepted"
        );
        let deadline = submitted.deadline;
        let event = Event::RequestReceived(Request {
            id,
            class: submitted.class,
            tenant: submitted.tenant,
            deadline: self.clock.at(deadline),
            slots: submitted.slots,
            memory: submitted.memory,
            estimated_work_s: submitted.estimated_work_s,
            affinity_key: submitted.affinity_key,
        });
        let active = Gauge::count(&self.counters.active);
        self.requests.insert(id, TrackedRequest::new(submitted, reply, active));
        self.timers.set(deadline, Timer::Deadline(id));
        if self.bind_to_other_site(id) {
            return; // a request with this idempotency key may have run at another site, so it must not run here
        }
        self.notify_dispatcher(event);
        self.record_priority(id);
    }

    /// Workers' callbacks name a request by its `X-Request-Id` alone: two of that name cannot be told apart.
    fn reject_duplicate(&self, submitted: &ClientRequest, reply: oneshot::Sender<FinalAnswer>) {
        if self.counters.duplicate_ids.add().is_power_of_two() {
            let name = submitted.payload.name.escape_ascii();
            tracing::warn!(request = %name, "request id is already in use");
        }
        self.counters.class(submitted.class).errors.add();
        // A client that has disconnected needs no answer.
        let _ = reply.send(FinalAnswer::DuplicateId);
    }

    /// Remembers what the dispatcher makes of a request: the gateway forwards by it.
    fn record_priority(&mut self, id: RequestId) {
        if self.forwarding.is_none() {
            return;
        }
        let Some(priority) = self.dispatcher.priority(id) else { return };
        if let Some(request) = self.requests.get_mut(id) {
            request.priority = priority;
        }
    }

    /// The client of a request has closed its connection: nobody waits for an answer any more.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        // An answer that is dropped unsent has no receiver any more.
        if request.end_wait(WaitEnd::Disconnected).is_none() {
            return;
        }
        self.counters.clients_left.add();
        self.notify_dispatcher(Event::ClientDisconnected(id));
        self.withdraw_forwarded(id);
        self.forget_if_done(id);
    }

    /// The deadline of a request has passed: its running attempts are over, and the dispatcher gives the final
    /// answer, which the answer slack still covers. Attempts that are being cancelled end in their own way. The dispatcher has a
    /// timer of its own for the same deadline, two event intervals earlier; this one ends what is still on a socket.
    pub(super) fn deadline_passed(&mut self, id: RequestId) {
        let attempts = self.requests.get(id).map_or(0, |request| request.attempts.len());
        for attempt in 0..attempts {
            let Some(expired) = self.requests.attempt_mut(id, attempt) else { return };
            if expired.is_running() {
                expired.change(AttemptChange::Cancel);
                let ending = EndWithLoad { end: AttemptEnd::DeadlinePassed, load: LoadReport::default() };
                self.attempt_ended(id, attempt, ending);
            }
        }
    }
}
