//! Schedulers that gossip about their reservations over a network that loses, delays, duplicates and reorders messages
//! and that is partitioned for a while. Everything runs on one virtual clock and is reproducible by seed.

mod common;

use std::collections::BTreeMap;

use chutesaddle::scheduling::*;
use common::*;

const SCHEDULERS: usize = 4;
const WORKERS: u64 = 8;
const SLOTS: usize = 2;
const STEP_S: f64 = 0.005;
const DURATION_S: f64 = 12.0;
const RUN_TIME_S: f64 = 0.4;
/// Requests per second: 70% of the capacity of the workers.
const ARRIVAL_RATE: f64 = 0.7 * (WORKERS as f64) * (SLOTS as f64) / RUN_TIME_S;

/// The network that carries gossip messages. Everything else arrives immediately.
#[derive(Clone, Copy)]
struct Network {
    /// Fraction of messages lost.
    lost: f64,
    /// Fraction of messages duplicated.
    duplicated: f64,
    min_delay_s: f64,
    max_delay_s: f64,
    /// From this time until `partitioned_until_s`, schedulers 0 and 1 receive nothing from 2 and 3. The other direction
    /// works.
    partitioned_from_s: f64,
    partitioned_until_s: f64,
}

const RELIABLE: Network = Network {
    lost: 0.0,
    duplicated: 0.0,
    min_delay_s: 0.003,
    max_delay_s: 0.02,
    partitioned_from_s: 0.0,
    partitioned_until_s: 0.0,
};
const UNRELIABLE: Network = Network {
    lost: 0.3,
    duplicated: 0.2,
    min_delay_s: 0.003,
    max_delay_s: 0.3,
    partitioned_from_s: 4.0,
    partitioned_until_s: 8.0,
};
const DISCONNECTED: Network = Network { lost: 1.0, ..RELIABLE };

/// Counters of a simulation run.
#[derive(Debug, Default, PartialEq, Eq)]
struct RunCounters {
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

/// A worker that runs up to [`SLOTS`] requests at once and queues the others.
#[derive(Default)]
struct SimulatedWorker {
    /// Each running request with its end time.
    running: Vec<(f64, PlacedRequest)>,
    queued: Vec<PlacedRequest>,
}

impl SimulatedWorker {
    fn is_full(&self) -> bool {
        self.running.len() + self.queued.len() >= SLOTS
    }
}

/// A gossip message in transit.
struct MessageInTransit {
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
    in_transit: Vec<MessageInTransit>,
    /// Traffic and network have separate generators, so that the traffic is the same on all networks.
    traffic_random: fastrand::Rng,
    network_random: fastrand::Rng,
    started_at: f64,
    counters: RunCounters,
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
            in_transit: Vec::new(),
            traffic_random: fastrand::Rng::with_seed(seed),
            network_random: fastrand::Rng::with_seed(!seed),
            started_at,
            counters: RunCounters::default(),
        }
    }

    fn run(mut self) -> RunCounters {
        while self.schedulers[0].now < self.started_at + DURATION_S {
            self.step();
        }
        self.counters
    }

    fn step(&mut self) {
        let now = self.schedulers[0].now + STEP_S;
        let mut actions: Vec<Vec<Action>> =
            self.schedulers.iter_mut().map(|scheduler| scheduler.run(STEP_S)).collect();
        self.generate_requests(now, &mut actions);
        self.deliver_messages(now, &mut actions);
        self.run_workers(now, &mut actions);
        for (scheduler, actions) in actions.into_iter().enumerate() {
            for action in actions {
                self.perform(now, scheduler, action);
            }
        }
    }

    fn generate_requests(&mut self, now: f64, actions: &mut [Vec<Action>]) {
        if self.traffic_random.f64() >= ARRIVAL_RATE * STEP_S {
            return;
        }
        let scheduler = self.traffic_random.usize(..SCHEDULERS);
        let received = Event::RequestReceived(request(self.counters.arrived as u32, 0, now));
        actions[scheduler].extend(self.schedulers[scheduler].send(received));
        self.counters.arrived += 1;
    }

    /// Delivers due messages. Each message has its own delay, so messages may arrive out of order.
    fn deliver_messages(&mut self, now: f64, actions: &mut [Vec<Action>]) {
        let in_transit = std::mem::take(&mut self.in_transit);
        let (due, later) = in_transit.into_iter().partition(|message| message.arrives_at <= now);
        self.in_transit = later;
        let due: Vec<MessageInTransit> = due;
        for MessageInTransit { from, to, bytes, .. } in due {
            actions[to].extend(self.schedulers[to].send(Event::GossipReceived { from, bytes }));
        }
    }

    fn run_workers(&mut self, now: f64, actions: &mut [Vec<Action>]) {
        for worker in self.workers.values_mut() {
            let (ended, running): (Vec<_>, Vec<_>) =
                worker.running.drain(..).partition(|(ends_at, _)| *ends_at <= now);
            worker.running = running;
            for (_, PlacedRequest { scheduler, id }) in ended {
                let free_slots = Some((SLOTS - worker.running.len()) as f64);
                let event = Event::AttemptEnded(AttemptEnded {
                    request: RequestId(id),
                    attempt: 0,
                    outcome: AttemptOutcome::Succeeded,
                    client_answered: true,
                    load: LoadReport { free_slots, ..LoadReport::default() },
                });
                actions[scheduler].extend(self.schedulers[scheduler].send(event));
                self.counters.completed += 1;
            }
            while worker.running.len() < SLOTS && !worker.queued.is_empty() {
                let placed = worker.queued.remove(0);
                let started = Event::AttemptStarted { request: RequestId(placed.id), attempt: 0 };
                actions[placed.scheduler].extend(self.schedulers[placed.scheduler].send(started));
                worker.running.push((now + RUN_TIME_S, placed));
            }
        }
    }

    fn perform(&mut self, now: f64, scheduler: usize, action: Action) {
        match action {
            Action::Dispatch { request, worker } => {
                let another_has_free_slot = self.workers.values().any(|worker| !worker.is_full());
                let worker = self.workers.get_mut(&worker.0).expect("requests go only to listed workers");
                self.counters.misplaced += usize::from(worker.is_full() && another_has_free_slot);
                worker.queued.push(PlacedRequest { scheduler, id: request.0 });
            }
            Action::BroadcastGossip(bytes) => self.broadcast(now, scheduler, &bytes),
            _ => {}
        }
    }

    fn broadcast(&mut self, now: f64, from: usize, bytes: &[u8]) {
        assert!(bytes.len() <= 256 && self.gossip_allowed);
        self.counters.messages += 1;
        let Network { lost, duplicated, min_delay_s, max_delay_s, partitioned_from_s, partitioned_until_s } =
            self.network;
        let elapsed = now - self.started_at;
        let is_partitioned = elapsed >= partitioned_from_s && elapsed < partitioned_until_s;
        for to in (0..SCHEDULERS).filter(|to| *to != from) {
            let copies = 1 + usize::from(self.network_random.f64() < duplicated);
            for _ in 0..copies {
                let delay = min_delay_s + self.network_random.f64() * (max_delay_s - min_delay_s);
                let crosses_partition = is_partitioned && from >= 2 && to < 2;
                if self.network_random.f64() < lost || crosses_partition {
                    continue;
                }
                self.in_transit.push(MessageInTransit {
                    arrives_at: now + delay,
                    from,
                    to,
                    bytes: bytes.to_vec(),
                });
            }
        }
    }
}

