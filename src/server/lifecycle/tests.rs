use super::LifecycleEvent::{
    Emptied, Occupied, PauseRequested, ResumeRequested, Started, SuccessorLost, SuccessorServing, Terminated,
};
use super::Phase::{Drained, Draining, Replaced, Serving, Starting, Stopping};
use super::{Lifecycle, LifecycleEvent, Phase, TransitionRejected};

const PHASES: [Phase; 6] = [Starting, Serving, Draining, Drained, Replaced, Stopping];

/// Asserts what follows an event in each of [`PHASES`]; `None` is a rejection.
#[track_caller]
fn assert_follows(event: LifecycleEvent, expected: [Option<Phase>; 6]) {
    for (phase, expected) in PHASES.into_iter().zip(expected) {
        let expected = expected.ok_or(TransitionRejected(phase));
        assert_eq!(phase.after(event), expected, "{event:?} while {phase:?}");
    }
}

#[test]
fn operators_commands_are_rejected_unless_the_process_serves_or_drains() {
    assert_follows(PauseRequested, [None, Some(Draining), Some(Draining), Some(Drained), None, None]);
    assert_follows(ResumeRequested, [None, Some(Serving), Some(Serving), Some(Serving), None, None]);
}

#[test]
fn serves_after_the_start_unless_terminated_before() {
    assert_follows(Started, [Serving, Serving, Draining, Drained, Replaced, Stopping].map(Some));
}

#[test]
fn only_a_draining_process_becomes_drained_and_back() {
    assert_follows(Emptied, [Starting, Serving, Drained, Drained, Replaced, Stopping].map(Some));
    assert_follows(Occupied, [Starting, Serving, Draining, Draining, Replaced, Stopping].map(Some));
}

#[test]
fn a_successor_replaces_the_process_until_it_is_lost() {
    assert_follows(SuccessorServing, [Starting, Replaced, Replaced, Replaced, Replaced, Stopping].map(Some));
    assert_follows(SuccessorLost, [Starting, Serving, Draining, Drained, Serving, Stopping].map(Some));
}

#[test]
fn nothing_takes_sigterm_back() {
    assert_follows(Terminated, [Some(Stopping); 6]);
    for event in [Started, Emptied, Occupied, SuccessorServing, SuccessorLost, Terminated] {
        assert_eq!(Stopping.after(event), Ok(Stopping), "{event:?}");
    }
}

#[test]
fn watchers_are_notified_of_changes_and_of_every_resume() {
    let lifecycle = Lifecycle::default();
    let mut phase = lifecycle.watch();
    lifecycle.notify(Started);
    assert!(phase.has_changed().unwrap());
    phase.mark_unchanged();
    lifecycle.notify(Started);
    assert!(!phase.has_changed().unwrap(), "still serving");
    assert_eq!(lifecycle.handle(ResumeRequested), Ok(()));
    assert!(phase.has_changed().unwrap(), "RESUME notifies though the phase stays");
}
