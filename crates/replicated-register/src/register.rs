//! The Paxos rules of the register: a single acceptor, and a proposer's evaluation of the replies of a majority.
//!
//! Both are independent of message passing and time, so that the tests can check every order of messages exhaustively.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::Value;
use crate::MemberId;

/// The unique number of an attempt to change the register.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Epoch of the voters that the ballot addresses.
    pub epoch: u64,
    /// Increases with each attempt.
    pub round: u64,
    /// Member number of the proposer plus one, so that no ballot equals [`Ballot::default`].
    pub proposer: u32,
}

impl Ballot {
    /// Returns the next ballot of a member for the voters of an epoch, where `self` is the newest ballot it has seen.
    pub fn next(self, member: MemberId, epoch: u64) -> Self {
        Ballot { epoch, round: self.round + 1, proposer: u32::from(member.0) + 1 }
    }
}

/// An acceptor's vote: an accepted value and the ballot that proposed it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vote {
    /// The ballot.
    pub ballot: Ballot,
    /// The value.
    pub value: Value,
}

/// An acceptor's promise to a proposer not to accept older ballots.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Promise {
    /// The prepared ballot.
    pub ballot: Ballot,
    /// The acceptor's last vote before this ballot.
    pub accepted: Option<Vote>,
}

/// The state of an acceptor. It must be on disk before a reply is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Option<Vote>,
}

impl Acceptor {
    /// Promises not to accept older ballots than `ballot`.
    ///
    /// # Errors
    /// Returns the promised ballot if it is newer.
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
    /// Returns the promised ballot if it is newer.
    pub fn accept(&mut self, ballot: Ballot, value: Value) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        self.accepted = Some(Vote { ballot, value });
        Ok(())
    }

    /// Returns the last vote.
    pub fn accepted(&self) -> Option<&Vote> {
        self.accepted.as_ref()
    }

    /// Returns the newest ballot promised or accepted.
    pub fn promised(&self) -> Ballot {
        self.promised
    }
}

/// The two phases of a proposer's ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Round {
    /// Phase 1: the proposer collects promises.
    Preparing(BTreeMap<MemberId, Option<Vote>>),
    /// Phase 2: the proposer has proposed this value and collects votes.
    Accepting(Value, BTreeSet<MemberId>),
}

/// The result of phase 1, taken from the promises of a majority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prepared {
    /// The newest vote of these acceptors; `None` if none of them has voted.
    pub newest_vote: Option<Vote>,
}

impl Round {
    /// Starts a new ballot in phase 1.
    pub fn start() -> Self {
        Round::Preparing(BTreeMap::new())
    }

    /// Adds a promise. Once a majority has promised, returns the newest vote among them. Older ballots cannot have
    /// chosen any other value, and cannot choose one any more.
    pub fn promised(&mut self, from: MemberId, accepted: Option<Vote>, majority: usize) -> Option<Prepared> {
        let Round::Preparing(promises) = self else { return None };
        promises.insert(from, accepted);
        if promises.len() < majority {
            return None;
        }
        let newest_vote = promises.values().flatten().max_by_key(|vote| vote.ballot).cloned();
        Some(Prepared { newest_vote })
    }

    /// Adds a vote. Returns the value once a majority has accepted it, which means that it is chosen.
    pub fn accepted(&mut self, from: MemberId, majority: usize) -> Option<&Value> {
        let Round::Accepting(value, votes) = self else { return None };
        votes.insert(from);
        (votes.len() >= majority).then_some(value)
    }
}

#[cfg(test)]
mod tests;
