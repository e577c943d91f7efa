//! A voter: an acceptor, and a proposer that runs one change or a batch of confirmations at a time.
//!
//! [`Voter`] holds the state, handles messages and timers, and returns [`Output`]s. `stage` decides whether it may
//! vote, `acceptor` replies to other proposers, and `proposer` runs ballots. The Paxos rules themselves are in
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

/// Maximum number of changes queued at a voter.
const MAX_QUEUED_CHANGES: usize = 32;
/// Maximum number of learners whose confirmation request is queued at a voter.
const MAX_QUEUED_LEARNERS: usize = 4096;

/// The state that a voter stores on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Whether it may vote.
    pub stage: VoterStage,
    /// State of the acceptor.
    pub acceptor: Acceptor,
    /// Number of the last proposal.
    pub last_proposal: u64,
    /// Key of the disk, created when the voter joined; 0 for an initial voter.
    pub disk_key: u64,
    /// The last value chosen by the voters of the previous epoch; `None` in the first epoch.
    pub epoch_base: Option<Vote>,
}

/// The outcome of a proposed change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Committed as this version or epoch.
    Committed(u64),
    /// Rejected, and not committed.
    Rejected(Rejection),
    /// Timed out: the change may have been committed, may still be, or may never be. It is safe to propose it again
    /// with the same parent: at most one of the proposals is committed, because no two versions have the same parent.
    Unknown,
}

/// An action that the caller must carry out. Outputs must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write the state to disk and sync it before carrying out the next output.
    Persist(PersistentState),
    /// Send a message. Delivery is not required.
    Send(MemberId, Message),
    /// Report the decision on the change that was proposed with this number.
    Decided(u64, Decision),
}

/// A change proposed to a voter.
#[derive(Clone, Debug)]
pub struct ProposedChange {
    /// Chosen by the caller to identify the decision.
    pub number: u64,
    /// Name of the document; empty for a change of the voters.
    pub name: String,
    /// Version or epoch that the change is based on.
    pub parent: u64,
    /// The change.
    pub change: Change,
}

/// A voter. See the module documentation.
#[derive(Debug)]
pub struct Voter {
    config: Config,
    id: MemberId,
    state: PersistentState,
    /// Stages reported by the other initial voters.
    reported_stages: BTreeMap<MemberId, VoterStage>,
    next_stage_query_at: Time,
    /// The newest ballot reported by another acceptor.
    highest_ballot: Ballot,
    /// Differs between incarnations of the process. Replies to an earlier incarnation are ignored: they are outdated,
    /// because the replying voter may have made promises since.
    incarnation: u64,
    last_query: u64,
    /// The operation in progress.
    operation: Option<Operation>,
    queued_changes: VecDeque<QueuedChange>,
    queued_confirmations: Vec<ConfirmationRequest>,
    /// Whether the last operation was a change. If so, confirmations are next, so that changes cannot starve them.
    last_was_change: bool,
    random: StdRng,
}

