//! The engine's view of an attempt: running, being cancelled, or ended.
//!
//! The attempt's task ([`crate::server::workers::attempt`]) tracks the progress of the exchange with the
//! worker. The engine only sees whether the worker has accepted the request.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::oneshot;

use super::late_callbacks::LateCallbacks;
use crate::scheduling::WorkerId;
use crate::server::attempt_end::AttemptEnd;
use crate::server::messages::AttemptCommand;

/// The state of an attempt.
#[derive(Debug)]
pub(super) enum AttemptState {
    /// Its task is running.
    Running {
        /// Tells the task how to end.
        command: oneshot::Sender<AttemptCommand>,
    },
    /// Its task was told to cancel the attempt and has not yet reported the end.
    Cancelling,
    /// It has ended, was never sent, or has been taken over by another process.
    Ended {
        /// What its worker may still report about it.
        late_callbacks: LateCallbacks,
    },
}

/// A transition of the state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptTransition {
    /// Cancel the attempt at the worker.
    Cancel,
    /// The attempt has ended; its task may finish the exchange. The worker may still send these callbacks.
    End(LateCallbacks),
    /// Another process takes over the attempt.
    Detach,
}

/// One attempt of a request at one worker.
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    state: AttemptState,
    /// Set by the task once the worker has accepted the request (202). After that only callbacks are expected.
    pub(super) accepted: Rc<Cell<bool>>,
}

impl Attempt {
    /// Creates an attempt whose task is controlled through `command`.
    pub(super) fn running(
        worker: WorkerId,
        command: oneshot::Sender<AttemptCommand>,
        accepted: Rc<Cell<bool>>,
    ) -> Self {
        Attempt { worker, state: AttemptState::Running { command }, accepted }
    }

    /// Creates an attempt that was never sent, or has ended in a way that lets no callback follow.
    pub(super) fn settled(worker: WorkerId) -> Self {
        let state = AttemptState::Ended { late_callbacks: LateCallbacks::None };
        Attempt { worker, state, accepted: Rc::default() }
    }

    /// Returns whether the attempt is running or being cancelled.
    pub(super) fn is_open(&self) -> bool {
        match self.state {
            AttemptState::Running { .. } | AttemptState::Cancelling => true,
            AttemptState::Ended { .. } => false,
        }
    }

    /// Returns whether the attempt is running and not being cancelled.
    pub(super) fn is_running(&self) -> bool {
        match self.state {
            AttemptState::Running { .. } => true,
            AttemptState::Cancelling | AttemptState::Ended { .. } => false,
        }
    }

    /// Returns whether the attempt has ended and its worker may still send a callback that reports this end of it.
    pub(super) fn may_still_report(&self, end: AttemptEnd) -> bool {
        match self.state {
            AttemptState::Running { .. } | AttemptState::Cancelling => false,
            AttemptState::Ended { late_callbacks } => late_callbacks.may_include(end),
        }
    }

    /// Returns whether another process can take over the attempt: the worker has accepted it and it is not being
    /// cancelled, or it has ended and no callback about it can follow. What may follow is not handed over, and
    /// without it the other process could take a late callback for one about a later attempt.
    pub(super) fn can_migrate(&self) -> bool {
        match self.state {
            AttemptState::Running { .. } => self.accepted.get(),
            AttemptState::Cancelling => false,
            AttemptState::Ended { late_callbacks } => late_callbacks == LateCallbacks::None,
        }
    }

    /// Applies a transition and sends the task the matching command. Nothing else modifies the state.
    pub(super) fn advance(&mut self, transition: AttemptTransition) {
        let placeholder = AttemptState::Ended { late_callbacks: LateCallbacks::Any };
        let before = std::mem::replace(&mut self.state, placeholder);
        let (after, command) = match (before, transition) {
            (AttemptState::Running { command }, AttemptTransition::Cancel) => {
                (AttemptState::Cancelling, Some((command, AttemptCommand::Cancel)))
            }
            (AttemptState::Running { command }, AttemptTransition::End(late_callbacks)) => {
                (AttemptState::Ended { late_callbacks }, Some((command, AttemptCommand::Finish)))
            }
            (AttemptState::Running { command }, AttemptTransition::Detach) => {
                let ended = AttemptState::Ended { late_callbacks: LateCallbacks::Any };
                (ended, Some((command, AttemptCommand::Detach)))
            }
            (AttemptState::Cancelling, AttemptTransition::End(late_callbacks)) => {
                (AttemptState::Ended { late_callbacks }, None)
            }
            (AttemptState::Cancelling, AttemptTransition::Cancel | AttemptTransition::Detach) => {
                (AttemptState::Cancelling, None)
            }
            (
                ended @ AttemptState::Ended { .. },
                AttemptTransition::Cancel | AttemptTransition::End(_) | AttemptTransition::Detach,
            ) => (ended, None),
        };
        self.state = after;
        if let Some((sender, command)) = command {
            // The send fails if the task has already ended; there is nothing left to command.
            let _ = sender.send(command);
        }
    }
}

#[cfg(test)]
mod tests;
