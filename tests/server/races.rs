//! Races between a close, a signal or a timeout and another event. Each scenario forces the order of the two events
//! by what its actors wait for. `docs/races.md` lists the races.

use rstest::rstest;

use crate::scenario::{run_scenario, DEFAULT};

/// More bytes than the scheduler reads ahead after a request that is still unanswered.
fn unread_bytes() -> String {
    format!("raw POST /draw-map/b HTTP/1.1\\r\\nX-Pad: {}", "x".repeat(64 * 1024))
}

/// The close arrives after more bytes than the scheduler reads ahead, so reading alone would not show it. The request
/// must still be cancelled.
#[rstest]
#[case::after_the_worker_accepted_the_request("m1 send 202", "m1 expect DELETE /jobs/r1")]
#[case::before_the_worker_answered("", "m1 expect eof")]
fn close_after_unread_bytes_cancels_the_request(#[case] before: &str, #[case] cancellation: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "c1 send request r1
            m1 expect r1
            {before}
            c1 send {}
            c1 close
            s wait clients_left 1
            {cancellation}",
            unread_bytes()
        ),
    );
}

/// As above, for a request that waits because its only worker is draining. It must not run when the worker is active
/// again.
#[test]
fn close_after_unread_bytes_drops_a_queued_request() {
    run_scenario(
        &DEFAULT,
        &format!(
            "d expect new since=41
            d send 200 Transfer-Encoding: chunked
            d send diff m1:leaving
            s wait pool_updates 1
            c1 send request r1
            c1 send {}
            c1 close
            s wait clients_left 1
            d send diff m1:active
            m1 expect silence",
            unread_bytes()
        ),
    );
}

/// A close that the scheduler is not told of: so much is unread that the receive window is closed, and the end of the
/// stream waits at the client's side. The counters show that the close is noticed, and not the answer that the client
/// no longer reads.
const FULL_WINDOW_THEN_CLOSE: &str = "
    c1 send until-full
    c1 close
    s wait clients_left 1
    c9 send GET /counters HTTP/1.1||
    c9 expect flows 1 & answered_served 0 & answered_rejected 0 & answered_failed 0
";

/// Guards against requests that are sent long after their client has closed its connection, with more unread behind them
/// than the kernel's buffers hold.
#[rstest]
#[case::after_the_worker_accepted_the_request("request r1", "m1 send 202", "m1 expect DELETE /jobs/r1")]
#[case::before_the_worker_answered("request r1", "", "m1 expect eof")]
fn close_behind_a_closed_receive_window_cancels_the_request(
    #[case] request: &str,
    #[case] before: &str,
    #[case] cancellation: &str,
) {
    run_scenario(
        &DEFAULT,
        &format!(
            "c1 send {request}
            m1 expect r1
            {before}
            {FULL_WINDOW_THEN_CLOSE}
            {cancellation}"
        ),
    );
}

/// As above, on a connection that carries no further message: what follows the request is discarded.
#[test]
fn close_behind_discarded_input_cancels_the_request() {
    let input = "x".repeat(6_000_000);
    run_scenario(
        &DEFAULT,
        &format!(
            "c1 send request r1 draw-map 8000 1|Connection: close
            m1 expect r1
            m1 send 202
            c1 send raw {input}
            c1 close
            s wait clients_left 1
            c9 send GET /counters HTTP/1.1||
            c9 expect flows 1 & answered_served 0 & answered_rejected 0 & answered_failed 0
            m1 expect DELETE /jobs/r1"
        ),
    );
}

/// As above, for a request that waits because its only worker is draining.
#[test]
fn close_behind_a_closed_receive_window_drops_a_queued_request() {
    run_scenario(
        &DEFAULT,
        "d expect new since=41
            d send 200 Transfer-Encoding: chunked
            d send diff m1:leaving
            s wait pool_updates 1
            c1 send request r1
            c1 send until-full
            c1 close
            s wait clients_left 1
            c9 send GET /counters HTTP/1.1||
            c9 expect flows 0 & answered_rejected 0
            d send diff m1:active
            s wait pool_updates 2
            m1 expect silence",
    );
}

