//! Reload: SIGHUP applies a changed configuration while the scheduler serves.

use rstest::rstest;

use crate::scenario::{run_scenario, DEFAULT};

/// The discovery address changes. The versions of the new address are independent of those of the old one, so the
/// first poll starts at 0. Lists that still arrive from the old address are ignored.
#[rstest]
#[case::incremental_update("false")]
#[case::complete_snapshot("true")]
fn watch_moves_to_the_new_discovery_address(#[case] full: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            r#"d expect new since=41
            d send 200 Transfer-Encoding: chunked
            c1 send request r1
            m1 expect r1
            m1 send 202
            s send config {{d}} => {{d2}}
            s send HUP
            d2 expect new GET /v1/endpoints?follow=1&since=0
            d expect eof
            d2 send 200 Transfer-Encoding: chunked
            d2 send line {{"version":3,"full":{full},"servers":[{{"id":"m1","state":"left"}},{{"id":"m2","addr":"{{m2}}","state":"active"}}]}}
            s wait pool_updates 1
            c2 send request r2
            m2 expect r2
            c3 send callback r1 m1 done
            c1 expect 200 & drawn
            d2 close
            d2 expect new since=3"#
        ),
    );
}

/// An invalid configuration file must neither be applied in part nor stop the process.
#[rstest]
#[case::invalid_json("s send config {\"name\" => {{\"name\"", "not JSON")]
#[case::unusable_address("s send config {d} => nowhere", "no usable \"discovery\"")]
#[case::non_numeric_setting("s send config \"slo_s\":3 => \"slo_s\":\"soon\"", "cannot read value \"soon\"")]
fn invalid_file_changes_nothing(#[case] change: &str, #[case] error: &str) {
    run_scenario(
        &DEFAULT,
        &format!(
            "c1 send request r1
            m1 expect r1
            m1 send 202
            {change}
            s send HUP
            s expect log the configuration is not reloaded
            s expect log {error}
            c2 send callback r1 m1 done
            c1 expect 200
            s send TERM
            s expect exit 0"
        ),
    );
}

/// Settings change while requests are in flight or the process is stopping. Requests keep their class and are
/// answered.
#[rstest]
#[case::changed_setting(
    "s send config \"max_retry_after_s\":2 => \"max_retry_after_s\":1
    s send HUP
    s expect log the configuration is reloaded
    m1 close listener
    c1 send request r1 draw-map 900
    c1 expect 503 & Retry-After: 1.000"
)]
#[case::additional_class_in_front_of_the_others(
    "c1 send request r1
    m1 expect r1
    s send config \"grades\":[{ => \"grades\":[{\"name\":\"paint-map\",\"effect\":\"repeatable\"},{
    s send HUP
    s expect log the configuration is reloaded
    c2 send request r2 paint-map
    m1 expect new r2
    c3 send callback r2 m1 done
    c2 expect 200
    c3 send callback r1 m1 done
    c3 expect 200
    c3 expect 200
    c1 expect 200"
)]
#[case::fewer_descriptors(
    "s send config \"sockets\":1024 => \"sockets\":14
    s send HUP
    s expect log the configuration is reloaded
    c1 send request r1
    c2 send request r2
    c3 send request r3
    c4 send request r4
    c5 send request r5
    c6 send request r6
    s wait transactions_taken 6
    c7 send request r7
    c7 expect 503 & Retry-After: 0.500"
)]
#[case::keys_that_need_a_restart_are_logged(
    "s send config \"draw-map\" => \"sketch\"
    s send config \"listen\":\"127.0.0.1:0\" => \"listen\":\"127.0.0.1:1\"
    s send HUP
    s expect log some keys change with a restart only keys=grades, listen
    c1 send request r1
    m1 expect r1"
)]
#[case::repeated_signals_while_stopping(
    "c1 send request r1
    m1 expect r1
    m1 send 202
    s send HUP
    s send HUP
    s send TERM
    s send HUP
    s expect log stopping
    s send HUP
    c2 send callback r1 m1 done
    c1 expect 200
    s expect exit 0"
)]
fn reload_applies_the_file(#[case] scenario: &str) {
    run_scenario(&DEFAULT, scenario);
}
