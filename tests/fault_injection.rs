//! Short fault-injection tests of several scheduler processes with fixed seeds. Longer ones are run with `cargo trial`.

use std::path::Path;
use std::time::Duration;

use chutesaddle_fault_injection::agreement;
use chutesaddle_fault_injection::callbacks;
use chutesaddle_fault_injection::gossip::{run, Scenario};
use chutesaddle_fault_injection::plan::FaultPlan;
use chutesaddle_test_doubles::CallbackFaultRates;

/// Runs a plan in its own directory. Fails if an invariant is violated or if no fault affected a datagram.
fn assert_invariants_hold(name: &str, seed: u64, plan: &FaultPlan) {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("trial-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let scenario = Scenario { seed, nodes: 4, seconds: 4, load: 0.5, gossip: true };
    let program = Path::new(env!("CARGO_BIN_EXE_chutesaddle"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    let report = local.block_on(&runtime, run(program, &dir, &scenario, plan)).unwrap();
    let details = format!("{plan}{report:?}");
    assert_eq!(report.violations(), Vec::<String>::new(), "{details}");
    assert!(report.served > 40 && report.datagrams.arrived > 100, "{details}");
    assert!(
        report.datagrams.lost + report.datagrams.partitioned > 0,
        "no datagram was lost or partitioned: {details}"
    );
}

/// Guards against gossip that, when it is lost, delayed or stale, makes a scheduler drop a request or send it twice.
#[test]
fn random_faults_neither_lose_nor_duplicate_requests() {
    assert_invariants_hold("drawn", 11, &FaultPlan::random(11, 4, Duration::from_secs(4)));
}

/// Schedulers crash, pause and resume during overlapping partitions and on a degraded network. No request may be lost
/// or run twice because of outdated or missing gossip.
#[test]
fn a_scheduler_that_halts_and_one_that_dies_in_a_partition_are_told_again() {
    let plan = "split 0 1 at=\"500ms\" for=\"2s\"
        cut 2 3 at=\"500ms\" for=\"1s\"
        kill 2 at=\"800ms\" for=\"700ms\"
        stop 0 at=\"1s\" for=\"1s\"
        rough 1 lost=\"50%\" doubled=\"50%\" late=\"400ms\" at=\"2s\" for=\"1500ms\"";
    assert_invariants_hold("written", 12, &FaultPlan::parse("plan.kdl", plan, 4).unwrap());
}

/// Guards against callbacks that, when they are repeated or late, end a later attempt of their request: the request then
/// runs twice, or is rejected though it ran.
#[test]
fn repeated_callbacks_neither_lose_nor_duplicate_requests() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("trial-callbacks-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let faults = CallbackFaultRates { handed_back: 0.25, lost: 0.1, answer_lost: 0.5 };
    let scenario = callbacks::Scenario { seed: 11, workers: 1, seconds: 10, load: 0.6, faults };
    let program = Path::new(env!("CARGO_BIN_EXE_chutesaddle"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    let report = local.block_on(&runtime, callbacks::run(program, &dir, &scenario)).unwrap();
    assert_eq!(report.violations(), Vec::<String>::new(), "{report:?}");
    assert!(report.served > 0 && report.ambiguous > 0, "the faults had no effect: {report:?}");
}

/// Guards against split brain and lost updates in the replicated register: with drifting clocks and lost disks, two
/// members could otherwise act on different versions, or a committed version could disappear.
#[test]
fn members_never_act_on_different_versions_and_no_version_is_lost() {
    let report = agreement::run(0, 150);
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.versions > 150 && report.epochs > 75 && report.current_checks > 15_000, "{report:?}");
}
