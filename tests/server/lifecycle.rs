//! Startup errors and graceful shutdown.

use std::process::Command;

use rstest::rstest;

use crate::scenario::{run_scenario, DEFAULT};

/// SIGTERM must not lose a request that has been admitted or a callback that it waits for. The process exits with
/// status 0 once all requests are answered.
#[rstest]
#[case::without_requests(
    "s send TERM
    s expect exit 0
    s expect log stopped counters=
    s expect log transactions_taken 0"
)]
#[case::requests_in_flight_are_answered_first(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    s send TERM
    s expect log stopping
    c4 send callback r1 m1 done
    c4 expect 200
    c1 expect 200 & Connection: close & drawn
    s expect exit 0
    s expect log answered_served 1"
)]
#[case::idle_connections_are_closed_and_callbacks_still_accepted(
    "c1 send request r1
    m1 expect r1
    c2 send GET /ready HTTP/1.1||
    c2 expect 200
    s send TERM
    c2 expect eof
    c3 send request r2
    c3 expect HTTP/1.1 503 & Retry-After & Connection: close
    c4 send GET /ready HTTP/1.1||
    c4 expect HTTP/1.1 503
    c5 send callback r1 m1 done
    c5 expect 200
    c1 expect drawn
    s expect exit 0
    s expect log rejected_at_door 1"
)]
#[case::message_begun_before_the_signal_is_admitted(
    "c1 send raw POST /draw-map/a HTTP/1.1\\r\\nX-Request-Id: r1\\r\\nX-Tenant: acme\\r\\n
    c2 send GET /ready HTTP/1.1||
    c2 expect 200
    s send TERM
    c2 expect eof
    c1 send raw Content-Length: 0\\r\\n\\r\\n
    m1 expect r1
    m1 send 202
    c3 send callback r1 m1 done
    c1 expect 200 & Connection: close & drawn
    s expect exit 0"
)]
#[case::new_discovery_address_is_applied_while_stopping(
    "d expect new since=41
    d send 200 Transfer-Encoding: chunked
    c1 send request r1
    m1 expect r1
    m1 send 202
    s send TERM
    s expect log stopping
    s send config {d} => {d2}
    s send HUP
    d2 expect new since=0
    d expect eof
    c2 send callback r1 m1 done
    c1 expect 200 & drawn
    s expect exit 0"
)]
fn stops_gracefully(#[case] scenario: &str) {
    run_scenario(&DEFAULT, scenario);
}

#[rstest]
#[case::missing_file("/nonexistent", "cannot read /nonexistent")]
#[case::invalid_json("Cargo.toml", "not JSON")]
fn logs_the_error_that_prevents_startup(#[case] path: &str, #[case] error: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_chutesaddle")).env("NODE_CONFIG", path).output().unwrap();
    assert!(!output.status.success());
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(log.contains(error), "{log}");
}
