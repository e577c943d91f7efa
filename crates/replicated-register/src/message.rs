//! Messages between members.

use serde::{Deserialize, Serialize};

use crate::document::Value;
use crate::register::{Ballot, Promise, Vote};
use crate::voter::VoterStage;
use crate::MemberId;

/// A voter's confirmation that a value was the register's value at some time after the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Number of the request.
    pub number: u64,
    /// Ballot that chose the value; `None` if no value has been chosen yet.
    pub ballot: Option<Ballot>,
    /// The value, unless the learner is known to have it already.
    pub new_value: Option<Value>,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Voter to voter: requests the stage. Carries the sender's incarnation, which the reply repeats.
    StageQuery(u64),
    /// Reply to a stage query.
    StageReply(u64, VoterStage),
    /// Proposer to acceptor: requests a promise not to accept older ballots.
    Prepare(Ballot),
    /// Acceptor to proposer: the promise.
    Promise(Promise),
    /// Proposer to acceptor: requests a vote for the value.
    Accept(Ballot, Value),
    /// Acceptor to proposer: the value of this ballot is accepted.
    Accepted(Ballot),
    /// Acceptor to proposer: the ballot is rejected because the acceptor has seen a newer one.
    Nack {
        /// The rejected ballot.
        ballot: Ballot,
        /// The newer ballot.
        seen: Ballot,
    },
    /// Proposer to acceptor: requests the last vote. Carries a number that the reply repeats.
    VoteQuery(u64),
    /// Acceptor to proposer: the last vote, if any.
    VoteReply(u64, Option<Vote>),
    /// Voter to voter: a chosen value that starts a new epoch, because it changes the electorate.
    Chosen(Vote),
    /// Former voter to learner: ask one of these voters instead.
    Redirect(Vec<MemberId>),
    /// Learner to voter: requests a confirmation. Carries a request number and the ballot of the value it knows.
    ConfirmationRequest(u64, Option<Ballot>),
    /// Voter to learner: the confirmation.
    Confirmation(Confirmation),
}
