//! Discovery: updates of the endpoint list, silent or failing discovery services, and malformed data.

use rstest::rstest;

use crate::scenario::{run_scenario, Environment, DEFAULT};

/// Sends a request and expects it at m2.
const REQUEST_GOES_TO_M2: &str =
    "c1 send request r1\nm2 expect r1\nm1 expect silence\nc2 send callback r1 m2 done\nc1 expect drawn";

/// An update that is split, indented or next to malformed data must still be applied.
#[rstest]
#[case::complete_snapshot("d send full m2:active", REQUEST_GOES_TO_M2)]
#[case::incremental_update("d send diff m1:left m2:active", REQUEST_GOES_TO_M2)]
#[case::drain("d send diff m1:leaving m2:active", REQUEST_GOES_TO_M2)]
#[case::new_address("d send diff m1@m2:active", "c1 send request r1\nm2 expect r1\nm1 expect silence")]
#[case::update_split_over_chunks_after_an_empty_line(
    "d send raw 1\\r\\n\\n\\r\\n15\\r\\n{\"version\":42,\"full\":\\r\\n13\\r\\ntrue,\"servers\":[]}\\n\\r\\n\nd send full m2:active",
    REQUEST_GOES_TO_M2
)]
#[case::indented_json(
    "d send raw 32\\r\\n{\\n  \"version\": 42,\\n  \"full\": true,\\n  \"servers\": [\\n\\r\\n5\\r\\n  ]\\n}\\r\\n1\\r\\n\\n\\r\\n\nd send full m2:active",
    REQUEST_GOES_TO_M2
)]
#[case::lines_that_are_not_a_list(
    "d send line {{{{\nd send line [1]\nd send full m2:active",
    REQUEST_GOES_TO_M2
)]
#[case::malformed_entry_does_not_hide_others(
    "d send line {\"version\":41,\"full\":true,\"servers\":[7,{\"id\":\"m1\"},null]}\nd send diff m1:left m2:active",
    REQUEST_GOES_TO_M2
)]
fn applies_an_endpoint_list_update(#[case] update: &str, #[case] then: &str) {
    let scenario = format!(
        "d expect new GET /v1/endpoints?follow=1&since=41
        d send 200 Transfer-Encoding: chunked
        {update}
        d send diff m9@m1:left
        s wait pool_updates 2
        {then}"
    );
    run_scenario(&DEFAULT, &scenario);
}

/// A watch ends without notice or in error. The next poll must ask for changes since the last applied version, or
/// updates are lost.
#[rstest]
#[case::connection_closed("d close")]
#[case::poll_rejected("d send 503\nd close")]
#[case::response_completed("d send 200 Transfer-Encoding: chunked\nd send raw 0\\r\\n\\r\\n")]
#[case::malformed_response("d send raw nonsense\\r\\n\\r\\n")]
#[case::no_data("d send 200 Transfer-Encoding: chunked")]
fn polls_again_from_the_last_version_after_a_watch_ends(#[case] end: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "d expect new since=41
            d send 200 Transfer-Encoding: chunked
            d send diff m2:active
            s wait pool_updates 1
            d close
            d expect new since=42
            {end}
            d expect new since=42
            s expect log discovery lost"
        ),
    );
}

/// A watch that has missed a line is suspected to be dead. A poll runs beside it and becomes the watch if it delivers
/// data first.
#[rstest]
#[case::poll_delivers_data("d send 200 Transfer-Encoding: chunked\nd send diff m2:active")]
#[case::poll_delivers_an_incomplete_list(
    "d send 200 Transfer-Encoding: chunked\nd send line {\"version\":43,\"servers\":[\nd expect new since=42\nd send 200 Transfer-Encoding: chunked\nd send diff m2:active"
)]
fn polls_beside_a_silent_watch(#[case] then: &str) {
    let scenario = format!(
        "d expect new since=41
        d send 200 Transfer-Encoding: chunked
        d send diff m1:leaving
        s wait pool_updates 1
        d expect new since=42
        s expect log nothing received in time
        {then}
        s wait pool_updates 2
        {REQUEST_GOES_TO_M2}"
    );
    run_scenario(&DEFAULT, &scenario);
}

/// An agent does not answer a poll. It must be polled again within the grace period of a drain: a list counts as
/// delivered as soon as the agent has it.
#[test]
fn silent_agent_is_polled_again() {
    let polls = "d expect new since=41\n".repeat(4);
    run_scenario(
        &Environment { pushed_lists: true, ..DEFAULT },
        &format!("{polls}s expect log nothing received in time"),
    );
}

