//! Attempts on sockets: each way to end, cancelling, and pooled connections to workers.

use rstest::rstest;

use crate::scenario::{play, World, PLAIN};

#[rstest]
#[case::forwarded_unchanged(
    "c1 send request r1 publish-map
    m1 expect POST /publish-map/o1?v=2 HTTP/1.1 & X-Request-Id: r1 & X-Deadline-Ms: & Idempotency-Key: k1 & map of r1
    m1 send 202
    c2 send callback r1 m1 started
    c2 expect 200
    c2 send callback r1 m1 running \"share\":0.4
    c2 expect 200
    c2 send callback r1 m1 done
    c2 expect 200
    c1 expect HTTP/1.1 200 & drawn"
)]
#[case::done_before_the_202(
    "c1 send request r1
    m1 expect r1
    c2 send callback r1 m1 done
    c1 expect HTTP/1.1 200 & drawn
    m1 send 202
    c1 send request r2
    m1 expect r2"
)]
#[case::done_twice_counts_once(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 done \"result\":\"first\"
    c2 expect 200
    c2 send callback r1 m1 done \"result\":\"second\"
    c2 expect 200
    c1 expect first
    c1 send request r2
    m1 expect r2
    c2 send callback r2 m1 done \"result\":\"third\"
    c1 expect third
    s wait flows_ended_done 2"
)]
#[case::result_that_is_not_text_is_answered_as_json(
    "c1 send request r1
    m1 expect r1
    c2 send callback r1 m1 done \"result\":{\"tiles\":[1,2]}
    c1 expect 200 & {\"tiles\":[1,2]}"
)]
#[case::callback_of_another_worker_is_ignored(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m2 done \"result\":\"forged\"
    c2 expect 200
    c2 send callback r9 m1 done
    c2 expect 200
    s wait callbacks_unmatched 2
    c2 send callback r1 m1 done
    c1 expect drawn"
)]
#[case::load_report_may_come_with_any_end(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 done \"result\":\"a\",\"load\":{\"queue\":1,\"x0\":3.0,\"other\":\"x\"}
    c2 expect 200
    c1 expect 200
    c1 send request r2
    m1 expect r2
    m1 send 503 X-Not-Run: 1|X-Load: queue=1,x0=2,junk
    s wait flows_ended_returned 1"
)]
fn completed_request_is_answered_once(#[case] scenario: &str) {
    play(&PLAIN, scenario);
}

/// Only m1 is listed when the request arrives, and only m2 when the first attempt ends.
#[rstest]
#[case::failed("m1 send 202\nc2 send callback r1 m1 failed\nc2 expect 200", "failed")]
#[case::lost("m1 send 202\nc2 send callback r1 m1 lost\nc2 expect 200", "lost")]
#[case::returned("m1 send 202\nc2 send callback r1 m1 returned\nc2 expect 200", "returned")]
#[case::error("m1 send 500", "failed")]
#[case::rejected_as_not_run("m1 send 503 X-Not-Run: 1", "returned")]
#[case::overloaded_but_may_have_run("m1 send 503", "failed")]
#[case::closed_before_the_answer("m1 close", "broke_waiting")]
#[case::not_http("m1 send raw nonsense\\r\\n\\r\\n", "garbled")]
fn each_end_is_counted_and_the_request_is_retried(#[case] end: &str, #[case] counter: &str) {
    play(
        &PLAIN,
        &format!(
            "d expect new follow=1
            d send 200 Transfer-Encoding: chunked
            c1 send request r1
            m1 expect r1
            d send full m2:active
            s wait pool_updates 1
            {end}
            s wait flows_ended_{counter} 1
            m2 expect r1
            m2 send 202
            c2 send callback r1 m2 done
            c1 expect drawn
            s wait flows 2"
        ),
    );
}

#[rstest]
#[case::free_again_after_the_202(
    PLAIN,
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 started
    c2 expect 200
    c2 send callback r1 m1 done
    c1 expect 200
    c1 send request r2
    m1 expect r2
    s wait member_reuses 1"
)]
#[case::closed_by_the_worker(
    PLAIN,
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 done
    c1 expect 200
    m1 close
    c1 send request r2
    m1 expect new r2
    m1 send 202
    c2 send callback r2 m1 done
    c1 expect 200
    s wait member_connects 2"
)]
#[case::with_an_unexpected_answer(
    PLAIN,
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 done
    c1 expect 200
    m1 send 202
    c1 send request r2
    m1 expect new r2"
)]
#[case::the_worker_says_close(
    PLAIN,
    "c1 send request r1
    m1 expect r1
    m1 send 202 Connection: close
    c2 send callback r1 m1 done
    c1 expect 200
    c1 send request r2
    m1 expect new r2"
)]
#[case::closed_as_the_next_request_arrives(
    PLAIN,
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 done
    c1 expect 200
    c1 send request r2
    m1 expect r2
    m1 close
    m1 expect new r2
    s wait flows_ended_stale 1
    m1 send 202
    c2 send callback r2 m1 done
    c1 expect 200
    c3 send raw POST /half-a-head-takes-2.4-s
    c3 expect 408
    c1 send request r3
    m1 expect new r3"
)]
#[case::closed_when_idle_before_the_worker_would(
    World { conn_idle_s: 0.2, ..PLAIN },
    "c1 send request r1
    m1 expect r1
    m1 send 202
    m1 expect eof
    c2 send callback r1 m1 done
    c1 expect 200"
)]
fn connections_are_reused_only_when_sound(#[case] world: World, #[case] scenario: &str) {
    play(&world, scenario);
}

