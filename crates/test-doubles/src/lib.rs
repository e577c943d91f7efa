//! Test doubles of a scheduler's environment on loopback: workers, a discovery service, clients, and a proxy between
//! sites that injects delays and faults. They speak the platform's protocol. Workers record their runs in a [`Journal`],
//! against which a test checks the scheduler's guarantees. Everything runs on one thread, in tasks of a `LocalSet`.
//!
//! | module | contents |
//! | --- | --- |
//! | `worker`, `discovery`, `client` | the test doubles |
//! | `callback_faults` | random faults of a worker's callbacks |
//! | `faulty_proxy` | a TCP proxy between sites that delays, holds back and resets connections |
//! | `traffic` | random requests from a seed, and their results |
//! | `scheduler_process`, `site`, `program` | the scheduler under test: its process, a site with workers, the binary |
//! | `journal` | record of all runs at the workers |
//!
//! Used by `crates/benchmarks`, `crates/fault-injection` and `chutesaddle demo`.
#![warn(missing_docs)]

mod callback_faults;
pub mod client;
pub mod discovery;
pub mod faulty_proxy;
mod http;
pub mod journal;
pub mod program;
pub mod scheduler_process;
pub mod site;
pub mod traffic;
pub mod worker;

pub use callback_faults::CallbackFaultRates;
pub use client::{Client, ClientRequest, ClientResult};
pub use discovery::Discovery;
pub use faulty_proxy::{FaultyProxy, ProxyState};
pub use journal::{Journal, Run};
pub use scheduler_process::SchedulerProcess;
pub use site::TestSite;
pub use worker::{TestWorker, WorkerSpec};

/// The configuration of a scheduler in a small deployment, in the platform's JSON format.
pub fn config(name: &str, discovery: std::net::SocketAddr, seed: u64) -> String {
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:0","ops":"127.0.0.1:0","discovery":"{discovery}",
"seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"areas":["here"],"kinds":["fast-3","wide-5","small-2"],"balancers":1,"index":0,"tick_s":0.005,
"grades":[{{"name":"draw-map","effect":"repeatable","group":"all","slo_s":0.25,"deadline_s":7.5,"worth":2,"window_s":5}},
{{"name":"publish-map","effect":"by_key","group":"all","slo_s":0.8,"deadline_s":25,"worth":5,"window_s":40}}],
"parties":[{{"name":"barfani-heights","share":0.5,"quota_per_s":500}},
{{"name":"chinar-slopes","share":0.5,"quota_per_s":500}}],
"allowed":{{"may_cancel":true,"send_cap":3,"retry_after":true,"max_retry_after_s":2,"connect_timeout_s":0.25,
"conn_idle_s":60}},"report":{{"fields":["eps","latency_ms","queue","x0"]}},"over_share_worth":0.05,
"contract":{{"cold_share":0.13,"warm_within_s":24,"fall_multiple":3,"overload_for_s":3}},
"specifics":{{"class_stretch":[2.5,2.0],"tells_start":true,"progress_s":1,"report_x0":"free_slots"}}}}}}"#
    )
}
