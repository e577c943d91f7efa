//! The engine's message queue and the pending answers of submitted requests.
//!
//! The queue is the engine's only input. Each network event becomes an [`EngineMessage`], sent by the module that
//! detects it: [`crate::server::frontend`] (clients and callbacks), [`crate::server::workers`] (ends of attempts and
//! probes), [`crate::server::discovery`], [`crate::server::peers`] (gossip and site links) or
//! [`crate::server::lifecycle`] (reloads and upgrades). [`crate::server::engine`] handles the messages.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};

use crate::scheduling::{LearnedState, RequestId, Settings, WorkerId};
use crate::server::attempt_end::AttemptEnd;
use crate::server::descriptor_budget::SuccessorState;
use crate::server::discovery::list_tracker::EndpointListNews;
use crate::server::load_report::RawLoadReport;
use crate::server::messages::{
    CallbackRelay, ClientRequest, FinalAnswer, MigratedRequest, PeerProcessId, ProcessRole, WorkerCallback,
};
use crate::server::peers::site_messages::SiteLinkEvent;

/// A message to the engine.
pub enum EngineMessage {
    /// A client or another site has submitted a request.
    RequestSubmitted {
        /// ID assigned to the request.
        id: RequestId,
        /// The request.
        request: Box<ClientRequest>,
        /// Receives the final answer.
        reply: oneshot::Sender<FinalAnswer>,
    },
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// A worker's callback has arrived.
    CallbackReceived {
        /// The callback.
        callback: WorkerCallback,
        /// Set if another process of an upgrade relayed the callback.
        relay: Option<CallbackRelay>,
    },
    /// A request has migrated to this process from its predecessor.
    RequestMigrated {
        /// ID assigned to the request.
        id: RequestId,
        /// The predecessor.
        from: PeerProcessId,
        /// The request.
        request: Box<MigratedRequest>,
        /// Receives the final answer.
        reply: oneshot::Sender<FinalAnswer>,
    },
    /// The successor has started to serve, or has exited.
    SuccessorChanged(SuccessorState),
    /// The link to another process of an upgrade is up.
    PeerProcessJoined {
        /// The process.
        peer: PeerProcessId,
        /// The process's role relative to this one.
        role: ProcessRole,
    },
    /// The learned state of the predecessor has arrived.
    LearnedState {
        /// The state, with the predecessor's worker IDs.
        learned: Box<LearnedState>,
        /// The names of the workers with these IDs.
        worker_names: Vec<(WorkerId, String)>,
    },
    /// Another process of an upgrade has sent an attempt to a worker.
    SentByOtherProcess {
        /// The worker.
        worker_name: String,
        /// Index into the settings' classes.
        class: usize,
        /// Estimated work in seconds.
        work_s: f64,
    },
    /// The task of an attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Index into the request's attempts.
        attempt: usize,
        /// How it ended.
        end: AttemptEnd,
        /// The load header of the worker's response.
        load_report: Option<String>,
    },
    /// A capacity probe has ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        end: AttemptEnd,
        /// The load report in the worker's response.
        load_report: RawLoadReport,
    },
    /// A gossip message from another scheduler has arrived.
    GossipReceived {
        /// Index of the sender among the other schedulers.
        from: usize,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Discovery or another process of an upgrade has sent a newer endpoint list.
    EndpointListChanged(Box<EndpointListNews>),
    /// An event from a site link, a request from another site or the operator's gateway settings.
    SiteLink(Box<SiteLinkEvent>),
    /// The settings have changed. The indices of classes, tenants, zones and worker kinds stay the same.
    SettingsChanged(Box<Settings>),
}

/// The sending end of the engine's queue.
///
/// The channel is unbounded, but its length is limited: each connection has at most one message queued at a time, and
/// the number of connections is bounded.
#[derive(Clone)]
pub struct EngineQueue {
    pub(super) sender: mpsc::UnboundedSender<EngineMessage>,
    /// ID of the next request.
    pub(super) next_request_id: Rc<Cell<u32>>,
}

impl EngineQueue {
    /// Sends a message.
    pub fn send(&self, message: EngineMessage) {
        // The send fails only after the engine has stopped. The process is then exiting, and nothing waits for answers.
        let _ = self.sender.send(message);
    }

    /// Submits a request.
    pub fn submit(&self, request: Box<ClientRequest>) -> PendingAnswer {
        self.send_request(|id, reply| EngineMessage::RequestSubmitted { id, request, reply })
    }

    /// Submits a request that has migrated from another process.
    pub fn take_over(&self, from: PeerProcessId, request: Box<MigratedRequest>) -> PendingAnswer {
        self.send_request(|id, reply| EngineMessage::RequestMigrated { id, from, request, reply })
    }

    fn send_request(
        &self,
        message: impl FnOnce(RequestId, oneshot::Sender<FinalAnswer>) -> EngineMessage,
    ) -> PendingAnswer {
        let id = RequestId(self.next_request_id.get());
        self.next_request_id.set(id.0.wrapping_add(1));
        let (sender, reply) = oneshot::channel();
        self.send(message(id, sender));
        PendingAnswer { id, reply, queue: self.clone(), answered: false }
    }
}

/// The pending answer of a submitted request. If it is dropped before the answer arrives, for any reason, the client
/// counts as disconnected.
pub struct PendingAnswer {
    id: RequestId,
    reply: oneshot::Receiver<FinalAnswer>,
    queue: EngineQueue,
    answered: bool,
}

impl PendingAnswer {
    /// Waits for the answer. A request that the engine drops without an answer counts as failed.
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
