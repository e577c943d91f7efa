//! The possible ends of an attempt and their outcomes for the dispatcher.
//!
//! `docs/endings.md` has a table of what can follow each end (a retry, a rejection or a failure); `tests/endings.rs`
//! tests every cell of it. The ends are also counters, in this order, and are sent between the processes of an
//! upgrade, so new variants must be added at the end.

use serde::{Deserialize, Serialize};

use crate::scheduling::AttemptOutcome;

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// `done` callback: the worker completed the request.
    Completed,
    /// `failed` callback, or an error response instead of an acceptance.
    Failed,
    /// `returned` callback, or 503 or 504 with `X-Not-Run: 1`: the worker did not run the request.
    RejectedByWorker,
    /// `lost` callback: the worker's agent reported that the request was lost.
    LostByWorker,
    /// The connection was refused.
    ConnectRefused,
    /// The connection was not established in time.
    ConnectTimedOut,
    /// No file descriptor was available in this process or on this machine.
    NoDescriptor,
    /// The connection was reset before the last byte of the request was written.
    ResetWhileSending,
    /// The connection was reset or closed after the last byte of the request and before the response.
    ResetWhileWaiting,
    /// A reused connection was reset or closed after the last byte of the request and before the first byte of a
    /// response. The worker had most likely closed it before the request was sent.
    StaleConnection,
    /// The response is not valid HTTP.
    MalformedResponse,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// Cancelled before the last byte of the request was written.
    CancelledUnsent,
    /// Cancelled after the last byte of the request was written.
    Cancelled,
    /// The worker started to drain or was removed from the endpoint list before the first byte was sent.
    WorkerInactive,
}

impl AttemptEnd {
    /// All ends, in the order of their counters.
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

    /// Returns the outcome for the dispatcher.
    ///
    /// An outcome that proves that the request never ran allows the dispatcher to run it again. It is returned only
    /// if the request certainly never left this machine complete, or if the worker reports that it did not run it.
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

    /// Returns the name used in metrics and logs. Operators rely on these names, so they do not change when a variant
    /// is renamed.
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
