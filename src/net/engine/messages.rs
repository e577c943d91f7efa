//! What reaches the engine, and what it answers. Nothing here knows a protocol.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::moving::Moved;
use crate::api::{Learnt, RequestId, Settings, WorkerId};
use crate::net::discovery::PoolUpdate;
use crate::net::end::ConnectionEnd;
use crate::net::flow::Payload;
use crate::net::peers::PeerId;

/// A job that a client wants done, as a front hands it over.
#[derive(Debug)]
pub struct Transaction {
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: usize,
    /// When its client stops waiting.
    pub deadline: Instant,
    /// Slots it needs.
    pub slots: f64,
    /// Memory it needs.
    pub memory: f64,
    /// Its expected work in seconds, if the client gave a hint.
    pub hint: Option<f64>,
    /// What goes to the member.
    pub payload: Payload,
}

/// The one final answer to a transaction.
#[derive(Debug)]
pub enum Reply {
    /// The result that a member gave.
    Served(Bytes),
    /// Rejected: trying again is harmless, best after this many seconds.
    Rejected {
        /// 0 for no advice.
        hold_off_s: f64,
    },
    /// Failed; it may have run.
    Failed,
    /// Not taken: its id is in use by a transaction that is still open.
    Duplicate,
    /// Its client waits on: the process that has taken over is to answer.
    Moved(Box<Moved>),
}

/// What a member tells of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum News {
    /// It has begun.
    Started,
    /// So much of it is done.
    Progress(f64),
    /// It is done, with this result.
    Done(Bytes),
    /// It has ended in another way.
    Ended(ConnectionEnd),
}

/// News of a job, with the names that the member knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallBack {
    /// The transaction's name.
    pub name: Bytes,
    /// The member's name.
    pub from: String,
    /// What it tells.
    pub news: News,
    /// Its load report, by name.
    pub load: Vec<(String, f64)>,
}

/// How a call-back came here from another process.
#[derive(Clone, Copy, Debug)]
pub struct Passed {
    /// The process that it came from.
    pub from: PeerId,
    /// How often it has been passed on.
    pub hops: u8,
}

/// What the engine tells a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The job has ended: finish the exchange, if it goes quickly.
    Settle,
    /// Give the job up.
    Withdraw,
    /// Leave the job alone: another process sees to it from now on.
    Release,
}

/// On which side of an upgrade another process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It is replaced by this one.
    Old,
    /// It replaces this one.
    New,
}

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
    Learnt(Box<Learnt>, Vec<(WorkerId, String)>),
    /// Another process has sent so much work to the member of this name.
    SentElsewhere(String, f64),
    /// A flow has ended.
    FlowEnded(RequestId, usize, ConnectionEnd, Option<String>),
    /// The pool has changed.
    Pool(PoolUpdate),
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