/// An older list could add a removed worker again, and a truncated one could remove a worker.
#[rstest]
#[case::older(
    "d send line {{\"version\":40,\"full\":false,\"servers\":[{{\"id\":\"m1\",\"state\":\"left\"}}]}}"
)]
#[case::truncated(
    "d send line {{\"version\":42,\"full\":false,\"servers\":[{{\"id\":\"m1\",\"state\":\"left\""
)]
#[case::with_a_malformed_entry("d send line {{\"version\":42,\"full\":false,\"servers\":[{{\"id\":7,\"state\":\"left\"}}]}}\ns expect log malformed=\"entry\"")]
fn ignores_an_older_truncated_or_malformed_list(#[case] list: &str) {
    let scenario = format!(
        "d expect new since=41
        d send 200 Transfer-Encoding: chunked
        {list}
        d send diff m2:leaving
        c1 send request r1
        m1 expect r1
        c2 send callback r1 m1 done
        c1 expect drawn"
    );
    run_scenario(&DEFAULT, &scenario.replace("{{", "{").replace("}}", "}"));
}

/// Discovery ends each watch after one list. Each poll must continue from the version of that list, or updates are
/// lost.
#[test]
fn applies_every_list_of_watches_that_end_after_one_list() {
    let line = |since: u64, list: &str| {
        format!("d expect new since={since}\nd send 200 Transfer-Encoding: chunked\nd send {list}\nd close\n")
    };
    let lines = line(41, "diff m2:active") + &line(42, "diff m1:leaving") + &line(43, "diff m1:left");
    run_scenario(&DEFAULT, &format!("{lines}s wait pool_updates 3\n{REQUEST_GOES_TO_M2}"));
}

/// m1 leaves with version 42. Discovery fails for a while and then returns the older version 41, which lists m1 as active.
/// The older list is ignored until discovery has caught up, or is polled from version 0 and proves to have been
/// reset.
#[rstest]
#[case::discovery_catches_up(
    "d send line {\"version\":43,\"full\":false,\"servers\":[{\"id\":\"m1\",\"state\":\"left\"}]}
    s wait pool_updates 2
    d close
    d expect new since=43"
)]
#[case::discovery_was_reset(
    "d expect new since=42
    d expect new since=42
    d expect new since=0
    d send 200 Transfer-Encoding: chunked
    d send line {\"version\":7,\"full\":true,\"servers\":[{\"id\":\"m1\",\"addr\":\"{m1}\",\"state\":\"active\"}]}
    s wait pool_updates 2
    c1 send request r2
    m1 expect r2"
)]
fn ignores_an_older_list_until_discovery_catches_up_or_is_reset(#[case] then: &str) {
    let failures = "d expect new since=42\nd send 503\nd close\n".repeat(3);
    run_scenario(
        &DEFAULT,
        &format!(
            "d expect new since=41
            d send 200 Transfer-Encoding: chunked
            d send full m1:leaving m2:active
            s wait pool_updates 1
            d close
            {failures}
            d expect new since=42
            d send 200 Transfer-Encoding: chunked
            d send line {old}
            s expect log endpoint list of an older version
            {REQUEST_GOES_TO_M2}
            {then}",
            old = r#"{"version":41,"full":true,"servers":[{"id":"m1","addr":"{m1}","state":"active"},{"id":"m2","addr":"{m2}","state":"active"}]}"#
        ),
    );
}

/// Until discovery responds, the scheduler uses the endpoint list of its configuration.
#[test]
fn serves_with_the_configured_list_while_discovery_is_silent() {
    run_scenario(
        &DEFAULT,
        "c1 send GET /ready HTTP/1.1||
        c1 expect HTTP/1.1 200
        c1 send request r1
        m1 expect r1
        c2 send callback r1 m1 done
        c1 expect drawn",
    );
}

/// Rule 4. The scheduling module compares its clock with the start times of workers, so the clock must count from the
/// Unix epoch. The cost hint is just above the limit for a worker that started one second ago.
#[rstest]
#[case::warming_up("m1:active:-1 m2:active", "m2", "m1")]
#[case::warming_up_in_either_order("m1:active m2:active:-1", "m1", "m2")]
#[case::warm("m1:active:-3600", "m1", "m2")]
fn sends_no_expensive_request_to_a_worker_that_is_warming_up(
    #[case] initial_workers: &'static str,
    #[case] expected_worker: &str,
    #[case] other_worker: &str,
) {
    let request = "POST /draw-map/a HTTP/1.1|X-Request-Id: r1|X-Tenant: acme|X-Cost-Hint: 1500000||";
    run_scenario(
        &Environment { initial_workers, ..DEFAULT },
        &format!(
            "c1 send {request}\n{expected_worker} expect r1\n{other_worker} expect silence\nc2 send callback r1 {expected_worker} done\nc1 expect drawn"
        ),
    );
}

/// A pooled connection leads to the previous process of the worker and is unusable, even if its close has not arrived
/// yet.
#[test]
fn closes_pooled_connections_when_the_worker_restarts() {
    run_scenario(
        &DEFAULT,
        "d expect new follow=1
        d send 200 Transfer-Encoding: chunked
        c1 send request r1
        m1 expect r1
        m1 send 202
        c2 send callback r1 m1 done
        c1 expect 200
        d send diff m1:active:-3600
        s wait pool_updates 1
        m1 expect eof
        c1 send request r2
        m1 expect new r2",
    );
}
