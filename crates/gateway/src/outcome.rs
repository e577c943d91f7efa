//! How forwarded requests end. [`Outcome`], [`RemoteStatus`] and [`ReturnReason`] travel on the link by the
//! position of their variants: never reorder, add or remove one without a new version of the link.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// How a request ended at the site that it was forwarded to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// With a worker's result.
    Served(Bytes),
    /// Rejected there, and nothing of it has run.
    Unstarted,
    /// Rejected there after something of it may have run.
    Rejected,
    /// Failed there; it may have run.
    Failed,
}

/// The final answer to a request of this site that was forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardedAnswer {
    /// The result that a worker gave.
    Served(Bytes),
    /// The client may try again without harm.
    Rejected,
    /// It may have run, and a repeat could run it twice.
    Failed,
}

/// What the receiver knows of a forwarded request that the sender asks about after a link has broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RemoteStatus {
    /// It has not arrived, and cannot arrive any more: it never ran.
    NeverReceived,
    /// It is here, and its outcome follows.
    Received,
    /// It was here, and its outcome is forgotten.
    OutcomeForgotten,
}

/// Why the receiver returns a forwarded request unstarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnReason {
    /// The receiving site forwards requests itself.
    Shedding,
    /// It exceeds the granted capacity, or uses a grant of another incarnation.
    ExceedsGrant,
    /// The receiving site drains, or the operator no longer lists the sender.
    NotAccepting,
    /// No time is left.
    TooLate,
    /// The scheduler there rejected it, or its request ID is in use there.
    Rejected,
}
