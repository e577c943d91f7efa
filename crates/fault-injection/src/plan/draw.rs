//! Random fault plans. A printed seed must reproduce the same plan, so the order of the random draws must not change.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Degradation, Fault, FaultKind, FaultPlan};

const FAULTS_PER_S: u64 = 2;
/// Duration of a fault.
const DURATION_MS: Range<u64> = 300..2000;
/// Time without faults at the start and at the end of the traffic.
pub(super) const FAULT_FREE_MARGIN: Duration = Duration::from_millis(500);
/// Range of the maximum delay of a degraded path.
const MAX_DELAY_MS: Range<u64> = 0..400;

impl FaultPlan {
    /// Generates a plan with up to two faults per second for `nodes` schedulers.
    ///
    /// A scheduler that is killed or paused is not killed or paused again until that fault has ended, and at most one
    /// degradation of its network is active at a time.
    pub fn random(seed: u64, nodes: usize, length: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut faults: Vec<Fault> = Vec::new();
        for _ in 0..FAULTS_PER_S * length.as_secs() {
            let Some(fault) = random_fault(&mut random, nodes, length) else { continue };
            if faults.iter().all(|other| !fault.conflicts_with(other)) {
                faults.push(fault);
            }
        }
        faults.sort_by_key(|fault| fault.starts_at);
        FaultPlan(faults)
    }
}

/// Generates one fault; `None` if its duration exceeds the available time.
fn random_fault(random: &mut StdRng, nodes: usize, length: Duration) -> Option<Fault> {
    let earliest_start_ms = FAULT_FREE_MARGIN.as_millis() as u64;
    let latest_end_ms = length.saturating_sub(FAULT_FREE_MARGIN).as_millis() as u64;
    let duration_ms = random.random_range(DURATION_MS);
    let slack_ms = latest_end_ms.checked_sub(duration_ms + earliest_start_ms).filter(|slack| *slack > 0)?;
    let start_ms = earliest_start_ms + random.random_range(0..slack_ms);
    let kind = random_fault_kind(random, nodes);
    Some(Fault {
        starts_at: Duration::from_millis(start_ms),
        duration: Duration::from_millis(duration_ms),
        kind,
    })
}

fn random_fault_kind(random: &mut StdRng, nodes: usize) -> FaultKind {
    let (node, other) = (random.random_range(0..nodes), random.random_range(0..nodes));
    match random.random_range(0..7) {
        0 => FaultKind::Kill(node),
        1 => FaultKind::Pause(node),
        2 | 3 if node != other => FaultKind::PartitionOneWay { from: node, to: other },
        4 => FaultKind::Partition(
            (0..nodes).filter(|member| *member == node || random.random_bool(0.4)).collect(),
        ),
        _ => {
            let max_delay = Duration::from_millis(random.random_range(MAX_DELAY_MS));
            let (lost, duplicated) = (random.random_range(0.0..0.6), random.random_range(0.0..0.5));
            let (lost, duplicated) = (round_to_percent(lost), round_to_percent(duplicated));
            FaultKind::Degrade(node, Degradation { lost, duplicated, max_delay })
        }
    }
}

/// Rounds to a whole percentage. A printed plan has whole percentages and must behave the same when it is read back.
fn round_to_percent(fraction: f64) -> f64 {
    (fraction * 100.0).round() / 100.0
}
