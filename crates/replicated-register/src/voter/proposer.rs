//! Runs changes and confirmations.
//!
//! A confirmation queries the votes of all acceptors. If the votes of a majority agree, no ballot is needed. Otherwise,
//! and for every change, the proposer runs a ballot: prepare, then accept.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use crate::document::{Electorate, Value};
use crate::message::{Confirmation, Message};
use crate::register::{Ballot, Promise, Round, Vote};
use crate::{MemberId, Time};

use super::operation::{Attempt, Operation, Task, VoteQuery, VoteReport};
use super::{Decision, Output, Voter};

/// Random delay of each retry, as a fraction of the retry interval, so that competing proposers do not collide again.
const JITTER: std::ops::Range<f64> = 0.2..2.0;

impl Voter {
    fn jitter(&mut self) -> Time {
        self.config.retry_interval.mul_f64(self.random.random_range(JITTER))
    }

    /// Starts the next queued operation if none is in progress. Alternates between one change and a batch of all queued
    /// confirmations.
    pub(super) fn start_next_operation(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.operation.is_some() || !self.is_elected() {
            return;
        }
        let Some(task) = self.next_task() else { return };
        self.last_was_change = matches!(task, Task::Change { .. });
        self.operation = Some(Operation::new(task, now));
        self.start_attempt(now, outputs);
    }

    fn next_task(&mut self) -> Option<Task> {
        let confirmations_first = self.last_was_change && !self.queued_confirmations.is_empty();
        if !confirmations_first {
            if let Some(change) = self.queued_changes.pop_front() {
                return Some(Task::Change { number: change.number, command: change.command });
            }
        }
        if self.queued_confirmations.is_empty() {
            return None;
        }
        Some(Task::Confirm(std::mem::take(&mut self.queued_confirmations)))
    }

    /// Starts or retries the operation in progress.
    pub(super) fn start_attempt(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if !self.is_elected() {
            return; // leave the operation to its timeout
        }
        let retry_at = now + self.config.retry_interval + self.jitter();
        let Some(operation) = self.operation.as_mut() else { return };
        operation.retry_at = retry_at;
        let needs_ballot = matches!(operation.task, Task::Change { .. }) || operation.query.is_some();
        if needs_ballot {
            return self.start_ballot(now, outputs);
        }
        self.last_query = self.last_query.wrapping_add(1);
        let number = self.last_query;
        operation.query = Some(VoteQuery { number, votes: BTreeMap::new() });
        self.send_to_other_voters(&Message::VoteQuery(number), outputs);
        let own_vote = self.state.acceptor.accepted().cloned();
        self.handle_vote_report(now, self.id, VoteReport { number, vote: own_vote }, outputs);
    }

    /// Starts a ballot with phase 1.
    fn start_ballot(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let highest = self.highest_ballot.max(self.state.acceptor.promised());
        let ballot = highest.next(self.id, self.electorate().epoch);
        // Persist our own promise before sending anything, so that the ballot is not reused after a restart.
        let Ok(own_promise) = self.state.acceptor.prepare(ballot) else { return };
        self.persist(outputs);
        let Some(operation) = self.operation.as_mut() else { return };
        operation.attempt = Some(Attempt { ballot, round: Round::start() });
        operation.result = None;
        for to in self.other_voters() {
            // A voter that is new or was unreachable may not know yet that it is in the electorate.
            if let Some(base) = &self.state.epoch_base {
                outputs.push(Output::Send(to, Message::Chosen(base.clone())));
            }
            outputs.push(Output::Send(to, Message::Prepare(ballot)));
        }
        self.handle_promise(now, self.id, own_promise, outputs);
    }

    /// Handles a promise. Starts phase 2 once a majority has promised.
    pub(super) fn handle_promise(
        &mut self,
        now: Time,
        from: MemberId,
        promise: Promise,
        outputs: &mut Vec<Output>,
    ) {
        let (electorate, base) = (self.electorate(), self.epoch_base());
        if !electorate.voters.contains_key(&from) {
            return;
        }
        let Some(operation) = self.operation.as_mut() else { return };
        let Some(attempt) = operation.attempt.as_mut().filter(|attempt| attempt.ballot == promise.ballot)
        else {
            return;
        };
        let promised = attempt.round.promised(from, promise.accepted, electorate.majority());
        let Some(prepared) = promised else { return };
        let mut value = newer_of(prepared.newest_vote, base).value;
        // Write the value back even if the change is rejected: the value that caused the rejection may not be chosen
        // yet. A value that starts a new epoch is the last of this one. Write it back unchanged, because the change
        // must be made by the new voters.
        let belongs_to_epoch = value.electorate.epoch == electorate.epoch;
        if let (Task::Change { command, .. }, true) = (&operation.task, belongs_to_epoch) {
            operation.result = Some(value.apply(command));
        }
        let ballot = attempt.ballot;
        attempt.round = Round::Accepting(value.clone(), BTreeSet::new());
        if self.state.acceptor.accept(ballot, value.clone()).is_err() {
            return; // our own acceptor has promised a newer ballot meanwhile
        }
        self.persist(outputs);
        self.send_to_other_voters(&Message::Accept(ballot, value), outputs);
        self.handle_accepted(now, self.id, ballot, outputs);
    }

