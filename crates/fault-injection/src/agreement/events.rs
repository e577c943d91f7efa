//! Event handlers of the simulation.

use chutesaddle_replicated_register::{
    Change, Confirmation, Decision, MemberId, Message, NewVoter, ProposedChange, Validity, Value,
};

use super::simulation::{Event, Simulation};

/// Name of the only document in the simulation.
const DOCUMENT: &str = "rules";
/// Numbers of the proposed changes, which distinguish the decisions on the two kinds of change.
const DOCUMENT_CHANGE: u64 = 1;
const VOTERS_CHANGE: u64 = 2;

/// Returns the version of the document in `value`; 0 if the value does not contain it.
pub(super) fn version_in(value: &Value) -> u64 {
    value.newest(DOCUMENT).map_or(0, |document| document.version)
}

fn member_id(member: usize) -> MemberId {
    MemberId(member as u16)
}

impl Simulation {
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::MessageArrives { from, to, message } => {
                self.handle_message(from, usize::from(to.0), message)
            }
            Event::TimerDue { member, incarnation } => self.handle_timer(member, incarnation),
            Event::Propose { member } => self.propose(member),
            Event::ReplaceVoter { proposer, new, old } => self.replace_voter(proposer, new, old),
            Event::Kill { member, loses_disk } => self.kill(member, loses_disk),
            Event::Start { member } => self.start(member),
            Event::Pause { member, until } => {
                if let Some(process) = self.processes[member].as_mut() {
                    process.paused_until = until;
                }
            }
            Event::Partition { side } => self.partition_side = side,
            Event::Heal => self.heal(),
        }
    }

    fn handle_message(&mut self, from: MemberId, member: usize, message: Message) {
        match message {
            Message::Confirmation(confirmation) => self.handle_confirmation(member, confirmation),
            Message::Redirect(voters) => {
                self.with_process(member, |process, now, _| process.learner.handle_redirect(now, voters));
            }
            message => {
                self.with_process(member, |process, now, outputs| {
                    process.voter.receive(now, from, message, outputs);
                });
            }
        }
    }

    fn handle_confirmation(&mut self, member: usize, confirmation: Confirmation) {
        let Some(process) = self.processes[member].as_mut() else { return };
        let min_version = process.committed_at_request.remove(&confirmation.number).unwrap_or(0);
        if let Some(value) = &confirmation.new_value {
            self.check_confirmed_value(value, min_version);
        }
        self.with_process(member, |process, now, _| process.learner.handle_confirmation(now, confirmation));
    }

    /// Checks a confirmed value. `min_version` is the newest version that had been reported as committed when the
    /// learner sent its request; the value must not be older. Each version must always have the same body.
    fn check_confirmed_value(&mut self, value: &Value, min_version: u64) {
        let newest = version_in(value);
        if newest < min_version {
            self.violations.push(format!("version {min_version} was made and is lost: {newest} is told"));
        }
        for document in value.history(DOCUMENT) {
            let known_digest = *self.digests.entry(document.version).or_insert(document.digest);
            if known_digest != document.digest {
                self.violations.push(format!("two bodies of {}", document.version));
            }
        }
    }

    fn handle_timer(&mut self, member: usize, incarnation: u64) {
        let is_running =
            self.processes[member].as_ref().is_some_and(|process| process.incarnation == incarnation);
        if !is_running {
            return;
        }
        let committed = self.newest_committed;
        let mut request = None;
        self.with_process(member, |process, now, outputs| {
            process.voter.tick(now, outputs);
            request = process.learner.tick(now);
            if let Some((_, Message::ConfirmationRequest(number, _))) = &request {
                process.committed_at_request.insert(*number, committed);
            }
        });
        if let Some((to, message)) = request {
            self.send(member_id(member), to, message);
        }
    }

    /// Makes a member propose a change based on the document version that it knows.
    fn propose(&mut self, member: usize) {
        let body = format!("quota \"acme\" {}", self.last_event);
        self.with_process(member, |process, now, outputs| {
            let known = match process.learner.validity(now) {
                Validity::Current(value) => Some(value),
                Validity::Transition(values) | Validity::Stale(values) => values.first().copied(),
                Validity::Unconfirmed => None,
            };
            let proposed = ProposedChange {
                number: DOCUMENT_CHANGE,
                name: DOCUMENT.to_owned(),
                parent: known.map_or(0, version_in),
                change: Change::Put(body),
            };
            process.voter.propose(now, proposed, outputs);
        });
    }

    fn replace_voter(&mut self, proposer: usize, new: usize, old: Option<usize>) {
        let mut disk_key = None;
        self.with_process(new, |process, _, outputs| disk_key = process.voter.join(outputs));
        let Some(disk_key) = disk_key else { return };
        let add = Some(NewVoter { member: member_id(new), disk_key });
        let change = Change::Voters { add, remove: old.map(member_id) };
        self.with_process(proposer, |process, now, outputs| {
            let parent = process.voter.electorate().epoch;
            let proposed = ProposedChange { number: VOTERS_CHANGE, name: String::new(), parent, change };
            process.voter.propose(now, proposed, outputs);
        });
    }

    pub(super) fn handle_decision(&mut self, number: u64, decision: &Decision) {
        match (number, decision) {
            (DOCUMENT_CHANGE, Decision::Committed(version)) => {
                self.newest_committed = self.newest_committed.max(*version);
            }
            (VOTERS_CHANGE, Decision::Committed(epoch)) => {
                self.newest_epoch = self.newest_epoch.max(*epoch);
            }
            (_, Decision::Committed(_) | Decision::Rejected(_) | Decision::Unknown) => {}
        }
    }

    fn kill(&mut self, member: usize, loses_disk: bool) {
        self.processes[member] = None;
        // A majority of the initial voters keeps its disks.
        let may_lose_disk = self.lost_disks < self.config.voters.len() / 2;
        if loses_disk && may_lose_disk && self.disks[member].is_some() {
            self.lost_disks += 1;
            self.disks[member] = None;
        }
    }

    fn heal(&mut self) {
        self.partition_side.fill(false);
        self.loss_probability = 0.0;
        for member in 0..self.processes.len() {
            self.start(member);
        }
    }
}
