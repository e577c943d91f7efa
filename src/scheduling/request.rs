//! Client requests, and the possible outcomes of an attempt.

use serde::{Deserialize, Serialize};

use crate::scheduling::identifiers::RequestId;

/// A client request. The scheduler must answer it exactly once, unless its client disconnects first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Identifier assigned by the caller.
    pub id: RequestId,
    /// Index into [`Settings::classes`](crate::scheduling::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenants`](crate::scheduling::Settings::tenants).
    pub tenant: usize,
    /// Time at which the client stops waiting for an answer.
    pub deadline: f64,
    /// Slots that the request occupies while it runs.
    pub slots: f64,
    /// Memory that the request occupies while it runs; 0 if memory is not tracked.
    pub memory: f64,
    /// The client's estimate of the work in seconds on a standard core, if it gave one.
    pub estimated_work_s: Option<f64>,
    /// Identifies the data that the request needs, if any; requests with the same key need the same data.
    pub affinity_key: Option<u64>,
}

/// How an attempt or a capacity probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker served the request.
    Succeeded,
    /// The worker answered with an error; the attempt may have been executed.
    Failed,
    /// The worker rejected the attempt without executing it.
    RejectedByWorker,
    /// No answer arrived in time; the attempt may have been executed.
    TimedOut,
    /// No connection could be established, or it broke before the whole request was sent, so the attempt was not
    /// executed.
    ConnectFailed,
    /// The connection was reset, or the worker's agent reported the request as lost; the attempt may have been
    /// executed.
    ConnectionReset,
    /// The pooled connection was already closed when it was reused. The attempt may still have been executed, but this
    /// says nothing about the worker's health.
    StaleConnection,
    /// The attempt was cancelled; it may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the attempt was not executed.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::RejectedByWorker | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}
