//! The platform configuration of the scenarios.

use std::collections::HashMap;
use std::net::UdpSocket;

use super::{discovery, Environment};

/// Version of the endpoint list in the configuration.
pub(super) const INITIAL_LIST_VERSION: u64 = 41;

/// The configuration of the scheduler under test. With two sites it is the one of site `a`.
pub(super) fn scheduler_config(
    environment: &Environment,
    addresses: &HashMap<String, String>,
    datagrams: &HashMap<String, UdpSocket>,
) -> String {
    let mut config = base_config(environment, addresses);
    if environment.gossip {
        config = with_gossip(&config, &datagrams["n1"].local_addr().unwrap().to_string());
    }
    if environment.two_sites {
        // The workers report no progress. A longer interval keeps running requests from being retried as overdue.
        config = config.replace(r#""progress_s":1"#, r#""progress_s":30"#);
    }
    config
}

/// The configuration of site `b`, with discovery `e` and the worker `m2`.
pub(super) fn other_site_config(config: &str, addresses: &HashMap<String, String>) -> String {
    config
        .replacen("n1", "n2", 1)
        .replace(&addresses["d"], &addresses["e"])
        .replace(r#""id":"m1""#, r#""id":"m2""#)
        .replace(&addresses["m1"], &addresses["m2"])
}

fn base_config(environment: &Environment, addresses: &HashMap<String, String>) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","ops":"127.0.0.1:0","discovery":"{}","seed":"1f","limits":{{"sockets":{},"memory_mb":{}}},
            "known":{},"settings":{{"membership_mode":"{}","areas":["a","b"],"kinds":["k"],"balancers":1,"tick_s":0.005,
            "grades":[{{"name":"draw-map","effect":"repeatable","slo_s":3,"deadline_s":8,"worth":2}},
            {{"name":"publish-map","effect":"by_key","group":"all","slo_s":3,"deadline_s":8,"window_s":40}}],
            "parties":[{{"name":"acme","quota_per_s":100}}],
            "allowed":{{"may_cancel":true,"send_cap":3,"retry_after":true,"max_retry_after_s":2,
            "connect_timeout_s":0.5,"conn_idle_s":{}}},"report":{{"fields":["queue","x0"]}},
            "contract":{{"cold_share":0.13,"warm_within_s":24,"fall_multiple":3,"overload_for_s":3}},
            "specifics":{{"tells_start":true,"progress_s":1,"report_x0":"free_slots"}}}}}}"#,
        addresses["d"],
        environment.max_sockets,
        environment.memory_mb,
        discovery::endpoint_list(INITIAL_LIST_VERSION, true, environment.initial_workers, addresses),
        if environment.pushed_lists { "pushed" } else { "on_request" },
        environment.worker_idle_timeout_s,
    )
}

fn with_gossip(config: &str, other_scheduler: &str) -> String {
    let gossip_addresses = format!(
        r#""peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1","{other_scheduler}"],"peers_all":"{other_scheduler}","known""#
    );
    config
        .replace(r#""known""#, &gossip_addresses)
        .replace(r#""may_cancel""#, r#""peer_messages":true,"may_cancel""#)
        .replace(r#""balancers":1"#, r#""balancers":2"#)
}
