//! The callbacks that a worker may still send about an attempt that has ended.
//!
//! A callback names the request and the worker, not the attempt, and the worker repeats it until it is answered. If the
//! request is sent to the same worker again, a callback about the earlier attempt can arrive while the later one is
//! open. It must not end the later attempt: that one may be running, and a retry would run the request twice.

use crate::server::attempt_end::AttemptEnd;

/// The callbacks with an end that a worker may still send about an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LateCallbacks {
    /// None: the worker did not receive the whole request, or its response ended the attempt.
    None,
    /// Only `returned`: the worker handed the request back unstarted, and repeats that callback.
    RejectedOnly,
    /// Any: the worker may have accepted the request, and what became of it there is unknown or was reported by a
    /// callback.
    Any,
}

impl LateCallbacks {
    /// The callbacks that may follow a callback with this end. The worker no longer holds a request that it handed back,
    /// so it can only repeat that. After any other end the machine's agent may report a loss beside the worker's own
    /// callback.
    pub(super) fn after_callback(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::RejectedByWorker => LateCallbacks::RejectedOnly,
            _ => LateCallbacks::Any,
        }
    }

    /// The callbacks that may follow an end that the exchange with the worker showed, without a callback.
    pub(super) fn after_exchange(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::Failed
            | AttemptEnd::RejectedByWorker
            | AttemptEnd::ConnectRefused
            | AttemptEnd::ConnectTimedOut
            | AttemptEnd::NoDescriptor
            | AttemptEnd::ResetWhileSending
            | AttemptEnd::CancelledUnsent
            | AttemptEnd::WorkerInactive => LateCallbacks::None,
            AttemptEnd::Completed
            | AttemptEnd::LostByWorker
            | AttemptEnd::ResetWhileWaiting
            | AttemptEnd::StaleConnection
            | AttemptEnd::MalformedResponse
            | AttemptEnd::DeadlinePassed
            | AttemptEnd::Cancelled => LateCallbacks::Any,
        }
    }

    /// Whether the worker may still send a callback with this end.
    pub(super) fn may_include(self, end: AttemptEnd) -> bool {
        match self {
            LateCallbacks::None => false,
            LateCallbacks::RejectedOnly => end == AttemptEnd::RejectedByWorker,
            LateCallbacks::Any => true,
        }
    }
}

#[cfg(test)]
mod tests;
