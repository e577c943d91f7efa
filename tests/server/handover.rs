//! Upgrades: a successor takes over from the serving process.

use rstest::rstest;

use crate::scenario::{run_scenario, Environment, DEFAULT};

/// The scheduler receives an endpoint list.
const LIST_RECEIVED: &str = "
    d expect GET /v1/endpoints
    d send 200 Transfer-Encoding: chunked
    d send full m1:active
    s wait pool_updates 1
";

/// Starts the successor and waits until it serves, which requires its own endpoint list.
const UPGRADE: &str = "
    s2 send START
    s expect log a successor takes over
    p1 send raw STATUS\\n
    p1 expect -ERR starting
    d expect new GET /v1/endpoints
    d send 200 Transfer-Encoding: chunked
    d send full m1:active
    p2 wait STATUS => +OK serving
    o1 wait STATUS => -ERR replaced
";

/// Connections and requests migrate to the successor. No request or callback may be lost, and no request may run twice.
#[rstest]
#[case::idle_connections_are_handed_over(
    "
    c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 done
    c1 expect drawn",
    "
    s send TERM
    s expect exit 0
    c1 send request r2
    m1 expect new r2
    m1 send 202
    c2 send callback r2 m1 done
    c2 expect 200
    c2 expect 200
    c1 expect 200 & drawn
    p9 wait METRICS => svc.ok.draw-map=1"
)]
#[case::requests_are_migrated_with_their_clients(
    "
    c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send request r2 publish-map
    m1 expect r2
    m1 send 202
    c5 send callback r2 m1 started
    c5 expect 200",
    "
    s send TERM
    s expect exit 0
    s expect log transactions_moved 2
    p3 wait METRICS => svc.active=2
    c3 send callback r1 m1 done
    c3 expect 200
    c1 expect 200 & drawn
    c1 send GET /ready HTTP/1.1||
    c1 expect HTTP/1.1 200
    c4 send callback r2 m1 done
    c2 expect 200 & drawn"
)]
#[case::client_of_a_migrated_request_disconnects(
    "
    c1 send request r1
    m1 expect r1
    m1 send 202",
    "
    s send TERM
    s expect exit 0
    c1 close
    m1 expect new DELETE /jobs/r1"
)]
// Guards against a successor that goes on with a request whose client has left much unread behind.
#[case::client_of_a_migrated_request_disconnects_behind_a_closed_receive_window(
    "
    c1 send request r1
    m1 expect r1
    m1 send 202
    c1 send until-full",
    "
    s send TERM
    s expect exit 0
    c1 close
    s wait clients_left 1
    c9 send GET /counters HTTP/1.1||
    c9 expect flows 0 & answered_rejected 0 & answered_failed 0
    m1 expect new DELETE /jobs/r1"
)]
#[case::request_is_migrated_once_the_worker_has_accepted_it(
    "
    c1 send request r1
    m1 expect r1",
    "
    s send TERM
    s expect log stopping
    m1 send 202
    s expect exit 0
    c3 send callback r1 m1 done
    c1 expect drawn"
)]
#[case::attempts_of_a_migrated_request_are_retained(
    "
    c1 send request r1
    m1 expect r1
    m1 send 500
    m1 expect r1
    m1 send 202",
    "
    s send TERM
    s expect exit 0
    c3 send callback r1 m1 failed
    m1 expect new r1
    m1 send 202
    c3 send callback r1 m1 failed
    c1 expect HTTP/1.1 503
    p3 wait METRICS => svc.tries.draw-map=1"
)]
#[case::id_in_flight_at_the_predecessor_is_rejected(
    "
    c1 send request r1
    m1 expect r1
    m1 send 202",
    "
    c2 send request r1
    c2 expect 409
    c3 send callback r1 m1 done
    c1 expect drawn
    p3 wait METRICS => svc.errors.draw-map=1
    c4 send request r1
    m1 expect new r1"
)]
// Guards against a predecessor that keeps connections to workers which the successor may then not open.
#[case::replaced_process_closes_its_idle_worker_connections(
    "
    c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 done
    c1 expect drawn
    c1 send request r2
    m1 expect r2
    m1 send 202",
    "
    p2 wait METRICS => svc.active=1
    o2 wait METRICS => svc.descriptors.workers=0
    c2 send callback r2 m1 done
    c1 expect drawn"
)]
#[case::unused_connections_are_served_by_the_successor(
    "
    c1 send raw ",
    "
    s send TERM
    s expect exit 0
    c1 send GET /ready HTTP/1.1||
    c1 expect HTTP/1.1 200"
)]
#[case::predecessor_serves_again_if_the_successor_dies(
    "",
    "
    s2 send KILL
    s expect log the successor has exited
    o2 wait STATUS => +OK serving
    c1 send request r1
    m1 expect r1
    m1 send 202
    c2 send callback r1 m1 done
    c1 expect drawn
    s2 send START
    d expect new GET /v1/endpoints
    p3 wait STATUS => +OK serving"
)]
#[case::replaced_process_rejects_operator_commands(
    "",
    "
    o2 send raw PAUSE\\n
    o2 expect -ERR this process is replaced
    p3 send raw PAUSE\\n
    p3 expect +OK draining
    c1 send GET /ready HTTP/1.1||
    c1 expect 503"
)]
fn successor_takes_over(#[case] before: &str, #[case] after: &str) {
    run_scenario(&DEFAULT, &format!("{LIST_RECEIVED}{before}{UPGRADE}{after}"));
}

