//! Documents on which the schedulers of a deployment agree: the operators' settings and their lists of workers.
//!
//! A few processes are *voters*. A [`Voter`] is an acceptor and a proposer of CASPaxos (Rystsov, "CASPaxos: Replicated
//! State Machines without logs", 2018): one register that holds the newest versions of all documents, changed by
//! compare-and-set through a majority, with neither a leader nor a log. Every process, voter or not, is a
//! [`Learner`]: it asks a voter again and again to confirm the version that it acts on, and knows at each moment
//! what it may act on, its [`Validity`]. What is promised of that, and why it holds, is in `docs/agreement.md`.
//!
//! This crate is sans-I/O: it reads no clock, no socket and no disk. Times are counted by each process on its own
//! monotonic clock; what must be on disk before anything is sent comes out as [`Output::Persist`].
//!
//! | file | question |
//! | --- | --- |
//! | `document` | what is agreed on, and when is a change rejected |
//! | `register` | the Paxos rules: one acceptor's memory, one proposer's ballot |
//! | `voter` | the state of a voter, its messages and timers |
//! | `voter/stage` | may it vote: the beginning, a lost disk, joining |
//! | `voter/acceptor` | what it answers to other proposers |
//! | `voter/proposer` | how it makes a change or a confirmation |
//! | `learner` | what may a process act on now |
//! | `message` | what members send each other |
//! | `rules` | what a document says, and what holds while two versions are in force |
#![warn(missing_docs)]

mod document;
mod learner;
mod message;
mod register;
mod rules;
mod voter;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use document::{Change, Command, Digest, Document, Electorate, NewVoter, Proposal, Rejection, Value};
pub use learner::{Learner, Validity};
pub use message::{Confirmation, Message};
pub use register::{Acceptor, Ballot, Prepared, Promise, Round, Vote};
pub use rules::Rules;
pub use voter::{Decision, Output, PersistentState, ProposedChange, Voter, VoterStage};

/// Time on a process's own monotonic clock.
pub type Time = Duration;

/// A process that takes part: the same number for as long as its disk is the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// What must be configured alike at all members.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The first voters; an odd number is best. Those of today are in the value.
    pub voters: Vec<MemberId>,
    /// A reply that does not come within this time is asked for again.
    pub retry: Time,
    /// A change or a confirmation that takes longer is given up; a change may still be committed.
    pub timeout: Time,
    /// How long a confirmed version may be acted on, counted from when the confirmation was asked for.
    pub term: Time,
    /// The rates of two members' clocks differ by no more than this fraction.
    pub clock_drift: f64,
}

impl Config {
    /// How long a member that has learnt of a version keeps to the one before as well.
    ///
    /// Nobody acts on that one alone any more when it is over: who does confirmed it within the last term, on its own
    /// clock.
    pub fn transition_time(&self) -> Time {
        self.term.mul_f64((1.0 + self.clock_drift).powi(2))
    }
}
