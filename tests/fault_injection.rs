//! Short trials of several processes with faults between them, on fixed seeds. Long ones by hand: `cargo trial`.

use std::path::Path;
use std::time::Duration;

use chutesaddle_fault_injection::agreement;
use chutesaddle_fault_injection::gossip::{play, Scenario};
use chutesaddle_fault_injection::plan::Plan;

/// Plays a plan in a folder of its own and fails if a promise is broken or the faults were not felt.
fn keeps(name: &str, seed: u64, plan: &Plan) {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("trial-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let scenario = Scenario { seed, nodes: 4, seconds: 4, load: 0.5, gossip: true };
    let program = Path::new(env!("CARGO_BIN_EXE_chutesaddle"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    let report = local.block_on(&runtime, play(program, &dir, &scenario, plan)).unwrap();
    let text = format!("{plan}{report:?}");
    assert_eq!(report.broken(), Vec::<String>::new(), "{text}");
    assert!(report.served > 40 && report.datagrams.arrived > 100, "{text}");
    assert!(report.datagrams.lost + report.datagrams.partitioned > 0, "the faults were not felt: {text}");
}

#[test]
fn faults_drawn_by_seed_cost_no_job_and_double_none() {
    keeps("drawn", 11, &Plan::draw(11, 4, Duration::from_secs(4)));
}

#[test]
fn a_scheduler_that_halts_and_one_that_dies_in_a_partition_are_told_again() {
    let plan = "split 0 1 at=\"500ms\" for=\"2s\"
        cut 2 3 at=\"500ms\" for=\"1s\"
        kill 2 at=\"800ms\" for=\"700ms\"
        stop 0 at=\"1s\" for=\"1s\"
        rough 1 lost=\"50%\" doubled=\"50%\" late=\"400ms\" at=\"2s\" for=\"1500ms\"";
    keeps("written", 12, &Plan::read("plan.kdl", plan, 4).unwrap());
}

#[test]
fn no_two_act_on_different_versions_alone_and_no_version_is_lost() {
    let report = agreement::play(0, 150);
    assert_eq!(report.broken, Vec::<String>::new());
    assert!(report.versions > 150 && report.epochs > 75 && report.current > 15_000, "{report:?}");
}
