//! Attempts over sockets: how they end, cancellation, and pooled connections to workers.

use rstest::rstest;

use crate::scenario::{run_scenario, Environment, DEFAULT};

/// Callbacks arrive early, twice, from the wrong worker or with unusual content. The client must receive exactly one
/// response, from the worker that ran the request.
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
#[case::done_callback_before_the_202(
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
#[case::non_text_result_is_returned_as_json(
    "c1 send request r1
    m1 expect r1
    c2 send callback r1 m1 done \"result\":{\"tiles\":[1,2]}
    c1 expect 200 & {\"tiles\":[1,2]}"
)]
#[case::callback_from_another_worker_is_ignored(
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
#[case::load_report_in_a_callback_and_in_a_rejection(
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
    run_scenario(&DEFAULT, scenario);
}

/// The first attempt ends without a result, in each of the possible ways. Only m1 is listed when the request arrives,
/// and only m2 when the first attempt ends, so the retry goes to m2.
#[rstest]
#[case::failed("m1 send 202\nc2 send callback r1 m1 failed\nc2 expect 200", "failed")]
#[case::lost("m1 send 202\nc2 send callback r1 m1 lost\nc2 expect 200", "lost")]
#[case::returned("m1 send 202\nc2 send callback r1 m1 returned\nc2 expect 200", "returned")]
#[case::internal_server_error("m1 send 500", "failed")]
#[case::rejected_as_not_run("m1 send 503 X-Not-Run: 1", "returned")]
#[case::overloaded_but_may_have_run("m1 send 503", "failed")]
#[case::closed_before_the_response("m1 close", "broke_waiting")]
#[case::not_http("m1 send raw nonsense\\r\\n\\r\\n", "garbled")]
fn attempt_without_a_result_is_counted_by_its_end_and_retried(#[case] end: &str, #[case] counter: &str) {
    run_scenario(
        &DEFAULT,
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

/// A worker may close a pooled connection at any time. A request sent on a closed or unusable connection would fail.
#[rstest]
#[case::reused_after_the_202(
    DEFAULT,
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
#[case::not_reused_once_closed_by_the_worker(
    DEFAULT,
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
#[case::not_reused_after_an_unexpected_response(
    DEFAULT,
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 done
    c1 expect 200
    m1 send 202
    c1 send request r2
    m1 expect new r2"
)]
#[case::not_reused_after_connection_close(
    DEFAULT,
    "c1 send request r1
    m1 expect r1
    m1 send 202 Connection: close
    c2 send callback r1 m1 done
    c1 expect 200
    c1 send request r2
    m1 expect new r2"
)]
#[case::closed_while_the_next_request_is_sent(
    DEFAULT,
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
#[case::closed_before_the_idle_timeout_of_the_worker(
    Environment { worker_idle_timeout_s: 0.2, ..DEFAULT },
    "c1 send request r1
    m1 expect r1
    m1 send 202
    m1 expect eof
    c2 send callback r1 m1 done
    c1 expect 200"
)]
fn pooled_connection_is_reused_only_while_usable(#[case] environment: Environment, #[case] scenario: &str) {
    run_scenario(&environment, scenario);
}

/// An attempt whose client has disconnected, or whose deadline has passed, must not occupy the worker any longer. The
/// DELETE may meet a closed connection, a silent worker or the callback of the attempt.
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
#[case::connection_closes_during_the_delete(
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
    run_scenario(&DEFAULT, scenario);
}

/// m1 accepts the request but never notifies that it has started, so the request is retried on m2. The retry waits until m1
/// has confirmed the DELETE: two attempts must not run at the same time.
#[rstest]
#[case::retry_completes("m2 send 202\nc2 send callback r1 m2 done\nc1 expect drawn")]
#[case::first_attempt_completes_after_all(
    "m2 send 202\nc2 send callback r1 m1 done\nc1 expect drawn\nm2 expect DELETE"
)]
fn request_at_a_silent_worker_is_cancelled_and_then_retried(#[case] then: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "d expect new follow=1
            d send 200 Transfer-Encoding: chunked
            c1 send request r1 draw-map 8000
            m1 expect r1
            m1 send 202
            d send diff m2:active
            m1 expect DELETE /jobs/r1
            m2 expect silence
            m1 send 200
            m2 expect r1
            {then}"
        ),
    );
}

/// If the DELETE cannot be sent, the request may still be running. A retry elsewhere would run it twice.
#[test]
fn request_at_an_unreachable_worker_is_not_retried_before_it_is_lost() {
    run_scenario(
        &DEFAULT,
        "d expect new follow=1
        d send 200 Transfer-Encoding: chunked
        c1 send request r1
        m1 expect r1
        m1 send 202
        c2 send callback r1 m1 started
        c2 expect 200
        m1 close listener
        d send diff m2:active
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

/// When the last idle connection to a worker is taken for a request, another one is opened, so that a DELETE never
/// waits for a connection.
#[test]
fn one_connection_stays_idle_for_cancellation() {
    run_scenario(
        &DEFAULT,
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

/// A worker refuses connections or never responds. The client must receive a 503 in time and not wait for the worker.
#[rstest]
#[case::connection_refused("m1 close listener\nc1 send request r1 draw-map 900", "connect_refused")]
#[case::worker_silent_before_the_202("c1 send request r1 draw-map 900\nm1 expect r1", "withdrawn")]
fn request_that_cannot_be_served_is_rejected_before_its_deadline(#[case] first: &str, #[case] counter: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "{first}
            c1 expect HTTP/1.1 503 & Retry-After: 2.000
            s wait flows_ended_{counter} 1
            c1 send raw GET /ready HTTP/1.1\\r\\n\\r\\n
            c1 expect HTTP/1.1 200"
        ),
    );
}

/// If probes are enabled, an ejected worker is tested with a capacity probe and not with a client's request.
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
    run_scenario(&DEFAULT, &scenario);
}
