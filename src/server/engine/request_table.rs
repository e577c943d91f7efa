//! The requests tracked by the engine, with the state of their clients and attempts.
//!
//! A request is tracked from its acceptance until its client is no longer waiting and it has no open attempt.
//! Three enums describe its state: [`ClientState`] (whether an answer is owed),
//! [`AttemptState`](super::attempt_state::AttemptState) for each attempt, and [`ForwardingState`] (whether
//! another site is involved). Each is modified by a single function.
//!
//! The table only stores requests and finds them by ID or by name. [`super::requests`] and [`super::attempts`]
//! implement their lifecycle.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::attempt_state::Attempt;
use super::site_forwarding::ForwardingState;
use crate::scheduling::{RequestId, WorkerId};
use crate::server::messages::{AttemptCommand, ClientRequest, FinalAnswer, RequestPayload};
use crate::server::metrics::GaugeGuard;

/// Whether the client of a request is still waiting for its answer.
pub(super) enum ClientState {
    /// The client is waiting.
    Waiting {
        /// Receives the final answer.
        reply: oneshot::Sender<FinalAnswer>,
        /// Counts the request as active.
        active: GaugeGuard,
    },
    /// The client has its answer, or the request has migrated to another process, which answers it and handles its
    /// callbacks.
    Answered,
    /// The client closed its connection before the answer.
    Disconnected,
}

/// Why a client stops waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitEnd {
    /// The final answer was given, or the request migrated to another process.
    Answered,
    /// The client closed its connection.
    Disconnected,
}

/// An attempt that was added to its request, with the handles for its task.
pub(super) struct StartedAttempt {
    /// Index into the request's attempts.
    pub(super) number: usize,
    /// Receives the command to the task.
    pub(super) commands: oneshot::Receiver<AttemptCommand>,
    /// Set by the task once the worker has accepted the request.
    pub(super) accepted: Rc<Cell<bool>>,
    /// Tells the task that the client has disconnected.
    pub(super) client_disconnected: Rc<Cell<bool>>,
}

/// A request, from its acceptance until it is answered and its attempts have ended.
pub(super) struct TrackedRequest {
    /// Index into the settings' classes.
    pub(super) class: usize,
    /// Index into the settings' tenants.
    pub(super) tenant: usize,
    /// When the client stops waiting.
    pub(super) deadline: Instant,
    /// When this process accepted the request; `None` if it was taken over from another process.
    pub(super) accepted_at: Option<Instant>,
    /// Number of slots that the request occupies on a worker.
    pub(super) slots: f64,
    /// Amount of memory that the request occupies on a worker.
    pub(super) memory: f64,
    /// Estimated work in seconds, if the client sent a hint.
    pub(super) estimated_work_s: Option<f64>,
    /// The part of the request that is sent to workers.
    pub(super) payload: Rc<RequestPayload>,
    /// Private, so that only [`TrackedRequest::end_wait`] can change it.
    client: ClientState,
    /// Set with [`ClientState::Disconnected`], and read by the tasks of the attempts.
    client_disconnected: Rc<Cell<bool>>,
    /// In the order in which the dispatcher dispatched them. The index identifies an attempt.
    pub(super) attempts: Vec<Attempt>,
    /// True once an attempt has ended with an outcome that does not prove that the request never ran.
    pub(super) may_have_run: bool,
    /// Whether the request was received from, or forwarded to, another site.
    pub(super) forwarding: ForwardingState,
    /// Priority by Eq. 1 at the time the dispatcher received the request. Negative if the request is over its
    /// tenant's quota or the dispatcher has not received it yet.
    pub(super) priority: f64,
}

impl TrackedRequest {
    /// Creates a request without attempts. Its final answer is sent to `reply`.
    pub(super) fn new(
        request: ClientRequest,
        reply: oneshot::Sender<FinalAnswer>,
        active: GaugeGuard,
    ) -> Self {
        TrackedRequest {
            class: request.class,
            tenant: request.tenant,
            deadline: request.deadline,
            accepted_at: Some(Instant::now()),
            slots: request.slots,
            memory: request.memory,
            estimated_work_s: request.estimated_work_s,
            payload: Rc::new(request.payload),
            client: ClientState::Waiting { reply, active },
            client_disconnected: Rc::default(),
            attempts: Vec::new(),
            may_have_run: false,
            forwarding: if request.origin.is_some() {
                ForwardingState::Inbound
            } else {
                ForwardingState::Local
            },
            priority: -1.0,
        }
    }

