//! Several dispatchers that tell each other what they hold, over a network that loses, delays, doubles and
//! reorders what they say, and falls in two. All on one virtual clock, by seed.

mod common;

use std::collections::BTreeMap;

use chutesaddle::scheduling::*;
use common::*;

const DISPATCHERS: usize = 4;
const WORKERS: u64 = 8;
const SLOTS: usize = 2;
const STEP: f64 = 0.005;
const SECONDS: f64 = 12.0;
const RUN: f64 = 0.4;
/// Arrivals a second: seven tenths of what the workers can do.
const RATE: f64 = 0.7 * (WORKERS as f64) * (SLOTS as f64) / RUN;

/// What the network does to notes; everything else arrives at once.
#[derive(Clone, Copy)]
struct Network {
    lost: f64,
    doubled: f64,
    delay: (f64, f64),
    /// From then to then the dispatchers 0 and 1 hear nothing of 2 and 3, which still hear them.
    cut: (f64, f64),
}

const SOUND: Network = Network { lost: 0.0, doubled: 0.0, delay: (0.003, 0.02), cut: (0.0, 0.0) };
const ROUGH: Network = Network { lost: 0.3, doubled: 0.2, delay: (0.003, 0.3), cut: (4.0, 8.0) };
const DEAD: Network = Network { lost: 1.0, ..SOUND };

/// What came of it: jobs done, and jobs that came to a full worker while another had a slot free.
#[derive(Debug)]
struct Played {
    done: usize,
    asked: usize,
    misplaced: usize,
    notes: usize,
}

/// A worker: what runs there, and what waits, by dispatcher and request.
#[derive(Default)]
struct Box {
    running: Vec<(f64, usize, u32)>,
    waiting: Vec<(usize, u32)>,
}

