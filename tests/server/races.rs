//! Races: a close, a signal or a timeout at the same moment as something else. The order of the two events is forced
//! by what each party waits for. The table of them is `docs/races.md`.

use rstest::rstest;

use crate::scenario::{play, PLAIN};

/// More than the scheduler reads ahead behind a request that waits.
fn unread() -> String {
    format!("raw POST /draw-map/b HTTP/1.1\\r\\nX-Pad: {}", "x".repeat(64 * 1024))
}

#[rstest]
#[case::after_the_worker_accepted_the_request("m1 send 202", "m1 expect DELETE /jobs/r1")]
#[case::before_the_worker_answered("", "m1 expect eof")]
fn client_that_closes_behind_unread_bytes_has_disconnected(#[case] before: &str, #[case] given_up: &str) {
    play(
        &PLAIN,
        &format!(
            "c1 send request r1
            m1 expect r1
            {before}
            c1 send {}
            c1 close
            s wait clients_left 1
            {given_up}",
            unread()
        ),
    );
}

#[test]
fn close_behind_unread_bytes_ends_a_request_that_no_worker_can_run() {
    play(
        &PLAIN,
        &format!(
            "d expect new since=41
            d send 200 Transfer-Encoding: chunked
            d send some m1:leaving
            s wait pool_updates 1
            c1 send request r1
            c1 send {}
            c1 close
            s wait clients_left 1
            d send some m1:active
            m1 expect silence",
            unread()
        ),
    );
}

#[test]
fn request_that_crosses_the_close_of_its_idle_connection_meets_no_reset() {
    play(
        &PLAIN,
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

#[test]
fn last_answer_before_the_exit_survives_bytes_behind_its_request() {
    play(
        &PLAIN,
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
            unread()
        ),
    );
}

/// A client's time runs while its request waits behind another one on the same connection: the worker is told what is
/// left of it. Discovery is silent here, so that its loss shows that 1.9 s have passed.
#[test]
fn pipelined_request_states_no_more_time_than_its_client_waits() {
    play(
        &PLAIN,
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
    "d send some m1:leaving
    s wait pool_updates 1
    m1 send 202"
)]
fn accepted_request_is_answered_though_sigterm_is_followed_by(#[case] next: &str) {
    play(
        &PLAIN,
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
