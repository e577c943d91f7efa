//! The one way to the engine: what reaches it, and the front's hold on a transaction that waits.

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
    /// A new transaction and where its answer goes.
    RequestSubmitted(RequestId, Box<ClientRequest>, oneshot::Sender<FinalAnswer>),
    /// The client of a transaction has left.
    ClientDisconnected(RequestId),
    /// A member's call-back, and how it came here if it came in at another process.
    Callback(WorkerCallback, Option<CallbackRelay>),
    /// A transaction that another process has moved here, and where its answer goes.
    RequestMigrated(RequestId, Box<MigratedRequest>, oneshot::Sender<FinalAnswer>),
    /// Whether another process has taken over, so that transactions are to be moved there.
    SuccessorChanged(bool),
    /// A link to another process of an upgrade is up, which is to replace this one or is replaced by it.
    PeerProcessJoined(PeerProcessId, ProcessRole),
    /// What the process that is replaced has learnt, with the names of the members in its numbers.
    LearnedState(Box<LearnedState>, Vec<(WorkerId, String)>),
    /// Another process has sent a job of this class to the member of this name, with so much work.
    SentByOtherProcess(String, usize, f64),
    /// A flow has ended.
    AttemptEnded(RequestId, usize, AttemptEnd, Option<String>),
    /// A member that was asked has answered, or not, with its load report.
    ProbeEnded(WorkerId, AttemptEnd, Report),
    /// A note of the scheduler of this number.
    GossipReceived(usize, Vec<u8>),
    /// The pool has changed.
    EndpointListChanged(EndpointListUpdate),
    /// Something at the gateway between sites.
    SiteLink(Box<SiteLinkEvent>),
    /// The settings have changed; they keep the numbers of classes, tenants, zones and kinds.
    SettingsChanged(Box<Settings>),
}

/// The way to the engine. It has no bound of its own: each connection has at most one message in it at a
/// time, and the number of connections is bounded.
#[derive(Clone)]
pub struct EngineQueue {
    pub(super) sender: mpsc::UnboundedSender<EngineMessage>,
    pub(super) next: Rc<Cell<u32>>,
}

impl EngineQueue {
    /// Hands in a message. Once the engine has stopped, the process is ending and nothing is owed.
    pub fn send(&self, message: EngineMessage) {
        let _ = self.sender.send(message);
    }

    /// Hands in a transaction.
    pub fn submit(&self, transaction: Box<ClientRequest>) -> PendingAnswer {
        self.pending(|id, reply| EngineMessage::RequestSubmitted(id, transaction, reply))
    }

    /// Hands in a transaction that another process has moved here.
    pub fn take_over(&self, moved: Box<MigratedRequest>) -> PendingAnswer {
        self.pending(|id, reply| EngineMessage::RequestMigrated(id, moved, reply))
    }

    fn pending(
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

/// A transaction that waits for its answer. Dropped before that, its client counts as gone, however the
/// front's task came to its end.
pub struct PendingAnswer {
    id: RequestId,
    reply: oneshot::Receiver<FinalAnswer>,
    queue: EngineQueue,
    answered: bool,
}

impl PendingAnswer {
    /// The answer.
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
