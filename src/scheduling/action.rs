//! What the decisions ask the caller to do.

use crate::scheduling::identifiers::{RequestId, WorkerId};

/// What the caller is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a worker, until the client stops waiting.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
    },
    /// Final answer: rejected, a retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after_s: f64,
    },
    /// Final answer: failed, it may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
    },
    /// Send [`Event::TimerExpired`](crate::scheduling::Event::TimerExpired) with this tag later.
    SetTimer {
        /// In how long.
        after_s: f64,
        /// Given back unchanged; see [`Timer`](crate::scheduling::Timer).
        tag: u64,
    },
    /// Send a capacity probe to a worker.
    Probe(WorkerId),
    /// Send all other schedulers a gossip message of at most 256 bytes; it may get lost.
    BroadcastGossip(Vec<u8>),
    /// Watch the endpoint list from now on. Only the simulator heeds it; see `endpoint_update.rs`.
    WatchEndpointList,
}

/// The capacity of the workers that are in service, for whoever may forward requests to another site.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacitySummary {
    /// Slots of the workers that are in service.
    pub slots: f64,
    /// Of these, the ones estimated free.
    pub free: f64,
    /// Queued requests.
    pub waiting: usize,
    /// Seconds that the slots need to work through the queue.
    pub backlog_s: f64,
}
