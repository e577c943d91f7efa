//! A replicated register for the documents that all schedulers of a deployment share: the operators' settings and
//! worker lists.
//!
//! A few processes are *voters*. A [`Voter`] is an acceptor and a proposer of CASPaxos (Rystsov, "CASPaxos: Replicated
//! State Machines without logs", 2018). The register holds the newest versions of all documents and is changed by
//! compare-and-set through a majority, without a leader or a log. Every process, voter or not, runs a [`Learner`],
//! which periodically asks a voter to confirm the value it uses. Its [`Validity`] says which versions the process may
//! use at any time. `docs/agreement.md` states the guarantees and why they hold.
//!
//! This crate is sans-I/O: it uses no clock, socket or disk. Each process passes in times of its own monotonic clock;
//! state that must be on disk before anything else is done is returned as [`Output::Persist`].
//!
//! | module | contents |
//! | --- | --- |
//! | `document` | the register's value, and the checks of a change |
//! | `register` | the Paxos rules for one acceptor and one ballot |
//! | `voter` | the state, messages and timers of a voter |
//! | `voter/stage` | when a voter may vote: first start, disk loss, joining |
//! | `voter/acceptor` | replies to other proposers |
//! | `voter/proposer` | running a change or a confirmation |
//! | `learner` | the versions that a process may use |
//! | `message` | messages between members |
//! | `rules` | parsing of a document, and the rules that apply while two versions are in use |
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

/// Identifies a participating process. A process keeps its number as long as it keeps its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// Configuration. It must be the same at all members.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The initial voters, preferably an odd number. The register's value holds the current ones.
    pub voters: Vec<MemberId>,
    /// Time after which a request without a reply is repeated.
    pub retry_interval: Time,
    /// Time after which a change or a confirmation is aborted. An aborted change may still be committed.
    pub timeout: Time,
    /// How long a confirmed value may be used, measured from when the confirmation was requested.
    pub validity_period: Time,
    /// Maximum difference between the clock rates of two members, as a fraction.
    pub clock_drift: f64,
}

impl Config {
    /// How long a member that has learned a new value also obeys the previous one.
    ///
    /// After this time no member uses the previous value alone: to do so it must have confirmed that value within the
    /// last validity period of its own clock.
    pub fn transition_time(&self) -> Time {
        self.validity_period.mul_f64((1.0 + self.clock_drift).powi(2))
    }
}