/// The second upgrade begins while the first predecessor still has the request r1, whose worker has not responded yet.
/// `effect` is the idempotency of its class.
fn two_overlapping_upgrades(effect: &str) -> String {
    format!(
        "{LIST_RECEIVED}
        s send config by_key => {effect}
        s send HUP
        s expect log the configuration is reloaded
        c1 send request r1 publish-map 60000
        m1 expect r1
        {UPGRADE}
        s2 expect log serving clients
        s3 send START
        s2 expect log a successor takes over
        d expect new GET /v1/endpoints
        d send 200 Transfer-Encoding: chunked
        d send full m1:active
        q1 wait STATUS => +OK serving
        p3 wait STATUS => -ERR replaced
        c2 send request r1
        c2 expect 409
        "
    )
}

/// A non-idempotent request waits for the response however long the upgrades take, and then migrates from the first
/// process to the third.
#[test]
fn request_migrates_across_two_overlapping_upgrades() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{}
            m1 send 202
            s send TERM
            s expect exit 0
            s2 send TERM
            s2 expect exit 0
            s2 expect log transactions_adopted 1
            q2 wait METRICS => svc.active=1
            c3 send callback r1 m1 done
            c3 expect 200
            c1 expect 200 & drawn
            q3 wait METRICS => svc.ok.publish-map=1",
            two_overlapping_upgrades("once")
        ),
    );
}

/// The response is overdue, so the request is retried. The worker may still report on the attempt that was cancelled,
/// so the request stays with the first process, which a callback reaches through both successors.
#[test]
fn overdue_request_is_answered_by_its_process_across_two_overlapping_upgrades() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{}
            m1 expect new DELETE /jobs/r1
            m1 send 200
            m1 expect new r1
            m1 send 202
            s send TERM
            c3 send callback r1 m1 done
            c3 expect 200
            c1 expect 200 & drawn
            s expect exit 0
            s expect log transactions_moved 0
            s2 send TERM
            s2 expect exit 0",
            two_overlapping_upgrades("repeatable")
        ),
    );
}

/// A successor of another build reads only the stable frames. Idle connections are closed, and the predecessor
/// finishes its requests, also with callbacks that reach the successor.
#[test]
fn successor_of_another_build_takes_over_without_losing_requests() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{LIST_RECEIVED}
        c1 send request r1
        m1 expect r1
        m1 send 202
        c2 send GET /ready HTTP/1.1||
        c2 expect HTTP/1.1 200
        v expect 0
        v expect 2
        v send unknown
        v send serving
        s expect log of another build
        o1 wait STATUS => -ERR replaced
        c2 expect eof
        v send callback r1 m1
        c1 expect 200 & drawn
        v expect 3
        v close
        s expect log the successor has exited
        o2 wait STATUS => +OK serving
        c3 send request r2
        m1 expect r2
        m1 send 202
        c4 send callback r2 m1 done
        c3 expect drawn"
        ),
    );
}