fn run_seeds(network: Network, gossip_allowed: bool, seeds: std::ops::Range<u64>) -> RunCounters {
    let mut sum = RunCounters::default();
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
fn gossip_reduces_misplaced_requests() {
    let silent = run_seeds(RELIABLE, false, 0..6);
    let gossiping = run_seeds(RELIABLE, true, 0..6);
    let unreliable = run_seeds(UNRELIABLE, true, 0..6);
    assert!(
        silent.arrived > 1500 && silent.messages == 0 && gossiping.messages > 2000,
        "without gossip {silent:?}, with gossip {gossiping:?}"
    );
    assert!(
        2 * gossiping.misplaced < silent.misplaced,
        "{gossiping:?} with gossip, without gossip {silent:?}"
    );
    assert!(
        unreliable.misplaced < silent.misplaced,
        "{unreliable:?} on an unreliable network, without gossip {silent:?}"
    );
}

#[test]
fn lost_gossip_changes_no_decision() {
    // A scheduler that receives no gossip relies on its own traffic and makes the same decisions as without gossip.
    for seed in 0..4 {
        let lost = RunCounters { messages: 0, ..Simulation::new(seed, DISCONNECTED, true).run() };
        let without = RunCounters { messages: 0, ..Simulation::new(seed, RELIABLE, false).run() };
        assert_eq!(lost, without, "seed {seed}");
    }
}

#[test]
fn ignores_its_own_gossip() {
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
    let message = message.expect("the scheduler broadcasts its reservations");
    let free = scheduler.dispatcher.capacity_summary().free;
    scheduler.send(Event::GossipReceived { from: 0, bytes: message.clone() });
    assert_eq!(scheduler.dispatcher.capacity_summary().free, free);
    scheduler.send(Event::GossipReceived { from: 1, bytes: message });
    assert_ne!(scheduler.dispatcher.capacity_summary().free, free, "gossip of another scheduler counts");
}
