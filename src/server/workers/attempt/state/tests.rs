use super::AttemptEvent::{AcceptedByWorker, CancelCommanded, Connected, Finished, RequestWritten};
use super::AttemptState::{
    Accepted, CancellingAccepted, CancellingUnanswered, Connecting, Ended, Sending, Waiting,
};
use super::*;

const STATES: [AttemptState; 7] =
    [Connecting, Sending, Waiting, Accepted, CancellingUnanswered, CancellingAccepted, Ended];

#[test]
fn every_state_takes_the_transition_of_the_table() {
    let table = [
        (Connected, [Sending, Sending, Waiting, Accepted, CancellingUnanswered, CancellingAccepted, Ended]),
        (
            RequestWritten,
            [Connecting, Waiting, Waiting, Accepted, CancellingUnanswered, CancellingAccepted, Ended],
        ),
        (
            AcceptedByWorker,
            [Connecting, Sending, Accepted, Accepted, CancellingUnanswered, CancellingAccepted, Ended],
        ),
        (
            CancelCommanded,
            [
                Ended,
                Ended,
                CancellingUnanswered,
                CancellingAccepted,
                CancellingUnanswered,
                CancellingAccepted,
                Ended,
            ],
        ),
        (Finished, [Ended; 7]),
    ];
    for (event, next) in table {
        assert_eq!(STATES.map(|state| state.after(event)), next, "{event:?}");
    }
}
