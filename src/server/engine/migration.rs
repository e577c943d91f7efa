//! Migration of requests from the predecessor process and to the successor process in an upgrade.
//!
//! Terminology: a process *hands over* as a whole, including its idle connections; a request *migrates*; the
//! receiving process *takes over* the request.
//!
//! A request migrates with its complete state, so that it does not fail because the process that accepted it
//! exits. It migrates only when none of its attempts is being sent or cancelled, because that state belongs to
//! a socket and cannot be serialized, and when no callback about an ended attempt can follow. Requests that are at
//! another site, or came from one, do not migrate: they depend on the site link of this process.
//!
//! The frames are defined in [`crate::server::lifecycle::handover_frames`]; the clients' sockets belong to
//! [`crate::server::frontend`].

use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::attempt_state::{Attempt, AttemptTransition};
use super::attempts::attempt_task;
use super::request_table::{TrackedRequest, WaitEnd};
use super::timers::Timer;
use super::Engine;
use crate::scheduling::{Event, RequestId, RequestNeeds, WorkerId};
use crate::server::descriptor_budget::SuccessorState;
use crate::server::executed_requests::ExecutedRequest;
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::messages::{
    ClientRequest, FinalAnswer, MigratedAttempt, MigratedRequest, PeerProcessId, ProcessRole,
};
use crate::server::metrics::Gauge;
use crate::server::workers::connector::PoolPolicy;
use crate::server::workers::endpoint::WorkerEndpoint;

/// Whether requests migrate from this process to a successor.
#[derive(Debug, Default)]
pub(super) enum MigrationState {
    /// No successor accepts requests.
    #[default]
    Off,
    /// A successor accepts requests.
    Migrating {
        /// Names of the requests that have migrated to the successor.
        migrated: HashSet<Bytes>,
    },
}

impl MigrationState {
    /// Records whether a successor accepts requests. If it no longer does, the requests that migrated to it are
    /// lost, and their names are returned.
    #[must_use]
    fn set_accepts_requests(&mut self, accepts_requests: bool) -> HashSet<Bytes> {
        let before = std::mem::take(self);
        let (after, lost) = match (before, accepts_requests) {
            (MigrationState::Off, true) => {
                (MigrationState::Migrating { migrated: HashSet::new() }, HashSet::new())
            }
            (MigrationState::Migrating { migrated }, true) => {
                (MigrationState::Migrating { migrated }, HashSet::new())
            }
            (MigrationState::Migrating { migrated }, false) => (MigrationState::Off, migrated),
            (MigrationState::Off, false) => (MigrationState::Off, HashSet::new()),
        };
        *self = after;
        lost
    }

    /// Returns whether requests migrate.
    pub(super) fn is_migrating(&self) -> bool {
        match self {
            MigrationState::Off => false,
            MigrationState::Migrating { .. } => true,
        }
    }

    /// Returns whether the request with this name has migrated.
    pub(super) fn has_migrated(&self, name: &Bytes) -> bool {
        match self {
            MigrationState::Off => false,
            MigrationState::Migrating { migrated } => migrated.contains(name),
        }
    }

    fn record_migrated(&mut self, name: Bytes) {
        match self {
            MigrationState::Off => {}
            MigrationState::Migrating { migrated } => {
                migrated.insert(name);
            }
        }
    }
}

impl Engine {
    /// Handles a change of the successor. Once requests migrate, this process pools no idle connections to workers,
    /// because they count against the descriptors that the successor may use.
    pub(super) fn successor_changed(&mut self, successor: SuccessorState) {
        let pool_policy = match successor {
            SuccessorState::Absent | SuccessorState::Starting | SuccessorState::ServingOtherBuild => {
                PoolPolicy::KeepIdle
            }
            SuccessorState::Serving => PoolPolicy::ReserveOnly,
        };
        self.connector.set_pool_policy(pool_policy);
        let lost = self.migration.set_accepts_requests(successor == SuccessorState::Serving);
        for name in lost {
            self.peers.record_executed(None, ExecutedRequest::not_repeatable(&name));
        }
        self.migrate_requests();
        for worker in self.workers.values() {
            worker.apply_pool_policy();
        }
    }

    /// Migrates all requests whose client is waiting and whose attempts can migrate.
    pub(super) fn migrate_requests(&mut self) {
        if !self.migration.is_migrating() {
            return;
        }
        let ready: Vec<RequestId> =
            self.requests.iter().filter(|(_, request)| can_migrate(request)).map(|(id, _)| id).collect();
        for id in ready {
            self.migrate_request(id);
        }
    }

