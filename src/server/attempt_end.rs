//! How a server-side flow can end, and what each end means to the decision module.

use serde::{Deserialize, Serialize};

use crate::scheduling::AttemptOutcome;

/// Each way in which a server-side flow ends; no other type says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// A `done` call-back came.
    Completed,
    /// A `failed` call-back came, or the member answered with an error before it took the job.
    Failed,
    /// A `returned` call-back came, or 503 or 504 marked as not run.
    RejectedByWorker,
    /// A `lost` call-back came: the member's agent saw the job die.
    LostByWorker,
    /// The connection was refused.
    ConnectRefused,
    /// The connection did not come up in time.
    ConnectTimedOut,
    /// No descriptor was left for a connection.
    NoDescriptor,
    /// The connection broke before the last byte was written.
    ResetWhileSending,
    /// The connection broke, or ended, between the last byte and the answer.
    ResetWhileWaiting,
    /// The same, before anything came, on a connection that had been kept: the member had most likely
    /// given it up before.
    StaleConnection,
    /// What came back is no HTTP.
    MalformedResponse,
    /// The transaction's deadline passed.
    DeadlinePassed,
    /// Given up before the last byte was written.
    CancelledUnsent,
    /// Given up after that.
    Cancelled,
    /// The member stopped taking work while the connection came up.
    WorkerInactive,
}

impl AttemptEnd {
    /// All ends, in the order of the counters.
    pub const ALL: [AttemptEnd; 15] = [
        AttemptEnd::Completed,
        AttemptEnd::Failed,
        AttemptEnd::RejectedByWorker,
        AttemptEnd::LostByWorker,
        AttemptEnd::ConnectRefused,
        AttemptEnd::ConnectTimedOut,
        AttemptEnd::NoDescriptor,
        AttemptEnd::ResetWhileSending,
        AttemptEnd::ResetWhileWaiting,
        AttemptEnd::StaleConnection,
        AttemptEnd::MalformedResponse,
        AttemptEnd::DeadlinePassed,
        AttemptEnd::CancelledUnsent,
        AttemptEnd::Cancelled,
        AttemptEnd::WorkerInactive,
    ];

    /// The one place where an end becomes an outcome. Only what certainly never left this machine whole
    /// may become an outcome that proves the job never ran.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            AttemptEnd::Completed => AttemptOutcome::Succeeded,
            AttemptEnd::Failed | AttemptEnd::MalformedResponse => AttemptOutcome::Failed,
            AttemptEnd::RejectedByWorker => AttemptOutcome::RejectedByWorker,
            AttemptEnd::LostByWorker | AttemptEnd::ResetWhileWaiting => AttemptOutcome::ConnectionReset,
            AttemptEnd::StaleConnection => AttemptOutcome::StaleConnection,
            AttemptEnd::ConnectRefused
            | AttemptEnd::ConnectTimedOut
            | AttemptEnd::NoDescriptor
            | AttemptEnd::ResetWhileSending => AttemptOutcome::ConnectFailed,
            AttemptEnd::DeadlinePassed => AttemptOutcome::TimedOut,
            AttemptEnd::Cancelled => AttemptOutcome::Cancelled,
            AttemptEnd::CancelledUnsent | AttemptEnd::WorkerInactive => AttemptOutcome::NotSent,
        }
    }

    /// Its name among the counters.
    pub fn name(self) -> &'static str {
        match self {
            AttemptEnd::Completed => "done",
            AttemptEnd::Failed => "failed",
            AttemptEnd::RejectedByWorker => "returned",
            AttemptEnd::LostByWorker => "lost",
            AttemptEnd::ConnectRefused => "connect_refused",
            AttemptEnd::ConnectTimedOut => "connect_timed_out",
            AttemptEnd::NoDescriptor => "no_descriptor",
            AttemptEnd::ResetWhileSending => "broke_sending",
            AttemptEnd::ResetWhileWaiting => "broke_waiting",
            AttemptEnd::StaleConnection => "stale",
            AttemptEnd::MalformedResponse => "garbled",
            AttemptEnd::DeadlinePassed => "deadline_passed",
            AttemptEnd::CancelledUnsent => "withdrawn_unsent",
            AttemptEnd::Cancelled => "withdrawn",
            AttemptEnd::WorkerInactive => "member_inactive",
        }
    }
}
