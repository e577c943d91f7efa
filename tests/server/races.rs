//! Two events that cross: a close, a signal or a time-out in the very moment of something else. What comes first is
//! forced by what the parties have seen.

use rstest::rstest;

use crate::scenario::{play, PLAIN};

/// More than the scheduler reads ahead of the request that waits.
fn unread() -> String {
    format!("raw POST /draw-map/b HTTP/1.1\\r\\nX-Pad: {}", "x".repeat(64 * 1024))
}

#[rstest]
#[case::while_the_worker_has_the_job("m1 send 202", "m1 expect DELETE /jobs/r1")]
#[case::before_the_worker_has_answered("", "m1 expect eof")]
fn a_client_that_closes_behind_unread_bytes_has_gone(#[case] before: &str, #[case] given_up: &str) {
    play(
        &PLAIN,
        &format!(
            "c1 send job r1
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
fn a_close_behind_unread_bytes_ends_a_request_that_no_worker_can_take() {
    play(
        &PLAIN,
        &format!(
            "d expect new since=41
            d send 200 Transfer-Encoding: chunked
            d send some m1:leaving
            s wait pool_updates 1
            c1 send job r1
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
fn a_request_that_crosses_the_close_of_its_idle_connection_meets_no_reset() {
    play(
        &PLAIN,
        "c1 send job r1
        m1 expect r1
        m1 send 202
        c2 send call r1 m1 done
        c1 expect HTTP/1.1 200
        c3 send job r3
        m1 expect r3
        s send TERM
        c1 expect fin
        c1 send job r2
        c1 send job r4
        m1 send 202
        c4 send call r3 m1 done
        c3 expect HTTP/1.1 200 & Connection: close
        c3 expect fin
        c3 close
        c1 close
        s expect exit 0
        s expect log transactions_taken 2",
    );
}

#[test]
fn the_last_answer_before_the_exit_survives_what_its_client_sent_behind_the_request() {
    play(
        &PLAIN,
        &format!(
            "c1 send job r1
            m1 expect r1
            m1 send 202
            s send TERM
            s expect log stopping
            c1 send {}
            c3 send call r1 m1 done
            c1 expect HTTP/1.1 200 & Connection: close
            c1 expect fin
            c1 close
            s expect exit 0",
            unread()
        ),
    );
}

/// A client's time runs while its request waits behind another one on the same connection: the worker is told what is
/// left of it. The scheduler misses discovery, which is silent here, after 1.9 s.
#[test]
fn a_request_sent_ahead_tells_the_worker_no_more_than_its_client_waits() {
    play(
        &PLAIN,
        "c1 send job r1 draw-map 8000
        m1 expect r1
        m1 send 202
        c3 send call r1 m1 started
        c1 send job r2 draw-map 8500
        s expect log discovery lost
        c3 send call r1 m1 done
        c1 expect HTTP/1.1 200
        m1 expect r2 & not X-Deadline-Ms: 8
        m1 send 202
        c3 send call r2 m1 done
        c1 expect HTTP/1.1 200",
    );
}

#[rstest]
#[case::a_second_sigterm(
    "s send TERM
    m1 send 202"
)]
#[case::a_hangup("s send HUP\nm1 send 202")]
#[case::an_attempt_that_has_to_be_made_again(
    "m1 send HTTP/1.1 503 Busy|X-Not-Run: 1|Content-Length: 0||
    m1 expect r1
    m1 send 202"
)]
#[case::a_worker_that_breaks_off_before_its_answer("m1 close\nm1 expect new r1\nm1 send 202")]
#[case::a_list_in_which_its_worker_drains(
    "d send some m1:leaving
    s wait pool_updates 1
    m1 send 202"
)]
fn what_was_taken_is_answered_though_sigterm_is_followed_by(#[case] next: &str) {
    play(
        &PLAIN,
        &format!(
            "d expect new since=41
            d send 200 Transfer-Encoding: chunked
            c1 send job r1
            m1 expect r1
            s send TERM
            s expect log stopping
            {next}
            c3 send call r1 m1 done
            c1 expect HTTP/1.1 200 & Connection: close
            c1 expect fin
            s expect exit 0"
        ),
    );
}
