//! What the caller tells the decisions: new requests, listed workers, and how attempts went.
//!
//! Times are seconds on the caller's clock, which must not run backwards.

use crate::scheduling::endpoint::{LoadReport, WorkerInfo};
use crate::scheduling::handover::{LearnedState, RequestRecord};
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::request::{AttemptOutcome, Request};

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// Its attempt, counted from 0 in the order of [`Action::Dispatch`](crate::scheduling::Action::Dispatch).
    pub attempt: usize,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The client has its final answer already.
    pub client_answered: bool,
    /// The worker's load, where reported.
    pub load: LoadReport,
}

/// What happened, in order. Events about a request or an attempt that is over are ignored.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or changes to it.
    WorkersListed {
        /// The entries are a complete snapshot: a worker that is absent has left.
        complete_snapshot: bool,
        /// It is the copy found at start, which answers no call to discovery.
        from_cache: bool,
        /// The entries.
        entries: Vec<WorkerInfo>,
    },
    /// A call to discovery failed, or the watch ended.
    DiscoveryFailed,
    /// A client request has arrived.
    RequestReceived(Request),
    /// An attempt has started to run at its worker.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
    },
    /// An attempt has made progress.
    AttemptProgressed {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
        /// The fraction that is done, from 0 to 1.
        fraction: f64,
    },
    /// A streamed response has begun; the client owns the attempt from here.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// The client has disconnected.
    ClientDisconnected(RequestId),
    /// A timer of [`Action::SetTimer`](crate::scheduling::Action::SetTimer) is due.
    TimerExpired(u64),
    /// What another process of this same scheduler, which this one replaces, has learned.
    StateLearned(Box<LearnedState>),
    /// A request that another process of this same scheduler had accepted, with its attempts so far.
    RequestTakenOver(Box<RequestRecord>),
    /// Another process of this same scheduler, which replaces this one or is replaced by it, has sent work to a worker.
    SentByOtherProcess {
        /// The worker.
        worker: WorkerId,
        /// The class of the request.
        class: usize,
        /// The estimated work in seconds.
        work: f64,
    },
    /// A gossip message of another scheduler, as it came.
    GossipReceived {
        /// Its number, as [`Settings::scheduler_index`](crate::scheduling::Settings::scheduler_index).
        from: usize,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// A capacity probe has ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The worker's load, where reported.
        load: LoadReport,
    },
}
