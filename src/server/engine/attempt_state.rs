//! One attempt as the engine knows it: is its task running, is it being cancelled, or has it ended?
//!
//! The stage of the exchange with the worker is the task's own business
//! ([`crate::server::workers::attempt`]); all that the engine sees of it is whether the worker has accepted the
//! request.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::oneshot;

use crate::scheduling::WorkerId;
use crate::server::messages::AttemptCommand;

/// What has become of an attempt, as far as the engine knows.
#[derive(Debug)]
pub(super) enum AttemptState {
    /// Its task runs.
    Running {
        /// Ends the task.
        command: oneshot::Sender<AttemptCommand>,
    },
    /// Its task was commanded to cancel, and its end is on its way.
    Cancelling,
    /// The dispatcher was notified of its end, or it was never sent.
    Ended,
}

/// Why the engine needs the task of an attempt no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptChange {
    /// The attempt is to be cancelled at the worker.
    Cancel,
    /// The attempt has ended: the task may finish its exchange.
    End,
    /// Another process sees to it from now on.
    Detach,
}

/// One attempt of a request at one worker.
pub(super) struct Attempt {
    pub(super) worker: WorkerId,
    state: AttemptState,
    /// Set by the task once the worker has accepted the request (202): only callbacks are awaited then.
    pub(super) accepted: Rc<Cell<bool>>,
}

impl Attempt {
    /// An attempt whose task obeys `command`.
    pub(super) fn running(
        worker: WorkerId,
        command: oneshot::Sender<AttemptCommand>,
        accepted: Rc<Cell<bool>>,
    ) -> Self {
        Attempt { worker, state: AttemptState::Running { command }, accepted }
    }

    /// An attempt that has ended, or was never sent.
    pub(super) fn ended(worker: WorkerId) -> Self {
        Attempt { worker, state: AttemptState::Ended, accepted: Rc::default() }
    }

    /// Whether its end is still to come.
    pub(super) fn is_open(&self) -> bool {
        match self.state {
            AttemptState::Running { .. } | AttemptState::Cancelling => true,
            AttemptState::Ended => false,
        }
    }

    /// Whether its task runs and was not commanded to cancel.
    pub(super) fn is_running(&self) -> bool {
        match self.state {
            AttemptState::Running { .. } => true,
            AttemptState::Cancelling | AttemptState::Ended => false,
        }
    }

    /// Whether another process can see to it: it is over, or the worker has accepted it and nobody cancels it.
    pub(super) fn can_migrate(&self) -> bool {
        match self.state {
            AttemptState::Running { .. } => self.accepted.get(),
            AttemptState::Cancelling => false,
            AttemptState::Ended => true,
        }
    }

    /// Changes the state, and commands the task accordingly. Nothing else changes it.
    pub(super) fn change(&mut self, change: AttemptChange) {
        let before = std::mem::replace(&mut self.state, AttemptState::Ended);
        let (after, command) = match (before, change) {
            (AttemptState::Running { command }, AttemptChange::Cancel) => {
                (AttemptState::Cancelling, Some((command, AttemptCommand::Cancel)))
            }
            (AttemptState::Running { command }, AttemptChange::End) => {
                (AttemptState::Ended, Some((command, AttemptCommand::Finish)))
            }
            (AttemptState::Running { command }, AttemptChange::Detach) => {
                (AttemptState::Ended, Some((command, AttemptCommand::Detach)))
            }
            (AttemptState::Cancelling, AttemptChange::End) => (AttemptState::Ended, None),
            (AttemptState::Cancelling, AttemptChange::Cancel | AttemptChange::Detach) => {
                (AttemptState::Cancelling, None)
            }
            (AttemptState::Ended, AttemptChange::Cancel | AttemptChange::End | AttemptChange::Detach) => {
                (AttemptState::Ended, None)
            }
        };
        self.state = after;
        if let Some((sender, command)) = command {
            // A task that has ended by itself receives nothing, and needs nothing.
            let _ = sender.send(command);
        }
    }
}

#[cfg(test)]
mod tests;
