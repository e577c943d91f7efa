use std::collections::HashSet;

use super::*;
use crate::document::{Change, Command, Proposal};

const VOTERS: u16 = 3;

/// Three acceptors and proposers that each make one change, in as many ballots as are given; what was sent
/// stays in flight for good, so that it may come late, twice or never.
#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    acceptors: Vec<Acceptor>,
    /// By ballot: its proposer, and its phase.
    ballots: Vec<(u16, Option<Round>)>,
    /// Values that a majority has accepted.
    chosen: Vec<Value>,
    /// Promises in flight.
    replies: Vec<(usize, MemberId, Option<Vote>)>,
}

fn ballot(index: usize, proposer: u16) -> Ballot {
    Ballot { epoch: 0, round: index as u64 + 1, proposer: u32::from(proposer) + 1 }
}

/// Each changes a document of its own, so that no change stands in another's way.
fn command(proposer: u16) -> Command {
    let proposal = Proposal { member: MemberId(proposer), number: 1 };
    Command { name: proposer.to_string(), parent: 0, change: Change::Put(String::new()), proposal }
}

/// Whether all that one value holds is in the other.
fn within(one: &Value, other: &Value) -> bool {
    one.all().all(|(name, document)| other.newest(name) == Some(document))
}

/// All worlds that follow from one by one step.
fn steps(world: &World) -> Vec<World> {
    let mut next = Vec::new();
    for index in 0..world.ballots.len() {
        if world.ballots[index].1.is_none() {
            let mut w = world.clone();
            w.ballots[index].1 = Some(Round::start());
            next.push(w);
            continue;
        }
        next.extend((0..VOTERS).filter_map(|voter| question_arrives(world, index, voter)));
        next.extend(answers_arrive(world, index));
    }
    next
}

/// A proposer's question arrives at a voter; `None` if that changes nothing.
fn question_arrives(world: &World, index: usize, voter: u16) -> Option<World> {
    let (proposer, round) = &world.ballots[index];
    let (number, from) = (ballot(index, *proposer), MemberId(voter));
    let mut w = world.clone();
    match round.as_ref()? {
        Round::Preparing(_) => {
            // Its answer is in flight from then on.
            let promise = w.acceptors[usize::from(voter)].prepare(number).ok()?;
            let reply = (index, from, promise.accepted);
            if w.replies.contains(&reply) {
                return None;
            }
            w.replies.push(reply);
            w.replies.sort_by_key(|r| (r.0, r.1));
        }
        Round::Accepting(value, _) => {
            w.acceptors[usize::from(voter)].accept(number, value.clone()).ok()?;
            let chosen = w.ballots[index].1.as_mut().and_then(|r| r.accepted(from, 2).cloned());
            w.chosen.extend(chosen.filter(|value| !world.chosen.contains(value)));
        }
    }
    Some(w)
}

/// An answer arrives at its proposer. Only the first of each acceptor is asked for.
fn answers_arrive(world: &World, index: usize) -> Vec<World> {
    let mut next = Vec::new();
    for (_, from, vote) in world.replies.iter().filter(|reply| reply.0 == index) {
        let mut w = world.clone();
        let (proposer, Some(round)) = &mut w.ballots[index] else { continue };
        if matches!(round, Round::Preparing(promises) if promises.contains_key(from)) {
            continue;
        }
        if let Some(prepared) = round.promised(*from, vote.clone(), 2) {
            let mut value = prepared.newest_vote.map(|vote| vote.value).unwrap_or_default();
            let _ = value.apply(&command(*proposer));
            *round = Round::Accepting(value, BTreeSet::new());
        }
        next.push(w);
    }
    next
}

#[test]
fn each_chosen_value_contains_those_before_in_any_order_of_messages() {
    // Two proposers. By hand also a third ballot, of the first again: its own late votes meet its new ballot.
    let mut ballots = vec![(0, None), (1, None)];
    ballots.extend(std::env::var_os("AGREEMENT_DEEP").map(|_| (0, None)));
    let acceptors = vec![Acceptor::default(); usize::from(VOTERS)];
    let mut open = vec![World { acceptors, ballots, chosen: Vec::new(), replies: Vec::new() }];
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
