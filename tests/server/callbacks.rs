//! Callbacks that arrive again or late, while a later attempt of the request is open at the same worker. A callback names
//! no attempt, so only the order of the messages shows which one it is about.

use rstest::rstest;

use crate::scenario::{run_scenario, DEFAULT};

/// Makes requests of the class `publish-map` unsafe to repeat.
const NON_IDEMPOTENT_CLASS: &str = "
    s send config \"by_key\" => \"once\"
    s send HUP
    s expect log configuration
";

/// The same, and attempts are never cancelled. A pause of the test then causes no retry of an overdue attempt.
const NO_CANCELLATION: &str = "
    s send config \"by_key\" => \"once\"
    s send config \"may_cancel\":true => \"may_cancel\":false
    s send HUP
    s expect log configuration
";

/// The worker repeats the callback that ended the first attempt, because its answer was lost, while the second attempt
/// runs. The second attempt must not end by it: a retry would run the request twice at the same time.
#[rstest]
#[case::returned_non_idempotent("publish-map", "returned")]
#[case::returned_idempotent("draw-map", "returned")]
#[case::lost("draw-map", "lost")]
#[case::failed("draw-map", "failed")]
fn repeated_callback_does_not_end_the_next_attempt(
    #[case] class: &str,
    #[case] end: &str,
    #[values("", "c2 send callback r1 m1 started\nc2 expect 200")] start: &str,
) {
    run_scenario(
        &DEFAULT,
        &format!(
            "{NO_CANCELLATION}
            c1 send request r1 {class}
            m1 expect r1
            m1 send 202
            c2 send callback r1 m1 {end}
            c2 expect 200
            m1 expect r1
            m1 send 202
            {start}
            c2 send callback r1 m1 {end}
            c2 expect 200
            c2 send callback r1 m1 started
            c2 expect 200
            c2 send callback r1 m1 done
            c1 expect HTTP/1.1 200 & drawn
            s send TERM
            s expect exit 0
            s expect log flows_ended_{end} 1
            s expect log flows_ended_done 1"
        ),
    );
}

/// The worker closes the connection of the first attempt without an answer, so what became of it there is unknown, and
/// its callback arrives while the second attempt is open.
#[rstest]
fn late_callback_of_a_broken_attempt_does_not_end_the_next_attempt(
    #[values("returned", "lost", "failed")] end: &str,
) {
    run_scenario(
        &DEFAULT,
        &format!(
            "{NO_CANCELLATION}
            c1 send request r1
            m1 expect r1
            m1 close
            m1 expect new r1
            m1 send 202
            c2 send callback r1 m1 {end}
            c2 expect 200
            c2 send callback r1 m1 done
            c1 expect HTTP/1.1 200 & drawn
            s send TERM
            s expect exit 0
            s expect log flows_ended_broke_waiting 1
            s expect log flows_ended_{end} 0
            s expect log callbacks_ambiguous 1"
        ),
    );
}

/// The second attempt really ends as the first one did, and nothing shows that the callback is no repetition. The
/// request can be repeated, so the attempt is cancelled and another one follows.
#[rstest]
fn attempt_that_may_have_ended_is_cancelled_and_retried(
    #[values("returned", "lost", "failed")] end: &str,
    #[values("draw-map", "publish-map")] class: &str,
) {
    run_scenario(
        &DEFAULT,
        &format!(
            "c1 send request r1 {class}
            m1 expect r1
            m1 send 202
            c2 send callback r1 m1 {end}
            c2 expect 200
            m1 expect r1
            m1 send 202
            c2 send callback r1 m1 {end}
            c2 expect 200
            m1 expect DELETE /jobs/r1
            m1 send 404
            m1 expect POST & r1
            m1 send 202
            c2 send callback r1 m1 done
            c1 expect HTTP/1.1 200 & drawn"
        ),
    );
}

/// As above, for a request that is unsafe to repeat: it may be running, so it is neither sent again nor rejected, and
/// fails at its deadline.
#[test]
fn non_idempotent_request_that_may_have_ended_fails_at_its_deadline() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{NON_IDEMPOTENT_CLASS}
            c1 send request r1 publish-map 3000
            m1 expect r1
            m1 send 202
            c2 send callback r1 m1 returned
            c2 expect 200
            m1 expect r1
            m1 send 202
            c2 send callback r1 m1 returned
            c2 expect 200
            c1 expect HTTP/1.1 502
            s send TERM
            s expect exit 0
            s expect log flows 2"
        ),
    );
}

/// A request that was handed back stays with the process that knows it, so the repeated callback, which reaches its
/// successor, does not end the next attempt there either.
#[test]
fn repeated_callback_during_an_upgrade_does_not_end_the_next_attempt() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{NON_IDEMPOTENT_CLASS}
            d expect GET /v1/endpoints
            d send 200 Transfer-Encoding: chunked
            d send full m1:active
            s wait pool_updates 1
            c1 send request r1 publish-map
            m1 expect r1
            m1 send 202
            c2 send callback r1 m1 returned
            c2 expect 200
            m1 expect r1
            m1 send 202
            c2 send callback r1 m1 started
            c2 expect 200
            s2 send START
            s expect log a successor takes over
            d expect new GET /v1/endpoints
            d send 200 Transfer-Encoding: chunked
            d send full m1:active
            p2 wait STATUS => +OK serving
            o1 wait STATUS => -ERR replaced
            c3 send callback r1 m1 returned
            c3 expect 200
            c3 send callback r1 m1 done
            c3 expect 200
            c1 expect HTTP/1.1 200 & drawn
            s send TERM
            s expect exit 0
            s expect log transactions_moved 0
            s expect log flows_ended_returned 1
            s expect log callbacks_ambiguous 1
            s expect log answered_served 1"
        ),
    );
}
