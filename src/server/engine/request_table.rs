//! The requests that the engine tracks, and whether the client of each still waits.
//!
//! A request is tracked from its acceptance until no client waits for it and no attempt of it is open. Three enums
//! say where it stands: [`ClientState`] (is an answer owed?), for each attempt
//! [`AttemptState`](super::attempt_state::AttemptState), and [`ForwardingState`] (what does it have to do with other
//! sites?). Each has one function that changes it.
//!
//! The table holds these records and finds them by number or by name. It decides nothing: see
//! [`super::requests`] for what happens to a request, and [`super::attempts`] for what happens to an attempt.

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

/// Whether the client of a request still waits for its answer.
pub(super) enum ClientState {
    /// It does.
    Waiting {
        /// Where the final answer goes.
        reply: oneshot::Sender<FinalAnswer>,
        /// Counts the request as active.
        active: GaugeGuard,
    },
    /// It has its answer; or another process is to give it, and handles its callbacks.
    Answered,
    /// It closed its connection before the answer.
    Disconnected,
}

/// How the wait of a client ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitEnd {
    /// With the final answer, or with the migration to another process.
    Answered,
    /// The client closed its connection.
    Disconnected,
}

/// An attempt that was added to its request, and the task's ends of it.
pub(super) struct StartedAttempt {
    /// Its number in the request.
    pub(super) number: usize,
    /// What the task is commanded.
    pub(super) commands: oneshot::Receiver<AttemptCommand>,
    /// The task sets it once the worker has accepted the request.
    pub(super) accepted: Rc<Cell<bool>>,
}

/// A request from its acceptance until nothing of it is left to do.
pub(super) struct TrackedRequest {
    /// Index into the settings' classes.
    pub(super) class: usize,
    /// Index into the settings' tenants.
    pub(super) tenant: usize,
    /// When its client stops waiting.
    pub(super) deadline: Instant,
    /// Slots that it takes at a worker.
    pub(super) slots: f64,
    /// Memory that it takes at a worker.
    pub(super) memory: f64,
    /// Its expected work in seconds, if its client gave a hint.
    pub(super) estimated_work_s: Option<f64>,
    /// What goes to workers.
    pub(super) payload: Rc<RequestPayload>,
    /// Private, so that only [`TrackedRequest::end_wait`] changes it.
    client: ClientState,
    /// In the order in which the dispatcher asked for them: the index is the attempt's number.
    pub(super) attempts: Vec<Attempt>,
    /// An attempt has ended in a way that does not prove that it never ran.
    pub(super) may_have_run: bool,
    /// What it has to do with other sites.
    pub(super) forwarding: ForwardingState,
    /// Its priority by Eq. 1 when the dispatcher received it; below 0 where it is over its tenant's quota, and until then.
    pub(super) priority: f64,
}

impl TrackedRequest {
    /// A request without attempts, whose answer goes to `reply`.
    pub(super) fn new(
        request: ClientRequest,
        reply: oneshot::Sender<FinalAnswer>,
        active: GaugeGuard,
    ) -> Self {
        TrackedRequest {
            class: request.class,
            tenant: request.tenant,
            deadline: request.deadline,
            slots: request.slots,
            memory: request.memory,
            estimated_work_s: request.estimated_work_s,
            payload: Rc::new(request.payload),
            client: ClientState::Waiting { reply, active },
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

    /// Adds an attempt whose task is to run; `accepted` if the worker has accepted the request already.
    pub(super) fn start_attempt(&mut self, worker: WorkerId, accepted: bool) -> StartedAttempt {
        let (command, commands) = oneshot::channel();
        let accepted = Rc::new(Cell::new(accepted));
        let number = self.attempts.len();
        self.attempts.push(Attempt::running(worker, command, Rc::clone(&accepted)));
        StartedAttempt { number, commands, accepted }
    }

    /// Whether the client waits for its answer.
    pub(super) fn is_waiting(&self) -> bool {
        match self.client {
            ClientState::Waiting { .. } => true,
            ClientState::Answered | ClientState::Disconnected => false,
        }
    }

    /// Ends the wait of the client; gives where the answer goes if it was waiting. Nothing else changes that
    /// state, so that there is one final answer.
    pub(super) fn end_wait(&mut self, end: WaitEnd) -> Option<oneshot::Sender<FinalAnswer>> {
        if !self.is_waiting() {
            return None;
        }
        let after = match end {
            WaitEnd::Answered => ClientState::Answered,
            WaitEnd::Disconnected => ClientState::Disconnected,
        };
        match std::mem::replace(&mut self.client, after) {
            ClientState::Waiting { reply, active } => {
                drop(active);
                Some(reply)
            }
            ClientState::Answered | ClientState::Disconnected => None,
        }
    }

    /// Whether an attempt is open.
    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(Attempt::is_open)
    }

    /// Whether it is certain that nothing of it has run or will run here.
    pub(super) fn never_ran(&self) -> bool {
        !self.may_have_run && !self.has_open_attempt()
    }
}

/// The tracked requests, by number and by name.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, TrackedRequest>,
    /// Numbers by `X-Request-Id`, the name that workers use in callbacks.
    ids: HashMap<Bytes, RequestId>,
}

impl RequestTable {
    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, request: TrackedRequest) {
        self.ids.insert(request.payload.name.clone(), id);
        self.requests.insert(id, request);
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<TrackedRequest> {
        let request = self.requests.remove(&id)?;
        self.ids.remove(&request.payload.name);
        Some(request)
    }

    /// The request of this number.
    pub(super) fn get(&self, id: RequestId) -> Option<&TrackedRequest> {
        self.requests.get(&id)
    }

    /// The same, to be changed.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut TrackedRequest> {
        self.requests.get_mut(&id)
    }

    /// An attempt of a request, by its number.
    pub(super) fn attempt_mut(&mut self, id: RequestId, attempt: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(&id)?.attempts.get_mut(attempt)
    }

    /// The number of the request of this name.
    pub(super) fn id_of(&self, name: &Bytes) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// Whether a request has this name or this number.
    pub(super) fn is_in_use(&self, name: &Bytes, id: RequestId) -> bool {
        self.ids.contains_key(name) || self.requests.contains_key(&id)
    }

    /// Whether there is none.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// All requests, in no order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &TrackedRequest)> {
        self.requests.iter().map(|(&id, request)| (id, request))
    }

    /// The names of all requests, in no order.
    pub(super) fn names(&self) -> impl Iterator<Item = &Bytes> {
        self.ids.keys()
    }
}

#[cfg(test)]
mod tests;
