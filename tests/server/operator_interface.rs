//! The operator interface: commands, metrics and draining.

use rstest::rstest;

use crate::scenario::{run_scenario, Environment, DEFAULT};

#[rstest]
#[case::status("raw STATUS\\n", "+OK serving")]
#[case::status_with_a_carriage_return("raw STATUS\\r\\n", "+OK serving")]
#[case::metrics("raw METRICS\\n", "+OK & svc.ok.draw-map=0 & svc.tries.publish-map=0")]
#[case::resume_while_serving("raw RESUME\\n", "+OK serving")]
#[case::unknown_command("raw REBOOT\\n", "-ERR")]
#[case::empty_command("raw \\n", "-ERR")]
fn command_gets_one_answer_and_the_connection_is_closed(#[case] command: &str, #[case] answer: &str) {
    run_scenario(&DEFAULT, &format!("o1 send {command}\no1 expect {answer}"));
}

/// A command may be split over segments. One without a line end must not be buffered without limit.
#[test]
fn command_may_arrive_in_pieces_and_is_bounded() {
    let long = "x".repeat(300);
    run_scenario(
        &DEFAULT,
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

/// More stalled operators than the interface serves at once, and clients that occupy every client connection, must
/// not keep another operator from being answered.
#[test]
fn operator_is_served_despite_stalled_operators_and_exhausted_client_connections() {
    let mut scenario: String =
        (1..=9).map(|n| format!("c{n} send request r{n}\ns wait transactions_taken {n}\n")).collect();
    scenario += &(10..40).map(|n| format!("c{n} send raw POST /dr\n")).collect::<String>();
    scenario += &(1..=12).map(|n| format!("o{n} send raw STAT\n")).collect::<String>();
    scenario += "o20 send raw STATUS\\n\no20 expect +OK\no1 expect eof\n";
    run_scenario(&Environment { max_sockets: 20, ..DEFAULT }, &scenario);
}

/// Each event must be counted once, and only when it has happened: an attempt whose bytes were never sent does not
/// count.
#[rstest]
#[case::served_and_active_requests(
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
#[case::request_rejected_after_its_attempts(
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
#[case::id_in_use(
    "c1 send request r1
    m1 expect r1
    c2 send request r1
    c2 expect 409
    o1 wait METRICS => svc.errors.draw-map=1
    o1 wait METRICS => svc.active=1"
)]
#[case::request_rejected_on_arrival(
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
#[case::attempt_only_once_its_last_byte_is_written(
    "m1 close listener
    c1 send request r1 draw-map 600
    c1 expect 503
    s wait flows_ended_connect_refused 1
    o1 wait METRICS => svc.tries.draw-map=0
    o1 wait METRICS => svc.shed.draw-map=1
    o1 wait METRICS => svc.pool_ejected=1"
)]
#[case::endpoint_list_size(
    "o1 wait METRICS => svc.pool_size=1
    d expect GET /v1/endpoints
    d send 200 Transfer-Encoding: chunked
    d send full m1:active m2:leaving
    o1 wait METRICS => svc.pool_size=2
    d send diff m2:left
    o1 wait METRICS => svc.pool_size=1
    o1 wait METRICS => svc.pool_ejected=0"
)]
fn metrics_count_requests_attempts_and_workers(#[case] scenario: &str) {
    run_scenario(&DEFAULT, scenario);
}

/// PAUSE must fail the readiness check and close idle connections but lose no request. RESUME undoes it, unless the
/// process is stopping.
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
#[case::idle_scheduler_is_drained_at_once(
    "o1 send raw PAUSE\\n
    o1 expect +OK
    o2 wait STATUS => -ERR drained
    s wait rejected_at_door 0
    o3 send raw PAUSE\\n
    o3 expect +OK drained"
)]
#[case::resume_accepts_clients_again(
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
#[case::stop_cannot_be_undone(
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
fn operator_drains_the_scheduler(#[case] scenario: &str) {
    run_scenario(&DEFAULT, scenario);
}
