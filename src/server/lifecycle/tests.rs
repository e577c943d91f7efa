use super::LifecycleEvent::{
    FrontendBusy, FrontendIdle, PauseRequested, ResumeRequested, Started, SuccessorLost, SuccessorServing,
    Terminated,
};
use super::Phase::{Drained, Draining, Replaced, Serving, Starting, Stopping};
use super::{Lifecycle, LifecycleEvent, Phase, TransitionRejected};

const PHASES: [Phase; 6] = [Starting, Serving, Draining, Drained, Replaced, Stopping];

/// Asserts the phase that follows an event from each of [`PHASES`]. `None` means that the event is rejected.
#[track_caller]
fn assert_transitions(event: LifecycleEvent, expected: [Option<Phase>; 6]) {
    for (phase, expected) in PHASES.into_iter().zip(expected) {
        let expected = expected.ok_or(TransitionRejected(phase));
        assert_eq!(phase.transition(event), expected, "{event:?} while {phase:?}");
    }
}

#[test]
fn operator_commands_are_rejected_unless_serving_or_draining() {
    assert_transitions(PauseRequested, [None, Some(Draining), Some(Draining), Some(Drained), None, None]);
    assert_transitions(ResumeRequested, [None, Some(Serving), Some(Serving), Some(Serving), None, None]);
}

#[test]
fn starting_process_serves_unless_terminated_first() {
    assert_transitions(Started, [Serving, Serving, Draining, Drained, Replaced, Stopping].map(Some));
}

#[test]
fn only_a_draining_process_becomes_drained() {
    assert_transitions(FrontendIdle, [Starting, Serving, Drained, Drained, Replaced, Stopping].map(Some));
    assert_transitions(FrontendBusy, [Starting, Serving, Draining, Draining, Replaced, Stopping].map(Some));
}

#[test]
fn process_is_replaced_until_its_successor_is_lost() {
    assert_transitions(
        SuccessorServing,
        [Starting, Replaced, Replaced, Replaced, Replaced, Stopping].map(Some),
    );
    assert_transitions(SuccessorLost, [Starting, Serving, Draining, Drained, Serving, Stopping].map(Some));
}

#[test]
fn sigterm_is_final() {
    assert_transitions(Terminated, [Some(Stopping); 6]);
    for event in [Started, FrontendIdle, FrontendBusy, SuccessorServing, SuccessorLost, Terminated] {
        assert_eq!(Stopping.transition(event), Ok(Stopping), "{event:?}");
    }
}

#[test]
fn watchers_are_notified_of_phase_changes_and_every_resume() {
    let lifecycle = Lifecycle::default();
    let mut phase = lifecycle.watch();
    lifecycle.notify(Started);
    assert!(phase.has_changed().unwrap());
    phase.mark_unchanged();
    lifecycle.notify(Started);
    assert!(!phase.has_changed().unwrap(), "still serving");
    assert_eq!(lifecycle.handle(ResumeRequested), Ok(()));
    assert!(phase.has_changed().unwrap(), "RESUME notifies even if the phase is unchanged");
}
