//! The frontend: what clients and workers may send it, well and badly formed, and which connections it closes.

use rstest::rstest;

use crate::scenario::{play, World, PLAIN};

/// One byte more than the longest body.
const BIG: usize = 64 * 1024 + 1;

#[rstest]
#[case::no_http("raw nonsense\\r\\n\\r\\n", "400")]
#[case::two_lengths(
    "raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 1\\r\\nContent-Length: 2\\r\\n\\r\\n",
    "400"
)]
#[case::signed_length("raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: +1\\r\\n\\r\\n", "400")]
#[case::both_framings(
    "raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n",
    "400"
)]
#[case::unequal_lengths_in_one("raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 1, 2\\r\\n\\r\\n", "400")]
#[case::negative_length("raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: -1\\r\\n\\r\\n", "400")]
#[case::huge_length(
    "raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 99999999999999999999999\\r\\n\\r\\n",
    "400"
)]
#[case::another_coding(
    "raw POST /draw-map/a HTTP/1.1\\r\\nTransfer-Encoding: gzip, chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
    "400"
)]
#[case::coding_twice(
    "raw POST /draw-map/a HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\nTransfer-Encoding: x\\r\\n\\r\\n0\\r\\n\\r\\n",
    "400"
)]
#[case::coding_of_an_old_version(
    "raw POST /draw-map/a HTTP/1.0\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n",
    "400"
)]
#[case::bad_chunk("raw POST /draw-map/a HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n", "400")]
#[case::no_id("POST /draw-map/a HTTP/1.1|X-Tenant: acme||", "400")]
#[case::no_key("POST /publish-map/a HTTP/1.1|X-Tenant: acme|X-Request-Id: r||", "400")]
#[case::no_tenant("POST /draw-map/a HTTP/1.1|X-Request-Id: r||", "400")]
#[case::unknown_tenant("POST /draw-map/a HTTP/1.1|X-Request-Id: r|X-Tenant: nobody||", "403")]
#[case::bad_deadline("POST /draw-map/a HTTP/1.1|X-Request-Id: r|X-Tenant: acme|X-Deadline-Ms: soon||", "400")]
#[case::infinite_deadline(
    "POST /draw-map/a HTTP/1.1|X-Request-Id: r|X-Tenant: acme|X-Deadline-Ms: inf||",
    "400"
)]
#[case::negative_deadline("request r draw-map -5", "400")]
#[case::fractional_deadline("request r draw-map 1.5", "400")]
#[case::two_ids("request r draw-map 8000 1|X-Request-Id: s", "400")]
#[case::id_with_a_control_character("request r\tHTTP/1.1 draw-map", "400")]
#[case::hint_that_is_no_number("request r draw-map 8000 1|X-Cost-Hint: NaN", "400")]
#[case::extras_that_are_no_number("request r draw-map 8000 1|X-Extras: slots=many", "400")]
#[case::extras_without_a_figure("request r draw-map 8000 1|X-Extras: slots", "400")]
#[case::negative_extras("request r draw-map 8000 1|X-Extras: slots=1,memory=-1", "400")]
#[case::infinite_extras("request r draw-map 8000 1|X-Extras: other=inf", "400")]
#[case::no_slots("request r draw-map 8000 1|X-Extras: slots=0", "400")]
#[case::more_slots_than_there_are("request r draw-map 8000 1|X-Extras: slots=1e300", "400")]
#[case::unknown_class("request r1 paint-map", "404")]
#[case::unknown_path("GET /nowhere HTTP/1.1||", "404")]
#[case::no_path("GET * HTTP/1.1||", "404")]
#[case::wrong_method("GET /draw-map/a HTTP/1.1||", "405")]
#[case::wrong_method_for_callbacks("PUT /callback HTTP/1.1||", "405")]
#[case::malformed_callback("POST /callback HTTP/1.1||{", "400")]
#[case::callback_without_a_result(
    "POST /callback HTTP/1.1||{\"id\":\"r\",\"from\":\"m1\",\"state\":\"done\"}",
    "400"
)]
#[case::callback_of_another_shape("POST /callback HTTP/1.1||[1,{}]", "400")]
fn a_malformed_message_is_answered_and_the_next_client_is_served(
    #[case] request: &str,
    #[case] status: &str,
) {
    play(
        &PLAIN,
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

#[test]
fn an_oversized_message_is_rejected_by_its_size() {
    let deep = "[".repeat(BIG / 4) + &"]".repeat(BIG / 4);
    play(
        &PLAIN,
        &format!(
            "c1 send raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: {BIG}\\r\\n\\r\\n
            c1 expect HTTP/1.1 413
            c2 send raw POST /draw-map/a HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n{BIG:x}\\r\\n
            c2 expect HTTP/1.1 413
            c3 send raw GET / HTTP/1.1\\r\\nX-Long: {}
            c3 expect HTTP/1.1 431
            c4 send POST /callback HTTP/1.1||{{\"id\":\"r\",\"from\":\"m1\",\"state\":\"done\",\"result\":{deep}}}
            c4 expect HTTP/1.1 200",
            "x".repeat(20_000)
        ),
    );
}

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
    play(&PLAIN, &format!("{first}\nc2 send callback r1 m1 done\nc1 expect HTTP/1.1 200 & drawn"));
}

#[rstest]
#[case::one_id_at_a_time(
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
#[case::sent_ahead(
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
#[case::old_clients_get_one_answer(
    "c1 send GET /ready HTTP/1.0||
    c1 expect HTTP/1.1 200 & Connection: close
    c1 expect eof"
)]
#[case::counters_on_request(
    "c1 send GET /counters HTTP/1.1||
    c1 expect HTTP/1.1 200 & transactions_taken 0 & answered_served 0 & flows_ended_lost 0"
)]
fn a_connection_carries_one_request_at_a_time(#[case] scenario: &str) {
    play(&PLAIN, scenario);
}

