//! What members send each other.

use serde::{Deserialize, Serialize};

use crate::document::Value;
use crate::register::{Ballot, Promise, Vote};
use crate::voter::VoterStage;
use crate::MemberId;

/// A voter's word that a value held at a moment after the question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The number of the question.
    pub number: u64,
    /// The ballot that chose the value; none if nothing was ever chosen.
    pub ballot: Option<Ballot>,
    /// The value, if it may be another than the learner knows.
    pub new_value: Option<Value>,
}

/// What members send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a voter: what is your stage? With the number of its incarnation, which the reply gives back.
    StageQuery(u64),
    /// The reply.
    StageReply(u64, VoterStage),
    /// From a proposer: accept nothing older than this ballot.
    Prepare(Ballot),
    /// From an acceptor: that holds.
    Promise(Promise),
    /// From a proposer: accept this.
    Accept(Ballot, Value),
    /// From an acceptor: it has.
    Accepted(Ballot),
    /// From an acceptor: not this ballot, as it has seen a newer one.
    Nack {
        /// The ballot that it does not accept.
        ballot: Ballot,
        /// The newer one.
        seen: Ballot,
    },
    /// From a proposer: what have you accepted? With a number that the reply gives back.
    VoteQuery(u64),
    /// From an acceptor.
    VoteReply(u64, Option<Vote>),
    /// These voters have chosen this value, and with it the voters of the next epoch.
    Chosen(Vote),
    /// To a learner: this member votes no more, ask one of these.
    Redirect(Vec<MemberId>),
    /// From a learner: what holds? With a number, and the ballot of what it knows.
    ConfirmationRequest(u64, Option<Ballot>),
    /// From a voter to a learner.
    Confirmation(Confirmation),
}
