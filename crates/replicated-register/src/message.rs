//! What members tell each other.

use serde::{Deserialize, Serialize};

use crate::document::Value;
use crate::register::{Ballot, Promise, Vote};
use crate::MemberId;

/// How far a voter is.
///
/// A voter whose disk is gone has forgotten what it promised, and must not vote as who it was. It is told from one that
/// begins by this: voters vote once all have seen all others begin, and have that on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Nothing is on its disk.
    #[default]
    Blank,
    /// It has seen that all others are blank, or that far.
    Ready,
    /// It has seen that all others are ready: it votes.
    Active,
    /// The others vote already: its disk is gone, and it votes no more until it joins with a new key.
    Lost,
    /// It has a key on its disk, and votes once that is in the electorate.
    Joining,
}

/// A voter's word that a value held at a moment after the question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The question's.
    pub number: u64,
    /// Of the attempt that chose it; none if nothing was ever chosen.
    pub ballot: Option<Ballot>,
    /// The value, if it may be another than the holder knows.
    pub news: Option<Value>,
}

/// What members tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a voter: how far are you? With the number of its life, which the answer gives back.
    AskStage(u64),
    /// That far.
    StageIs(u64, Stage),
    /// From a proposer: take nothing older than this.
    Prepare(Ballot),
    /// From an acceptor: that holds.
    Promise(Promise),
    /// From a proposer: accept this.
    Accept(Ballot, Value),
    /// From an acceptor: it has.
    Accepted(Ballot),
    /// From an acceptor: not this one, as it has seen a newer.
    Refused(Ballot, Ballot),
    /// From a proposer: what have you accepted? With a number that the answer gives back.
    Query(u64),
    /// From an acceptor.
    State(u64, Vote),
    /// These voters have chosen this, and with it those of the next epoch.
    Chosen(Ballot, Value),
    /// To a holder: this one votes no more, ask one of these.
    Moved(Vec<MemberId>),
    /// From a holder: what holds? With a number, and the ballot of what it knows.
    Ask(u64, Option<Ballot>),
    /// From a voter to a holder.
    Confirm(Confirmation),
}
