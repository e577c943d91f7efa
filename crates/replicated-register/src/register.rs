//! The register's Paxos rules: what a single acceptor does, and what a proposer makes of the answers of a majority.
//!
//! Both are plain functions on values, without members, messages or time, so that `tests` can try all orders of all
//! messages.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::Value;
use crate::MemberId;

/// The number of an attempt to change the register; no two attempts have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The epoch of the voters that it is for.
    pub epoch: u64,
    /// Grows with each attempt.
    pub round: u64,
    /// The number of the proposer plus one, so that no ballot is like [`Ballot::default`].
    pub proposer: u32,
}

impl Ballot {
    /// The next one of a member that has seen this one, for the voters of an epoch.
    pub fn next(self, member: MemberId, epoch: u64) -> Self {
        Ballot { epoch, round: self.round + 1, proposer: u32::from(member.0) + 1 }
    }
}

/// An acceptor's vote: the value that it accepted, and the ballot that proposed it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The ballot.
    pub ballot: Ballot,
    /// The value.
    pub value: Value,
}

/// An acceptor's answer to a proposer that may go on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Promise {
    /// The ballot that was prepared.
    pub ballot: Ballot,
    /// What the acceptor accepted last, before it.
    pub accepted: Option<Vote>,
}

/// An acceptor's memory. It must be on disk before the answer is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Option<Vote>,
}

impl Acceptor {
    /// Promises to accept nothing of an older ballot from now on.
    ///
    /// # Errors
    /// The newer ballot that it has seen.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<Promise, Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        Ok(Promise { ballot, accepted: self.accepted.clone() })
    }

    /// Accepts a value.
    ///
    /// # Errors
    /// The newer ballot that it has seen.
    pub fn accept(&mut self, ballot: Ballot, value: Value) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        self.accepted = Some(Vote { ballot, value });
        Ok(())
    }

    /// What it accepted last.
    pub fn accepted(&self) -> Option<&Vote> {
        self.accepted.as_ref()
    }

    /// The newest ballot that it has seen.
    pub fn promised(&self) -> Ballot {
        self.promised
    }
}

/// The two phases of a proposer's ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Round {
    /// Phase 1: it collects promises.
    Preparing(BTreeMap<MemberId, Option<Vote>>),
    /// Phase 2: it has proposed this value and collects votes.
    Accepting(Value, BTreeSet<MemberId>),
}

/// What the promises of a majority say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prepared {
    /// The newest vote among them; `None` if none of them has voted.
    pub newest_vote: Option<Vote>,
}

impl Round {
    /// A new ballot, in phase 1.
    pub fn start() -> Self {
        Round::Preparing(BTreeMap::new())
    }

    /// Takes a promise. With those of a majority it gives the newest vote among them: nothing else can have been
    /// chosen by these voters, nor can be any more by an older ballot.
    pub fn promised(&mut self, from: MemberId, accepted: Option<Vote>, majority: usize) -> Option<Prepared> {
        let Round::Preparing(promises) = self else { return None };
        promises.insert(from, accepted);
        if promises.len() < majority {
            return None;
        }
        let newest_vote = promises.values().flatten().max_by_key(|vote| vote.ballot).cloned();
        Some(Prepared { newest_vote })
    }

    /// Takes a vote, and gives the value once a majority has accepted it: it is chosen.
    pub fn accepted(&mut self, from: MemberId, majority: usize) -> Option<&Value> {
        let Round::Accepting(value, votes) = self else { return None };
        votes.insert(from);
        (votes.len() >= majority).then_some(value)
    }
}

#[cfg(test)]
mod tests;
