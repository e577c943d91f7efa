//! How an attempt can end, and what each end means to the dispatcher.
//!
//! This is the one list of ends. What may follow each of them (a retry, a rejection, a failure) is the table in
//! `docs/endings.md`, which `tests/endings.rs` plays cell by cell. The ends are also counters, in this order, and
//! travel between the processes of an upgrade: add new ones at the end.

use serde::{Deserialize, Serialize};

use crate::scheduling::AttemptOutcome;

/// Each way in which an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The worker's `done` callback: it has completed the request.
    Completed,
    /// The worker's `failed` callback, or an error in place of its acceptance.
    Failed,
    /// The worker's `returned` callback, or 503 or 504 with `X-Not-Run: 1`: it did not run the request.
    RejectedByWorker,
    /// The worker's `lost` callback: its agent saw the request die.
    LostByWorker,
    /// The connection was refused.
    ConnectRefused,
    /// The connection did not come up in time.
    ConnectTimedOut,
    /// This process, or the machine, had no descriptor left for a connection.
    NoDescriptor,
    /// The connection broke before the last byte of the request was written.
    ResetWhileSending,
    /// The connection broke or was closed between the last byte and the answer.
    ResetWhileWaiting,
    /// The same on a reused connection, before any byte of an answer: the worker had most likely closed it
    /// before the request.
    StaleConnection,
    /// The answer is not HTTP.
    MalformedResponse,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// Cancelled before the last byte was written.
    CancelledUnsent,
    /// Cancelled after that.
    Cancelled,
    /// The worker began to drain, or was removed from the endpoint list, before the first byte was sent.
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

    /// What an end means to the dispatcher.
    ///
    /// Only a request that certainly never left this machine whole, or that the worker says it did not run, may
    /// become an outcome that proves that it never ran: what follows may run it a second time.
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

    /// Its name in metrics and logs, which operators know: it stays, whatever the variant is called.
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
