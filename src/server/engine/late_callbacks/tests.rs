//! Tests of which callbacks may follow the end of an attempt.

use super::*;

/// The ends that a callback can report, besides the result.
const REPORTED_ENDS: [AttemptEnd; 3] =
    [AttemptEnd::Failed, AttemptEnd::RejectedByWorker, AttemptEnd::LostByWorker];

#[test]
fn worker_that_handed_a_request_back_can_only_repeat_that() {
    let late_callbacks = LateCallbacks::after_callback(AttemptEnd::RejectedByWorker);
    let possible = REPORTED_ENDS.map(|end| late_callbacks.may_include(end));
    assert_eq!(possible, [false, true, false]);
}

#[test]
fn nothing_follows_an_attempt_that_its_worker_did_not_receive_or_answered() {
    for end in AttemptEnd::ALL {
        let late_callbacks = LateCallbacks::after_exchange(end);
        let was_answered = end == AttemptEnd::Failed;
        let expected = if end.outcome().proves_not_executed() || was_answered {
            LateCallbacks::None
        } else {
            LateCallbacks::Any
        };
        assert_eq!(late_callbacks, expected, "{end:?}");
    }
}
