//! The states of an attempt, and what its task is commanded.

use tokio::sync::oneshot::{self, error::TryRecvError};

use super::*;

fn running() -> (Attempt, oneshot::Receiver<AttemptCommand>) {
    let (command, commands) = oneshot::channel();
    (Attempt::running(WorkerId(1), command, Rc::default()), commands)
}

#[test]
fn each_change_of_a_running_attempt_commands_its_task() {
    for (change, command, open) in [
        (AttemptChange::Cancel, AttemptCommand::Cancel, true),
        (AttemptChange::End, AttemptCommand::Finish, false),
        (AttemptChange::Detach, AttemptCommand::Detach, false),
    ] {
        let (mut attempt, mut commands) = running();
        attempt.change(change);
        assert_eq!(commands.try_recv(), Ok(command), "{change:?}");
        assert_eq!((attempt.is_open(), attempt.is_running()), (open, false), "{change:?}");
    }
}

#[test]
fn cancelled_attempt_stays_open_until_its_end() {
    let (mut attempt, mut commands) = running();
    attempt.change(AttemptChange::Cancel);
    attempt.change(AttemptChange::Cancel);
    assert!(attempt.is_open());
    attempt.change(AttemptChange::End);
    assert!(!attempt.is_open());
    assert_eq!(commands.try_recv(), Ok(AttemptCommand::Cancel));
    assert_eq!(commands.try_recv(), Err(TryRecvError::Closed), "the task is commanded once");
}

#[test]
fn ended_attempt_never_opens_again() {
    for change in [AttemptChange::Cancel, AttemptChange::End, AttemptChange::Detach] {
        let mut attempt = Attempt::ended(WorkerId(1));
        attempt.change(change);
        assert!(!attempt.is_open(), "{change:?}");
    }
}

#[test]
fn attempt_migrates_once_accepted_unless_it_is_being_cancelled() {
    let (mut attempt, _commands) = running();
    assert!(!attempt.can_migrate(), "it is being sent");
    attempt.accepted.set(true);
    assert!(attempt.can_migrate());
    attempt.change(AttemptChange::Cancel);
    assert!(!attempt.can_migrate(), "it is being cancelled");
    attempt.change(AttemptChange::End);
    assert!(attempt.can_migrate());
}
