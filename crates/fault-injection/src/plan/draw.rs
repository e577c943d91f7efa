//! Plans drawn from a seed. The order of the draws is part of what a seed means: a printed seed must play the same
//! plan again.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Degradation, Fault, FaultKind, Plan};

const FAULTS_PER_S: u64 = 2;
/// How long a fault lasts.
const LASTS_MS: Range<u64> = 300..2000;
/// Time without any fault at both ends.
pub(super) const CALM_MARGIN: Duration = Duration::from_millis(500);
const DELAY_MS: Range<u64> = 0..400;

impl Plan {
    /// Draws up to two faults a second among `nodes` schedulers.
    ///
    /// One that is killed or paused is not again until that is over, and its network is degraded in one way at a time.
    pub fn draw(seed: u64, nodes: usize, length: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut faults: Vec<Fault> = Vec::new();
        for _ in 0..FAULTS_PER_S * length.as_secs() {
            let Some(fault) = draw_fault(&mut random, nodes, length) else { continue };
            if faults.iter().all(|other| !fault.collides_with(other)) {
                faults.push(fault);
            }
        }
        faults.sort_by_key(|fault| fault.at);
        Plan(faults)
    }
}

/// Draws one fault; `None` if it lasts longer than there is time.
fn draw_fault(random: &mut StdRng, nodes: usize, length: Duration) -> Option<Fault> {
    let first_ms = CALM_MARGIN.as_millis() as u64;
    let last_ms = length.saturating_sub(CALM_MARGIN).as_millis() as u64;
    let lasts_ms = random.random_range(LASTS_MS);
    let spare_ms = last_ms.checked_sub(lasts_ms + first_ms).filter(|spare| *spare > 0)?;
    let at_ms = first_ms + random.random_range(0..spare_ms);
    let kind = draw_kind(random, nodes);
    Some(Fault { at: Duration::from_millis(at_ms), lasts: Duration::from_millis(lasts_ms), kind })
}

fn draw_kind(random: &mut StdRng, nodes: usize) -> FaultKind {
    let (node, other) = (random.random_range(0..nodes), random.random_range(0..nodes));
    match random.random_range(0..7) {
        0 => FaultKind::Kill(node),
        1 => FaultKind::Pause(node),
        2 | 3 if node != other => FaultKind::PartitionOneWay { from: node, to: other },
        4 => FaultKind::Partition((0..nodes).filter(|n| *n == node || random.random_bool(0.4)).collect()),
        _ => {
            let longest_delay = Duration::from_millis(random.random_range(DELAY_MS));
            let (lost, duplicated) = (random.random_range(0.0..0.6), random.random_range(0.0..0.5));
            let (lost, duplicated) = (whole_percent(lost), whole_percent(duplicated));
            FaultKind::Degrade(node, Degradation { lost, duplicated, longest_delay })
        }
    }
}

/// Rounds as a plan is written, so that what is printed plays the same.
fn whole_percent(fraction: f64) -> f64 {
    (fraction * 100.0).round() / 100.0
}
