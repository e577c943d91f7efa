//! The trial `agreement-network`: a simulation of the replicated register's voters and learners on a virtual network.
//!
//! Messages are lost, delayed, duplicated and reordered. Members are partitioned, paused, killed, and restarted with or
//! without their disk. Voters are added and replaced. Each member has its own drifting clock. A seed determines the
//! simulation down to the last message.
//!
//! Invariants checked at every event: a version has one body; a confirmation that is requested after a change was
//! reported as committed includes that change; and no two processes act on different current versions. At the end,
//! after a period without faults, every process acts on the newest version.
//!
//! | file | contents |
//! | --- | --- |
//! | `simulation` | members, clocks, disks, the network and the event queue |
//! | `schedule` | random faults and proposals |
//! | `events` | event handlers |
//! | `invariants` | invariant checks |

mod events;
mod invariants;
mod schedule;
mod simulation;

use serde::Serialize;

use simulation::Simulation;

/// Results for a range of seeds. Scripts read the JSON keys, so they must not change.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AgreementReport {
    /// Number of seeds simulated.
    pub seeds: u64,
    /// Number of versions reported as committed.
    pub versions: u64,
    /// Number of changes of the electorate.
    pub epochs: u64,
    /// Number of checks that found a process acting on a single current version.
    #[serde(rename = "plain")]
    pub current_checks: u64,
    /// Number of voters without a disk at the end.
    pub without_disk: usize,
    /// Violated invariants with the seeds that violated them. Must be empty.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// Simulates `seeds` consecutive seeds, beginning with `first`.
pub fn run(first: u64, seeds: u64) -> AgreementReport {
    let mut report = AgreementReport { seeds, ..AgreementReport::default() };
    for seed in first..first + seeds {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        report.versions += simulation.newest_committed;
        report.epochs += simulation.newest_epoch;
        report.current_checks += simulation.current_checks;
        report.without_disk += simulation.without_disk();
        let violations = simulation.violations.iter();
        report.violations.extend(violations.map(|violation| format!("seed {seed}: {violation}")));
    }
    report
}
