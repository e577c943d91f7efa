use std::collections::HashSet;

use super::*;
use crate::document::{Change, Command, Proposal};

const VOTERS: u16 = 3;

/// A state of the model: three acceptors, and proposers that each make one change, with one ballot per entry of
/// `ballots`. Messages stay in flight forever, so that each may arrive late, repeatedly or never.
#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    acceptors: Vec<Acceptor>,
    /// Proposer and phase of each ballot; `None` if it has not started.
    ballots: Vec<(u16, Option<Round>)>,
    /// Values accepted by a majority.
    chosen: Vec<Value>,
    /// Promises in flight: index of the ballot, acceptor, and its last vote.
    promises_in_flight: Vec<(usize, MemberId, Option<Vote>)>,
}

fn ballot(index: usize, proposer: u16) -> Ballot {
    Ballot { epoch: 0, round: index as u64 + 1, proposer: u32::from(proposer) + 1 }
}

/// Returns the change of a proposer. Each changes its own document, so that the changes do not conflict.
fn command(proposer: u16) -> Command {
    let proposal = Proposal { member: MemberId(proposer), number: 1 };
    Command { name: proposer.to_string(), parent: 0, change: Change::Put(String::new()), proposal }
}

/// Whether `other` contains all documents of `value`.
fn is_contained_in(value: &Value, other: &Value) -> bool {
    value.newest_documents().all(|(name, document)| other.newest(name) == Some(document))
}

/// Returns all states that are one step away from `state`.
fn successors(state: &ModelState) -> Vec<ModelState> {
    let mut next = Vec::new();
    for index in 0..state.ballots.len() {
        if state.ballots[index].1.is_none() {
            let mut next_state = state.clone();
            next_state.ballots[index].1 = Some(Round::start());
            next.push(next_state);
            continue;
        }
        next.extend((0..VOTERS).filter_map(|voter| deliver_request(state, index, voter)));
        next.extend(deliver_promises(state, index));
    }
    next
}

/// Delivers a proposer's current request to a voter. Returns `None` if the state does not change.
fn deliver_request(state: &ModelState, index: usize, voter: u16) -> Option<ModelState> {
    let (proposer, round) = &state.ballots[index];
    let (number, from) = (ballot(index, *proposer), MemberId(voter));
    let mut next_state = state.clone();
    match round.as_ref()? {
        Round::Preparing(_) => {
            // The reply is in flight from now on.
            let promise = next_state.acceptors[usize::from(voter)].prepare(number).ok()?;
            let reply = (index, from, promise.accepted);
            if next_state.promises_in_flight.contains(&reply) {
                return None;
            }
            next_state.promises_in_flight.push(reply);
            next_state.promises_in_flight.sort_by_key(|r| (r.0, r.1));
        }
        Round::Accepting(value, _) => {
            next_state.acceptors[usize::from(voter)].accept(number, value.clone()).ok()?;
            let chosen = next_state.ballots[index].1.as_mut().and_then(|r| r.accepted(from, 2).cloned());
            next_state.chosen.extend(chosen.filter(|value| !state.chosen.contains(value)));
        }
    }
    Some(next_state)
}

/// Delivers each promise to its proposer, which uses only the first one of each acceptor.
fn deliver_promises(state: &ModelState, index: usize) -> Vec<ModelState> {
    let mut next = Vec::new();
    for (_, from, vote) in state.promises_in_flight.iter().filter(|reply| reply.0 == index) {
        let mut next_state = state.clone();
        let (proposer, Some(round)) = &mut next_state.ballots[index] else { continue };
        if matches!(round, Round::Preparing(promises) if promises.contains_key(from)) {
            continue;
        }
        if let Some(prepared) = round.promised(*from, vote.clone(), 2) {
            let mut value = prepared.newest_vote.map(|vote| vote.value).unwrap_or_default();
            let _ = value.apply(&command(*proposer));
            *round = Round::Accepting(value, BTreeSet::new());
        }
        next.push(next_state);
    }
    next
}

#[test]
fn chosen_values_contain_earlier_ones_in_every_message_order() {
    // Two proposers with one ballot each. With AGREEMENT_DEEP set, which is for manual runs, the first proposer runs a
    // second ballot, so that late votes from its first ballot arrive during the second.
    let mut ballots = vec![(0, None), (1, None)];
    ballots.extend(std::env::var_os("AGREEMENT_DEEP").map(|_| (0, None)));
    let acceptors = vec![Acceptor::default(); usize::from(VOTERS)];
    let mut open =
        vec![ModelState { acceptors, ballots, chosen: Vec::new(), promises_in_flight: Vec::new() }];
    let (mut seen, mut max_chosen) = (HashSet::new(), 0);
    while let Some(state) = open.pop() {
        for next in successors(&state) {
            if !seen.insert(next.clone()) {
                continue;
            }
            for (n, one) in next.chosen.iter().enumerate() {
                for other in &next.chosen[..n] {
                    assert!(
                        is_contained_in(one, other) || is_contained_in(other, one),
                        "diverging values: {one:?} and {other:?}"
                    );
                }
            }
            max_chosen = max_chosen.max(next.chosen.len());
            open.push(next);
        }
    }
    println!("{} states, up to {max_chosen} values chosen", seen.len());
    assert!(seen.len() > 1_000 && max_chosen >= 2, "{} states, {max_chosen} values chosen", seen.len());
}
