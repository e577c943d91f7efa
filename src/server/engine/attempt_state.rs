//! The engine's view of an attempt: running, being cancelled, or ended.
//!
//! The attempt's task ([`crate::server::workers::attempt`]) tracks the progress of the exchange with the
//! worker. The engine only sees whether the worker has accepted the request.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::oneshot;

use crate::scheduling::WorkerId;
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
    Ended,
}

/// A transition of the state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptTransition {
    /// Cancel the attempt at the worker.
    Cancel,
    /// The attempt has ended; its task may finish the exchange.
    End,
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

    /// Creates an attempt that has ended or was never sent.
    pub(super) fn ended(worker: WorkerId) -> Self {
        Attempt { worker, state: AttemptState::Ended, accepted: Rc::default() }
    }

    /// Returns whether the attempt is running or being cancelled.
    pub(super) fn is_open(&self) -> bool {
        match self.state {
            AttemptState::Running { .. } | AttemptState::Cancelling => true,
            AttemptState::Ended => false,
        }
    }

    /// Returns whether the attempt is running and not being cancelled.
    pub(super) fn is_running(&self) -> bool {
        match self.state {
            AttemptState::Running { .. } => true,
            AttemptState::Cancelling | AttemptState::Ended => false,
        }
    }

    /// Returns whether another process can take over the attempt: it has ended, or the worker has accepted it and
    /// it is not being cancelled.
    pub(super) fn can_migrate(&self) -> bool {
        match self.state {
            AttemptState::Running { .. } => self.accepted.get(),
            AttemptState::Cancelling => false,
            AttemptState::Ended => true,
        }
    }

    /// Applies a transition and sends the task the matching command. Nothing else modifies the state.
    pub(super) fn advance(&mut self, transition: AttemptTransition) {
        let before = std::mem::replace(&mut self.state, AttemptState::Ended);
        let (after, command) = match (before, transition) {
            (AttemptState::Running { command }, AttemptTransition::Cancel) => {
                (AttemptState::Cancelling, Some((command, AttemptCommand::Cancel)))
            }
            (AttemptState::Running { command }, AttemptTransition::End) => {
                (AttemptState::Ended, Some((command, AttemptCommand::Finish)))
            }
            (AttemptState::Running { command }, AttemptTransition::Detach) => {
                (AttemptState::Ended, Some((command, AttemptCommand::Detach)))
            }
            (AttemptState::Cancelling, AttemptTransition::End) => (AttemptState::Ended, None),
            (AttemptState::Cancelling, AttemptTransition::Cancel | AttemptTransition::Detach) => {
                (AttemptState::Cancelling, None)
            }
            (
                AttemptState::Ended,
                AttemptTransition::Cancel | AttemptTransition::End | AttemptTransition::Detach,
            ) => (AttemptState::Ended, None),
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
