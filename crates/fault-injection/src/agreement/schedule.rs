//! Which faults and proposals a seed draws. The order of the draws is part of what a seed means.

use rand::RngExt;

use super::world::{Event, World, FAULTS_END_S};

const FAULTS: std::ops::Range<usize> = 2..14;
const PROPOSALS: usize = 30;
const MOST_LOSS: f64 = 0.3;

impl World {
    /// Draws all that happens from outside.
    pub(super) fn schedule(&mut self) {
        for member in 0..self.processes.len() {
            self.at(0.0, Event::Start { member });
        }
        let faults = self.random.random_range(FAULTS);
        for _ in 0..faults {
            self.schedule_fault();
        }
        for _ in 0..PROPOSALS {
            self.schedule_proposal();
        }
        if self.random.random_bool(0.6) {
            let voters = self.config.voters.len();
            // Members that did not vote take the place of others, or come in addition.
            for new in voters..voters + self.random.random_range(1..4) {
                self.schedule_replacement(new);
            }
        }
        self.at(FAULTS_END_S, Event::Heal);
        let is_lossy = self.random.random_bool(0.7);
        self.loss = if is_lossy { MOST_LOSS * self.random.random::<f64>() } else { 0.0 };
    }

    fn schedule_fault(&mut self) {
        let members = self.processes.len();
        let (at, lasts) = (2.0 + 15.0 * self.random.random::<f64>(), 3.0 * self.random.random::<f64>());
        let member = self.random.random_range(0..members);
        match self.random.random_range(0..5) {
            0 => self.schedule_kill(member, false, at, lasts),
            1 => self.schedule_kill(member, true, at, lasts),
            2 => self.at(at, Event::Halt { member, until: at + lasts }),
            3 => {
                // All voters at once.
                for voter in 0..self.config.voters.len() {
                    self.schedule_kill(voter, false, at, 0.1);
                }
            }
            _ => {
                let side = (0..members).map(|_| self.random.random_bool(0.4)).collect();
                self.at(at, Event::Partition { side });
                self.at(at + lasts, Event::Partition { side: vec![false; members] });
            }
        }
    }

    fn schedule_kill(&mut self, member: usize, loses_disk: bool, at: f64, lasts: f64) {
        self.at(at, Event::Kill { member, loses_disk });
        self.at(at + lasts, Event::Start { member });
    }

    fn schedule_proposal(&mut self) {
        let voters = self.config.voters.len();
        let at = 1.0 + 18.0 * self.random.random::<f64>();
        let member = self.random.random_range(0..voters);
        self.at(at, Event::Propose { member });
        if self.random.random_bool(0.3) {
            let member = self.random.random_range(0..voters);
            self.at(at, Event::Propose { member }); // two in the same instant
        }
    }

    fn schedule_replacement(&mut self, new: usize) {
        let voters = self.config.voters.len();
        let (proposer, old) = (self.random.random_range(0..voters), self.random.random_range(0..voters));
        let old = self.random.random_bool(0.7).then_some(old);
        let at = 2.0 + 14.0 * self.random.random::<f64>();
        self.at(at, Event::Replace { proposer, new, old });
        // Meanwhile others propose changes of what the old voters hold.
        for member in 0..voters {
            let soon = at + 0.15 * self.random.random::<f64>();
            self.at(soon, Event::Propose { member });
        }
        // It may lose its disk on the way.
        if self.random.random_bool(0.3) {
            let lost = at + 4.0 * self.random.random::<f64>();
            self.schedule_kill(new, true, lost, 0.3);
        }
        // An operator who heard nothing tries again, elsewhere.
        self.at(at + 3.0, Event::Replace { proposer: (proposer + 1) % voters, new, old });
    }
}
