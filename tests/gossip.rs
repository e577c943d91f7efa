//! Several schedulers that gossip about the load that they send, over a network that loses, delays, duplicates and
//! reorders their messages, and splits in two. All on one virtual clock, by seed.

mod common;

use std::collections::BTreeMap;

use chutesaddle::scheduling::*;
use common::*;

const SCHEDULERS: usize = 4;
const WORKERS: u64 = 8;
const SLOTS: usize = 2;
const STEP_S: f64 = 0.005;
const TEST_S: f64 = 12.0;
const RUN_TIME_S: f64 = 0.4;
/// Arrivals a second: seven tenths of what the workers can serve.
const ARRIVAL_RATE: f64 = 0.7 * (WORKERS as f64) * (SLOTS as f64) / RUN_TIME_S;

/// What the network does to gossip messages; everything else arrives at once. Fractions and seconds.
#[derive(Clone, Copy)]
struct Network {
    lost: f64,
    duplicated: f64,
    min_delay_s: f64,
    max_delay_s: f64,
    /// Between these times schedulers 0 and 1 receive nothing from 2 and 3, which still receive from them.
    split_from_s: f64,
    split_until_s: f64,
}

const SOUND: Network = Network {
    lost: 0.0,
    duplicated: 0.0,
    min_delay_s: 0.003,
    max_delay_s: 0.02,
    split_from_s: 0.0,
    split_until_s: 0.0,
};
const ROUGH: Network = Network {
    lost: 0.3,
    duplicated: 0.2,
    min_delay_s: 0.003,
    max_delay_s: 0.3,
    split_from_s: 4.0,
    split_until_s: 8.0,
};
const DEAD: Network = Network { lost: 1.0, ..SOUND };

/// What a run has come to.
#[derive(Debug, Default, PartialEq, Eq)]
struct Totals {
    completed: usize,
    arrived: usize,
    /// Requests sent to a worker without a free slot while another had one.
    misplaced: usize,
    messages: usize,
}

/// A request at a worker.
struct PlacedRequest {
    scheduler: usize,
    id: u32,
}

/// A worker: what runs there until when, and what waits.
#[derive(Default)]
struct SimulatedWorker {
    running: Vec<(f64, PlacedRequest)>,
    waiting: Vec<PlacedRequest>,
}

impl SimulatedWorker {
    fn is_full(&self) -> bool {
        self.running.len() + self.waiting.len() >= SLOTS
    }
}

/// A gossip message on its way.
struct InFlight {
    arrives_at: f64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

struct Simulation {
    network: Network,
    gossip_allowed: bool,
    schedulers: Vec<TestScheduler>,
    workers: BTreeMap<u64, SimulatedWorker>,
    in_flight: Vec<InFlight>,
    /// Traffic and network draw apart, so that all networks see the same traffic.
    traffic_random: fastrand::Rng,
    network_random: fastrand::Rng,
    started_at: f64,
    totals: Totals,
}

impl Simulation {
    fn new(seed: u64, network: Network, gossip_allowed: bool) -> Self {
        let settings = |index| Settings {
            scheduler_count: SCHEDULERS,
            scheduler_index: index,
            load_report_fields: vec![LoadReportField::FreeSlots],
            capacity_probes_allowed: false,
            gossip_allowed,
            ..settings()
        };
        let schedulers: Vec<TestScheduler> = (0..SCHEDULERS)
            .map(|index| TestScheduler::seeded(settings(index), seed ^ (index as u64) << 32, fleet(WORKERS)))
            .collect();
        let started_at = schedulers[0].now;
        Simulation {
            network,
            gossip_allowed,
            schedulers,
            workers: (1..=WORKERS).map(|id| (id, SimulatedWorker::default())).collect(),
            in_flight: Vec::new(),
            traffic_random: fastrand::Rng::with_seed(seed),
            network_random: fastrand::Rng::with_seed(!seed),
            started_at,
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Totals {
        while self.schedulers[0].now < self.started_at + TEST_S {
            self.step();
        }
        self.totals
    }

    fn step(&mut self) {
        let now = self.schedulers[0].now + STEP_S;
        let mut actions: Vec<Vec<Action>> =
            self.schedulers.iter_mut().map(|scheduler| scheduler.run(STEP_S)).collect();
        self.requests_arrive(now, &mut actions);
        self.messages_arrive(now, &mut actions);
        self.workers_run(now, &mut actions);
        for (scheduler, actions) in actions.into_iter().enumerate() {
            for action in actions {
                self.carry_out(now, scheduler, action);
            }
        }
    }

    fn requests_arrive(&mut self, now: f64, actions: &mut [Vec<Action>]) {
        if self.traffic_random.f64() >= ARRIVAL_RATE * STEP_S {
            return;
        }
        let scheduler = self.traffic_random.usize(..SCHEDULERS);
        let received = Event::RequestReceived(request(self.totals.arrived as u32, 0, now));
        actions[scheduler].extend(self.schedulers[scheduler].send(received));
        self.totals.arrived += 1;
    }

    /// Messages arrive each after its own delay, so a later one may arrive first.
    fn messages_arrive(&mut self, now: f64, actions: &mut [Vec<Action>]) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later) = in_flight.into_iter().partition(|message| message.arrives_at <= now);
        self.in_flight = later;
        let due: Vec<InFlight> = due;
        for InFlight { from, to, bytes, .. } in due {
            actions[to].extend(self.schedulers[to].send(Event::GossipReceived { from, bytes }));
        }
    }

