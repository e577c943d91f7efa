//! The frontend: valid and malformed messages of clients and workers, and which connections are closed or evicted.

use rstest::rstest;

use crate::scenario::{run_scenario, Environment, DEFAULT};

/// One byte more than the maximum body size.
const OVERSIZED_BODY_BYTES: usize = 64 * 1024 + 1;

/// A message with ambiguous framing could smuggle in a second request, and a malformed field could reach a worker.
/// The response closes the connection, so that the bytes after the message are not read as a request.
#[rstest]
#[case::not_http("raw nonsense\\r\\n\\r\\n", "400")]
#[case::duplicate_content_length(
    "raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 1\\r\\nContent-Length: 2\\r\\n\\r\\n",
    "400"
)]
#[case::content_length_with_plus_sign(
    "raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: +1\\r\\n\\r\\n",
    "400"
)]
#[case::content_length_and_chunked(
    "raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n",
    "400"
)]
#[case::list_of_unequal_content_lengths(
    "raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 1, 2\\r\\n\\r\\n",
    "400"
)]
#[case::negative_content_length("raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: -1\\r\\n\\r\\n", "400")]
#[case::content_length_that_overflows(
    "raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 99999999999999999999999\\r\\n\\r\\n",
    "400"
)]
#[case::unsupported_transfer_coding(
    "raw POST /draw-map/a HTTP/1.1\\r\\nTransfer-Encoding: gzip, chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
    "400"
)]
#[case::duplicate_transfer_encoding(
    "raw POST /draw-map/a HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\nTransfer-Encoding: x\\r\\n\\r\\n0\\r\\n\\r\\n",
    "400"
)]
#[case::transfer_encoding_in_http_1_0(
    "raw POST /draw-map/a HTTP/1.0\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
    "400"
)]
#[case::malformed_chunk_size(
    "raw POST /draw-map/a HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n",
    "400"
)]
#[case::missing_request_id("POST /draw-map/a HTTP/1.1|X-Tenant: acme||", "400")]
#[case::missing_idempotency_key("POST /publish-map/a HTTP/1.1|X-Tenant: acme|X-Request-Id: r||", "400")]
#[case::missing_tenant("POST /draw-map/a HTTP/1.1|X-Request-Id: r||", "400")]
#[case::unknown_tenant("POST /draw-map/a HTTP/1.1|X-Request-Id: r|X-Tenant: nobody||", "403")]
#[case::non_numeric_deadline(
    "POST /draw-map/a HTTP/1.1|X-Request-Id: r|X-Tenant: acme|X-Deadline-Ms: soon||",
    "400"
)]
#[case::infinite_deadline(
    "POST /draw-map/a HTTP/1.1|X-Request-Id: r|X-Tenant: acme|X-Deadline-Ms: inf||",
    "400"
)]
#[case::negative_deadline("request r draw-map -5", "400")]
#[case::fractional_deadline("request r draw-map 1.5", "400")]
#[case::duplicate_request_id("request r draw-map 8000 1|X-Request-Id: s", "400")]
#[case::request_id_with_a_control_character("request r\tHTTP/1.1 draw-map", "400")]
#[case::non_numeric_cost_hint("request r draw-map 8000 1|X-Cost-Hint: NaN", "400")]
#[case::non_numeric_extra("request r draw-map 8000 1|X-Extras: slots=many", "400")]
#[case::extra_without_a_value("request r draw-map 8000 1|X-Extras: slots", "400")]
#[case::negative_extra("request r draw-map 8000 1|X-Extras: slots=1,memory=-1", "400")]
#[case::infinite_extra("request r draw-map 8000 1|X-Extras: other=inf", "400")]
#[case::zero_slots("request r draw-map 8000 1|X-Extras: slots=0", "400")]
#[case::more_slots_than_any_worker_has("request r draw-map 8000 1|X-Extras: slots=1e300", "400")]
#[case::unknown_class("request r1 paint-map", "404")]
#[case::unknown_path("GET /nowhere HTTP/1.1||", "404")]
#[case::asterisk_as_target("GET * HTTP/1.1||", "404")]
#[case::wrong_method("GET /draw-map/a HTTP/1.1||", "405")]
#[case::wrong_method_for_callbacks("PUT /callback HTTP/1.1||", "405")]
#[case::malformed_callback("POST /callback HTTP/1.1||{", "400")]
#[case::callback_without_a_result(
    "POST /callback HTTP/1.1||{\"id\":\"r\",\"from\":\"m1\",\"state\":\"done\"}",
    "400"
)]
#[case::callback_that_is_not_an_object("POST /callback HTTP/1.1||[1,{}]", "400")]
fn malformed_message_is_rejected_and_the_next_client_is_served(#[case] request: &str, #[case] status: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "c1 send {request}
            c1 send request r0
            c1 expect HTTP/1.1 {status} & Connection: close
            c1 expect eof
            m1 expect silence
            c2 send request r1
            m1 expect r1
            c3 send callback r1 m1 done
            c2 expect HTTP/1.1 200"
        ),
    );
}