/// A killed process leaves its handover socket file behind. The next process must start without a predecessor.
#[test]
fn stale_handover_socket_is_ignored() {
    run_scenario(
        &DEFAULT,
        "s send KILL
        s expect exit killed
        s2 send START
        s2 expect log serving clients
        p1 wait STATUS => +OK serving",
    );
}

/// Guards against a successor that accepts nothing until its predecessor exits: the requests that migrate to it used up
/// its half of the descriptors. A third of the descriptors is in use for requests, which wait because the only worker
/// drains.
#[test]
fn successor_accepts_connections_beside_the_requests_that_migrate_to_it() {
    let mut scenario = String::from(
        "d expect GET /v1/endpoints
        d send 200 Transfer-Encoding: chunked
        d send full m1:leaving
        s wait pool_updates 1\n",
    );
    for n in 1..=10 {
        scenario += &format!("c{n} send request r{n}\n");
    }
    scenario += "s wait transactions_taken 10
        s2 send START
        s expect log a successor takes over
        d expect new GET /v1/endpoints
        d send 200 Transfer-Encoding: chunked
        d send full m1:leaving
        p2 wait STATUS => +OK serving
        o1 wait STATUS => -ERR replaced
        p3 wait METRICS => svc.active=10
        c11 send GET /ready HTTP/1.1||
        c11 expect HTTP/1.1 200
        c12 send request r12
        p4 wait METRICS => svc.active=11
        o2 wait METRICS => svc.descriptors.frontend=0
        p5 wait METRICS => svc.descriptors.frontend.limit=18";
    run_scenario(&Environment { max_sockets: 30, initial_workers: "m1:leaving", ..DEFAULT }, &scenario);
}

/// The predecessor hangs before it learns that the successor serves. It keeps the descriptors that it holds and some
/// headroom; the successor can use the others, and takes the requests over once the predecessor responds again.
#[test]
fn successor_uses_the_descriptors_that_a_hanging_predecessor_does_not_hold() {
    let mut scenario = String::from(
        "d expect GET /v1/endpoints
        d send 200 Transfer-Encoding: chunked
        d send full m1:leaving
        s wait pool_updates 1
        c1 send request r1
        c2 send request r2
        c3 send request r3
        s wait transactions_taken 3
        s2 send START
        s expect log a successor takes over
        d expect new GET /v1/endpoints
        s send STOP
        d send 200 Transfer-Encoding: chunked
        d send full m1:leaving
        p2 wait STATUS => +OK serving\n",
    );
    for n in 4..=10 {
        scenario += &format!("c{n} send request r{n}\n");
    }
    scenario += "p3 wait METRICS => svc.active=7
        c11 send GET /ready HTTP/1.1||
        c11 expect HTTP/1.1 200
        s send CONT
        p4 wait METRICS => svc.active=10
        p5 wait METRICS => svc.descriptors.frontend.limit=18";
    run_scenario(&Environment { max_sockets: 30, initial_workers: "m1:leaving", ..DEFAULT }, &scenario);
}

/// Guards against two processes that accept connections and count all descriptors each: the middle one of three is told
/// to stop first, and the first one still has a request. If the middle one exited, the first would serve again beside the
/// third. The request r2, which no worker answers in time, shows that the time for the exit has passed.
#[test]
fn middle_process_of_two_overlapping_upgrades_exits_after_the_first() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{}
            s2 send TERM
            s2 expect log stopping
            c3 send request r2 draw-map 2000
            c3 expect HTTP/1.1 503
            o2 send raw STATUS\\n
            o2 expect -ERR replaced
            m1 send 202
            q2 wait METRICS => svc.active=1
            s send TERM
            s expect exit 0
            s2 expect exit 0
            c4 send callback r1 m1 done
            c4 expect 200
            c1 expect 200 & drawn",
            two_overlapping_upgrades("once")
        ),
    );
}