    fn migrate_request(&mut self, id: RequestId) {
        let (record, request) = (self.dispatcher.hand_over(id), self.requests.remove(id));
        let (Some(record), Some(mut request)) = (record, request) else { return };
        let mut attempts = Vec::with_capacity(request.attempts.len());
        for attempt in &mut request.attempts {
            let open = attempt.is_open();
            attempt.advance(AttemptTransition::Detach);
            attempts.push(MigratedAttempt {
                worker_name: self.worker_name(attempt.worker),
                address: self.workers.get(&attempt.worker).map(|worker| worker.address()),
                open,
            });
        }
        let migrated = MigratedRequest {
            class: request.class,
            estimated_work_s: request.estimated_work_s,
            time_left: request.deadline.saturating_duration_since(Instant::now()),
            attempts,
            record,
            payload: (*request.payload).clone(),
        };
        // A copy: the name is a slice of the buffer in which the request arrived.
        self.migration.record_migrated(Bytes::copy_from_slice(&migrated.payload.name));
        self.counters.transactions_moved.add();
        if let Some(reply) = request.end_wait(WaitEnd::Answered) {
            // If the client has just disconnected, the other process need not answer it either.
            let _ = reply.send(FinalAnswer::Migrated(Box::new(migrated)));
        }
    }

    /// Takes over a request that has migrated from another process.
    pub(super) fn take_over(
        &mut self,
        id: RequestId,
        migrated: MigratedRequest,
        reply: oneshot::Sender<FinalAnswer>,
    ) {
        let MigratedRequest { class, estimated_work_s, time_left, attempts, record, payload } = migrated;
        let deadline = Instant::now() + time_left;
        let was_sent = !attempts.is_empty();
        if class >= self.settings.classes.len() || self.requests.id_of(&payload.name).is_some() {
            // The send fails if the client has disconnected.
            let _ = reply.send(FinalAnswer::Failed);
            return;
        }
        if !was_sent && self.peers.executed().forbid(&payload.name, &self.settings.classes[class], deadline) {
            self.reject_repeated_id(class, &payload.name, reply);
            return;
        }
        let workers: Vec<WorkerId> =
            attempts.iter().map(|attempt| self.worker_id(&attempt.worker_name)).collect();
        self.counters.transactions_adopted.add();
        let RequestNeeds { tenant, slots, memory } = record.needs();
        let submitted = ClientRequest {
            class,
            tenant,
            deadline,
            slots,
            memory,
            estimated_work_s,
            affinity_key: None, // contained in the dispatcher's record
            payload,
            origin: None, // requests from other sites do not migrate
        };
        let mut request = TrackedRequest::new(submitted, reply, Gauge::count(&self.counters.active));
        // Only the other process knows whether the request ran. Assume that it did, so that it is not forwarded.
        request.may_have_run = true;
        request.accepted_at = None;
        for (attempt, &worker) in attempts.into_iter().zip(&workers) {
            self.resume_attempt(id, &mut request, worker, attempt);
        }
        self.requests.insert(id, request);
        self.timers.set(deadline, Timer::Deadline(id));
        let record = record.renumbered(id, self.clock.at(deadline), &workers);
        self.notify_dispatcher(Event::RequestTakenOver(Box::new(record)));
    }

    /// Adds an attempt of a migrated request. An open attempt has been accepted by its worker, so only a
    /// callback, the deadline or a cancellation can end it. No callback can follow an ended one
    /// ([`Attempt::can_migrate`]).
    fn resume_attempt(
        &self,
        id: RequestId,
        request: &mut TrackedRequest,
        worker: WorkerId,
        migrated: MigratedAttempt,
    ) {
        if !migrated.open {
            request.attempts.push(Attempt::settled(worker));
            return;
        }
        let started = request.start_attempt(worker, true);
        let attempt = started.number;
        let endpoint = self.workers.get(&worker).cloned().or_else(|| {
            let connector = Rc::clone(&self.connector);
            let address = migrated.address?;
            Some(Rc::new(WorkerEndpoint::new(migrated.worker_name, address, connector)))
        });
        // Without an address, a cancellation could not be sent, so no task is needed.
        let Some(endpoint) = endpoint else { return };
        let task = attempt_task(&self.counters, request, endpoint, started);
        self.spawn_attempt(id, attempt, task.run_accepted());
    }

    /// Sends a process that has joined the endpoint list, the names of the open requests and the recently sent work. A
    /// successor also receives the learned state, which refers to the workers of the list, and the end of all this.
    pub(super) fn peer_process_joined(&mut self, peer: PeerProcessId, role: ProcessRole) {
        self.send_known_list(peer);
        if role == ProcessRole::Successor {
            let learned = self.dispatcher.learned_state();
            let worker_names = learned.workers().map(|worker| (worker, self.worker_name(worker))).collect();
            let learned = Box::new(learned);
            self.peers.send(peer, HandoverFrame::LearnedState { learned, worker_names });
        }
        self.peers.send_executed_requests(peer);
        for name in self.requests.names() {
            self.peers.send(peer, HandoverFrame::RequestOpened(name.clone()));
        }
        self.recent_sends.expire(&self.settings);
        for frame in self.recent_sends.frames() {
            self.peers.send(peer, frame);
        }
        if role == ProcessRole::Successor {
            self.peers.send(peer, HandoverFrame::InitialStateSent);
        }
    }
}

fn can_migrate(request: &TrackedRequest) -> bool {
    request.is_waiting()
        && request.attempts.iter().all(Attempt::can_migrate)
        && !request.forwarding.depends_on_site_link()
}

#[cfg(test)]
mod tests;