/// Heads and bodies above the maximum size are rejected without being read to the end. A deeply nested body below it
/// must not overflow the stack of a parser.
#[test]
fn messages_are_rejected_for_their_size_but_not_for_their_nesting() {
    let nested = "[".repeat(OVERSIZED_BODY_BYTES / 4) + &"]".repeat(OVERSIZED_BODY_BYTES / 4);
    run_scenario(
        &DEFAULT,
        &format!(
            "c1 send raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: {OVERSIZED_BODY_BYTES}\\r\\n\\r\\n
            c1 expect HTTP/1.1 413
            c2 send raw POST /draw-map/a HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n{OVERSIZED_BODY_BYTES:x}\\r\\n
            c2 expect HTTP/1.1 413
            c3 send raw GET / HTTP/1.1\\r\\nX-Long: {}
            c3 expect HTTP/1.1 431
            c4 send POST /callback HTTP/1.1||{{\"id\":\"r\",\"from\":\"m1\",\"state\":\"done\",\"result\":{nested}}}
            c4 expect HTTP/1.1 200",
            "x".repeat(20_000)
        ),
    );
}

/// A request that arrives chunked, in segments or after `100 Continue` must reach the worker with its whole body.
#[rstest]
#[case::chunked(
    "c1 send raw POST /draw-map/a HTTP/1.1\\r\\nX-Request-Id: r1\\r\\nX-Tenant: acme\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nmap \\r\\n3;x=y\\r\\nof \\r\\n0\\r\\nTrailer: x\\r\\n\\r\\n
    m1 expect Content-Length: 7 & map of "
)]
#[case::in_segments(
    "c1 send raw POST /draw-map/a HT
    c1 send raw TP/1.1\\r\\nX-Request-Id: r1\\r\\nX-Ten
    c1 send raw ant: acme\\r\\nContent-Length: 2\\r\\n\\r\\no
    c1 send raw k
    m1 expect r1 & ok"
)]
#[case::after_a_continue(
    "c1 send raw POST /draw-map/a HTTP/1.1\\r\\nX-Request-Id: r1\\r\\nX-Tenant: acme\\r\\nExpect: 100-continue\\r\\nContent-Length: 2\\r\\n\\r\\n
    c1 expect HTTP/1.1 100
    c1 send raw ok
    m1 expect r1 & ok"
)]
fn a_request_may_be_framed_as_http_allows(#[case] first: &str) {
    run_scenario(&DEFAULT, &format!("{first}\nc2 send callback r1 m1 done\nc1 expect HTTP/1.1 200 & drawn"));
}

/// Pipelined requests and requests that repeat an ID in flight must not run at the same time.
#[rstest]
#[case::duplicate_id_is_rejected_while_in_flight(
    "c1 send request r1
    m1 expect r1
    c2 send request r1
    c2 expect HTTP/1.1 409
    c2 expect eof
    m1 send 202
    m1 expect silence
    c3 send callback r1 m1 done
    c1 expect 200
    c4 send request r1
    m1 expect r1"
)]
#[case::pipelined_requests_are_answered_in_order(
    "c1 send request r1
    c1 send request r2
    m1 expect r1
    m1 send 202
    c3 send callback r1 m1 done \"result\":\"one\"
    c1 expect one
    m1 expect r2
    c3 send callback r2 m1 done \"result\":\"two\"
    c1 expect two"
)]
#[case::http_1_0_connection_is_closed_after_the_response(
    "c1 send GET /ready HTTP/1.0||
    c1 expect HTTP/1.1 200 & Connection: close
    c1 expect eof"
)]
#[case::counters_are_served(
    "c1 send GET /counters HTTP/1.1||
    c1 expect HTTP/1.1 200 & transactions_taken 0 & answered_served 0 & flows_ended_lost 0"
)]
fn connection_carries_one_request_at_a_time(#[case] scenario: &str) {
    run_scenario(&DEFAULT, scenario);
}

