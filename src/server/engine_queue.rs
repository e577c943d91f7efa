//! The one way to the engine: what reaches it, and the front's hold on a transaction that waits.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};

use crate::config::endpoint_list::PoolUpdate;
use crate::scheduling::interface::{LearnedState, RequestId, Settings, WorkerId};
use crate::server::attempt_end::ConnectionEnd;
use crate::server::load_report::Report;
use crate::server::messages::{CallBack, Moved, Passed, PeerId, Reply, Side, Transaction};
use crate::server::peers::site_messages::Heard;

/// What reaches the engine.
pub enum Message {
    /// A new transaction and where its answer goes.
    Transaction(RequestId, Box<Transaction>, oneshot::Sender<Reply>),
    /// The client of a transaction has left.
    Left(RequestId),
    /// A member's call-back, and how it came here if it came in at another process.
    CallBack(CallBack, Option<Passed>),
    /// A transaction that another process has moved here, and where its answer goes.
    Moved(RequestId, Box<Moved>, oneshot::Sender<Reply>),
    /// Whether another process has taken over, so that transactions are to be moved there.
    Succeeded(bool),
    /// A link to another process of an upgrade is up, which is to replace this one or is replaced by it.
    Joined(PeerId, Side),
    /// What the process that is replaced has learnt, with the names of the members in its numbers.
    LearnedState(Box<LearnedState>, Vec<(WorkerId, String)>),
    /// Another process has sent a job of this class to the member of this name, with so much work.
    SentElsewhere(String, usize, f64),
    /// A flow has ended.
    FlowEnded(RequestId, usize, ConnectionEnd, Option<String>),
    /// A member that was asked has answered, or not, with its load report.
    Probed(WorkerId, ConnectionEnd, Report),
    /// A note of the scheduler of this number.
    Note(usize, Vec<u8>),
    /// The pool has changed.
    Pool(PoolUpdate),
    /// Something at the gateway between sites.
    Gateway(Box<Heard>),
    /// The settings have changed; they keep the numbers of classes, tenants, zones and kinds.
    Settings(Box<Settings>),
}

/// The way to the engine. It has no bound of its own: each connection has at most one message in it at a
/// time, and the number of connections is bounded.
#[derive(Clone)]
pub struct Queue {
    pub(super) sender: mpsc::UnboundedSender<Message>,
    pub(super) next: Rc<Cell<u32>>,
}

impl Queue {
    /// Hands in a message. Once the engine has stopped, the process is ending and nothing is owed.
    pub fn send(&self, message: Message) {
        let _ = self.sender.send(message);
    }

    /// Hands in a transaction.
    pub fn submit(&self, transaction: Box<Transaction>) -> Pending {
        self.pending(|id, reply| Message::Transaction(id, transaction, reply))
    }

    /// Hands in a transaction that another process has moved here.
    pub fn take_over(&self, moved: Box<Moved>) -> Pending {
        self.pending(|id, reply| Message::Moved(id, moved, reply))
    }

    fn pending(&self, message: impl FnOnce(RequestId, oneshot::Sender<Reply>) -> Message) -> Pending {
        let id = RequestId(self.next.get());
        self.next.set(id.0.wrapping_add(1));
        let (sender, reply) = oneshot::channel();
        self.send(message(id, sender));
        Pending { id, reply, queue: self.clone(), answered: false }
    }
}

/// A transaction that waits for its answer. Dropped before that, its client counts as gone, however the
/// front's task came to its end.
pub struct Pending {
    id: RequestId,
    reply: oneshot::Receiver<Reply>,
    queue: Queue,
    answered: bool,
}

impl Pending {
    /// The answer.
    pub async fn reply(&mut self) -> Reply {
        let reply = (&mut self.reply).await;
        self.answered = true;
        reply.unwrap_or(Reply::Failed)
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.answered {
            self.queue.send(Message::Left(self.id));
        }
    }
}
