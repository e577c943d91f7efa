//! How a server-side flow can end, and what each end means to the decision module.

use serde::{Deserialize, Serialize};

use crate::scheduling::interface::AttemptOutcome;

/// Each way in which a server-side flow ends; no other type says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionEnd {
    /// A `done` call-back came.
    Done,
    /// A `failed` call-back came, or the member answered with an error before it took the job.
    Failed,
    /// A `returned` call-back came, or 503 or 504 marked as not run.
    Returned,
    /// A `lost` call-back came: the member's agent saw the job die.
    Lost,
    /// The connection was refused.
    ConnectRefused,
    /// The connection did not come up in time.
    ConnectTimedOut,
    /// No descriptor was left for a connection.
    NoDescriptor,
    /// The connection broke before the last byte was written.
    BrokeSending,
    /// The connection broke, or ended, between the last byte and the answer.
    BrokeWaiting,
    /// The same, before anything came, on a connection that had been kept: the member had most likely
    /// given it up before.
    Stale,
    /// What came back is no HTTP.
    Garbled,
    /// The transaction's deadline passed.
    DeadlinePassed,
    /// Given up before the last byte was written.
    WithdrawnUnsent,
    /// Given up after that.
    Withdrawn,
    /// The member stopped taking work while the connection came up.
    MemberInactive,
}

impl ConnectionEnd {
    /// All ends, in the order of the counters.
    pub const ALL: [ConnectionEnd; 15] = [
        ConnectionEnd::Done,
        ConnectionEnd::Failed,
        ConnectionEnd::Returned,
        ConnectionEnd::Lost,
        ConnectionEnd::ConnectRefused,
        ConnectionEnd::ConnectTimedOut,
        ConnectionEnd::NoDescriptor,
        ConnectionEnd::BrokeSending,
        ConnectionEnd::BrokeWaiting,
        ConnectionEnd::Stale,
        ConnectionEnd::Garbled,
        ConnectionEnd::DeadlinePassed,
        ConnectionEnd::WithdrawnUnsent,
        ConnectionEnd::Withdrawn,
        ConnectionEnd::MemberInactive,
    ];

    /// The one place where an end becomes an outcome. Only what certainly never left this machine whole
    /// may become an outcome that proves the job never ran.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            ConnectionEnd::Done => AttemptOutcome::Succeeded,
            ConnectionEnd::Failed | ConnectionEnd::Garbled => AttemptOutcome::Failed,
            ConnectionEnd::Returned => AttemptOutcome::RejectedByWorker,
            ConnectionEnd::Lost | ConnectionEnd::BrokeWaiting => AttemptOutcome::ConnectionReset,
            ConnectionEnd::Stale => AttemptOutcome::StaleConnection,
            ConnectionEnd::ConnectRefused
            | ConnectionEnd::ConnectTimedOut
            | ConnectionEnd::NoDescriptor
            | ConnectionEnd::BrokeSending => AttemptOutcome::ConnectFailed,
            ConnectionEnd::DeadlinePassed => AttemptOutcome::TimedOut,
            ConnectionEnd::Withdrawn => AttemptOutcome::Cancelled,
            ConnectionEnd::WithdrawnUnsent | ConnectionEnd::MemberInactive => AttemptOutcome::NotSent,
        }
    }

    /// Its name among the counters.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::Done => "done",
            ConnectionEnd::Failed => "failed",
            ConnectionEnd::Returned => "returned",
            ConnectionEnd::Lost => "lost",
            ConnectionEnd::ConnectRefused => "connect_refused",
            ConnectionEnd::ConnectTimedOut => "connect_timed_out",
            ConnectionEnd::NoDescriptor => "no_descriptor",
            ConnectionEnd::BrokeSending => "broke_sending",
            ConnectionEnd::BrokeWaiting => "broke_waiting",
            ConnectionEnd::Stale => "stale",
            ConnectionEnd::Garbled => "garbled",
            ConnectionEnd::DeadlinePassed => "deadline_passed",
            ConnectionEnd::WithdrawnUnsent => "withdrawn_unsent",
            ConnectionEnd::Withdrawn => "withdrawn",
            ConnectionEnd::MemberInactive => "member_inactive",
        }
    }
}
