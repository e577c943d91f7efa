use super::AttemptEvent::{AcceptedByWorker, CancelRequested, Connected, Finished, RequestWritten};
use super::AttemptState::{
    Accepted, CancellingAccepted, CancellingUnanswered, Connecting, Ended, Sending, Waiting,
};
use super::*;

const STATES: [AttemptState; 7] =
    [Connecting, Sending, Waiting, Accepted, CancellingUnanswered, CancellingAccepted, Ended];

#[test]
fn transitions_match_the_documented_table() {
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
            CancelRequested,
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
