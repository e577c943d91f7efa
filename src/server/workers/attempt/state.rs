//! Progress of an attempt on the wire, which determines how the attempt is cancelled.

#[cfg(test)]
mod tests;

/// Progress of an attempt.
///
/// | state | connected | request written | 202 received | cancel requested | response or error |
/// | --- | --- | --- | --- | --- | --- |
/// | `Connecting` | `Sending` | - | - | `Ended`: nothing sent | `Ended` |
/// | `Sending` | - | `Waiting` | - | `Ended`: not sent completely | `Ended` |
/// | `Waiting` | - | - | `Accepted` | `CancellingUnanswered` | `Ended` |
/// | `Accepted` | - | - | - | `CancellingAccepted` | `Ended` |
/// | `CancellingUnanswered`, `CancellingAccepted` | - | - | - | - | `Ended` |
/// | `Ended` | - | - | - | - | - |
///
/// A dash means that the event does not occur in this state; if it does, it is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Waiting for a connection.
    Connecting,
    /// The last byte of the request has not been written, so the worker cannot have started the request.
    Sending,
    /// Waiting for the response; the worker may have started the request.
    Waiting,
    /// The worker has accepted the request and reports the result in a callback.
    Accepted,
    /// Cancelled before the response. Closing the connection cancels the request. A `DELETE` is tried once as well,
    /// because the worker may have accepted the request at the same moment.
    CancellingUnanswered,
    /// Cancelled after the 202 response. A `DELETE` is retried until it has been written.
    CancellingAccepted,
    /// Nothing is left on the wire.
    Ended,
}

/// An event that changes the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEvent {
    /// Connected to a worker that is still active.
    Connected,
    /// The last byte of the request has been written.
    RequestWritten,
    /// The worker answered 202.
    AcceptedByWorker,
    /// The engine cancels the attempt.
    CancelRequested,
    /// Any other response, an error, or the end of a cancellation.
    Finished,
}

impl AttemptState {
    /// Returns the state after `event`. All transitions are made here.
    #[must_use]
    pub(super) fn after(self, event: AttemptEvent) -> Self {
        match event {
            AttemptEvent::Connected => self.transition(AttemptState::Connecting, AttemptState::Sending),
            AttemptEvent::RequestWritten => self.transition(AttemptState::Sending, AttemptState::Waiting),
            AttemptEvent::AcceptedByWorker => self.transition(AttemptState::Waiting, AttemptState::Accepted),
            AttemptEvent::Finished => AttemptState::Ended,
            AttemptEvent::CancelRequested => match self {
                AttemptState::Connecting | AttemptState::Sending => AttemptState::Ended,
                AttemptState::Waiting => AttemptState::CancellingUnanswered,
                AttemptState::Accepted => AttemptState::CancellingAccepted,
                AttemptState::CancellingUnanswered => AttemptState::CancellingUnanswered,
                AttemptState::CancellingAccepted => AttemptState::CancellingAccepted,
                AttemptState::Ended => AttemptState::Ended,
            },
        }
    }

    /// Returns whether the last byte of the request has been written, so that the worker may have started it.
    pub(super) fn is_request_written(self) -> bool {
        match self {
            AttemptState::Connecting | AttemptState::Sending => false,
            AttemptState::Waiting
            | AttemptState::Accepted
            | AttemptState::CancellingUnanswered
            | AttemptState::CancellingAccepted
            | AttemptState::Ended => true,
        }
    }

    /// Returns `to` if this is the state `from`, otherwise the unchanged state.
    fn transition(self, from: AttemptState, to: AttemptState) -> Self {
        if self == from {
            to
        } else {
            self
        }
    }
}
