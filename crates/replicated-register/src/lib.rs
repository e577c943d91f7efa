//! Documents on which the schedulers of a deployment agree: the operators' settings and their lists of workers.
//!
//! A few processes are *voters*. A [`Voter`] is an acceptor and a proposer of CASPaxos (Rystsov, "CASPaxos: Replicated
//! State Machines without logs", 2018): one register that holds the newest versions of all documents, changed by
//! compare-and-set through a majority, with neither a leader nor a log. Every process, voter or not, is a
//! [`Holder`]: it asks a voter again and again to confirm the version that it acts on, and knows at each moment
//! what it may act on, its [`Stance`]. What is promised of that, and why it holds, is in `docs/agreement.md`.
//!
//! Nothing here reads a clock, a socket or a disk. Times are counted by each process on its own monotonic clock;
//! what must be on disk before anything is said comes out as [`Output::Persist`].
#![warn(missing_docs)]

mod document;
mod holder;
mod message;
mod register;
mod rules;
mod voter;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use document::{Change, Command, Digest, Document, Electorate, Proposal, Refusal, Value};
pub use holder::{Holder, Stance};
pub use message::{Confirmation, Message, Stage};
pub use register::{Acceptor, Ballot, Promise, Round, Vote};
pub use rules::Rules;
pub use voter::{Durable, Output, Verdict, Voter};

/// Time on a process's own monotonic clock.
pub type Time = Duration;

/// A process that takes part: the same number for as long as its disk is the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// What all members must be told alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The voters of the founding; an odd number is best. Those of today are in the value.
    pub voters: Vec<MemberId>,
    /// A reply that does not come within this time is asked for again.
    pub retry: Time,
    /// A change or a confirmation that takes longer is given up; a change may still come to hold.
    pub patience: Time,
    /// A confirmed version may be acted on for so long, counted from when the confirmation was asked for.
    pub term: Time,
    /// Rates of two members' clocks differ by no more than this share.
    pub drift: f64,
}

impl Config {
    /// How long a member that has learnt of a version keeps to the one before as well. Nobody acts plainly on that
    /// one any more when it is over: who does confirmed it within the last term, on its own clock.
    pub fn overlap(&self) -> Time {
        self.term.mul_f64((1.0 + self.drift).powi(2))
    }
}