fn play(seed: u64, network: Network, notes: bool) -> Played {
    // Traffic and network draw apart, so that all networks see the same traffic.
    let (mut rng, mut luck) = (fastrand::Rng::with_seed(seed), fastrand::Rng::with_seed(!seed));
    let of = |index| Settings {
        scheduler_count: DISPATCHERS,
        scheduler_index: index,
        load_report_fields: vec![LoadReportField::FreeSlots],
        capacity_probes_allowed: false,
        gossip_allowed: notes,
        ..settings()
    };
    let fleet = || (1..=WORKERS).map(worker).collect();
    let mut all: Vec<Bench> =
        (0..DISPATCHERS).map(|i| Bench::seeded(of(i), seed ^ (i as u64) << 32, fleet())).collect();
    let mut boxes: BTreeMap<u64, Box> = (1..=WORKERS).map(|n| (n, Box::default())).collect();
    let mut wire: Vec<(f64, usize, usize, Vec<u8>)> = Vec::new();
    let mut played = Played { done: 0, asked: 0, misplaced: 0, notes: 0 };
    let start = all[0].now;
    while all[0].now < start + SECONDS {
        let now = all[0].now + STEP;
        let mut acted: Vec<Vec<Action>> = all.iter_mut().map(|b| b.run(STEP)).collect();
        if rng.f64() < RATE * STEP {
            let to = rng.usize(..DISPATCHERS);
            acted[to].extend(all[to].send(Event::RequestReceived(request(played.asked as u32, 0, now))));
            played.asked += 1;
        }
        // Later copies may arrive first: the order of arrival is by each one's own delay.
        let due;
        (due, wire) = wire.into_iter().partition(|note| note.0 <= now);
        for (_, from, to, bytes) in due {
            acted[to].extend(all[to].send(Event::GossipReceived { from, bytes }));
        }
        for at in boxes.values_mut() {
            let (over, running): (Vec<_>, Vec<_>) = at.running.drain(..).partition(|run| run.0 <= now);
            at.running = running;
            for (_, dispatcher, id) in over {
                let free_slots = Some((SLOTS - at.running.len()) as f64);
                let load = LoadReport { free_slots, ..LoadReport::default() };
                let ended = AttemptEnded {
                    request: RequestId(id),
                    attempt: 0,
                    outcome: AttemptOutcome::Succeeded,
                    client_answered: true,
                    load,
                };
                acted[dispatcher].extend(all[dispatcher].send(Event::AttemptEnded(ended)));
                played.done += 1;
            }
            while at.running.len() < SLOTS && !at.waiting.is_empty() {
                let (dispatcher, id) = at.waiting.remove(0);
                at.running.push((now + RUN, dispatcher, id));
                let started = Event::AttemptStarted { request: RequestId(id), attempt: 0 };
                acted[dispatcher].extend(all[dispatcher].send(started));
            }
        }
        for (dispatcher, actions) in acted.into_iter().enumerate() {
            for action in actions {
                match action {
                    Action::Dispatch { request, worker } => {
                        let full = |at: &Box| at.running.len() + at.waiting.len() >= SLOTS;
                        let better = boxes.values().any(|at| !full(at));
                        let at = boxes.get_mut(&worker.0).expect("only what is listed is used");
                        played.misplaced += usize::from(full(at) && better);
                        at.waiting.push((dispatcher, request.0));
                    }
                    Action::BroadcastGossip(bytes) => {
                        assert!(bytes.len() <= 256 && notes);
                        played.notes += 1;
                        let cut = now - start >= network.cut.0 && now - start < network.cut.1;
                        for to in (0..DISPATCHERS).filter(|to| *to != dispatcher) {
                            let copies = 1 + usize::from(luck.f64() < network.doubled);
                            for _ in 0..copies {
                                let delay =
                                    network.delay.0 + luck.f64() * (network.delay.1 - network.delay.0);
                                let lost = luck.f64() < network.lost || cut && dispatcher >= 2 && to < 2;
                                if !lost {
                                    wire.push((now + delay, dispatcher, to, bytes.clone()));
                                }
                            }
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    played
}

fn sum(network: Network, notes: bool, seeds: std::ops::Range<u64>) -> (usize, usize, usize) {
    let each = seeds.map(|seed| play(seed, network, notes));
    each.fold((0, 0, 0), |sum, p| (sum.0 + p.asked, sum.1 + p.misplaced, sum.2 + p.notes))
}

#[test]
fn those_that_tell_each_other_send_to_full_workers_less() {
    let (asked, blind, none) = sum(SOUND, false, 0..6);
    let (_, told, notes) = sum(SOUND, true, 0..6);
    let (_, rough, _) = sum(ROUGH, true, 0..6);
    assert!(asked > 1500 && none == 0 && notes > 2000, "{asked} jobs, {notes} notes");
    assert!(2 * told < blind, "{told} of {asked} misplaced, {blind} without notes");
    assert!(rough < blind, "{rough} of {asked} misplaced over a rough network, {blind} without notes");
}

#[test]
fn notes_that_never_arrive_leave_things_as_they_were() {
    // Who hears nothing goes by its own traffic, job for job as if notes were not allowed.
    for seed in 0..4 {
        let (dead, without) = (play(seed, DEAD, true), play(seed, SOUND, false));
        let came = |p: &Played| (p.asked, p.done, p.misplaced);
        assert_eq!(came(&dead), came(&without), "seed {seed}");
    }
}

#[test]
fn a_note_of_its_own_that_comes_back_is_not_another_dispatchers() {
    let s =
        Settings { scheduler_count: 2, gossip_allowed: true, capacity_probes_allowed: false, ..settings() };
    let mut b = Bench::new(s, (1..=4).map(worker).collect());
    (0..4).for_each(|id| drop(b.send(Event::RequestReceived(request(id, 0, b.now)))));
    let actions = b.run(0.2);
    let note = actions.iter().rev().find_map(|action| match action {
        Action::BroadcastGossip(bytes) if bytes.len() > 5 => Some(bytes.clone()),
        _ => None,
    });
    let note = note.expect("it tells what it holds");
    let free = b.d.capacity_summary().free;
    b.send(Event::GossipReceived { from: 0, bytes: note.clone() });
    assert_eq!(b.d.capacity_summary().free, free);
    b.send(Event::GossipReceived { from: 1, bytes: note });
    assert_ne!(b.d.capacity_summary().free, free, "another's counts");
}