#[rstest]
#[case::client_disconnects_after_the_202(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 started
    c2 expect 200
    c1 close
    m1 expect DELETE /jobs/r1 HTTP/1.1
    m1 send 200
    s wait flows_ended_withdrawn 1
    s wait clients_left 1
    c3 send request r2
    m1 expect r2"
)]
#[case::connection_for_the_delete_is_gone(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 started
    c2 expect 200
    c1 close
    m1 expect DELETE /jobs/r1
    m1 close
    m1 expect new DELETE /jobs/r1
    m1 close
    m1 expect new DELETE /jobs/r1
    m1 send 200
    s wait flows_ended_withdrawn 1"
)]
#[case::client_disconnects_before_the_202(
    "c1 send request r1
    m1 expect r1
    c1 close
    m1 expect eof
    m1 expect new DELETE /jobs/r1
    m1 send 404
    s wait flows_ended_withdrawn 1"
)]
#[case::worker_does_not_answer_the_delete(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c1 close
    m1 expect DELETE /jobs/r1
    s wait flows_ended_withdrawn 1
    c3 send request r2
    m1 expect new r2"
)]
#[case::done_callback_crosses_the_delete(
    "c1 send request r1 draw-map 2000
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 started
    c1 expect HTTP/1.1 503 & Retry-After: 2.000
    m1 expect DELETE /jobs/r1
    c2 send callback r1 m1 done
    c2 expect 200
    m1 send 200
    s wait flows_ended_done 1
    s wait answered_rejected 1"
)]
fn unneeded_attempt_is_cancelled(#[case] scenario: &str) {
    play(&PLAIN, scenario);
}

/// The silent worker has not notified that the request has started, so it is retried elsewhere. No second attempt may
/// begin before the first is cancelled.
#[rstest]
#[case::to_a_worker_that_serves("m2 send 202\nc2 send callback r1 m2 done\nc1 expect drawn")]
#[case::and_the_first_completes_after_all(
    "m2 send 202\nc2 send callback r1 m1 done\nc1 expect drawn\nm2 expect DELETE"
)]
fn silent_worker_loses_the_request(#[case] then: &str) {
    play(
        &PLAIN,
        &format!(
            "d expect new follow=1
            d send 200 Transfer-Encoding: chunked
            c1 send request r1 draw-map 8000
            m1 expect r1
            m1 send 202
            d send some m2:active
            m1 expect DELETE /jobs/r1
            m2 expect silence
            m1 send 200
            m2 expect r1
            {then}"
        ),
    );
}

/// A request whose DELETE cannot be sent may still run: sent elsewhere, it would run twice.
#[test]
fn request_at_an_unreachable_worker_is_not_sent_elsewhere() {
    play(
        &PLAIN,
        "d expect new follow=1
        d send 200 Transfer-Encoding: chunked
        c1 send request r1
        m1 expect r1
        m1 send 202
        c2 send callback r1 m1 started
        c2 expect 200
        m1 close listener
        d send some m2:active
        s wait deletes 2
        m2 expect silence
        c2 send callback r1 m1 lost
        c2 expect 200
        m2 expect r1
        m2 send 202
        c2 send callback r1 m2 done
        c1 expect drawn",
    );
}

/// Another connection is opened for the DELETE as soon as the only one is in use again.
#[test]
fn connection_is_kept_free_for_cancelling() {
    play(
        &PLAIN,
        "c1 send request r1
        m1 expect r1
        m1 send 202
        c2 send request r2
        m1 expect r2
        s wait member_connects 2
        c1 close
        m1 expect new DELETE /jobs/r1
        m1 send 200
        s wait member_reuses 2
        s wait flows_ended_withdrawn 1",
    );
}

#[rstest]
#[case::connection_refused("m1 close listener\nc1 send request r1 draw-map 900", "connect_refused")]
#[case::worker_silent_before_the_202("c1 send request r1 draw-map 900\nm1 expect r1", "withdrawn")]
fn request_that_cannot_be_served_is_rejected_in_time(#[case] first: &str, #[case] counter: &str) {
    play(
        &PLAIN,
        &format!(
            "{first}
            c1 expect HTTP/1.1 503 & Retry-After: 2.000
            s wait flows_ended_{counter} 1
            c1 send raw GET /ready HTTP/1.1\\r\\n\\r\\n
            c1 expect HTTP/1.1 200"
        ),
    );
}

/// Where the settings allow probes, an ejected worker is tried with one and not with a client's request.
#[rstest]
#[case::free_slots("200", "Content-Length: 4\\r\\n\\r\\nx0=2")]
#[case::load_in_an_object("200", "Content-Length: 8\\r\\n\\r\\n{\"x0\":2}")]
#[case::unreadable_load("200", "Content-Length: 3\\r\\n\\r\\n{{{")]
fn ejected_worker_is_probed_before_it_gets_a_request(#[case] status: &str, #[case] rest: &str) {
    let scenario = format!(
        "s send config \"may_cancel\":true => \"may_cancel\":true,\"probes\":true
        s send HUP
        s expect log configuration
        c1 send request r1
        m1 expect new r1
        m1 close
        m1 expect new r1
        m1 close
        m1 expect new GET /status/load
        m1 send raw HTTP/1.1 {status} OK\\r\\n{rest}
        m1 expect r1
        m1 send 202
        c2 send callback r1 m1 done
        c1 expect drawn
        s wait probes 1"
    );
    play(&PLAIN, &scenario);
}
