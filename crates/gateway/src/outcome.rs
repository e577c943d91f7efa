//! Outcomes and statuses of forwarded requests.
//!
//! [`Outcome`], [`RemoteStatus`] and [`ReturnReason`] are encoded on the link by variant index: do not
//! reorder, add or remove variants without a new version of the link protocol.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// How a forwarded request ended at the peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A worker returned this result.
    Served(Bytes),
    /// The peer rejected it, and no part of it ran.
    Unstarted,
    /// The peer rejected it after it may have run in part.
    Rejected,
    /// It failed at the peer and may have run.
    Failed,
}

/// The final answer to the client of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardedAnswer {
    /// The worker's result.
    Served(Bytes),
    /// The client can safely retry.
    Rejected,
    /// The request may have run, and a retry could run it twice.
    Failed,
}

/// The receiver's answer to a status query, which the sender sends after a link broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RemoteStatus {
    /// The request has not arrived and can no longer arrive: it never ran.
    NeverReceived,
    /// The request arrived; its outcome will follow.
    Received,
    /// The request arrived, but its outcome has been forgotten.
    OutcomeForgotten,
}

/// Why a receiver returns a forwarded request unstarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnReason {
    /// The receiving site is itself forwarding requests.
    Shedding,
    /// The request exceeds the granted capacity, or uses a grant of another incarnation.
    ExceedsGrant,
    /// The receiving site is draining, or its operator no longer lists the sender.
    NotAccepting,
    /// No time is left.
    TooLate,
    /// The scheduler of the receiving site rejected the request, or the request ID is in use there.
    Rejected,
}
