//! An `X-Request-Id` that comes again after its request has ended: a request that may have run must not run again.

use rstest::rstest;

use crate::scenario::{run_scenario, DEFAULT};

/// Makes requests of the class `publish-map` unsafe to repeat, before any of them is sent.
const NON_IDEMPOTENT_CLASS: &str = "
    s send config \"by_key\" => \"once\"
    s send HUP
    s expect log configuration
";

/// The scheduler receives an endpoint list, as UPGRADE requires.
const LIST_RECEIVED: &str = "
    d expect GET /v1/endpoints
    d send 200 Transfer-Encoding: chunked
    d send full m1:active
    s wait pool_updates 1
";

/// The successor starts and serves.
const UPGRADE: &str = "
    s2 send START
    s expect log a successor takes over
    d expect new GET /v1/endpoints
    d send 200 Transfer-Encoding: chunked
    d send full m1:active
    p1 wait STATUS => +OK serving
    o1 wait STATUS => -ERR replaced
";

/// The client of r1 leaves while its request runs, and the worker is told to cancel it.
const CLIENT_LEAVES: &str = "
    c1 close
    m1 expect DELETE /jobs/r1
    m1 send 200
    s wait clients_left 1
    s wait flows_ended_withdrawn 1
";

/// The request r1 comes again and is not sent.
const REPETITION_FAILS: &str = "
    c5 send request r1 publish-map
    c5 expect HTTP/1.1 409 & may have run
";

/// Guards against a non-idempotent request that is sent again when its ID comes again after the request has ended.
#[rstest]
#[case::client_left_after_the_worker_accepted("m1 send 202", CLIENT_LEAVES)]
#[case::client_left_before_the_response(
    "",
    "c1 close
    m1 expect eof
    m1 expect new DELETE /jobs/r1
    m1 send 200
    s wait flows_ended_withdrawn 1"
)]
#[case::served("m1 send 202", "c2 send callback r1 m1 done\nc1 expect HTTP/1.1 200")]
#[case::failed("m1 send 202", "c2 send callback r1 m1 lost\nc1 expect HTTP/1.1 502")]
#[case::reset("m1 close", "c1 expect HTTP/1.1 502")]
fn non_idempotent_request_is_not_sent_again_with_its_id(#[case] accepted: &str, #[case] end: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "{NON_IDEMPOTENT_CLASS}
            c1 send request r1 publish-map
            m1 expect r1
            {accepted}
            {end}
            {REPETITION_FAILS}
            s wait repeated_ids 1"
        ),
    );
}

/// A request that surely never ran may be sent again.
#[test]
fn id_of_a_request_that_never_ran_is_accepted_again() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{NON_IDEMPOTENT_CLASS}
            d expect new since=41
            d send 200 Transfer-Encoding: chunked
            d send diff m1:leaving
            s wait pool_updates 1
            c1 send request r1 publish-map
            s wait transactions_taken 1
            c1 close
            s wait clients_left 1
            d send diff m1:active
            c2 send request r1 publish-map
            m1 expect r1
            c3 send callback r1 m1 done
            c2 expect HTTP/1.1 200"
        ),
    );
}

/// Workers drop the repetition of a request with a key, so it is sent.
#[test]
fn request_with_a_key_is_sent_again_with_its_id() {
    run_scenario(
        &DEFAULT,
        "c1 send request r1 publish-map
        m1 expect r1
        m1 send 202
        c2 send callback r1 m1 done
        c1 expect HTTP/1.1 200
        c3 send request r1 publish-map
        m1 expect r1
        c2 send callback r1 m1 done
        c3 expect HTTP/1.1 200",
    );
}

/// Guards against an ID that ended in one process of an upgrade and comes again at the other.
#[rstest]
#[case::client_left_before_the_upgrade(CLIENT_LEAVES, "")]
#[case::client_left_the_predecessor(
    "",
    "c1 close
    m1 expect new DELETE /jobs/r1
    m1 send 200
    s wait flows_ended_withdrawn 1"
)]
#[case::served_before_the_upgrade("c2 send callback r1 m1 done\nc1 expect HTTP/1.1 200", "")]
#[case::served_by_the_successor("", "c2 send callback r1 m1 done\nc1 expect HTTP/1.1 200")]
fn id_that_may_have_run_is_known_to_the_successor(#[case] before: &str, #[case] after: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "{NON_IDEMPOTENT_CLASS}{LIST_RECEIVED}
            c1 send request r1 publish-map
            m1 expect r1
            m1 send 202
            {before}
            {UPGRADE}
            {after}
            {REPETITION_FAILS}"
        ),
    );
}

/// Guards against a request that runs for a predecessor which is killed: the worker has not answered, so it has not migrated.
#[test]
fn id_that_may_have_run_at_a_killed_predecessor_is_known_to_the_successor() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{NON_IDEMPOTENT_CLASS}{LIST_RECEIVED}
            c1 send request r1 publish-map
            m1 expect r1
            {UPGRADE}
            s send KILL
            s2 expect log the predecessor has exited
            {REPETITION_FAILS}"
        ),
    );
}

/// Guards against a predecessor that serves again after its successor has died, and does not know what ran there.
#[test]
fn id_that_may_have_run_at_a_dead_successor_is_known_to_the_predecessor() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{NON_IDEMPOTENT_CLASS}{LIST_RECEIVED}
            {UPGRADE}
            c1 send request r1 publish-map
            m1 expect r1
            m1 send 202
            s2 send KILL
            s expect log the successor has exited
            o2 wait STATUS => +OK serving
            {REPETITION_FAILS}"
        ),
    );
}

/// Guards against an ID that migrated to the successor, which still runs it, and comes again at the predecessor on a
/// connection that it still has.
#[test]
fn id_that_migrated_is_in_use_at_the_predecessor() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{NON_IDEMPOTENT_CLASS}{LIST_RECEIVED}
            c1 send request r1 publish-map
            m1 expect r1
            m1 send 202
            c5 send raw POST /publish-map/a HTTP/1.1\\r\\nX-Request-Id: r1\\r\\nX-Tenant: acme\\r\\nIdempotency-Key: k\\r\\nContent-Length: 1\\r\\n\\r\\n
            {UPGRADE}
            p2 wait METRICS => svc.active=1
            c5 send raw x
            c5 expect HTTP/1.1 409
            c2 send callback r1 m1 done
            c1 expect HTTP/1.1 200"
        ),
    );
}

/// Guards against a request that the predecessor admits after its successor serves, and dispatches itself: the two would
/// then decide on one ID each for itself.
#[test]
fn request_admitted_by_a_replaced_process_is_dispatched_by_the_successor() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{LIST_RECEIVED}
            c5 send raw POST /draw-map/a HTTP/1.1\\r\\nX-Request-Id: r1\\r\\nX-Tenant: acme\\r\\nContent-Length: 1\\r\\n\\r\\n
            {UPGRADE}
            c5 send raw x
            m1 expect r1
            m1 send 202
            p2 wait METRICS => svc.tries.draw-map=1
            o2 wait METRICS => svc.tries.draw-map=0
            c2 send callback r1 m1 done
            c5 expect HTTP/1.1 200"
        ),
    );
}
