//! Migration of requests to the process that replaces this one in an upgrade, and from the one that it
//! replaces.
//!
//! The words: a process *hands over* in an upgrade as a whole, idle connections included; a request *migrates*; the
//! receiving side *takes over*.
//!
//! A request migrates with all that is known of it, because none may fail only because the process that
//! accepted it exits. It waits until no attempt of it is being sent or cancelled: that state is in a socket
//! and cannot be written down. Requests that are at another site, or came from one, stay: they end with the
//! process that holds the link.
//!
//! The frames are in [`crate::server::lifecycle::handover_frames`], the sockets of the clients in
//! [`crate::server::frontend`].

use std::collections::HashSet;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::attempt_state::{Attempt, AttemptChange};
use super::attempts::attempt_task;
use super::request_table::{TrackedRequest, WaitEnd};
use super::timers::Timer;
use super::Engine;
use crate::scheduling::{Event, RequestId, RequestNeeds, WorkerId};
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::messages::{
    ClientRequest, FinalAnswer, MigratedAttempt, MigratedRequest, PeerProcessId, ProcessRole,
};
use crate::server::metrics::Gauge;
use crate::server::workers::endpoint::WorkerEndpoint;

/// Whether requests migrate from this process.
#[derive(Debug, Default)]
pub(super) enum MigrationState {
    /// There is no process to which they could.
    #[default]
    Off,
    /// Another process has replaced this one.
    Migrating {
        /// The names of the requests that have migrated to it.
        migrated: HashSet<Bytes>,
    },
}

impl MigrationState {
    /// A successor accepts requests, or does so no more: then the requests that have migrated to it are gone with it.
    fn change(&mut self, accepts_requests: bool) {
        let before = std::mem::take(self);
        *self = match (before, accepts_requests) {
            (MigrationState::Off, true) => MigrationState::Migrating { migrated: HashSet::new() },
            (MigrationState::Migrating { migrated }, true) => MigrationState::Migrating { migrated },
            (MigrationState::Off | MigrationState::Migrating { .. }, false) => MigrationState::Off,
        };
    }

    /// Whether requests migrate.
    pub(super) fn is_migrating(&self) -> bool {
        match self {
            MigrationState::Off => false,
            MigrationState::Migrating { .. } => true,
        }
    }

    /// Whether the request of this name has migrated.
    pub(super) fn has_migrated(&self, name: &Bytes) -> bool {
        match self {
            MigrationState::Off => false,
            MigrationState::Migrating { migrated } => migrated.contains(name),
        }
    }

    fn record(&mut self, name: Bytes) {
        match self {
            MigrationState::Off => {}
            MigrationState::Migrating { migrated } => {
                migrated.insert(name);
            }
        }
    }
}

impl Engine {
    /// A successor accepts requests, or does so no more.
    pub(super) fn successor_changed(&mut self, accepts_requests: bool) {
        self.migration.change(accepts_requests);
        self.migrate_requests();
    }

    /// Migrates the requests that can: their client waits, and no attempt is being sent or cancelled now.
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
            attempt.change(AttemptChange::Detach);
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
        self.migration.record(migrated.payload.name.clone());
        self.counters.transactions_moved.add();
        if let Some(reply) = request.end_wait(WaitEnd::Answered) {
            // A client that has disconnected this instant needs no answer from the other process either.
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
        if class >= self.settings.classes.len() || self.requests.id_of(&payload.name).is_some() {
            // A client that has disconnected needs no answer.
            let _ = reply.send(FinalAnswer::Failed);
            return;
        }
        let deadline = Instant::now() + time_left;
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
            affinity_key: None, // the dispatcher's record has it
            payload,
            origin: None, // requests of other sites do not migrate
        };
        let mut request = TrackedRequest::new(submitted, reply, Gauge::count(&self.counters.active));
        // The other process knows whether it ran. Here it counts as run, so that it is not forwarded.
        request.may_have_run = true;
        for (attempt, &worker) in attempts.into_iter().zip(&workers) {
            self.resume_attempt(id, &mut request, worker, attempt);
        }
        self.requests.insert(id, request);
        self.timers.set(deadline, Timer::Deadline(id));
        let record = record.renumbered(id, self.clock.at(deadline), &workers);
        self.notify_dispatcher(Event::RequestTakenOver(Box::new(record)));
    }

    /// Adds an attempt of a migrated request. An open one was accepted by its worker: only callbacks, the
    /// deadline or a cancellation can end it.
    fn resume_attempt(
        &self,
        id: RequestId,
        request: &mut TrackedRequest,
        worker: WorkerId,
        migrated: MigratedAttempt,
    ) {
        if !migrated.open {
            request.attempts.push(Attempt::ended(worker));
            return;
        }
        let started = request.start_attempt(worker, true);
        let attempt = started.number;
        let endpoint = self.workers.get(&worker).cloned().or_else(|| {
            let connector = Rc::clone(&self.connector);
            let address = migrated.address?;
            Some(Rc::new(WorkerEndpoint::new(migrated.worker_name, address, connector)))
        });
        // Without an address there is nowhere to send a cancellation.
        let Some(endpoint) = endpoint else { return };
        let task = attempt_task(&self.counters, request, endpoint, started);
        self.spawn_attempt(id, attempt, task.run_accepted());
    }

    /// Notifies a process that has joined of what it must know: the open requests, and the work that workers
    /// were sent lately; a successor also of the learned state.
    pub(super) fn peer_process_joined(&mut self, peer: PeerProcessId, role: ProcessRole) {
        if role == ProcessRole::Successor {
            let learned = self.dispatcher.learned_state();
            let worker_names = learned.workers().map(|worker| (worker, self.worker_name(worker))).collect();
            let learned = Box::new(learned);
            self.peers.send(peer, HandoverFrame::LearnedState { learned, worker_names });
        }
        for name in self.requests.names() {
            self.peers.send(peer, HandoverFrame::RequestOpened(name.clone()));
        }
        self.recent_sends.expire(&self.settings);
        for frame in self.recent_sends.frames() {
            self.peers.send(peer, frame);
        }
    }
}

fn can_migrate(request: &TrackedRequest) -> bool {
    request.is_waiting()
        && request.attempts.iter().all(Attempt::can_migrate)
        && !request.forwarding.ends_with_this_process()
}

#[cfg(test)]
mod tests;
