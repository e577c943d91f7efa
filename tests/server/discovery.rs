//! The endpoint list: changes, silence of discovery, and malformed data.

use rstest::rstest;

use crate::scenario::{play, World, PLAIN};

const REQUEST_GOES_TO_M2: &str =
    "c1 send request r1\nm2 expect r1\nm1 expect silence\nc2 send callback r1 m2 done\nc1 expect drawn";

#[rstest]
#[case::a_complete_snapshot("d send full m2:active", REQUEST_GOES_TO_M2)]
#[case::an_incremental_update("d send some m1:left m2:active", REQUEST_GOES_TO_M2)]
#[case::a_drain("d send some m1:leaving m2:active", REQUEST_GOES_TO_M2)]
#[case::a_new_address("d send some m1@m2:active", "c1 send request r1\nm2 expect r1\nm1 expect silence")]
#[case::a_change_split_over_chunks_after_an_empty_line(
    "d send raw 1\\r\\n\\n\\r\\n15\\r\\n{\"version\":42,\"full\":\\r\\n13\\r\\ntrue,\"servers\":[]}\\n\\r\\n\nd send full m2:active",
    REQUEST_GOES_TO_M2
)]
#[case::indented(
    "d send raw 32\\r\\n{\\n  \"version\": 42,\\n  \"full\": true,\\n  \"servers\": [\\n\\r\\n5\\r\\n  ]\\n}\\r\\n1\\r\\n\\n\\r\\n\nd send full m2:active",
    REQUEST_GOES_TO_M2
)]
#[case::lines_that_are_no_list(
    "d send line {{{{\nd send line [1]\nd send full m2:active",
    REQUEST_GOES_TO_M2
)]
#[case::an_unreadable_entry_hides_no_other(
    "d send line {\"version\":41,\"full\":true,\"servers\":[7,{\"id\":\"m1\"},null]}\nd send some m1:left m2:active",
    REQUEST_GOES_TO_M2
)]
fn applies_a_change_of_the_endpoint_list(#[case] change: &str, #[case] then: &str) {
    let scenario = format!(
        "d expect new GET /v1/endpoints?follow=1&since=41
        d send 200 Transfer-Encoding: chunked
        {change}
        d send some m9@m1:left
        s wait pool_updates 2
        {then}"
    );
    play(&PLAIN, &scenario);
}

#[rstest]
#[case::ended("d close")]
#[case::rejected("d send 503\nd close")]
#[case::ended_in_order("d send 200 Transfer-Encoding: chunked\nd send raw 0\\r\\n\\r\\n")]
#[case::malformed("d send raw nonsense\\r\\n\\r\\n")]
#[case::silent("d send 200 Transfer-Encoding: chunked")]
fn polls_again_from_the_known_version_after_a_watch_ends(#[case] end: &str) {
    play(
        &PLAIN,
        &format!(
            "d expect new since=41
            d send 200 Transfer-Encoding: chunked
            d send some m2:active
            s wait pool_updates 1
            d close
            d expect new since=42
            {end}
            d expect new since=42
            s expect log discovery lost"
        ),
    );
}

/// A watch that has missed a line is suspected: the poll beside it becomes the watch if it brings data first.
#[rstest]
#[case::the_poll_brings_data("d send 200 Transfer-Encoding: chunked\nd send some m2:active")]
#[case::the_poll_brings_a_list_that_does_not_end(
    "d send 200 Transfer-Encoding: chunked\nd send line {\"version\":43,\"servers\":[\nd expect new since=42\nd send 200 Transfer-Encoding: chunked\nd send some m2:active"
)]
fn polls_beside_a_silent_watch(#[case] then: &str) {
    let scenario = format!(
        "d expect new since=41
        d send 200 Transfer-Encoding: chunked
        d send some m1:leaving
        s wait pool_updates 1
        d expect new since=42
        s expect log nothing received in time
        {then}
        s wait pool_updates 2
        {REQUEST_GOES_TO_M2}"
    );
    play(&PLAIN, &scenario);
}

/// An agent that swallows a poll is polled again within the grace of a drain: the list that it gets counts as
/// notified at once.
#[test]
fn polls_a_silent_agent_again() {
    let polls = "d expect new since=41\n".repeat(4);
    play(&World { agent: true, ..PLAIN }, &format!("{polls}s expect log nothing received in time"));
}

