//! How a voter makes a change or a confirmation.
//!
//! A confirmation asks all acceptors for their votes, which is enough as long as the answers of a majority agree. A
//! change, and a confirmation whose answers differ, run a ballot: prepare, then accept.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use crate::document::{Electorate, Value};
use crate::message::{Confirmation, Message};
use crate::register::{Ballot, Promise, Round, Vote};
use crate::{MemberId, Time};

use super::operation::{Attempt, Operation, Task, VoteQuery, VoteReport};
use super::{Decision, Output, Voter};

/// A retry is put off by this fraction of the retry time, drawn anew each time, so that proposers that met do not meet
/// again.
const JITTER: std::ops::Range<f64> = 0.2..2.0;

impl Voter {
    fn jitter(&mut self) -> Time {
        self.config.retry.mul_f64(self.random.random_range(JITTER))
    }

    /// Begins what waits, if nothing is under way: changes and confirmations in turn, all confirmations at once.
    pub(super) fn begin_next(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.operation.is_some() || !self.is_elected() {
            return;
        }
        let Some(task) = self.next_task() else { return };
        self.last_was_change = matches!(task, Task::Change { .. });
        self.operation = Some(Operation::new(task, now));
        self.attempt(now, outputs);
    }

    fn next_task(&mut self) -> Option<Task> {
        let confirmations_first = self.last_was_change && !self.confirmations.is_empty();
        if !confirmations_first {
            if let Some(change) = self.changes.pop_front() {
                return Some(Task::Change { number: change.number, command: change.command });
            }
        }
        if self.confirmations.is_empty() {
            return None;
        }
        Some(Task::Confirm(std::mem::take(&mut self.confirmations)))
    }

    /// Attempts the operation under way, for the first time or again.
    pub(super) fn attempt(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if !self.is_elected() {
            return; // what is under way runs into its timeout
        }
        let retry_at = now + self.config.retry + self.jitter();
        let Some(operation) = self.operation.as_mut() else { return };
        operation.retry_at = retry_at;
        let needs_ballot = matches!(operation.task, Task::Change { .. }) || operation.query.is_some();
        if needs_ballot {
            return self.start_ballot(now, outputs);
        }
        self.last_query = self.last_query.wrapping_add(1);
        let number = self.last_query;
        operation.query = Some(VoteQuery { number, votes: BTreeMap::new() });
        self.send_to_others(&Message::VoteQuery(number), outputs);
        let own_vote = self.state.acceptor.accepted().cloned();
        self.vote_reported(now, self.id, VoteReport { number, vote: own_vote }, outputs);
    }

    /// Phase 1 of a ballot.
    fn start_ballot(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let highest = self.highest_ballot.max(self.state.acceptor.promised());
        let ballot = highest.next(self.id, self.electorate().epoch);
        // Its own promise, on disk before anything is sent, keeps a process that restarts from using it again.
        let Ok(own_promise) = self.state.acceptor.prepare(ballot) else { return };
        self.persist(outputs);
        let Some(operation) = self.operation.as_mut() else { return };
        operation.attempt = Some(Attempt { ballot, round: Round::start() });
        operation.result = None;
        for to in self.others() {
            // A voter that is new, or was away, has to know that it is one of the voters.
            if let Some(base) = &self.state.epoch_base {
                outputs.push(Output::Send(to, Message::Chosen(base.clone())));
            }
            outputs.push(Output::Send(to, Message::Prepare(ballot)));
        }
        self.promised(now, self.id, own_promise, outputs);
    }

    /// Takes a promise; with those of a majority, phase 2 begins.
    pub(super) fn promised(
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
        // Also a change that is rejected has its value written back: it is rejected because of what may not be chosen
        // yet. A value that names other voters is the last of these: it is written back, and the change is for them.
        let is_of_this_epoch = value.electorate.epoch == electorate.epoch;
        if let (Task::Change { command, .. }, true) = (&operation.task, is_of_this_epoch) {
            operation.result = Some(value.apply(command));
        }
        let ballot = attempt.ballot;
        attempt.round = Round::Accepting(value.clone(), BTreeSet::new());
        if self.state.acceptor.accept(ballot, value.clone()).is_err() {
            return; // it has promised a newer ballot meanwhile
        }
        self.persist(outputs);
        self.send_to_others(&Message::Accept(ballot, value), outputs);
        self.accepted(now, self.id, ballot, outputs);
    }