/// Of the 12 connections that 20 descriptors leave, three quarters may await answers; callbacks still arrive.
#[test]
fn requests_are_shed_while_too_many_wait_and_callbacks_are_still_accepted() {
    let mut scenario: String =
        (1..=9).map(|n| format!("c{n} send request r{n}\ns wait transactions_taken {n}\n")).collect();
    scenario += "c10 send request r10
        c10 expect HTTP/1.1 503 & Retry-After
        m1 expect r
        c11 send callback r1 m1 done
        c11 expect 200
        c1 expect 200";
    play(&World { sockets: 20, ..PLAIN }, &scenario);
}

/// Whether the program knows its limit or runs into it: accepting goes on, and no admitted request is lost.
#[rstest]
#[case::known_limit(World { sockets: 20, ..PLAIN }, 0)]
#[case::unknown_limit(World { descriptors: 24, ..PLAIN }, 1)]
fn idle_connections_are_evicted_for_new_ones(#[case] world: World, #[case] failures: u32) {
    let mut scenario = String::from("c0 send request r0\nm1 expect r0\n");
    for n in 1..=30 {
        scenario += &format!("c{n} send GET /ready HTTP/1.1||\nc{n} expect HTTP/1.1 200\n");
    }
    scenario += &format!("s wait accept_failures {failures}\n");
    scenario += "c31 send callback r0 m1 done\nc0 expect drawn";
    play(&world, &scenario);
}

/// The time limit is for the whole message, from the accept on.
#[rstest]
#[case::with_nothing("raw ", "c1 expect eof")]
#[case::with_half_a_head("raw POST /draw-map/a HT", "c1 expect 408 & Connection: close\nc1 expect eof")]
#[case::with_half_a_body(
    "raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 9\\r\\n\\r\\nmap",
    "c1 expect 408 & Connection: close\nc1 expect eof"
)]
fn a_client_whose_message_does_not_arrive_in_time_is_closed(#[case] request: &str, #[case] end: &str) {
    play(&PLAIN, &format!("c1 send {request}\n{end}"));
}

/// The response to a body that is too long is written before the body has been sent, and no reset destroys it.
#[test]
fn an_oversized_body_is_answered_and_discarded() {
    let body = "x".repeat(6_000_000);
    play(
        &PLAIN,
        &format!(
            "c1 send raw POST /draw-map/a HTTP/1.1\\r\\nContent-Length: 60000000\\r\\n\\r\\n{body}
            c1 expect 413 & Connection: close
            c1 expect eof"
        ),
    );
}

/// Connections that send nothing, or only ask for readiness, and stay open are evicted for each other, and not those in
/// use for them.
#[rstest]
#[case::silent("raw ", "")]
#[case::readiness_only("GET /ready HTTP/1.1||", "200")]
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
    play(&World { sockets: 20, ..PLAIN }, &scenario);
}

/// A message that makes progress is never evicted, nor is a connection for callbacks, as long as there are messages that
/// have stalled half way or may yet do so.
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
    play(&World { sockets: 20, ..PLAIN }, &scenario);
}
