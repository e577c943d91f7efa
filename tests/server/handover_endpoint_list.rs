//! Upgrades while discovery is silent: what one process of the scheduler was told of the workers holds for all of them.

use rstest::rstest;

use crate::scenario::{run_scenario, DEFAULT};

/// The scheduler is told that m1 drains and m2 serves, and discovery falls silent: it sends nothing to any process from
/// now on.
const DRAIN_THEN_SILENCE: &str = "
    d expect GET /v1/endpoints
    d send 200 Transfer-Encoding: chunked
    d send full m1:active
    s wait pool_updates 1
    d send diff m1:leaving m2:active
    s wait pool_updates 2
";

/// Starts the successor. It serves without having heard from discovery.
const UPGRADE_IN_SILENCE: &str = "
    s2 send START
    s expect log a successor takes over
    p1 wait STATUS => +OK serving
";

/// A request goes to m2, because m1 drains.
const REQUEST_GOES_TO_M2: &str = "
    c1 send request r1
    m2 expect new r1
    m2 send 202
    c2 send callback r1 m2 done
    c1 expect drawn
    m1 expect silence
";

/// Guards against a successor that dispatches to a worker which its predecessor knows to drain (`review/9`).
#[rstest]
#[case::predecessor_stops("s send TERM\ns expect exit 0")]
#[case::predecessor_is_killed("s send KILL\ns2 expect log the predecessor has exited")]
#[case::predecessor_goes_on("")]
fn successor_keeps_to_a_drain_that_only_the_predecessor_was_told_of(#[case] end: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "{DRAIN_THEN_SILENCE}{UPGRADE_IN_SILENCE}
            p2 wait METRICS => svc.pool_version=43
            {end}
            {REQUEST_GOES_TO_M2}"
        ),
    );
}

/// Guards against a successor that brings back a worker which was removed, or that the list no longer names.
#[rstest]
#[case::removed("d send diff m1:left m2:active")]
#[case::not_listed("d send full m2:active")]
fn successor_keeps_to_a_removal_that_only_the_predecessor_was_told_of(#[case] removal: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "d expect GET /v1/endpoints
            d send 200 Transfer-Encoding: chunked
            {removal}
            s wait pool_updates 1
            {UPGRADE_IN_SILENCE}
            p2 wait METRICS => svc.pool_size=1
            s send TERM
            s expect exit 0
            {REQUEST_GOES_TO_M2}"
        ),
    );
}

/// Guards against news that reach the predecessor after the successor has joined, and end with the predecessor.
#[test]
fn drain_told_to_the_predecessor_after_the_upgrade_reaches_the_successor() {
    run_scenario(
        &DEFAULT,
        &format!(
            "d expect GET /v1/endpoints
            d send 200 Transfer-Encoding: chunked
            d send full m1:active
            s wait pool_updates 1
            {UPGRADE_IN_SILENCE}
            p2 wait METRICS => svc.pool_version=42
            d send diff m1:leaving m2:active
            p3 wait METRICS => svc.pool_version=43
            s send TERM
            s expect exit 0
            {REQUEST_GOES_TO_M2}"
        ),
    );
}

/// Guards against a chain of upgrades in one outage: the process in the middle has heard nothing of discovery itself.
#[test]
fn drain_told_to_the_first_process_holds_at_the_third() {
    run_scenario(
        &DEFAULT,
        &format!(
            "{DRAIN_THEN_SILENCE}{UPGRADE_IN_SILENCE}
            s send TERM
            s expect exit 0
            s2 expect log the predecessor has exited
            s3 send START
            s2 expect log a successor takes over
            q1 wait STATUS => +OK serving
            q2 wait METRICS => svc.pool_version=43
            s2 send KILL
            s3 expect log the predecessor has exited
            {REQUEST_GOES_TO_M2}"
        ),
    );
}

/// Guards against a predecessor that serves again, after its successor has died, without what the successor was told.
#[test]
fn predecessor_keeps_to_a_drain_that_only_the_successor_was_told_of() {
    run_scenario(
        &DEFAULT,
        &format!(
            "d expect GET /v1/endpoints
            d send 200 Transfer-Encoding: chunked
            d send full m1:active
            s wait pool_updates 1
            s2 send START
            s expect log a successor takes over
            d expect new GET /v1/endpoints
            d send 200 Transfer-Encoding: chunked
            d send diff m1:leaving m2:active
            p1 wait STATUS => +OK serving
            o1 wait METRICS => svc.pool_version=43
            s2 send KILL
            s expect log the successor has exited
            o2 wait STATUS => +OK serving
            {REQUEST_GOES_TO_M2}"
        ),
    );
}
