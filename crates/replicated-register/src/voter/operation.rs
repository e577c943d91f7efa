//! What a voter's proposer has under way, and what waits for it.

use std::collections::BTreeMap;

use crate::document::{Command, Rejection};
use crate::register::{Ballot, Round, Vote};
use crate::{MemberId, Time};

/// A change that waits.
#[derive(Debug)]
pub(super) struct QueuedChange {
    pub(super) queued_at: Time,
    pub(super) number: u64,
    pub(super) command: Command,
}

/// A learner that waits for a confirmation.
#[derive(Debug)]
pub(super) struct ConfirmationRequest {
    pub(super) learner: MemberId,
    /// The number of its question.
    pub(super) number: u64,
    /// The ballot of what it knows.
    pub(super) known: Option<Ballot>,
}

/// What an operation is for.
#[derive(Debug)]
pub(super) enum Task {
    /// Confirmations, all at once.
    Confirm(Vec<ConfirmationRequest>),
    /// A change, with the number of its decision.
    Change { number: u64, command: Command },
}

/// A ballot under way.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) ballot: Ballot,
    pub(super) round: Round,
}

/// A question to all acceptors for their votes, and the answers.
#[derive(Debug)]
pub(super) struct VoteQuery {
    pub(super) number: u64,
    pub(super) votes: BTreeMap<MemberId, Option<Vote>>,
}

/// An acceptor's answer to such a question.
#[derive(Debug)]
pub(super) struct VoteReport {
    /// The number of the question.
    pub(super) number: u64,
    pub(super) vote: Option<Vote>,
}

/// A change or a confirmation under way.
#[derive(Debug)]
pub(super) struct Operation {
    pub(super) task: Task,
    pub(super) started_at: Time,
    pub(super) retry_at: Time,
    /// The ballot, once there is one.
    pub(super) attempt: Option<Attempt>,
    pub(super) query: Option<VoteQuery>,
    /// What the change came to in this attempt.
    pub(super) result: Option<Result<u64, Rejection>>,
}

impl Operation {
    pub(super) fn new(task: Task, now: Time) -> Self {
        Operation { task, started_at: now, retry_at: now, attempt: None, query: None, result: None }
    }
}
