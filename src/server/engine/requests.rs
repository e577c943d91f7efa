//! Accepts requests and handles client disconnects and expired deadlines.
//!
//! The dispatcher decides whether a request is admitted and where it runs; this module notifies it of the
//! events.

use bytes::Bytes;
use tokio::sync::oneshot;

use super::attempt_state::AttemptTransition;
use super::attempts::EndReport;
use super::late_callbacks::LateCallbacks;
use super::request_table::{TrackedRequest, WaitEnd};
use super::timers::Timer;
use super::Engine;
use crate::scheduling::{Event, LoadReport, Request, RequestId};
use crate::server::attempt_end::AttemptEnd;
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::messages::{ClientRequest, FinalAnswer};
use crate::server::metrics::Gauge;

impl Engine {
    /// Accepts a request unless its ID is in use, and notifies the dispatcher.
    pub(super) fn accept_request(
        &mut self,
        id: RequestId,
        submitted: ClientRequest,
        reply: oneshot::Sender<FinalAnswer>,
    ) {
        let name = &submitted.payload.name;
        if self.is_in_use(name, id) {
            self.reject_duplicate(&submitted, reply);
            return;
        }
        let class = &self.settings.classes[submitted.class];
        if self.peers.executed().forbid(name, class, submitted.deadline) {
            self.reject_repeated_id(submitted.class, name, reply);
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
        if self.forward_if_bound_elsewhere(id) {
            return; // an earlier request with the same key may have run at another site
        }
        self.notify_dispatcher(event);
        self.record_priority(id);
    }

    /// Whether a request with this name is open in this process or another, or this ID is taken here.
    fn is_in_use(&self, name: &Bytes, id: RequestId) -> bool {
        let is_elsewhere = self.peers.has_open_request(name) || self.migration.has_migrated(name);
        is_elsewhere || self.requests.is_in_use(name, id)
    }

    /// Fails a request whose `X-Request-Id` was used by one that may have run and must not run again.
    pub(super) fn reject_repeated_id(&self, class: usize, name: &Bytes, reply: oneshot::Sender<FinalAnswer>) {
        if self.counters.repeated_ids.add().is_power_of_two() {
            tracing::warn!(request = %name.escape_ascii(), "request id is of a request that may have run");
        }
        self.counters.class(class).errors.add();
        // The send fails if the client has disconnected.
        let _ = reply.send(FinalAnswer::RepeatedId);
    }

    /// Rejects a request whose `X-Request-Id` is in use. Callbacks identify a request by that ID alone, so two open
    /// requests cannot share it.
    fn reject_duplicate(&self, submitted: &ClientRequest, reply: oneshot::Sender<FinalAnswer>) {
        if self.counters.duplicate_ids.add().is_power_of_two() {
            let name = submitted.payload.name.escape_ascii();
            tracing::warn!(request = %name, "request id is already in use");
        }
        self.counters.class(submitted.class).errors.add();
        // The send fails if the client has disconnected.
        let _ = reply.send(FinalAnswer::DuplicateId);
    }

    /// Stores the priority that the dispatcher gave a request; the gateway uses it to choose requests to forward.
    fn record_priority(&mut self, id: RequestId) {
        if self.forwarding.is_none() {
            return;
        }
        let Some(priority) = self.dispatcher.priority(id) else { return };
        if let Some(request) = self.requests.get_mut(id) {
            request.priority = priority;
        }
    }

    /// Handles the disconnect of a client: its request no longer needs an answer.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        // Dropping the reply channel unsent is fine: its receiver is gone.
        if request.end_wait(WaitEnd::Disconnected).is_none() {
            return;
        }
        self.counters.clients_left.add();
        self.notify_dispatcher(Event::ClientDisconnected(id));
        self.cancel_forwarded(id);
        self.remove_if_finished(id);
    }

    /// Handles an expired deadline: ends the running attempts of the request. Attempts that are already being
    /// cancelled report their own end.
    ///
    /// The dispatcher gives the final answer, within the answer slack. It has its own timer for the same deadline,
    /// two event intervals earlier; this timer ends the attempts that are still using a socket.
    pub(super) fn deadline_passed(&mut self, id: RequestId) {
        let attempts = self.requests.get(id).map_or(0, |request| request.attempts.len());
        for attempt in 0..attempts {
            let Some(expired) = self.requests.attempt_mut(id, attempt) else { return };
            if expired.is_running() {
                expired.advance(AttemptTransition::Cancel);
                let end = AttemptEnd::DeadlinePassed;
                let late_callbacks = LateCallbacks::after_exchange(end);
                let report = EndReport { end, late_callbacks, load: LoadReport::default() };
                self.attempt_ended(id, attempt, report);
            }
        }
    }
}
