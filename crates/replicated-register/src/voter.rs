//! A voter: an acceptor, and a proposer that makes one change or confirmation at a time.
//!
//! [`Voter`] holds the state, takes messages and time, and gives [`Output`]s. Whether it may vote is in `stage`, what
//! it answers to other proposers in `acceptor`, how it proposes in `proposer`. The Paxos rules themselves are in
//! `register`.

mod acceptor;
mod operation;
mod proposer;
mod stage;

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::document::{Change, Command, Electorate, Proposal, Rejection, Value};
use crate::message::Message;
use crate::register::{Acceptor, Ballot, Vote};
use crate::{Config, MemberId, Time};
use operation::{ConfirmationRequest, Operation, QueuedChange, Task, VoteReport};
pub use stage::VoterStage;

/// Changes that wait for their turn at a voter.
const MOST_WAITING_CHANGES: usize = 32;
/// Learners whose confirmation waits at a voter.
const MOST_WAITING_LEARNERS: usize = 4096;

/// What a voter has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Whether it may vote.
    pub stage: VoterStage,
    /// Its memory as an acceptor.
    pub acceptor: Acceptor,
    /// The number of its last proposal.
    pub last_proposal: u64,
    /// The key of its disk, with which it joined; 0 for a first voter.
    pub disk_key: u64,
    /// The last value chosen by the voters of the epoch before; none in the first epoch.
    pub epoch_base: Option<Vote>,
}

/// What became of a proposed change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It holds, as this version.
    Committed(u64),
    /// It was not made.
    Rejected(Rejection),
    /// It took too long: it holds, or will, or never does. Proposed again with the same parent it is made once at the
    /// most, as no two versions have one parent.
    Unknown,
}

/// What a voter wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To be on disk, synced, before anything behind it is done.
    Persist(PersistentState),
    /// To be sent; it may get lost.
    Send(MemberId, Message),
    /// The change that was proposed under this number is decided.
    Decided(u64, Decision),
}

/// A change as it is proposed to a voter.
#[derive(Clone, Debug)]
pub struct ProposedChange {
    /// The decision comes under this number.
    pub number: u64,
    /// The document; empty for a change of the voters.
    pub name: String,
    /// The version or epoch that the change is based on.
    pub parent: u64,
    /// The change.
    pub change: Change,
}

/// A voter; see the module's page.
#[derive(Debug)]
pub struct Voter {
    config: Config,
    id: MemberId,
    state: PersistentState,
    /// What the other first voters have reported.
    reported_stages: BTreeMap<MemberId, VoterStage>,
    next_stage_query_at: Time,
    /// The newest ballot that it has heard of.
    highest_ballot: Ballot,
    /// Another number in each incarnation of the process: a reply to an earlier one tells of a time before this one
    /// began, since when much may have been promised.
    incarnation: u64,
    last_query: u64,
    /// What is under way.
    operation: Option<Operation>,
    changes: VecDeque<QueuedChange>,
    confirmations: Vec<ConfirmationRequest>,
    /// The last operation was a change: confirmations come first now, however many changes wait.
    last_was_change: bool,
    random: StdRng,
}

impl Voter {
    /// A voter with what it finds on its disk, if anything. The seed is another one in each incarnation.
    pub fn new(config: Config, id: MemberId, state: Option<PersistentState>, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let incarnation = random.random();
        Voter {
            config,
            id,
            state: state.unwrap_or_default(),
            reported_stages: BTreeMap::new(),
            next_stage_query_at: Time::ZERO,
            highest_ballot: Ballot::default(),
            incarnation,
            last_query: incarnation,
            operation: None,
            changes: VecDeque::new(),
            confirmations: Vec::new(),
            last_was_change: false,
            random,
        }
    }

    /// Whether it may vote.
    pub fn stage(&self) -> VoterStage {
        self.state.stage
    }

    /// Who votes, as far as this one knows.
    pub fn electorate(&self) -> Electorate {
        match &self.state.epoch_base {
            Some(base) => base.value.electorate.clone(),
            None => self.initial_value().electorate,
        }
    }

    /// The value before anything was chosen.
    fn initial_value(&self) -> Value {
        Value::initial(self.config.voters.iter().copied())
    }

    /// The value with which the present epoch began.
    fn epoch_base(&self) -> Vote {
        let initial = || Vote { ballot: Ballot::default(), value: self.initial_value() };
        self.state.epoch_base.clone().unwrap_or_else(initial)
    }

    /// Whether it votes and proposes in the newest epoch that it knows.
    fn is_elected(&self) -> bool {
        let is_active = self.state.stage == VoterStage::Active;
        is_active && self.electorate().voters.get(&self.id) == Some(&self.state.disk_key)
    }

