//! A client request as the caller hands it in, and how an attempt of it can end.

use serde::{Deserialize, Serialize};

use crate::scheduling::identifiers::RequestId;

/// A client request that this scheduler must now answer exactly once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Index into [`Settings::classes`](crate::scheduling::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenants`](crate::scheduling::Settings::tenants).
    pub tenant: usize,
    /// When the client stops waiting.
    pub deadline: f64,
    /// Slots it holds while it runs.
    pub slots: f64,
    /// Memory it holds while it runs; 0 where it is not tracked.
    pub memory: f64,
    /// Its expected work in seconds on a standard core, if the client gave a hint.
    pub estimated_work_s: Option<f64>,
    /// The data that it needs, if it names any: requests with the same key need the same.
    pub affinity_key: Option<u64>,
}

/// How an attempt or a capacity probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Succeeded,
    /// Answered with an error; it may have run.
    Failed,
    /// Rejected by the worker before it began; it never ran.
    RejectedByWorker,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection was reset; it may have run.
    ConnectionReset,
    /// A pooled connection was closed already when it was used again. The attempt may have run all the same, but this
    /// tells nothing of the worker's health.
    StaleConnection,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether it proves that the attempt never ran.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::RejectedByWorker | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}
