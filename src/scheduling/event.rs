//! Events that the caller passes to the dispatcher: new requests, endpoint lists, attempt progress and outcomes.
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
    /// Index of the attempt, counted from 0 in the order of [`Action::Dispatch`](crate::scheduling::Action::Dispatch).
    pub attempt: usize,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the client already has its final answer.
    pub client_answered: bool,
    /// The worker's load, as far as it was reported.
    pub load: LoadReport,
}

/// An input to the dispatcher. Events for finished requests or attempts are ignored.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A complete or partial endpoint list was received.
    WorkersListed {
        /// Whether the list is a complete snapshot: workers missing from it have left.
        complete_snapshot: bool,
        /// Whether the list is the cached copy read at startup rather than a response from discovery.
        from_cache: bool,
        /// The listed workers.
        entries: Vec<WorkerInfo>,
    },
    /// A discovery call failed, or the watch ended.
    DiscoveryFailed,
    /// A client request arrived.
    RequestReceived(Request),
    /// An attempt started to run at its worker.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: usize,
    },
    /// A worker reported progress of an attempt.
    AttemptProgressed {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: usize,
        /// Completed fraction, from 0 to 1.
        fraction: f64,
    },
    /// A streamed response started. The attempt now belongs to the client: no other answer can be given.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The worker reported the end of this attempt or of an earlier one of the same request, and it is not known which.
    /// The attempt is in flight until its end is certain.
    AttemptEndUncertain {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: usize,
    },
    /// The client disconnected.
    ClientDisconnected(RequestId),
    /// A timer set by [`Action::SetTimer`](crate::scheduling::Action::SetTimer) expired; carries its tag.
    TimerExpired(u64),
    /// Learned state was received from the predecessor process of this scheduler.
    StateLearned(Box<LearnedState>),
    /// A request accepted by another process of this scheduler was handed over, with its attempts.
    RequestTakenOver(Box<RequestRecord>),
    /// The predecessor or successor process of this scheduler sent a request to a worker.
    SentByOtherProcess {
        /// The worker.
        worker: WorkerId,
        /// Class index of the request.
        class: usize,
        /// Estimated work in seconds on a standard core.
        work: f64,
    },
    /// A gossip message was received, still encoded.
    GossipReceived {
        /// [`Settings::scheduler_index`](crate::scheduling::Settings::scheduler_index) of the sender.
        from: usize,
        /// The encoded message, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// A capacity probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// The worker's load, as far as it was reported.
        load: LoadReport,
    },
}
