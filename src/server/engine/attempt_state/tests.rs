//! Tests of the attempt states and of the commands sent to the attempt's task.

use tokio::sync::oneshot::{self, error::TryRecvError};

use super::*;

fn running() -> (Attempt, oneshot::Receiver<AttemptCommand>) {
    let (command, commands) = oneshot::channel();
    (Attempt::running(WorkerId(1), command, Rc::default()), commands)
}

#[test]
fn each_transition_of_a_running_attempt_sends_one_command_to_its_task() {
    for (transition, command, open) in [
        (AttemptTransition::Cancel, AttemptCommand::Cancel, true),
        (AttemptTransition::End(LateCallbacks::None), AttemptCommand::Finish, false),
        (AttemptTransition::Detach, AttemptCommand::Detach, false),
    ] {
        let (mut attempt, mut commands) = running();
        attempt.advance(transition);
        assert_eq!(commands.try_recv(), Ok(command), "{transition:?}");
        assert_eq!((attempt.is_open(), attempt.is_running()), (open, false), "{transition:?}");
    }
}

#[test]
fn cancelled_attempt_stays_open_until_its_end() {
    let (mut attempt, mut commands) = running();
    attempt.advance(AttemptTransition::Cancel);
    attempt.advance(AttemptTransition::Cancel);
    assert!(attempt.is_open());
    attempt.advance(AttemptTransition::End(LateCallbacks::None));
    assert!(!attempt.is_open());
    assert_eq!(commands.try_recv(), Ok(AttemptCommand::Cancel));
    assert_eq!(commands.try_recv(), Err(TryRecvError::Closed), "the task receives a single command");
}

#[test]
fn ended_attempt_never_reopens() {
    for transition in
        [AttemptTransition::Cancel, AttemptTransition::End(LateCallbacks::None), AttemptTransition::Detach]
    {
        let mut attempt = Attempt::settled(WorkerId(1));
        attempt.advance(transition);
        assert!(!attempt.is_open(), "{transition:?}");
    }
}

#[test]
fn attempt_migrates_once_accepted_unless_it_is_being_cancelled() {
    let (mut attempt, _commands) = running();
    assert!(!attempt.can_migrate(), "the request is still being sent");
    attempt.accepted.set(true);
    assert!(attempt.can_migrate());
    attempt.advance(AttemptTransition::Cancel);
    assert!(!attempt.can_migrate(), "the attempt is being cancelled");
    attempt.advance(AttemptTransition::End(LateCallbacks::None));
    assert!(attempt.can_migrate());
}
