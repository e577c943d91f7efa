//! Actions that the dispatcher asks its caller to carry out.

use crate::scheduling::identifiers::{RequestId, WorkerId};

/// An action for the caller. Actions must be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a worker; it times out at the request's deadline.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
    },
    /// Final answer: the request was rejected, and the client can safely retry it.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries.
        retry_after_s: f64,
    },
    /// Final answer: the request failed and may have been executed.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Index of the attempt, counted from 0.
        attempt: usize,
    },
    /// Schedule an [`Event::TimerExpired`](crate::scheduling::Event::TimerExpired) with this tag.
    SetTimer {
        /// Delay until the timer expires.
        after_s: f64,
        /// Returned unchanged in the event; see [`Timer`](crate::scheduling::Timer).
        tag: u64,
    },
    /// Send a capacity probe to a worker.
    Probe(WorkerId),
    /// Send a gossip message of at most 256 bytes to all other schedulers; delivery is best effort.
    BroadcastGossip(Vec<u8>),
    /// Start watching the endpoint list. Only the simulator acts on this; see `endpoint_update.rs`.
    WatchEndpointList,
}

/// Capacity of the workers in service, used to decide whether to forward requests to another site.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacitySummary {
    /// Total slots of the workers in service.
    pub slots: f64,
    /// Estimated number of free slots.
    pub free: f64,
    /// Number of queued requests.
    pub waiting: usize,
    /// Estimated time to clear the queue with these slots, in seconds.
    pub backlog_s: f64,
}