/// 20 descriptors leave 12 client connections, and requests may occupy three quarters of them (9). The others stay
/// free for callbacks, without which the waiting requests would never be answered.
#[test]
fn requests_are_shed_at_the_connection_limit_and_callbacks_are_still_accepted() {
    let mut scenario: String =
        (1..=9).map(|n| format!("c{n} send request r{n}\ns wait transactions_taken {n}\n")).collect();
    scenario += "c10 send request r10
        c10 expect HTTP/1.1 503 & Retry-After
        m1 expect r
        c11 send callback r1 m1 done
        c11 expect 200
        c1 expect 200";
    run_scenario(&Environment { max_sockets: 20, ..DEFAULT }, &scenario);
}

/// Idle connections use up the descriptors, either of the configured budget or of the operating system, where
/// `accept` fails. The scheduler keeps accepting connections and loses no admitted request.
#[rstest]
#[case::limit_in_the_configuration(Environment { max_sockets: 20, ..DEFAULT }, 0)]
#[case::limit_of_the_operating_system(Environment { descriptor_limit: 24, ..DEFAULT }, 1)]
fn idle_connections_are_evicted_for_new_ones(#[case] environment: Environment, #[case] failures: u32) {
    let mut scenario = String::from("c0 send request r0\nm1 expect r0\n");
    for n in 1..=30 {
        scenario += &format!("c{n} send GET /ready HTTP/1.1||\nc{n} expect HTTP/1.1 200\n");
    }
    scenario += &format!("s wait accept_failures {failures}\n");
    scenario += "c31 send callback r0 m1 done\nc0 expect drawn";
    run_scenario(&environment, &scenario);
}

/// The timeout covers the whole message and starts when the connection is accepted.
#[rstest]
#[case::nothing_sent("raw ", "c1 expect eof")]
#[case::incomplete_head("raw POST /draw-map/a HT", "c1 expect 408 & Connection: close\nc1 expect eof")]
#[case::incomplete_body(
    "raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 9\\r\\n\\r\\nmap",
    "c1 expect 408 & Connection: close\nc1 expect eof"
)]
fn client_whose_message_does_not_arrive_in_time_is_closed(#[case] request: &str, #[case] expected: &str) {
    run_scenario(&DEFAULT, &format!("c1 send {request}\n{expected}"));
}

/// The response is written before the client has sent the whole body. Closing the socket with unread data would reset
/// the connection and destroy the response, so the rest of the body is read and discarded.
#[test]
fn response_to_an_oversized_body_is_not_lost() {
    let body = "x".repeat(6_000_000);
    run_scenario(
        &DEFAULT,
        &format!(
            "c1 send raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 60000000\\r\\n\\r\\n{body}
            c1 expect 413 & Connection: close
            c1 expect eof"
        ),
    );
}

/// Many open connections that send nothing, or only readiness requests, must not displace connections that have
/// carried a request or a callback. Connections that were never used are evicted first.
#[rstest]
#[case::nothing_sent("raw ", "")]
#[case::only_readiness_requests("GET /ready HTTP/1.1||", "200")]
fn connections_that_were_never_used_are_evicted_first(#[case] request: &str, #[case] answer: &str) {
    let mut scenario = String::from("c0 send request r0\nm1 expect r0\nm1 send 202\n");
    scenario += "c99 send callback r0 m1 done\nc99 expect 200\nc0 expect drawn\n";
    for n in 1..=30 {
        scenario += &format!("c{n} send {request}\n");
        if !answer.is_empty() {
            scenario += &format!("c{n} expect {answer}\n");
        }
    }
    scenario += "s wait connections_shed 12
        c0 send request r1
        m1 expect r1
        c99 send callback r1 m1 done
        c99 expect 200
        c0 expect drawn";
    run_scenario(&Environment { max_sockets: 20, ..DEFAULT }, &scenario);
}

/// Many incomplete messages must not displace a message that still makes progress or a worker's connection for
/// callbacks. Messages that have stalled, or may yet stall, are evicted first.
#[test]
fn stalled_messages_are_evicted_before_callback_connections_and_messages_in_progress() {
    let mut scenario = String::from("c0 send request r0\nm1 expect r0\nm1 send 202\n");
    scenario += "c99 send callback r0 m1 done\nc99 expect 200\nc0 expect drawn\n";
    for n in 1..=30 {
        scenario += &format!("c{n} send raw POST /dr\n");
    }
    scenario += "s wait connections_shed 12
        c50 send raw POST /draw-map/a HTTP/1.1\\r\\nX-Request-Id: r2\\r\\n
        s wait connections_shed 14
        c50 send raw X-Tenant: acme\\r\\n
        s wait connections_shed 16
        c50 send raw Content-Length: 0\\r\\n\\r\\n
        m1 expect r2
        m1 send 202
        c99 send callback r2 m1 done
        c99 expect 200
        c50 expect drawn";
    run_scenario(&Environment { max_sockets: 20, ..DEFAULT }, &scenario);
}
