//! The operator interface: its commands, the metrics, and the drain.

use rstest::rstest;

use crate::scenario::{play, World, PLAIN};

#[rstest]
#[case::status("raw STATUS\\n", "+OK serving")]
#[case::status_with_a_carriage_return("raw STATUS\\r\\n", "+OK serving")]
#[case::metrics("raw METRICS\\n", "+OK & svc.ok.draw-map=0 & svc.tries.publish-map=0")]
#[case::resume_of_one_that_serves("raw RESUME\\n", "+OK serving")]
#[case::unknown("raw REBOOT\\n", "-ERR")]
#[case::nothing("raw \\n", "-ERR")]
fn a_command_gets_one_answer_and_a_close(#[case] call: &str, #[case] answer: &str) {
    play(&PLAIN, &format!("o1 send {call}\no1 expect {answer}"));
}

#[test]
fn a_command_may_come_in_pieces_and_has_a_bound() {
    let long = "x".repeat(300);
    play(
        &PLAIN,
        &format!(
            "o1 send raw STA
            o2 send raw {long}
            o2 expect -ERR
            o1 send raw TUS\\r
            o1 send raw \\n
            o1 expect +OK"
        ),
    );
}

/// More operators than the interface serves send nothing, and a crowd of clients has taken every connection.
#[test]
fn stalled_operators_and_a_crowd_of_clients_keep_no_operator_out() {
    let mut scenario: String =
        (1..=9).map(|n| format!("c{n} send request r{n}\ns wait transactions_taken {n}\n")).collect();
    scenario += &(10..40).map(|n| format!("c{n} send raw POST /dr\n")).collect::<String>();
    scenario += &(1..=12).map(|n| format!("o{n} send raw STAT\n")).collect::<String>();
    scenario += "o20 send raw STATUS\\n\no20 expect +OK\no1 expect eof\n";
    play(&World { sockets: 20, ..PLAIN }, &scenario);
}

#[rstest]
#[case::served_and_active(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    o1 wait METRICS => svc.active=1
    c2 send callback r1 m1 done
    c1 expect 200
    o1 wait METRICS => svc.ok.draw-map=1
    o1 wait METRICS => svc.active=0
    o1 wait METRICS => svc.tries.draw-map=1
    o1 wait METRICS => svc.ok.publish-map=0"
)]
#[case::rejected_after_its_attempts(
    "c1 send request r1 publish-map
    m1 expect r1
    m1 send 500
    m1 expect r1
    m1 send 500
    m1 expect r1
    m1 send 500
    c1 expect HTTP/1.1 503
    o1 wait METRICS => svc.shed.publish-map=1
    o1 wait METRICS => svc.tries.publish-map=3"
)]
#[case::an_id_in_use(
    "c1 send request r1
    m1 expect r1
    c2 send request r1
    c2 expect 409
    o1 wait METRICS => svc.errors.draw-map=1
    o1 wait METRICS => svc.active=1"
)]
#[case::rejected_on_arrival(
    "c9 send request r9
    m1 expect r9
    m1 send 202
    c1 send GET /ready HTTP/1.1||
    c1 expect 200
    s send TERM
    c1 expect eof
    c2 send request r1 publish-map
    c2 expect HTTP/1.1 503 & Retry-After
    o1 wait METRICS => svc.shed.publish-map=1"
)]
#[case::nothing_is_an_attempt_before_its_last_byte_is_written(
    "m1 close listener
    c1 send request r1 draw-map 600
    c1 expect 503
    s wait flows_ended_connect_refused 1
    o1 wait METRICS => svc.tries.draw-map=0
    o1 wait METRICS => svc.shed.draw-map=1
    o1 wait METRICS => svc.pool_ejected=1"
)]
#[case::the_endpoint_list(
    "o1 wait METRICS => svc.pool_size=1
    d expect GET /v1/endpoints
    d send 200 Transfer-Encoding: chunked
    d send full m1:active m2:leaving
    o1 wait METRICS => svc.pool_size=2
    d send some m2:left
    o1 wait METRICS => svc.pool_size=1
    o1 wait METRICS => svc.pool_ejected=0"
)]
fn metrics_count_what_happened(#[case] scenario: &str) {
    play(&PLAIN, scenario);
}

#[rstest]
#[case::requests_in_flight_are_finished(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send GET /ready HTTP/1.1||
    c2 expect HTTP/1.1 200
    o1 send raw PAUSE\\n
    o1 expect +OK draining
    o2 send raw STATUS\\n
    o2 expect -ERR draining
    c3 send GET /ready HTTP/1.1||
    c3 expect HTTP/1.1 503
    c4 send request r4
    m1 expect r4
    m1 send 202
    c2 expect eof
    o3 wait STATUS => -ERR draining
    c5 send callback r1 m1 done
    c5 expect 200
    c1 expect Connection: close & drawn
    c1 expect eof
    c6 send callback r4 m1 done
    c4 expect Connection: close & drawn
    o3 wait STATUS => -ERR drained"
)]
#[case::later_ones_are_rejected(
    "o1 send raw PAUSE\\n
    o1 expect +OK
    o2 wait STATUS => -ERR drained
    s wait rejected_at_door 0
    o3 send raw PAUSE\\n
    o3 expect +OK drained"
)]
#[case::resume_takes_clients_again(
    "o1 send raw PAUSE\\n
    o1 expect +OK
    o2 wait STATUS => drained
    o3 send raw RESUME\\n
    o3 expect +OK serving
    c1 send GET /ready HTTP/1.1||
    c1 expect HTTP/1.1 200
    c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 done
    c1 expect drawn
    c1 send request r2
    m1 expect r2"
)]
#[case::nothing_takes_back_a_stop(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    o1 send raw PAUSE\\n
    o1 expect +OK
    s send TERM
    s expect log stopping
    o2 send raw RESUME\\n
    o2 expect -ERR this process is stopping
    o3 send raw PAUSE\\n
    o3 expect -ERR
    c2 send callback r1 m1 done
    c1 expect drawn
    s expect exit 0"
)]
fn an_operator_drains_the_scheduler(#[case] scenario: &str) {
    play(&PLAIN, scenario);
}