    /// Takes a vote of phase 2; with those of a majority, the value is chosen.
    pub(super) fn accepted(&mut self, now: Time, from: MemberId, ballot: Ballot, outputs: &mut Vec<Output>) {
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
            self.begin_epoch(now, chosen, outputs);
            if !has_result {
                return self.attempt(now, outputs);
            }
        }
        self.finish(now, Some(ballot), &value, outputs);
    }

    /// Tells the voters of both epochs who votes from now on.
    fn announce_epoch(&self, before: &Electorate, chosen: &Vote, outputs: &mut Vec<Output>) {
        let after = &chosen.value.electorate;
        let both: BTreeSet<MemberId> = before.voters.keys().chain(after.voters.keys()).copied().collect();
        for to in both.into_iter().filter(|voter| *voter != self.id) {
            outputs.push(Output::Send(to, Message::Chosen(chosen.clone())));
        }
    }

    /// Another acceptor has seen a newer ballot: this one is given up, and tried again later.
    pub(super) fn nacked(&mut self, now: Time, ballot: Ballot, seen: Ballot) {
        self.highest_ballot = self.highest_ballot.max(seen);
        let retry_at = now + self.jitter();
        let Some(operation) = self.operation.as_mut() else { return };
        let is_under_way = operation.attempt.as_ref().is_some_and(|attempt| attempt.ballot == ballot);
        if is_under_way {
            operation.attempt = None; // late answers to it count no more
            operation.retry_at = retry_at;
        }
    }

    /// Takes an answer to the question for votes. If those of a majority agree, that confirms the value.
    pub(super) fn vote_reported(
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
            Some(agreed) => self.votes_agree(now, agreed, &electorate, outputs),
            None => self.start_ballot(now, outputs),
        }
    }

    /// A majority has accepted the same ballot, and nothing newer was chosen before the question: that would show in
    /// one of the answers.
    fn votes_agree(
        &mut self,
        now: Time,
        agreed: Option<Vote>,
        electorate: &Electorate,
        outputs: &mut Vec<Output>,
    ) {
        let newest = newer_of(agreed, self.epoch_base());
        if newest.ballot.epoch > electorate.epoch {
            // It is of later voters, whose majority is another. The acceptors will tell who they are.
            return self.start_ballot(now, outputs);
        }
        if newest.value.electorate.epoch > electorate.epoch {
            self.begin_epoch(now, newest, outputs);
            return self.attempt(now, outputs);
        }
        let Vote { ballot, value } = newest;
        let was_chosen = ballot != Ballot::default();
        self.finish(now, was_chosen.then_some(ballot), &value, outputs);
    }

    /// Ends the operation under way with the value that holds, and begins the next one.
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
                    let is_new = request.known != ballot || request.known.is_none();
                    let new_value = is_new.then(|| value.clone());
                    let confirmation = Confirmation { number: request.number, ballot, new_value };
                    outputs.push(Output::Send(request.learner, Message::Confirmation(confirmation)));
                }
            }
        }
        self.begin_next(now, outputs);
    }
}

/// The vote if it is newer than the value with which the epoch began, else that value.
fn newer_of(vote: Option<Vote>, base: Vote) -> Vote {
    vote.filter(|vote| vote.ballot > base.ballot).unwrap_or(base)
}

/// The vote that all of these have in common, which may be none; `None` if they differ.
fn agreed_vote(votes: &BTreeMap<MemberId, Option<Vote>>) -> Option<Option<Vote>> {
    let ballot_of = |vote: &Option<Vote>| vote.as_ref().map(|vote| vote.ballot);
    let first = votes.values().next()?;
    let agree = votes.values().all(|vote| ballot_of(vote) == ballot_of(first));
    agree.then(|| first.clone())
}
