//! The register: what a single acceptor does, and what a proposer makes of the answers of a majority.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::document::Value;
use crate::MemberId;

/// The number of an attempt to change the register; no two attempts have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Of the voters that it is for.
    pub epoch: u64,
    /// Grows.
    pub round: u64,
    /// The proposer, by its number and one, so that none is like [`Ballot::default`].
    pub proposer: u32,
}

impl Ballot {
    /// The next one of a member that has seen this one, for the voters of an epoch.
    pub fn next(self, member: MemberId, epoch: u64) -> Self {
        Ballot { epoch, round: self.round + 1, proposer: u32::from(member.0) + 1 }
    }
}

/// What an acceptor accepted last.
pub type Vote = Option<(Ballot, Value)>;

/// An acceptor's answer to a proposer that may go on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Promise {
    /// The attempt.
    pub ballot: Ballot,
    /// What was accepted before it.
    pub accepted: Vote,
}

/// A voter's memory. It must be on disk before the answer is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Vote,
}

impl Acceptor {
    /// Takes nothing of an older attempt from now on.
    ///
    /// # Errors
    /// Gives the newer attempt that it has seen.
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
    /// Gives the newer attempt that it has seen.
    pub fn accept(&mut self, ballot: Ballot, value: Value) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        self.accepted = Some((ballot, value));
        Ok(())
    }

    /// What it accepted last.
    pub fn accepted(&self) -> &Vote {
        &self.accepted
    }

    /// The newest attempt that it has seen.
    pub fn promised(&self) -> Ballot {
        self.promised
    }
}

/// A proposer's attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Round {
    /// It collects promises.
    Preparing(BTreeMap<MemberId, Vote>),
    /// It has proposed this and collects votes.
    Accepting(Value, BTreeSet<MemberId>),
}

impl Round {
    /// A new attempt.
    pub fn start() -> Self {
        Round::Preparing(BTreeMap::new())
    }

    /// Takes a promise. With those of a majority it gives the newest vote among them: nothing else can have been
    /// chosen by these voters, nor can be any more by an older attempt.
    pub fn promised(&mut self, from: MemberId, accepted: Vote, majority: usize) -> Option<Vote> {
        let Round::Preparing(promises) = self else { return None };
        promises.insert(from, accepted);
        if promises.len() < majority {
            return None;
        }
        Some(promises.values().flatten().max_by_key(|vote| vote.0).cloned())
    }

    /// Takes a vote, and gives the value once a majority has accepted it: it is chosen.
    pub fn accepted(&mut self, from: MemberId, majority: usize) -> Option<&Value> {
        let Round::Accepting(value, votes) = self else { return None };
        votes.insert(from);
        (votes.len() >= majority).then_some(value)
    }
}

#[cfg(test)]
mod tests {
    use std::collections::HashSet;

    use super::*;
    use crate::document::{Change, Command, Proposal};

    const VOTERS: u16 = 3;

    /// Three acceptors and proposers that each make one change, in as many attempts as are given; what was sent
    /// stays in flight for good, so that it may come late, twice or never.
    #[derive(Clone, PartialEq, Eq, Hash)]
    struct World {
        acceptors: Vec<Acceptor>,
        /// By attempt: its proposer, and how far it is.
        attempts: Vec<(u16, Option<Round>)>,
        /// Values that a majority has accepted.
        chosen: Vec<Value>,
        /// Promises in flight.
        replies: Vec<(usize, MemberId, Vote)>,
    }

    fn ballot(attempt: usize, proposer: u16) -> Ballot {
        Ballot { epoch: 0, round: attempt as u64 + 1, proposer: u32::from(proposer) + 1 }
    }

    /// Each changes a document of its own, so that no change stands in another's way.
    fn command(proposer: u16) -> Command {
        let by = Proposal { member: MemberId(proposer), number: 1 };
        Command { name: proposer.to_string(), parent: 0, change: Change::Put(String::new()), by }
    }

    /// Whether all that one value holds is in the other.
    fn within(one: &Value, other: &Value) -> bool {
        one.all().all(|(name, document)| other.newest(name) == Some(document))
    }

    /// All worlds that follow from one by one step.
    fn steps(world: &World) -> Vec<World> {
        let mut next = Vec::new();
        for attempt in 0..world.attempts.len() {
            let (proposer, round) = &world.attempts[attempt];
            let number = ballot(attempt, *proposer);
            if round.is_none() {
                let mut w = world.clone();
                w.attempts[attempt].1 = Some(Round::start());
                next.push(w);
                continue;
            }
            for voter in 0..VOTERS {
                let from = MemberId(voter);
                match round {
                    Some(Round::Preparing(_)) => {
                        // The question arrives; its answer is in flight from then on.
                        let mut w = world.clone();
                        if let Ok(promise) = w.acceptors[usize::from(voter)].prepare(number) {
                            let reply = (attempt, from, promise.accepted);
                            if !w.replies.contains(&reply) {
                                w.replies.push(reply);
                                w.replies.sort_by_key(|r| (r.0, r.1));
                                next.push(w);
                            }
                        }
                    }
                    Some(Round::Accepting(value, _)) => {
                        let mut w = world.clone();
                        if w.acceptors[usize::from(voter)].accept(number, value.clone()).is_ok() {
                            let chosen =
                                w.attempts[attempt].1.as_mut().and_then(|r| r.accepted(from, 2).cloned());
                            w.chosen.extend(chosen.filter(|value| !world.chosen.contains(value)));
                            next.push(w);
                        }
                    }
                    None => {}
                }
            }
            // An answer arrives. Only the first of each acceptor is asked for.
            for (_, from, vote) in world.replies.iter().filter(|reply| reply.0 == attempt) {
                let mut w = world.clone();
                let (proposer, Some(round)) = &mut w.attempts[attempt] else { continue };
                if matches!(round, Round::Preparing(promises) if promises.contains_key(from)) {
                    continue;
                }
                if let Some(newest) = round.promised(*from, vote.clone(), 2) {
                    let mut value = newest.map(|vote| vote.1).unwrap_or_default();
                    let _ = value.apply(&command(*proposer));
                    *round = Round::Accepting(value, BTreeSet::new());
                }
                next.push(w);
            }
        }
        next
    }

    #[test]
    fn whatever_arrives_in_whatever_order_each_chosen_value_holds_those_before() {
        // Two proposers. By hand also a third attempt, of the first again: its own late votes meet its new attempt.
        let mut attempts = vec![(0, None), (1, None)];
        attempts.extend(std::env::var_os("AGREEMENT_DEEP").map(|_| (0, None)));
        let acceptors = vec![Acceptor::default(); usize::from(VOTERS)];
        let mut open = vec![World { acceptors, attempts, chosen: Vec::new(), replies: Vec::new() }];
        let (mut seen, mut most) = (HashSet::new(), 0);
        while let Some(world) = open.pop() {
            for next in steps(&world) {
                if !seen.insert(next.clone()) {
                    continue;
                }
                for (n, one) in next.chosen.iter().enumerate() {
                    for other in &next.chosen[..n] {
                        assert!(within(one, other) || within(other, one), "{one:?} and {other:?}");
                    }
                }
                most = most.max(next.chosen.len());
                open.push(next);
            }
        }
        println!("{} worlds, up to {most} values chosen", seen.len());
        assert!(seen.len() > 1_000 && most >= 2, "{} worlds, {most} values chosen", seen.len());
    }
}