    /// Adds a running attempt. `accepted` is true if the worker has already accepted the request.
    pub(super) fn start_attempt(&mut self, worker: WorkerId, accepted: bool) -> StartedAttempt {
        let (command, commands) = oneshot::channel();
        let accepted = Rc::new(Cell::new(accepted));
        let number = self.attempts.len();
        self.attempts.push(Attempt::running(worker, command, Rc::clone(&accepted)));
        let client_disconnected = Rc::clone(&self.client_disconnected);
        StartedAttempt { number, commands, accepted, client_disconnected }
    }

    /// Returns whether the client is waiting for its answer.
    pub(super) fn is_waiting(&self) -> bool {
        match self.client {
            ClientState::Waiting { .. } => true,
            ClientState::Answered | ClientState::Disconnected => false,
        }
    }

    /// Marks the client as no longer waiting, and returns the reply channel if it was waiting. Nothing else
    /// changes the client state, so a request gets at most one final answer.
    pub(super) fn end_wait(&mut self, end: WaitEnd) -> Option<oneshot::Sender<FinalAnswer>> {
        if !self.is_waiting() {
            return None;
        }
        let after = match end {
            WaitEnd::Answered => ClientState::Answered,
            WaitEnd::Disconnected => ClientState::Disconnected,
        };
        self.client_disconnected.set(end == WaitEnd::Disconnected);
        match std::mem::replace(&mut self.client, after) {
            ClientState::Waiting { reply, active } => {
                drop(active);
                Some(reply)
            }
            ClientState::Answered | ClientState::Disconnected => None,
        }
    }

    /// Returns whether any attempt is open.
    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(Attempt::is_open)
    }

    /// Returns whether the request may have run, at this site or another. Without an attempt it has not run at this one.
    pub(super) fn may_have_been_executed(&self) -> bool {
        let may_have_run_here = self.may_have_run && !self.attempts.is_empty();
        may_have_run_here || self.forwarding.is_outbound()
    }

    /// Returns whether it is certain that the request has not run, and will not run, at this site.
    pub(super) fn never_ran(&self) -> bool {
        !self.may_have_run && !self.has_open_attempt()
    }
}

/// The tracked requests, by ID and by name.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, TrackedRequest>,
    /// IDs by `X-Request-Id`, the name that workers use in callbacks.
    ids_by_name: HashMap<Bytes, RequestId>,
}

impl RequestTable {
    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, request: TrackedRequest) {
        self.ids_by_name.insert(request.payload.name.clone(), id);
        self.requests.insert(id, request);
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<TrackedRequest> {
        let request = self.requests.remove(&id)?;
        self.ids_by_name.remove(&request.payload.name);
        Some(request)
    }

    /// Returns the request with this ID.
    pub(super) fn get(&self, id: RequestId) -> Option<&TrackedRequest> {
        self.requests.get(&id)
    }

    /// Returns the request with this ID for modification.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut TrackedRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns an attempt of a request, by its index.
    pub(super) fn attempt_mut(&mut self, id: RequestId, attempt: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(&id)?.attempts.get_mut(attempt)
    }

    /// Returns the ID of the request with this name.
    pub(super) fn id_of(&self, name: &Bytes) -> Option<RequestId> {
        self.ids_by_name.get(name).copied()
    }

    /// Returns whether a request has this name or this ID.
    pub(super) fn is_in_use(&self, name: &Bytes, id: RequestId) -> bool {
        self.ids_by_name.contains_key(name) || self.requests.contains_key(&id)
    }

    /// Returns whether no requests are tracked.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns all requests, in arbitrary order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &TrackedRequest)> {
        self.requests.iter().map(|(&id, request)| (id, request))
    }

    /// Returns the names of all requests, in arbitrary order.
    pub(super) fn names(&self) -> impl Iterator<Item = &Bytes> {
        self.ids_by_name.keys()
    }
}

#[cfg(test)]
mod tests;