    fn workers_run(&mut self, now: f64, actions: &mut [Vec<Action>]) {
        for worker in self.workers.values_mut() {
            let (over, running): (Vec<_>, Vec<_>) =
                worker.running.drain(..).partition(|(until, _)| *until <= now);
            worker.running = running;
            for (_, PlacedRequest { scheduler, id }) in over {
                let free_slots = Some((SLOTS - worker.running.len()) as f64);
                let ended = Event::AttemptEnded(AttemptEnded {
                    request: RequestId(id),
                    attempt: 0,
                    outcome: AttemptOutcome::Succeeded,
                    client_answered: true,
                    load: LoadReport { free_slots, ..LoadReport::default() },
                });
                actions[scheduler].extend(self.schedulers[scheduler].send(ended));
                self.totals.completed += 1;
            }
            while worker.running.len() < SLOTS && !worker.waiting.is_empty() {
                let placed = worker.waiting.remove(0);
                let started = Event::AttemptStarted { request: RequestId(placed.id), attempt: 0 };
                actions[placed.scheduler].extend(self.schedulers[placed.scheduler].send(started));
                worker.running.push((now + RUN_TIME_S, placed));
            }
        }
    }

    fn carry_out(&mut self, now: f64, scheduler: usize, action: Action) {
        match action {
            Action::Dispatch { request, worker } => {
                let other_is_free = self.workers.values().any(|worker| !worker.is_full());
                let worker = self.workers.get_mut(&worker.0).expect("only listed workers are used");
                self.totals.misplaced += usize::from(worker.is_full() && other_is_free);
                worker.waiting.push(PlacedRequest { scheduler, id: request.0 });
            }
            Action::BroadcastGossip(bytes) => self.broadcast(now, scheduler, &bytes),
            _ => {}
        }
    }

    fn broadcast(&mut self, now: f64, from: usize, bytes: &[u8]) {
        assert!(bytes.len() <= 256 && self.gossip_allowed);
        self.totals.messages += 1;
        let Network { lost, duplicated, min_delay_s, max_delay_s, split_from_s, split_until_s } =
            self.network;
        let elapsed = now - self.started_at;
        let is_split = elapsed >= split_from_s && elapsed < split_until_s;
        for to in (0..SCHEDULERS).filter(|to| *to != from) {
            let copies = 1 + usize::from(self.network_random.f64() < duplicated);
            for _ in 0..copies {
                let delay = min_delay_s + self.network_random.f64() * (max_delay_s - min_delay_s);
                let crosses_split = is_split && from >= 2 && to < 2;
                if self.network_random.f64() < lost || crosses_split {
                    continue;
                }
                self.in_flight.push(InFlight { arrives_at: now + delay, from, to, bytes: bytes.to_vec() });
            }
        }
    }
}

fn totals(network: Network, gossip_allowed: bool, seeds: std::ops::Range<u64>) -> Totals {
    let mut sum = Totals::default();
    for seed in seeds {
        let run = Simulation::new(seed, network, gossip_allowed).run();
        sum.completed += run.completed;
        sum.arrived += run.arrived;
        sum.misplaced += run.misplaced;
        sum.messages += run.messages;
    }
    sum
}

#[test]
fn gossip_makes_schedulers_misplace_fewer_requests() {
    let silent = totals(SOUND, false, 0..6);
    let gossiping = totals(SOUND, true, 0..6);
    let rough = totals(ROUGH, true, 0..6);
    assert!(
        silent.arrived > 1500 && silent.messages == 0 && gossiping.messages > 2000,
        "{silent:?} {gossiping:?}"
    );
    assert!(2 * gossiping.misplaced < silent.misplaced, "{gossiping:?}, without gossip {silent:?}");
    assert!(rough.misplaced < silent.misplaced, "{rough:?} over a rough network, without gossip {silent:?}");
}

#[test]
fn lost_gossip_changes_no_decision() {
    // A scheduler that receives nothing decides by its own traffic, request for request as without gossip.
    for seed in 0..4 {
        let lost = Totals { messages: 0, ..Simulation::new(seed, DEAD, true).run() };
        let without = Totals { messages: 0, ..Simulation::new(seed, SOUND, false).run() };
        assert_eq!(lost, without, "seed {seed}");
    }
}

#[test]
fn ignores_its_own_gossip_when_it_comes_back() {
    let settings =
        Settings { scheduler_count: 2, gossip_allowed: true, capacity_probes_allowed: false, ..settings() };
    let mut scheduler = TestScheduler::new(settings, fleet(4));
    for id in 0..4 {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
    }
    let actions = scheduler.run(0.2);
    let message = actions.iter().rev().find_map(|action| match action {
        Action::BroadcastGossip(bytes) if bytes.len() > 5 => Some(bytes.clone()),
        _ => None,
    });
    let message = message.expect("it broadcasts the slots that it holds");
    let free = scheduler.dispatcher.capacity_summary().free;
    scheduler.send(Event::GossipReceived { from: 0, bytes: message.clone() });
    assert_eq!(scheduler.dispatcher.capacity_summary().free, free);
    scheduler.send(Event::GossipReceived { from: 1, bytes: message });
    assert_ne!(scheduler.dispatcher.capacity_summary().free, free, "that of another scheduler counts");
}