impl Voter {
    /// Creates a voter from the state on its disk, if there is one. `seed` must differ between incarnations.
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
            queued_changes: VecDeque::new(),
            queued_confirmations: Vec::new(),
            last_was_change: false,
            random,
        }
    }

    /// Returns the stage, which tells whether the voter may vote.
    pub fn stage(&self) -> VoterStage {
        self.state.stage
    }

    /// Returns the newest electorate known to this voter.
    pub fn electorate(&self) -> Electorate {
        match &self.state.epoch_base {
            Some(base) => base.value.electorate.clone(),
            None => self.initial_value().electorate,
        }
    }

    /// Returns the value that holds before any value is chosen.
    fn initial_value(&self) -> Value {
        Value::initial(self.config.voters.iter().copied())
    }

    /// Returns the vote that started the current epoch.
    fn epoch_base(&self) -> Vote {
        let initial = || Vote { ballot: Ballot::default(), value: self.initial_value() };
        self.state.epoch_base.clone().unwrap_or_else(initial)
    }

    /// Whether this member is a voter of the newest known epoch, and so may propose.
    fn is_elected(&self) -> bool {
        let is_active = self.state.stage == VoterStage::Active;
        is_active && self.electorate().voters.get(&self.id) == Some(&self.state.disk_key)
    }

    /// Returns the voters of the newest known epoch, except this member.
    fn other_voters(&self) -> impl Iterator<Item = MemberId> + use<> {
        let own = self.id;
        self.electorate().voters.into_keys().filter(move |voter| *voter != own)
    }

    fn persist(&self, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(self.state.clone()));
    }

    fn send_to_other_voters(&self, message: &Message, outputs: &mut Vec<Output>) {
        for to in self.other_voters() {
            outputs.push(Output::Send(to, message.clone()));
        }
    }

    /// Returns when [`Voter::tick`] must be called next.
    pub fn next_tick_at(&self) -> Time {
        let timeout = self.config.timeout;
        let operation =
            self.operation.as_ref().map(|operation| operation.retry_at.min(operation.started_at + timeout));
        let stage_query = self.is_initializing().then_some(self.next_stage_query_at);
        let change = self.queued_changes.front().map(|change| change.queued_at + timeout);
        [operation, stage_query, change].into_iter().flatten().min().unwrap_or(Time::MAX)
    }

    /// Queues a change and starts it when no other operation is in progress.
    pub fn propose(&mut self, now: Time, proposed: ProposedChange, outputs: &mut Vec<Output>) {
        let ProposedChange { number, name, parent, change } = proposed;
        if self.queued_changes.len() >= MAX_QUEUED_CHANGES {
            let message = format!("{MAX_QUEUED_CHANGES} changes are already queued at this voter");
            let full = Rejection::LimitExceeded(message);
            return outputs.push(Output::Decided(number, Decision::Rejected(full)));
        }
        self.state.last_proposal += 1;
        let proposal = Proposal { member: self.id, number: self.state.last_proposal };
        self.persist(outputs);
        let command = Command { name, parent, change, proposal };
        self.queued_changes.push_back(QueuedChange { queued_at: now, number, command });
        self.start_next_operation(now, outputs);
    }

    /// Handles timers that are due: stage queries, timeouts and retries.
    pub fn tick(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.is_initializing() && now >= self.next_stage_query_at {
            self.next_stage_query_at = now + self.config.retry_interval;
            self.send_to_other_voters(&Message::StageQuery(self.incarnation), outputs);
            self.advance_stage(outputs); // a single voter does not wait for replies
        }
        self.abort_overdue(now, outputs);
        let retry_due = self.operation.as_ref().is_some_and(|operation| now >= operation.retry_at);
        if retry_due {
            self.start_attempt(now, outputs);
        }
        self.start_next_operation(now, outputs);
    }

    /// Aborts the operation and the queued changes whose timeout has expired.
    fn abort_overdue(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let timeout = self.config.timeout;
        while let Some(change) = self.queued_changes.pop_front_if(|change| now >= change.queued_at + timeout)
        {
            outputs.push(Output::Decided(change.number, Decision::Unknown));
        }
        let overdue = self.operation.take_if(|operation| now >= operation.started_at + timeout);
        if let Some(Operation { task: Task::Change { number, .. }, .. }) = overdue {
            outputs.push(Output::Decided(number, Decision::Unknown));
        }
    }

    /// Handles a message.
    pub fn receive(&mut self, now: Time, from: MemberId, message: Message, outputs: &mut Vec<Output>) {
        match message {
            Message::StageQuery(incarnation) => {
                let reply = Message::StageReply(incarnation, self.state.stage);
                outputs.push(Output::Send(from, reply));
            }
            Message::StageReply(incarnation, stage) => {
                if incarnation == self.incarnation {
                    self.handle_stage_report(now, from, stage, outputs);
                }
            }
            Message::Prepare(ballot) => self.handle_prepare(from, ballot, outputs),
            Message::Accept(ballot, value) => self.handle_accept(from, ballot, value, outputs),
            Message::VoteQuery(number) => self.handle_vote_query(from, number, outputs),
            Message::Chosen(vote) => self.enter_epoch(now, vote, outputs),
            Message::Promise(promise) => self.handle_promise(now, from, promise, outputs),
            Message::Accepted(ballot) => self.handle_accepted(now, from, ballot, outputs),
            Message::VoteReply(number, vote) => {
                self.handle_vote_report(now, from, VoteReport { number, vote }, outputs);
            }
            Message::Nack { ballot, seen } => self.handle_nack(now, ballot, seen),
            Message::ConfirmationRequest(number, known) => {
                let request = ConfirmationRequest { learner: from, number, known };
                self.handle_confirmation_request(now, request, outputs);
            }
            // Handled by the learner.
            Message::Redirect(_) | Message::Confirmation(_) => {}
        }
    }

    fn handle_confirmation_request(
        &mut self,
        now: Time,
        request: ConfirmationRequest,
        outputs: &mut Vec<Output>,
    ) {
        let was_replaced = self.state.epoch_base.is_some() && !self.is_elected();
        if was_replaced {
            let voters = self.other_voters().collect();
            return outputs.push(Output::Send(request.learner, Message::Redirect(voters)));
        }
        // Replace an earlier request of this learner: it ignores replies to those.
        self.queued_confirmations.retain(|queued| queued.learner != request.learner);
        if self.queued_confirmations.len() < MAX_QUEUED_LEARNERS {
            self.queued_confirmations.push(request);
        }
        self.start_next_operation(now, outputs);
    }
}
