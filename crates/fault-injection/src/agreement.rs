//! The trial `agreement-network`: voters and learners of the replicated register on a virtual network, by seed.
//!
//! Messages are lost, late, duplicated and reordered; members are partitioned, killed, started anew with their disk or
//! without it, and halted; voters come and go; each member counts time on a clock of its own. The same seed plays the
//! same to the last message.
//!
//! Judged from outside, at every event: a version has one body, a change that was reported as committed is seen by
//! whoever asks afterwards, and no two processes act on different versions alone. At the end, after a calm, all act on
//! the newest alone.
//!
//! | file | question |
//! | --- | --- |
//! | `world` | members, clocks, disks, the network and the queue of events |
//! | `schedule` | which faults and proposals a seed draws |
//! | `events` | what an event does |
//! | `judge` | which promises are checked |

mod events;
mod judge;
mod schedule;
mod world;

use serde::Serialize;

use world::World;

/// What came of a number of seeds. The keys are printed, and keep their names.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seeds played.
    pub seeds: u64,
    /// Versions that were reported as committed.
    pub versions: u64,
    /// Changes of the voters.
    pub epochs: u64,
    /// Checks of a process that acted on one version alone.
    #[serde(rename = "plain")]
    pub current: u64,
    /// Voters without their disk at the end.
    pub without_disk: usize,
    /// Promises broken, with the seeds that broke them. Promised: none.
    pub broken: Vec<String>,
}

/// Plays the seeds from `first` on.
pub fn play(first: u64, seeds: u64) -> Report {
    let mut report = Report { seeds, ..Report::default() };
    for seed in first..first + seeds {
        let mut world = World::new(seed);
        world.play();
        report.versions += world.newest_committed;
        report.epochs += world.newest_epoch;
        report.current += world.checks_of_current;
        report.without_disk += world.without_disk();
        report.broken.extend(world.broken.iter().map(|promise| format!("seed {seed}: {promise}")));
    }
    report
}
