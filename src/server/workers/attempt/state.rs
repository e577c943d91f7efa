//! The lifetime of an attempt on the wire. It decides what a cancellation takes.

#[cfg(test)]
mod tests;

/// How far an attempt has come.
///
/// | state | connected | request written | 202 received | cancel commanded | response or error |
/// | --- | --- | --- | --- | --- | --- |
/// | `Connecting` | `Sending` | - | - | `Ended`: never sent | `Ended` |
/// | `Sending` | - | `Waiting` | - | `Ended`: never sent as a whole | `Ended` |
/// | `Waiting` | - | - | `Accepted` | `CancellingUnanswered` | `Ended` |
/// | `Accepted` | - | - | - | `CancellingAccepted` | `Ended` |
/// | `CancellingUnanswered`, `CancellingAccepted` | - | - | - | - | `Ended` |
/// | `Ended` | - | - | - | - | - |
///
/// A dash: the event does not occur in this state, and changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Waits for a connection.
    Connecting,
    /// The last byte of the request is not written: the worker cannot have started it.
    Sending,
    /// Waits for the response: the worker may have started the request.
    Waiting,
    /// The worker has accepted the request; callbacks report the result.
    Accepted,
    /// Cancelled before the response: the closed connection cancels the request, and a `DELETE` is tried once, since
    /// the worker may have accepted it at the same moment.
    CancellingUnanswered,
    /// Cancelled after the 202: a `DELETE` is repeated until one is written.
    CancellingAccepted,
    /// Nothing of it is left on the wire.
    Ended,
}

/// What changes the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEvent {
    /// There is a connection to a worker that is still active.
    Connected,
    /// The last byte of the request is written.
    RequestWritten,
    /// The response is 202.
    AcceptedByWorker,
    /// The engine cancels the attempt.
    CancelCommanded,
    /// Another response, a failure, or the end of a cancellation.
    Finished,
}

impl AttemptState {
    /// The state after `event`: the only place where it changes.
    #[must_use]
    pub(super) fn after(self, event: AttemptEvent) -> Self {
        match event {
            AttemptEvent::Connected => self.if_in(AttemptState::Connecting, AttemptState::Sending),
            AttemptEvent::RequestWritten => self.if_in(AttemptState::Sending, AttemptState::Waiting),
            AttemptEvent::AcceptedByWorker => self.if_in(AttemptState::Waiting, AttemptState::Accepted),
            AttemptEvent::Finished => AttemptState::Ended,
            AttemptEvent::CancelCommanded => match self {
                AttemptState::Connecting | AttemptState::Sending => AttemptState::Ended,
                AttemptState::Waiting => AttemptState::CancellingUnanswered,
                AttemptState::Accepted => AttemptState::CancellingAccepted,
                AttemptState::CancellingUnanswered => AttemptState::CancellingUnanswered,
                AttemptState::CancellingAccepted => AttemptState::CancellingAccepted,
                AttemptState::Ended => AttemptState::Ended,
            },
        }
    }

    fn if_in(self, expected: AttemptState, next: AttemptState) -> Self {
        if self == expected {
            next
        } else {
            self
        }
    }
}
