//! Retries of requests with an idempotency key, whose repetitions only the workers of one zone or cell drop.

use rstest::rstest;

use crate::scenario::{run_scenario, DEFAULT};

/// Sends a request with a key to the worker m1, which drains and loses it once m2 has become available. `m1` and `m2` are the
/// zones and cells of the two workers as JSON fields of the endpoint list.
fn lose_request_at_m1(scope: &str, m1: &str, m2: &str) -> String {
    let list = |version: u32, m1_state: &str, m2_state: &str| {
        format!(
            r#"d send line {{"version":{version},"full":true,"servers":[
            {{"id":"m1","addr":"{{m1}}",{m1},"kind":"k","state":"{m1_state}","weight":1.0,"started_ms":0}},
            {{"id":"m2","addr":"{{m2}}",{m2},"kind":"k","state":"{m2_state}","weight":1.0,"started_ms":0}}]}}"#
        )
        .replace("\n            ", " ")
    };
    let (before, after) = (list(50, "active", "leaving"), list(51, "leaving", "active"));
    format!(
        r#"d expect GET /v1/endpoints
        d send 200 Transfer-Encoding: chunked
        s send config "group":"all" => "group":"{scope}"
        s send config "areas":["a","b"] => "areas":["Old Town","New Town","Dock, East"]
        s send HUP
        s expect log the configuration is reloaded
        {before}
        s wait pool_updates 1
        c1 send request r1 publish-map 1000
        m1 expect r1
        m1 send 202
        {after}
        s wait pool_updates 2
        c2 send callback r1 m1 lost
        c2 expect 200
        "#
    )
}

/// Guards against a second effect: a worker that does not know the key would run the request again. Zones whose names
/// are spelled differently than in the settings, and zones and cells that are unknown, once counted as the same one.
#[rstest]
#[case::zones_with_spaces("zone", r#""zone":"Old Town","cell":0"#, r#""zone":"New Town","cell":0"#)]
#[case::zones_spelled_as_in_the_settings(
    "zone",
    r#""zone":"Old_Town","cell":0"#,
    r#""zone":"New_Town","cell":0"#
)]
#[case::one_zone_in_two_spellings("zone", r#""zone":"Old Town","cell":0"#, r#""zone":"Old_Town","cell":0"#)]
#[case::zones_not_in_the_settings("zone", r#""zone":"North","cell":0"#, r#""zone":"South","cell":0"#)]
#[case::no_zone("zone", r#""cell":0"#, r#""cell":0"#)]
#[case::cells_that_are_too_large(
    "cell",
    r#""zone":"Old Town","cell":70000"#,
    r#""zone":"Old Town","cell":70001"#
)]
#[case::no_cell("cell", r#""zone":"Old Town""#, r#""zone":"Old Town""#)]
fn keyed_request_is_not_retried_at_a_worker_that_may_not_know_the_key(
    #[case] scope: &str,
    #[case] m1: &str,
    #[case] m2: &str,
) {
    let lost = lose_request_at_m1(scope, m1, m2);
    run_scenario(&DEFAULT, &format!("{lost}c1 expect HTTP/1.1 502\nm2 expect silence"));
}

/// Workers of one zone or cell share the key, however the zone is called.
#[rstest]
#[case::zone_with_a_space("zone", r#""zone":"Old Town","cell":0"#, r#""zone":"Old Town","cell":1"#)]
#[case::zone_with_a_comma("zone", r#""zone":"Dock, East","cell":0"#, r#""zone":"Dock, East","cell":1"#)]
#[case::zone_not_in_the_settings("zone", r#""zone":"North","cell":0"#, r#""zone":"North","cell":1"#)]
#[case::cell("cell", r#""zone":"Old Town","cell":7"#, r#""zone":"New Town","cell":7"#)]
fn keyed_request_is_retried_at_a_worker_that_knows_the_key(
    #[case] scope: &str,
    #[case] m1: &str,
    #[case] m2: &str,
) {
    run_scenario(&DEFAULT, &format!("{}m2 expect r1", lose_request_at_m1(scope, m1, m2)));
}
