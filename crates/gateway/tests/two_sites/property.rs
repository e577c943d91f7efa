//! Property test of two sites under random events. A request gets at most one answer, and in the end either
//! exactly one answer or a return to the scheduler. It runs at most once at the other site, and not at all if
//! it is returned. No site accepts more requests than it granted capacity for.

use std::cell::Cell;
use std::collections::BTreeSet;

use chutesaddle_gateway::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

use super::harness::*;

/// One step of a random case.
#[derive(Clone, Debug)]
enum Step {
    /// A site has this many free slots.
    SetFreeSlots(usize, u8),
    /// A site offers a candidate, with the idempotency key of this index or none.
    OfferCandidate(usize, u8),
    /// One site is full and the other idle for long enough that requests may be forwarded.
    Overload(usize),
    Run(u16),
    Disconnect(usize),
    Dial(usize),
    /// A site dials though its link is up, and the new link replaces the old one.
    DialAgain(usize),
    /// Sockets stop or start to accept data. What is queued is written then.
    BlockWrites(bool),
    /// All requests from the other site that run at a site end, with the outcome of this index.
    Finish(usize, u8),
    /// The client of a site's last request disconnects.
    DisconnectClient(usize),
    Restart(usize),
    Drain(usize, bool),
}

/// Totals over all cases, to check that the test covers what it should.
#[derive(Default)]
struct Coverage {
    forwarded: Cell<usize>,
    answered: Cell<usize>,
    returned: Cell<usize>,
    client_disconnected: Cell<usize>,
}

impl Coverage {
    fn add(&self, history: &RequestHistory) {
        let add = |count: &Cell<usize>, more: usize| count.set(count.get() + more);
        add(&self.forwarded, history.forwarded_count);
        add(&self.answered, history.answers.len());
        add(&self.returned, usize::from(history.returned));
        add(
            &self.client_disconnected,
            usize::from(history.client_disconnected && history.forwarded_count > 0),
        );
    }
}

fn step() -> impl Strategy<Value = Step> {
    let n = || 0..2usize;
    prop_oneof![
        6 => (n(), prop_oneof![Just(0u8), Just(0), Just(10), 0..11u8]).prop_map(|(n, free)| Step::SetFreeSlots(n, free)),
        8 => (n(), 0..6u8).prop_map(|(n, key)| Step::OfferCandidate(n, key)),
        6 => (1..120u16).prop_map(Step::Run),
        3 => n().prop_map(Step::Overload),
        2 => n().prop_map(Step::Disconnect),
        4 => n().prop_map(Step::Dial),
        2 => n().prop_map(Step::DialAgain),
        2 => any::<bool>().prop_map(Step::BlockWrites),
        4 => (n(), 0..4u8).prop_map(|(n, outcome_index)| Step::Finish(n, outcome_index)),
        1 => n().prop_map(Step::DisconnectClient),
        1 => n().prop_map(Step::Restart),
        1 => (n(), any::<bool>()).prop_map(|(n, drain)| Step::Drain(n, drain)),
    ]
}

#[test]
fn never_duplicates_loses_loops_or_exceeds_a_grant() {
    let rng_seed = RngSeed::Fixed(9);
    let config =
        ProptestConfig { cases: 400, failure_persistence: None, rng_seed, ..ProptestConfig::default() };
    let coverage = Coverage::default();
    let steps = prop::collection::vec(step(), 1..120);
    TestRunner::new(config).run(&steps, |steps| run_case(steps, &coverage)).unwrap();
    // The random cases must include enough answers, returns and disconnected clients.
    let Coverage { forwarded, answered, returned, client_disconnected } = &coverage;
    let ended = [answered.get(), returned.get(), client_disconnected.get()];
    assert!(forwarded.get() > 300 && ended.iter().all(|n| *n > 50), "{forwarded:?} {ended:?}");
}