    /// The other voters.
    fn others(&self) -> impl Iterator<Item = MemberId> + use<> {
        let own = self.id;
        self.electorate().voters.into_keys().filter(move |voter| *voter != own)
    }

    fn persist(&self, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(self.state.clone()));
    }

    fn send_to_others(&self, message: &Message, outputs: &mut Vec<Output>) {
        for to in self.others() {
            outputs.push(Output::Send(to, message.clone()));
        }
    }

    /// When [`Voter::tick`] is due.
    pub fn due(&self) -> Time {
        let timeout = self.config.timeout;
        let operation = self.operation.as_ref().map(|o| o.retry_at.min(o.started_at + timeout));
        let stage_query = self.is_beginning().then_some(self.next_stage_query_at);
        let change = self.changes.front().map(|change| change.queued_at + timeout);
        [operation, stage_query, change].into_iter().flatten().min().unwrap_or(Time::MAX)
    }

    /// Proposes a change.
    pub fn propose(&mut self, now: Time, proposed: ProposedChange, outputs: &mut Vec<Output>) {
        let ProposedChange { number, name, parent, change } = proposed;
        if self.changes.len() >= MOST_WAITING_CHANGES {
            let full = Rejection::LimitExceeded("32 changes wait here already");
            return outputs.push(Output::Decided(number, Decision::Rejected(full)));
        }
        self.state.last_proposal += 1;
        let proposal = Proposal { member: self.id, number: self.state.last_proposal };
        self.persist(outputs);
        let command = Command { name, parent, change, proposal };
        self.changes.push_back(QueuedChange { queued_at: now, number, command });
        self.begin_next(now, outputs);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.is_beginning() && now >= self.next_stage_query_at {
            self.next_stage_query_at = now + self.config.retry;
            self.send_to_others(&Message::StageQuery(self.incarnation), outputs);
            self.advance_stage(outputs); // a voter that is alone has heard of all others
        }
        self.give_up_overdue(now, outputs);
        let retry_due = self.operation.as_ref().is_some_and(|operation| now >= operation.retry_at);
        if retry_due {
            self.attempt(now, outputs);
        }
        self.begin_next(now, outputs);
    }

    /// Gives up the changes and the operation that have taken too long.
    fn give_up_overdue(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let timeout = self.config.timeout;
        while let Some(change) = self.changes.pop_front_if(|change| now >= change.queued_at + timeout) {
            outputs.push(Output::Decided(change.number, Decision::Unknown));
        }
        let overdue = self.operation.take_if(|operation| now >= operation.started_at + timeout);
        if let Some(Operation { task: Task::Change { number, .. }, .. }) = overdue {
            outputs.push(Output::Decided(number, Decision::Unknown));
        }
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Time, from: MemberId, message: Message, outputs: &mut Vec<Output>) {
        match message {
            Message::StageQuery(incarnation) => {
                let reply = Message::StageReply(incarnation, self.state.stage);
                outputs.push(Output::Send(from, reply));
            }
            Message::StageReply(incarnation, stage) => {
                if incarnation == self.incarnation {
                    self.stage_reported(now, from, stage, outputs);
                }
            }
            Message::Prepare(ballot) => self.prepare_requested(from, ballot, outputs),
            Message::Accept(ballot, value) => self.accept_requested(from, ballot, value, outputs),
            Message::VoteQuery(number) => self.vote_queried(from, number, outputs),
            Message::Chosen(vote) => self.begin_epoch(now, vote, outputs),
            Message::Promise(promise) => self.promised(now, from, promise, outputs),
            Message::Accepted(ballot) => self.accepted(now, from, ballot, outputs),
            Message::VoteReply(number, vote) => {
                self.vote_reported(now, from, VoteReport { number, vote }, outputs);
            }
            Message::Nack { ballot, seen } => self.nacked(now, ballot, seen),
            Message::ConfirmationRequest(number, known) => {
                let request = ConfirmationRequest { learner: from, number, known };
                self.confirmation_requested(now, request, outputs);
            }
            // Those are for learners.
            Message::Redirect(_) | Message::Confirmation(_) => {}
        }
    }

    fn confirmation_requested(&mut self, now: Time, request: ConfirmationRequest, outputs: &mut Vec<Output>) {
        let was_replaced = self.state.epoch_base.is_some() && !self.is_elected();
        if was_replaced {
            let voters = self.others().collect();
            return outputs.push(Output::Send(request.learner, Message::Redirect(voters)));
        }
        // A learner's newest question is all that it waits for.
        self.confirmations.retain(|waiting| waiting.learner != request.learner);
        if self.confirmations.len() < MOST_WAITING_LEARNERS {
            self.confirmations.push(request);
        }
        self.begin_next(now, outputs);
    }
}
