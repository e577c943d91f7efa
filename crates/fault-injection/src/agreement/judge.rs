//! The promises that are checked at every event, and at the end. What a learner is told is checked in `events`.

use chutesaddle_replicated_register::{Validity, VoterStage};

use super::events::version_in;
use super::world::World;

impl World {
    /// No two processes that can act now act on different versions alone.
    pub(super) fn check_versions_in_use(&mut self) {
        let mut found: Option<(usize, u64)> = None;
        for member in 0..self.processes.len() {
            let Some(version) = self.version_acted_on_alone(member) else { continue };
            self.checks_of_current += 1;
            let Some((other, known)) = found else {
                found = Some((member, version));
                continue;
            };
            if known != version {
                let now = self.now_s;
                self.broken
                    .push(format!("members {other} and {member} act on {known} and {version} at {now:.3}"));
            }
        }
    }

    /// The version that a member's process acts on alone, if it runs and does.
    fn version_acted_on_alone(&self, member: usize) -> Option<u64> {
        let process = self.processes[member].as_ref()?;
        if process.halted_until > self.now_s {
            return None;
        }
        match process.learner.validity(self.own_time(member)) {
            Validity::Current(value) => Some(version_in(value)),
            Validity::Unconfirmed | Validity::Transition(_) | Validity::Stale(_) => None,
        }
    }

    /// After the calm, all act on the newest version alone, and only the disks that were lost are missing.
    pub(super) fn check_the_end(&mut self) {
        for member in 0..self.processes.len() {
            let own_time = self.own_time(member);
            let validity = self.processes[member].as_ref().map(|process| process.learner.validity(own_time));
            let Some(Validity::Current(value)) = validity else {
                self.broken.push(format!("member {member} is not plain at the end: {validity:?}"));
                continue;
            };
            let version = version_in(value);
            if version < self.newest_committed {
                let newest = self.newest_committed;
                self.broken.push(format!("member {member} has {version} of {newest} at the end"));
            }
        }
        let without = self.without_disk();
        if without > self.lost_disks {
            self.broken.push(format!("{without} voters have no disk, and {} were lost", self.lost_disks));
        }
    }

    /// Voters whose disk is gone.
    pub(super) fn without_disk(&self) -> usize {
        let running = self.processes.iter().flatten();
        running.filter(|process| process.voter.stage() == VoterStage::Lost).count()
    }
}
