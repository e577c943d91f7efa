//! The pool: what discovery says, when it says nothing, and when it says nonsense.

use rstest::rstest;

use crate::scenario::{play, World, PLAIN};

const JOB_AT_M2: &str =
    "c1 send job r1\nm2 expect r1\nm1 expect silence\nc2 send call r1 m2 done\nc1 expect drawn";

#[rstest]
#[case::the_whole_list("d send full m2:active", JOB_AT_M2)]
#[case::changes("d send some m1:left m2:active", JOB_AT_M2)]
#[case::a_drain("d send some m1:leaving m2:active", JOB_AT_M2)]
#[case::a_new_address("d send some m1@m2:active", "c1 send job r1\nm2 expect r1\nm1 expect silence")]
#[case::a_change_split_over_chunks_after_an_empty_line(
    "d send raw 1\\r\\n\\n\\r\\n15\\r\\n{\"version\":42,\"full\":\\r\\n13\\r\\ntrue,\"servers\":[]}\\n\\r\\n\nd send full m2:active",
    JOB_AT_M2
)]
#[case::indented(
    "d send raw 32\\r\\n{\\n  \"version\": 42,\\n  \"full\": true,\\n  \"servers\": [\\n\\r\\n5\\r\\n  ]\\n}\\r\\n1\\r\\n\\n\\r\\n\nd send full m2:active",
    JOB_AT_M2
)]
#[case::nonsense("d send line {{{{\nd send line [1]\nd send full m2:active", JOB_AT_M2)]
#[case::an_entry_without_sense_hides_no_other(
    "d send line {\"version\":41,\"full\":true,\"servers\":[7,{\"id\":\"m1\"},null]}\nd send some m1:left m2:active",
    JOB_AT_M2
)]
fn a_change_is_followed(#[case] change: &str, #[case] then: &str) {
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
#[case::refused("d send 503\nd close")]
#[case::ended_in_order("d send 200 Transfer-Encoding: chunked\nd send raw 0\\r\\n\\r\\n")]
#[case::garbled("d send raw nonsense\\r\\n\\r\\n")]
#[case::silent("d send 200 Transfer-Encoding: chunked")]
fn a_watch_that_ends_is_begun_anew_where_it_stopped(#[case] end: &str) {
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

/// A watch that has missed a line is doubted: the call beside it is kept if it speaks first.
#[rstest]
#[case::the_call_speaks("d send 200 Transfer-Encoding: chunked\nd send some m2:active")]
#[case::a_list_of_its_own_has_begun_and_does_not_end(
    "d send 200 Transfer-Encoding: chunked\nd send line {\"version\":43,\"servers\":[\nd expect new since=42\nd send 200 Transfer-Encoding: chunked\nd send some m2:active"
)]
fn a_silent_watch_is_asked_for_beside_it(#[case] then: &str) {
    let scenario = format!(
        "d expect new since=41
        d send 200 Transfer-Encoding: chunked
        d send some m1:leaving
        s wait pool_updates 1
        d expect new since=42
        s expect log nothing received in time
        {then}
        s wait pool_updates 2
        {JOB_AT_M2}"
    );
    play(&PLAIN, &scenario);
}

/// An agent that swallows a call is asked again within the grace of a drain: what it gets counts at once.
#[test]
fn an_agent_that_is_silent_is_asked_again() {
    let calls = "d expect new since=41\n".repeat(4);
    play(&World { agent: true, ..PLAIN }, &format!("{calls}s expect log nothing received in time"));
}

/// A member that an older change names would come back; one that a torn line names would go.
#[rstest]
#[case::older(
    "d send line {{\"version\":40,\"full\":false,\"servers\":[{{\"id\":\"m1\",\"state\":\"left\"}}]}}"
)]
#[case::torn("d send line {{\"version\":42,\"full\":false,\"servers\":[{{\"id\":\"m1\",\"state\":\"left\"")]
#[case::spoilt("d send line {{\"version\":42,\"full\":false,\"servers\":[{{\"id\":7,\"state\":\"left\"}}]}}\ns expect log malformed=\"entry\"")]
fn a_list_that_is_old_or_spoilt_changes_nothing(#[case] list: &str) {
    let scenario = format!(
        "d expect new since=41
        d send 200 Transfer-Encoding: chunked
        {list}
        d send some m2:leaving
        c1 send job r1
        m1 expect r1
        c2 send call r1 m1 done
        c1 expect drawn"
    );
    play(&PLAIN, &scenario.replace("{{", "{").replace("}}", "}"));
}

#[test]
fn a_watch_that_ends_at_each_line_loses_none() {
    let line = |since: u64, list: &str| {
        format!("d expect new since={since}\nd send 200 Transfer-Encoding: chunked\nd send {list}\nd close\n")
    };
    let lines = line(41, "some m2:active") + &line(42, "some m1:leaving") + &line(43, "some m1:left");
    play(&PLAIN, &format!("{lines}s wait pool_updates 3\n{JOB_AT_M2}"));
}

/// m1 leaves by version 42. Discovery then fails for a while, and comes back with the list from before that.
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
    c1 send job r2
    m1 expect r2"
)]
fn a_discovery_that_comes_back_older_brings_nobody_back_at_once(#[case] then: &str) {
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
            {JOB_AT_M2}
            {then}",
            old = r#"{"version":41,"full":true,"servers":[{"id":"m1","addr":"{m1}","state":"active"},{"id":"m2","addr":"{m2}","state":"active"}]}"#
        ),
    );
}

/// Until discovery speaks, the scheduler serves with the pool that it was started with.
#[test]
fn it_serves_while_discovery_is_silent() {
    play(
        &PLAIN,
        "c1 send GET /ready HTTP/1.1||
        c1 expect HTTP/1.1 200
        c1 send job r1
        m1 expect r1
        c2 send call r1 m1 done
        c1 expect drawn",
    );
}

/// Rule 4. The module compares its clock with the start times of members: a clock that does not count from
/// the Unix epoch would take one for the other. The hint is just over what a
/// member that started a second ago may be sent.
#[rstest]
#[case::cold("m1:active:-1 m2:active", "m2", "m1")]
#[case::cold_is_not_a_matter_of_order("m1:active m2:active:-1", "m1", "m2")]
#[case::warm_long_since("m1:active:-3600", "m1", "m2")]
fn a_cold_member_gets_no_heavy_job(#[case] known: &'static str, #[case] to: &str, #[case] not: &str) {
    let job = "POST /draw-map/a HTTP/1.1|X-Request-Id: r1|X-Tenant: acme|X-Cost-Hint: 1500000||";
    play(
        &World { known, ..PLAIN },
        &format!(
            "c1 send {job}\n{to} expect r1\n{not} expect silence\nc2 send call r1 {to} done\nc1 expect drawn"
        ),
    );
}

/// The process behind the kept connection is gone, even if nothing has come of it yet.
#[test]
fn a_restart_ends_kept_connections() {
    play(
        &PLAIN,
        "d expect new follow=1
        d send 200 Transfer-Encoding: chunked
        c1 send job r1
        m1 expect r1
        m1 send 202
        c2 send call r1 m1 done
        c1 expect 200
        d send some m1:active:-3600
        s wait pool_updates 1
        m1 expect eof
        c1 send job r2
        m1 expect new r2",
    );
}
