//! The engine's message queue and the pending answers of submitted requests.
//!
//! The queue is the engine's only input. Each network event becomes an [`EngineMessage`], sent by the module that
//! detects it: [`crate::server::frontend`] (clients and callbacks), [`crate::server::workers`] (ends of attempts and
//! probes), [`crate::server::discovery`], [`crate::server::peers`] (gossip and site links) or
//! [`crate::server::lifecycle`] (reloads and upgrades). [`crate::server::engine`] handles the messages.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};

use crate::scheduling::{LearnedState, RequestId, Settings, WorkerId};
use crate::server::attempt_end::AttemptEnd;
use crate::server::descriptor_budget::SuccessorState;
use crate::server::discovery::list_tracker::EndpointListNews;
use crate::server::load_report::RawLoadReport;
use crate::server::memory_budget::HeldMemory;
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
    /// Tells the sender that the engine has taken all messages before this one.
    Marker(oneshot::Sender<()>),
    /// The settings have changed. The indices of classes, tenants, zones and worker kinds stay the same.
    SettingsChanged(Box<Settings>),
}

/// Maximum number of messages from other programs that wait in the queue.
const MAX_WAITING_MESSAGES: usize = 256;

/// A place in the queue, free again once the engine has taken its message.
pub struct QueueSlot {
    _permit: OwnedSemaphorePermit,
    _held: HeldMemory,
}

impl QueueSlot {
    /// Keeps the memory of the message charged while it waits in the queue.
    #[must_use]
    pub fn holding(self, held: HeldMemory) -> Self {
        QueueSlot { _held: held, ..self }
    }
}

/// A message in the queue.
pub struct QueuedMessage {
    /// The message.
    pub(super) message: EngineMessage,
    /// The place that it occupies; `None` for messages whose number other programs cannot increase.
    _slot: Option<QueueSlot>,
}

/// The sending end of the engine's queue.
///
/// The channel is unbounded, but its length is limited: a message that another program can send at will needs a
/// [`QueueSlot`]. A request needs one and is followed by at most one [`EngineMessage::ClientDisconnected`]; the other
/// messages are bounded by the attempts, workers and processes that they are about.
#[derive(Clone)]
pub struct EngineQueue {
    sender: mpsc::UnboundedSender<QueuedMessage>,
    slots: Arc<Semaphore>,
    /// ID of the next request.
    next_request_id: Rc<Cell<u32>>,
}

impl EngineQueue {
    /// Creates a queue and its receiving end.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<QueuedMessage>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let slots = Arc::new(Semaphore::new(MAX_WAITING_MESSAGES));
        (EngineQueue { sender, slots, next_request_id: Rc::default() }, receiver)
    }

    /// Sends a message whose number other programs cannot increase.
    pub fn send(&self, message: EngineMessage) {
        self.enqueue(message, None);
    }

    /// Waits for a place in the queue. Places are given in the order of the calls, so that no connection can keep the
    /// others waiting for long.
    pub async fn slot(&self) -> QueueSlot {
        match Arc::clone(&self.slots).acquire_owned().await {
            Ok(permit) => QueueSlot { _permit: permit, _held: HeldMemory::default() },
            // The semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    /// Sends a message that needs a place.
    pub fn send_in(&self, slot: QueueSlot, message: EngineMessage) {
        self.enqueue(message, Some(slot));
    }

    /// Waits until the engine has taken all messages that are in the queue now.
    pub async fn wait_until_taken(&self) {
        let (taken, wait) = oneshot::channel();
        self.send(EngineMessage::Marker(taken));
        // Fails only after the engine has stopped.
        let _ = wait.await;
    }

    fn enqueue(&self, message: EngineMessage, slot: Option<QueueSlot>) {
        // The send fails only after the engine has stopped. The process is then exiting, and nothing waits for answers.
        let _ = self.sender.send(QueuedMessage { message, _slot: slot });
    }

    /// Submits a request of a client.
    pub async fn submit(&self, request: Box<ClientRequest>) -> PendingAnswer {
        let slot = self.slot().await;
        let message = |id, reply| EngineMessage::RequestSubmitted { id, request, reply };
        self.send_request(Some(slot), message)
    }

    /// Submits a request of another site. The engine itself has admitted it, so it needs no place.
    pub fn submit_inbound(&self, request: Box<ClientRequest>) -> PendingAnswer {
        self.send_request(None, |id, reply| EngineMessage::RequestSubmitted { id, request, reply })
    }

    /// Submits a request that has migrated from another process.
    pub fn take_over(&self, from: PeerProcessId, request: Box<MigratedRequest>) -> PendingAnswer {
        self.send_request(None, |id, reply| EngineMessage::RequestMigrated { id, from, request, reply })
    }

    fn send_request(
        &self,
        slot: Option<QueueSlot>,
        message: impl FnOnce(RequestId, oneshot::Sender<FinalAnswer>) -> EngineMessage,
    ) -> PendingAnswer {
        let id = RequestId(self.next_request_id.get());
        self.next_request_id.set(id.0.wrapping_add(1));
        let (sender, reply) = oneshot::channel();
        self.enqueue(message(id, sender), slot);
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