    /// Handles a vote of phase 2. The value is chosen once a majority has accepted it.
    pub(super) fn handle_accepted(
        &mut self,
        now: Time,
        from: MemberId,
        ballot: Ballot,
        outputs: &mut Vec<Output>,
    ) {
        let electorate = self.electorate();
        if !electorate.voters.contains_key(&from) {
            return;
        }
        let Some(operation) = self.operation.as_mut() else { return };
        let Some(attempt) = operation.attempt.as_mut().filter(|attempt| attempt.ballot == ballot) else {
            return;
        };
        let Some(value) = attempt.round.accepted(from, electorate.majority()).cloned() else { return };
        let has_result = operation.result.is_some();
        if value.electorate.epoch > electorate.epoch {
            let chosen = Vote { ballot, value: value.clone() };
            self.announce_epoch(&electorate, &chosen, outputs);
            self.enter_epoch(now, chosen, outputs);
            if !has_result {
                return self.start_attempt(now, outputs);
            }
        }
        self.finish(now, Some(ballot), &value, outputs);
    }

    /// Sends the value that starts a new epoch to the voters of the old and the new epoch.
    fn announce_epoch(&self, before: &Electorate, chosen: &Vote, outputs: &mut Vec<Output>) {
        let after = &chosen.value.electorate;
        let both: BTreeSet<MemberId> = before.voters.keys().chain(after.voters.keys()).copied().collect();
        for to in both.into_iter().filter(|voter| *voter != self.id) {
            outputs.push(Output::Send(to, Message::Chosen(chosen.clone())));
        }
    }

    /// Handles a nack: aborts the ballot and schedules a retry.
    pub(super) fn handle_nack(&mut self, now: Time, ballot: Ballot, seen: Ballot) {
        self.highest_ballot = self.highest_ballot.max(seen);
        let retry_at = now + self.jitter();
        let Some(operation) = self.operation.as_mut() else { return };
        let is_current = operation.attempt.as_ref().is_some_and(|attempt| attempt.ballot == ballot);
        if is_current {
            operation.attempt = None; // ignore late replies to it
            operation.retry_at = retry_at;
        }
    }

    /// Handles the reply to a vote query. If the votes of a majority agree, their value is confirmed.
    pub(super) fn handle_vote_report(
        &mut self,
        now: Time,
        from: MemberId,
        report: VoteReport,
        outputs: &mut Vec<Output>,
    ) {
        let electorate = self.electorate();
        if !electorate.voters.contains_key(&from) {
            return;
        }
        let Some(operation) = self.operation.as_mut().filter(|operation| operation.attempt.is_none()) else {
            return;
        };
        let Some(query) = operation.query.as_mut().filter(|query| query.number == report.number) else {
            return;
        };
        query.votes.insert(from, report.vote);
        if query.votes.len() < electorate.majority() {
            return;
        }
        match agreed_vote(&query.votes) {
            Some(agreed) => self.handle_agreed_vote(now, agreed, &electorate, outputs),
            None => self.start_ballot(now, outputs),
        }
    }

    /// Handles agreeing votes of a majority. No newer value was chosen before the query: at least one of the replies
    /// would contain it.
    fn handle_agreed_vote(
        &mut self,
        now: Time,
        agreed: Option<Vote>,
        electorate: &Electorate,
        outputs: &mut Vec<Output>,
    ) {
        let newest = newer_of(agreed, self.epoch_base());
        if newest.ballot.epoch > electorate.epoch {
            // The vote belongs to a later epoch with different voters. The nacks of this ballot will announce them.
            return self.start_ballot(now, outputs);
        }
        if newest.value.electorate.epoch > electorate.epoch {
            self.enter_epoch(now, newest, outputs);
            return self.start_attempt(now, outputs);
        }
        let Vote { ballot, value } = newest;
        let was_chosen = ballot != Ballot::default();
        self.finish(now, was_chosen.then_some(ballot), &value, outputs);
    }

    /// Finishes the operation in progress with the current value, and starts the next one.
    fn finish(&mut self, now: Time, ballot: Option<Ballot>, value: &Value, outputs: &mut Vec<Output>) {
        let Some(operation) = self.operation.take() else { return };
        match operation.task {
            Task::Change { number, .. } => {
                let decision = match operation.result {
                    Some(Ok(version)) => Decision::Committed(version),
                    Some(Err(rejection)) => Decision::Rejected(rejection),
                    None => Decision::Unknown,
                };
                outputs.push(Output::Decided(number, decision));
            }
            Task::Confirm(requests) => {
                for request in requests {
                    let may_be_new = request.known != ballot || request.known.is_none();
                    let new_value = may_be_new.then(|| value.clone());
                    let confirmation = Confirmation { number: request.number, ballot, new_value };
                    outputs.push(Output::Send(request.learner, Message::Confirmation(confirmation)));
                }
            }
        }
        self.start_next_operation(now, outputs);
    }
}

/// Returns the vote if it is newer than `base`, the vote that started the epoch; otherwise `base`.
fn newer_of(vote: Option<Vote>, base: Vote) -> Vote {
    vote.filter(|vote| vote.ballot > base.ballot).unwrap_or(base)
}

/// Returns the common vote of these acceptors, or `None` if they differ. The common vote is itself `None` if no
/// acceptor has voted.
fn agreed_vote(votes: &BTreeMap<MemberId, Option<Vote>>) -> Option<Option<Vote>> {
    let ballot_of = |vote: &Option<Vote>| vote.as_ref().map(|vote| vote.ballot);
    let first = votes.values().next()?;
    let agree = votes.values().all(|vote| ballot_of(vote) == ballot_of(first));
    agree.then(|| first.clone())
}
