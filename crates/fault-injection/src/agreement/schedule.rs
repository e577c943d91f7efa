//! Random faults and proposals. A seed must reproduce the same simulation, so the order of the random draws must not
//! change.

use rand::RngExt;

use super::simulation::{Event, Simulation, FAULTS_END_S};

const FAULT_COUNT: std::ops::Range<usize> = 2..14;
const PROPOSAL_COUNT: usize = 30;
const MAX_LOSS_PROBABILITY: f64 = 0.3;

impl Simulation {
    /// Schedules all faults and proposals.
    pub(super) fn schedule_all(&mut self) {
        for member in 0..self.processes.len() {
            self.schedule_at(0.0, Event::Start { member });
        }
        let faults = self.random.random_range(FAULT_COUNT);
        for _ in 0..faults {
            self.schedule_fault();
        }
        for _ in 0..PROPOSAL_COUNT {
            self.schedule_proposal();
        }
        if self.random.random_bool(0.6) {
            let voters = self.config.voters.len();
            // Members that are not voters replace voters or are added to them.
            for new in voters..voters + self.random.random_range(1..4) {
                self.schedule_replacement(new);
            }
        }
        self.schedule_at(FAULTS_END_S, Event::Heal);
        let is_lossy = self.random.random_bool(0.7);
        self.loss_probability =
            if is_lossy { MAX_LOSS_PROBABILITY * self.random.random::<f64>() } else { 0.0 };
    }

    fn schedule_fault(&mut self) {
        let members = self.processes.len();
        let (start, duration) = (2.0 + 15.0 * self.random.random::<f64>(), 3.0 * self.random.random::<f64>());
        let member = self.random.random_range(0..members);
        match self.random.random_range(0..5) {
            0 => self.schedule_kill(member, false, start, duration),
            1 => self.schedule_kill(member, true, start, duration),
            2 => self.schedule_at(start, Event::Pause { member, until: start + duration }),
            3 => {
                // Kills all voters at once.
                for voter in 0..self.config.voters.len() {
                    self.schedule_kill(voter, false, start, 0.1);
                }
            }
            _ => {
                let side = (0..members).map(|_| self.random.random_bool(0.4)).collect();
                self.schedule_at(start, Event::Partition { side });
                self.schedule_at(start + duration, Event::Partition { side: vec![false; members] });
            }
        }
    }

    fn schedule_kill(&mut self, member: usize, loses_disk: bool, start: f64, duration: f64) {
        self.schedule_at(start, Event::Kill { member, loses_disk });
        self.schedule_at(start + duration, Event::Start { member });
    }

    fn schedule_proposal(&mut self) {
        let voters = self.config.voters.len();
        let start = 1.0 + 18.0 * self.random.random::<f64>();
        let member = self.random.random_range(0..voters);
        self.schedule_at(start, Event::Propose { member });
        if self.random.random_bool(0.3) {
            let member = self.random.random_range(0..voters);
            self.schedule_at(start, Event::Propose { member }); // two proposals at the same time
        }
    }

    fn schedule_replacement(&mut self, new: usize) {
        let voters = self.config.voters.len();
        let (proposer, old) = (self.random.random_range(0..voters), self.random.random_range(0..voters));
        let old = self.random.random_bool(0.7).then_some(old);
        let start = 2.0 + 14.0 * self.random.random::<f64>();
        self.schedule_at(start, Event::ReplaceVoter { proposer, new, old });
        // The voters propose changes of the document while they are being replaced.
        for member in 0..voters {
            let proposed_at = start + 0.15 * self.random.random::<f64>();
            self.schedule_at(proposed_at, Event::Propose { member });
        }
        // The new voter may lose its disk while it joins.
        if self.random.random_bool(0.3) {
            let killed_at = start + 4.0 * self.random.random::<f64>();
            self.schedule_kill(new, true, killed_at, 0.3);
        }
        // An operator who received no response retries at another voter.
        self.schedule_at(start + 3.0, Event::ReplaceVoter { proposer: (proposer + 1) % voters, new, old });
    }
}
