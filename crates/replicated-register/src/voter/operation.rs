//! The operation that a voter's proposer has in progress, and the queued ones.

use std::collections::BTreeMap;

use crate::document::{Command, Rejection};
use crate::register::{Ballot, Round, Vote};
use crate::{MemberId, Time};

/// A queued change.
#[derive(Debug)]
pub(super) struct QueuedChange {
    pub(super) queued_at: Time,
    pub(super) number: u64,
    pub(super) command: Command,
}

/// A learner's request for a confirmation.
#[derive(Debug)]
pub(super) struct ConfirmationRequest {
    pub(super) learner: MemberId,
    /// Number of the request.
    pub(super) number: u64,
    /// Ballot of the value that the learner knows.
    pub(super) known: Option<Ballot>,
}

/// The purpose of an operation.
#[derive(Debug)]
pub(super) enum Task {
    /// Reply to a batch of confirmation requests.
    Confirm(Vec<ConfirmationRequest>),
    /// Make a change. The number identifies its decision.
    Change { number: u64, command: Command },
}

/// A ballot in progress.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) ballot: Ballot,
    pub(super) round: Round,
}

/// A query for the votes of all acceptors, and the replies.
#[derive(Debug)]
pub(super) struct VoteQuery {
    pub(super) number: u64,
    pub(super) votes: BTreeMap<MemberId, Option<Vote>>,
}

/// An acceptor's reply to a vote query.
#[derive(Debug)]
pub(super) struct VoteReport {
    /// Number of the query.
    pub(super) number: u64,
    pub(super) vote: Option<Vote>,
}

/// A change or a batch of confirmations in progress.
#[derive(Debug)]
pub(super) struct Operation {
    pub(super) task: Task,
    pub(super) started_at: Time,
    pub(super) retry_at: Time,
    /// The ballot, once one is started.
    pub(super) attempt: Option<Attempt>,
    pub(super) query: Option<VoteQuery>,
    /// Result of applying the change in this attempt.
    pub(super) result: Option<Result<u64, Rejection>>,
}

impl Operation {
    pub(super) fn new(task: Task, now: Time) -> Self {
        Operation { task, started_at: now, retry_at: now, attempt: None, query: None, result: None }
    }
}