/// A client that sends far ahead and stays must get all of its answers, in order.
#[test]
fn client_behind_a_closed_receive_window_is_still_answered() {
    run_scenario(
        &DEFAULT,
        "c1 send request r1
        m1 expect r1
        m1 send 202
        c2 send callback r1 m1 started
        c1 send until-full
        s expect log discovery lost
        c2 send callback r1 m1 done
        c1 expect HTTP/1.1 200 & drawn
        c1 expect HTTP/1.1 & not HTTP/1.1 4
        c1 expect HTTP/1.1 & not HTTP/1.1 4
        c3 send GET /counters HTTP/1.1||
        c3 expect clients_left 0",
    );
}

/// A client sends further requests while the scheduler closes its idle connection. The client must see an orderly
/// close and no reset, and the late requests must not be admitted.
#[test]
fn request_sent_while_its_idle_connection_closes_causes_no_reset() {
    run_scenario(
        &DEFAULT,
        "c1 send request r1
        m1 expect r1
        m1 send 202
        c2 send callback r1 m1 done
        c1 expect HTTP/1.1 200
        c3 send request r3
        m1 expect r3
        s send TERM
        c1 expect fin
        c1 send request r2
        c1 send request r4
        m1 send 202
        c4 send callback r3 m1 done
        c3 expect HTTP/1.1 200 & Connection: close
        c3 expect fin
        c3 close
        c1 close
        s expect exit 0
        s expect log transactions_taken 2",
    );
}

/// Unread bytes after the request would make the close a reset, which destroys a response that the client has not
/// read.
#[test]
fn last_response_before_exit_survives_unread_bytes() {
    run_scenario(
        &DEFAULT,
        &format!(
            "c1 send request r1
            m1 expect r1
            m1 send 202
            s send TERM
            s expect log stopping
            c1 send {}
            c3 send callback r1 m1 done
            c1 expect HTTP/1.1 200 & Connection: close
            c1 expect fin
            c1 close
            s expect exit 0",
            unread_bytes()
        ),
    );
}

/// The deadline of a pipelined request counts from its arrival, not from when the previous request on the connection
/// is answered: the worker receives the remaining time. Discovery is silent here, so the `discovery lost` line shows
/// that 1.9 s have passed.
#[test]
fn deadline_of_a_pipelined_request_includes_its_wait() {
    run_scenario(
        &DEFAULT,
        "c1 send request r1 draw-map 8000
        m1 expect r1
        m1 send 202
        c3 send callback r1 m1 started
        c1 send request r2 draw-map 8500
        s expect log discovery lost
        c3 send callback r1 m1 done
        c1 expect HTTP/1.1 200
        m1 expect r2 & not X-Deadline-Ms: 8
        m1 send 202
        c3 send callback r2 m1 done
        c1 expect HTTP/1.1 200",
    );
}

/// SIGTERM arrives before the worker has accepted the request, followed by another event. The request must be
/// answered before the process exits.
#[rstest]
#[case::second_sigterm(
    "s send TERM
    m1 send 202"
)]
#[case::sighup("s send HUP\nm1 send 202")]
#[case::retried_attempt(
    "m1 send HTTP/1.1 503 Busy|X-Not-Run: 1|Content-Length: 0||
    m1 expect r1
    m1 send 202"
)]
#[case::worker_that_closes_before_its_answer("m1 close\nm1 expect new r1\nm1 send 202")]
#[case::endpoint_list_in_which_its_worker_drains(
    "d send diff m1:leaving
    s wait pool_updates 1
    m1 send 202"
)]
fn accepted_request_is_answered_though_sigterm_is_followed_by(#[case] next: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "d expect new since=41
            d send 200 Transfer-Encoding: chunked
            c1 send request r1
            m1 expect r1
            s send TERM
            s expect log stopping
            {next}
            c3 send callback r1 m1 done
            c1 expect HTTP/1.1 200 & Connection: close
            c1 expect fin
            s expect exit 0"
        ),
    );
}
