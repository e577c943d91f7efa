//! Invariants that are checked at every event and at the end. Confirmed values are checked in `events`.

use chutesaddle_replicated_register::{Validity, VoterStage};

use super::events::version_in;
use super::simulation::Simulation;

impl Simulation {
    /// Checks that no two running processes act on different current versions.
    pub(super) fn check_current_versions(&mut self) {
        let mut found: Option<(usize, u64)> = None;
        for member in 0..self.processes.len() {
            let Some(version) = self.current_version(member) else { continue };
            self.current_checks += 1;
            let Some((other, other_version)) = found else {
                found = Some((member, version));
                continue;
            };
            if other_version != version {
                let now = self.now_s;
                self.violations.push(format!(
                    "members {other} and {member} act on {other_version} and {version} at {now:.3}"
                ));
            }
        }
    }

    /// Returns the version that a member's process acts on; `None` unless the process is running and has exactly one
    /// confirmed version.
    fn current_version(&self, member: usize) -> Option<u64> {
        let process = self.processes[member].as_ref()?;
        if process.paused_until > self.now_s {
            return None;
        }
        match process.learner.validity(self.local_time(member)) {
            Validity::Current(value) => Some(version_in(value)),
            Validity::Unconfirmed | Validity::Transition(_) | Validity::Stale(_) => None,
        }
    }

    /// Checks, after the period without faults, that every process acts on the newest version and that no more voters
    /// lack a disk than disks were lost.
    pub(super) fn check_final_state(&mut self) {
        for member in 0..self.processes.len() {
            let local_time = self.local_time(member);
            let validity =
                self.processes[member].as_ref().map(|process| process.learner.validity(local_time));
            let Some(Validity::Current(value)) = validity else {
                self.violations.push(format!("member {member} is not plain at the end: {validity:?}"));
                continue;
            };
            let version = version_in(value);
            if version < self.newest_committed {
                let newest = self.newest_committed;
                self.violations.push(format!("member {member} has {version} of {newest} at the end"));
            }
        }
        let without_disk = self.without_disk();
        if without_disk > self.lost_disks {
            self.violations
                .push(format!("{without_disk} voters have no disk, and {} were lost", self.lost_disks));
        }
    }

    /// Returns the number of voters that lost their disk.
    pub(super) fn without_disk(&self) -> usize {
        let running = self.processes.iter().flatten();
        running.filter(|process| process.voter.stage() == VoterStage::Lost).count()
    }
}
