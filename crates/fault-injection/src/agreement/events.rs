//! What each event does to the world.

use chutesaddle_replicated_register::{
    Change, Confirmation, Decision, MemberId, Message, NewVoter, ProposedChange, Validity, Value,
};

use super::world::{Event, World};

/// The document that all changes are about.
const DOCUMENT: &str = "rules";
/// Numbers under which voters decide.
const DOCUMENT_CHANGE: u64 = 1;
const VOTERS_CHANGE: u64 = 2;

/// The version of the document in a value; 0 if it is not there.
pub(super) fn version_in(value: &Value) -> u64 {
    value.newest(DOCUMENT).map_or(0, |document| document.version)
}

fn member_id(member: usize) -> MemberId {
    MemberId(member as u16)
}

impl World {
    pub(super) fn run(&mut self, event: Event) {
        match event {
            Event::Arrives { from, to, message } => self.arrived(from, usize::from(to.0), message),
            Event::TimerDue { member, incarnation } => self.timer_due(member, incarnation),
            Event::Propose { member } => self.propose(member),
            Event::Replace { proposer, new, old } => self.replace_voter(proposer, new, old),
            Event::Kill { member, loses_disk } => self.kill(member, loses_disk),
            Event::Start { member } => self.start(member),
            Event::Halt { member, until } => {
                if let Some(process) = self.processes[member].as_mut() {
                    process.halted_until = until;
                }
            }
            Event::Partition { side } => self.partition_side = side,
            Event::Heal => self.heal(),
        }
    }

    fn arrived(&mut self, from: MemberId, member: usize, message: Message) {
        match message {
            Message::Confirmation(confirmation) => self.confirmed(member, confirmation),
            Message::Redirect(voters) => {
                self.act(member, |process, now, _| process.learner.handle_redirect(now, voters));
            }
            message => {
                self.act(member, |process, now, outputs| {
                    process.voter.receive(now, from, message, outputs);
                });
            }
        }
    }

    fn confirmed(&mut self, member: usize, confirmation: Confirmation) {
        let Some(process) = self.processes[member].as_mut() else { return };
        let least = process.committed_when_asked.remove(&confirmation.number).unwrap_or(0);
        if let Some(value) = &confirmation.new_value {
            self.check_told(value, least);
        }
        self.act(member, |process, now, _| process.learner.handle_confirmation(now, confirmation));
    }

    /// A learner is told of a value after it asked, when this version was committed.
    fn check_told(&mut self, value: &Value, least: u64) {
        let newest = version_in(value);
        if newest < least {
            self.broken.push(format!("version {least} was made and is lost: {newest} is told"));
        }
        for document in value.history(DOCUMENT) {
            let known = *self.bodies.entry(document.version).or_insert(document.digest);
            if known != document.digest {
                self.broken.push(format!("two bodies of {}", document.version));
            }
        }
    }

    fn timer_due(&mut self, member: usize, incarnation: u64) {
        let is_running =
            self.processes[member].as_ref().is_some_and(|process| process.incarnation == incarnation);
        if !is_running {
            return;
        }
        let committed = self.newest_committed;
        let mut question = None;
        self.act(member, |process, now, outputs| {
            process.voter.tick(now, outputs);
            question = process.learner.tick(now);
            if let Some((_, Message::ConfirmationRequest(number, _))) = &question {
                process.committed_when_asked.insert(*number, committed);
            }
        });
        if let Some((to, message)) = question {
            self.send(member_id(member), to, message);
        }
    }

    /// A member proposes a change of the document as it knows it.
    fn propose(&mut self, member: usize) {
        let body = format!("quota \"acme\" {}", self.last_event);
        self.act(member, |process, now, outputs| {
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
        self.act(new, |process, _, outputs| disk_key = process.voter.join(outputs));
        let Some(disk_key) = disk_key else { return };
        let add = Some(NewVoter { member: member_id(new), disk_key });
        let change = Change::Voters { add, remove: old.map(member_id) };
        self.act(proposer, |process, now, outputs| {
            let parent = process.voter.electorate().epoch;
            let proposed = ProposedChange { number: VOTERS_CHANGE, name: String::new(), parent, change };
            process.voter.propose(now, proposed, outputs);
        });
    }

    pub(super) fn decided(&mut self, number: u64, decision: &Decision) {
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
        // As many disks as the others can do without.
        let may_lose_disk = self.lost_disks < self.config.voters.len() / 2;
        if loses_disk && may_lose_disk && self.disks[member].is_some() {
            self.lost_disks += 1;
            self.disks[member] = None;
        }
    }

    fn heal(&mut self) {
        self.partition_side.fill(false);
        self.loss = 0.0;
        for member in 0..self.processes.len() {
            self.start(member);
        }
    }
}