fn run_case(steps: Vec<Step>, coverage: &Coverage) -> Result<(), TestCaseError> {
    let mut pair = TwoSites::new(false);
    (0..2).for_each(|from| pair.dial(from));
    (0..2).for_each(|n| pair.sites[n].free = 8.0);
    pair.run(ms(300));
    let mut requests = 0;
    for step in steps {
        apply(&mut pair, step, &mut requests);
        for n in 0..2 {
            let statistics = pair.sites[n].gateway.statistics();
            prop_assert!(
                statistics.unused_grants <= 10,
                "site {n} granted more slots than it has: {}",
                statistics.unused_grants
            );
        }
    }
    // All requests end by their deadline, whichever links fail.
    pair.run(TIME_LEFT + ms(100));
    for n in 0..2 {
        let mut seen = BTreeSet::new();
        for (id, history) in &pair.sites[n].histories {
            coverage.add(history);
            check_history(n, *id, history)?;
            prop_assert!(seen.insert(id));
        }
        prop_assert!(pair.sites[n].gateway.statistics().outbound_open == 0);
    }
    Ok(())
}

fn apply(pair: &mut TwoSites, step: Step, requests: &mut u32) {
    match step {
        Step::SetFreeSlots(n, free) => {
            let free = f64::from(free);
            pair.sites[n].free = free;
            let load = SiteLoad { slots: 10.0, free, waiting: 0, backlog: ms(0) };
            pair.handle_event(n, Event::LoadMeasured(load));
        }
        Step::OfferCandidate(n, key) => {
            *requests += 1;
            let keys = ["k0", "k1", "k2"];
            let idempotency = keys.get(usize::from(key)).map_or(Idempotency::Idempotent, |key| with_key(key));
            pair.offer_candidate(n, *requests, idempotency);
        }
        Step::Overload(n) => {
            (pair.sites[n].free, pair.sites[1 - n].free) = (0.0, 10.0);
            pair.run(ms(1300));
        }
        Step::Run(time) => pair.run(ms(u64::from(time))),
        Step::Disconnect(n) => pair.disconnect(n),
        Step::Dial(n) => {
            pair.disconnect(n);
            pair.dial(n);
        }
        Step::DialAgain(n) => pair.dial(n),
        Step::BlockWrites(blocked) => {
            pair.writes_blocked = blocked;
            if !blocked {
                pair.write_queued_offers(None);
            }
        }
        Step::Finish(n, outcome_index) => finish(pair, n, outcome_index),
        Step::DisconnectClient(n) => {
            if let Some((&id, _)) = pair.sites[n].histories.iter().next_back() {
                pair.sites[n].histories.get_mut(&id).unwrap().client_disconnected = true;
                pair.handle_event(n, Event::ClientDisconnected(id));
            }
        }
        Step::Restart(n) => pair.restart(n),
        Step::Drain(n, drain) => pair.handle_event(n, Event::Drain(drain)),
    }
}

fn finish(pair: &mut TwoSites, n: usize, outcome_index: u8) {
    let outcomes = [served(), Outcome::Unstarted, Outcome::Rejected, Outcome::Failed];
    let outcome = &outcomes[usize::from(outcome_index)];
    if *outcome == Outcome::Unstarted {
        // An unstarted request did not run at the peer, so the run counted on acceptance is removed.
        for (origin, id) in pair.sites[n].inbound.clone() {
            let history = pair.sites[1 - n].histories.get_mut(&id);
            history.filter(|_| origin.site == SiteId(0)).unwrap().runs[n] -= 1;
        }
    }
    pair.finish(n, outcome);
}

/// Checks the invariants of a request of site `n` at the end of a case.
fn check_history(n: usize, id: LocalRequestId, history: &RequestHistory) -> Result<(), TestCaseError> {
    let runs_at_peer = history.runs[1 - n];
    let ends = history.answers.len() + usize::from(history.returned);
    prop_assert!(history.forwarded_count <= 1, "{id:?} was forwarded twice");
    prop_assert!(ends <= 1, "{id:?} ended twice: {history:?}");
    prop_assert!(runs_at_peer <= 1 && history.runs[n] == 0, "{id:?} ran twice: {history:?}");
    prop_assert!(!(history.returned && runs_at_peer > 0), "{id:?} was returned after it ran: {history:?}");
    if history.forwarded_count > 0 && !history.client_disconnected {
        prop_assert_eq!(ends, 1, "{:?} has no answer: {:?}", id, history);
    }
    Ok(())
}