/// An older list would bring a worker back, and a torn one would remove it.
#[rstest]
#[case::older(
    "d send line {{\"version\":40,\"full\":false,\"servers\":[{{\"id\":\"m1\",\"state\":\"left\"}}]}}"
)]
#[case::torn("d send line {{\"version\":42,\"full\":false,\"servers\":[{{\"id\":\"m1\",\"state\":\"left\"")]
#[case::with_an_unreadable_entry("d send line {{\"version\":42,\"full\":false,\"servers\":[{{\"id\":7,\"state\":\"left\"}}]}}\ns expect log malformed=\"entry\"")]
fn ignores_an_older_torn_or_unreadable_list(#[case] list: &str) {
    let scenario = format!(
        "d expect new since=41
        d send 200 Transfer-Encoding: chunked
        {list}
        d send some m2:leaving
        c1 send request r1
        m1 expect r1
        c2 send callback r1 m1 done
        c1 expect drawn"
    );
    play(&PLAIN, &scenario.replace("{{", "{").replace("}}", "}"));
}

#[test]
fn loses_no_list_of_a_watch_that_ends_after_each() {
    let line = |since: u64, list: &str| {
        format!("d expect new since={since}\nd send 200 Transfer-Encoding: chunked\nd send {list}\nd close\n")
    };
    let lines = line(41, "some m2:active") + &line(42, "some m1:leaving") + &line(43, "some m1:left");
    play(&PLAIN, &format!("{lines}s wait pool_updates 3\n{REQUEST_GOES_TO_M2}"));
}

/// m1 leaves with version 42. Discovery then fails for a while, and comes back with the list before that.
#[rstest]
#[case::it_catches_up(
    "d send line {\"version\":43,\"full\":false,\"servers\":[{\"id\":\"m1\",\"state\":\"left\"}]}
    s wait pool_updates 2
    d close
    d expect new since=43"
)]
#[case::it_has_been_set_back(
    "d expect new since=42
    d expect new since=42
    d expect new since=0
    d send 200 Transfer-Encoding: chunked
    d send line {\"version\":7,\"full\":true,\"servers\":[{\"id\":\"m1\",\"addr\":\"{m1}\",\"state\":\"active\"}]}
    s wait pool_updates 2
    c1 send request r2
    m1 expect r2"
)]
fn ignores_an_older_list_until_discovery_catches_up_or_is_set_back(#[case] then: &str) {
    let failures = "d expect new since=42\nd send 503\nd close\n".repeat(3);
    play(
        &PLAIN,
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

/// Until discovery answers, the scheduler serves with the endpoint list that it was started with.
#[test]
fn serves_with_the_known_list_while_discovery_is_silent() {
    play(
        &PLAIN,
        "c1 send GET /ready HTTP/1.1||
        c1 expect HTTP/1.1 200
        c1 send request r1
        m1 expect r1
        c2 send callback r1 m1 done
        c1 expect drawn",
    );
}

/// Rule 4. The scheduling module compares its clock with the start times of workers, so the clock must count from the
/// Unix epoch. The cost hint is just over what a worker that started a second ago may be sent.
#[rstest]
#[case::warming_up("m1:active:-1 m2:active", "m2", "m1")]
#[case::warming_up_whatever_the_order("m1:active m2:active:-1", "m1", "m2")]
#[case::warm("m1:active:-3600", "m1", "m2")]
fn sends_no_expensive_request_to_a_worker_that_is_warming_up(
    #[case] known: &'static str,
    #[case] to: &str,
    #[case] not: &str,
) {
    let request = "POST /draw-map/a HTTP/1.1|X-Request-Id: r1|X-Tenant: acme|X-Cost-Hint: 1500000||";
    play(
        &World { known, ..PLAIN },
        &format!(
            "c1 send {request}\n{to} expect r1\n{not} expect silence\nc2 send callback r1 {to} done\nc1 expect drawn"
        ),
    );
}

/// The process behind a pooled connection is gone, even if its end has not arrived yet.
#[test]
fn closes_pooled_connections_when_the_worker_restarts() {
    play(
        &PLAIN,
        "d expect new follow=1
        d send 200 Transfer-Encoding: chunked
        c1 send request r1
        m1 expect r1
        m1 send 202
        c2 send callback r1 m1 done
        c1 expect 200
        d send some m1:active:-3600
        s wait pool_updates 1
        m1 expect eof
        c1 send request r2
        m1 expect new r2",
    );
}
