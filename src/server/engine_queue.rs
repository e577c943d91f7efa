//! The engine's queue: the messages that reach it, and the answer that a submitted request waits for.
//!
//! It is the only way to the engine. Everything that happens on the network becomes an [`EngineMessage`], sent by the
//! module that noticed it: [`crate::server::frontend`] (clients and callbacks), [`crate::server::workers`] (ends of
//! attempts and probes), [`crate::server::discovery`], [`crate::server::peers`] (gossip and site links) and
//! [`crate::server::lifecycle`] (reloads and upgrades). What each message does is [`crate::server::engine`].

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};

use crate::config::endpoint_list::EndpointListUpdate;
use crate::scheduling::{LearnedState, RequestId, Settings, WorkerId};
use crate::server::attempt_end::AttemptEnd;
use crate::server::load_report::Report;
use crate::server::messages::{
    CallbackRelay, ClientRequest, FinalAnswer, MigratedRequest, PeerProcessId, ProcessRole, WorkerCallback,
};
use crate::server::peers::site_messages::SiteLinkEvent;

/// What reaches the engine.
pub enum EngineMessage {
    /// A client, or another site, submits a request.
    RequestSubmitted {
        /// The number that it has from now on.
        id: RequestId,
        /// The request.
        request: Box<ClientRequest>,
        /// Where its final answer goes.
        reply: oneshot::Sender<FinalAnswer>,
    },
    /// The client of a request does not wait any more.
    ClientDisconnected(RequestId),
    /// A worker's callback has arrived.
    CallbackReceived {
        /// The callback.
        callback: WorkerCallback,
        /// How it came here, if it arrived at another process of an upgrade.
        relay: Option<CallbackRelay>,
    },
    /// A request has migrated here from the process that this one replaces.
    RequestMigrated {
        /// The number that it has from now on.
        id: RequestId,
        /// The request.
        request: Box<MigratedRequest>,
        /// Where its final answer goes.
        reply: oneshot::Sender<FinalAnswer>,
    },
    /// The process that replaces this one has begun to serve, or is gone.
    SuccessorChanged {
        /// It serves and reads this build's frames: requests migrate to it.
        accepts_requests: bool,
    },
    /// The link to another process of an upgrade is up.
    PeerProcessJoined {
        /// The process.
        peer: PeerProcessId,
        /// What it is to this one.
        role: ProcessRole,
    },
    /// What the process that this one replaces has learned of the workers.
    LearnedState {
        /// The state, with the worker numbers of that process.
        learned: Box<LearnedState>,
        /// The names of the workers with these numbers.
        worker_names: Vec<(WorkerId, String)>,
    },
    /// Another process of an upgrade has sent an attempt to a worker.
    SentByOtherProcess {
        /// The worker.
        worker_name: String,
        /// Index into the settings' classes.
        class: usize,
        /// Its expected work in seconds.
        work_s: f64,
    },
    /// The task of an attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: usize,
        /// How it ended.
        end: AttemptEnd,
        /// The load report in the header of the worker's answer.
        load_report: Option<String>,
    },
    /// A capacity probe has ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        end: AttemptEnd,
        /// The load report in its answer.
        load_report: Report,
    },
    /// A gossip message of another scheduler has arrived.
    GossipReceived {
        /// The index of that scheduler.
        from: usize,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Discovery has an update of the endpoint list.
    EndpointListChanged(EndpointListUpdate),
    /// A site link, a request of another site or the operator's gateway settings have changed.
    SiteLink(Box<SiteLinkEvent>),
    /// The settings have changed. Classes, tenants, zones and worker kinds keep their numbers.
    SettingsChanged(Box<Settings>),
}

/// The sending end of the engine's queue.
///
/// The channel itself is unbounded. What is in it is bounded, because each connection has at most one message in it
/// at a time and the number of connections is bounded.
#[derive(Clone)]
pub struct EngineQueue {
    pub(super) sender: mpsc::UnboundedSender<EngineMessage>,
    /// The number of the next request.
    pub(super) next: Rc<Cell<u32>>,
}

impl EngineQueue {
    /// Sends a message.
    pub fn send(&self, message: EngineMessage) {
        // Once the engine has stopped, the process is ending and nobody waits for an answer.
        let _ = self.sender.send(message);
    }

    /// Submits a request.
    pub fn submit(&self, request: Box<ClientRequest>) -> PendingAnswer {
        self.send_request(|id, reply| EngineMessage::RequestSubmitted { id, request, reply })
    }

    /// Submits a request that has migrated here from another process.
    pub fn take_over(&self, request: Box<MigratedRequest>) -> PendingAnswer {
        self.send_request(|id, reply| EngineMessage::RequestMigrated { id, request, reply })
    }

    fn send_request(
        &self,
        message: impl FnOnce(RequestId, oneshot::Sender<FinalAnswer>) -> EngineMessage,
    ) -> PendingAnswer {
        let id = RequestId(self.next.get());
        self.next.set(id.0.wrapping_add(1));
        let (sender, reply) = oneshot::channel();
        self.send(message(id, sender));
        PendingAnswer { id, reply, queue: self.clone(), answered: false }
    }
}

/// A request that waits for its answer. If it is dropped before that, its client counts as disconnected, for whatever
/// reason the task that held it came to its end.
pub struct PendingAnswer {
    id: RequestId,
    reply: oneshot::Receiver<FinalAnswer>,
    queue: EngineQueue,
    answered: bool,
}

impl PendingAnswer {
    /// Waits for the answer. A request that the engine drops without one counts as failed.
    pub async fn reply(&mut self) -> FinalAnswer {
        let reply = (&mut self.reply).await;
        self.answered = true;
        reply.unwrap_or(FinalAnswer::Failed)
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if !self.answered {
            self.queue.send(EngineMessage::ClientDisconnected(self.id));
        }
    }
}
