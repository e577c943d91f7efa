//! Feeds random valid event sequences to the dispatcher and checks its actions against the four rules of
//! `docs/design.md`, which `tests/scheduling.rs` lists. `rule_checker` holds the checks.

#[path = "../common/mod.rs"]
mod common;
mod rule_checker;

use std::collections::BTreeSet;

use chutesaddle::scheduling::*;
use chutesaddle::Dispatcher;
use common::*;
use rule_checker::RuleChecker;

/// Feeds random events to a dispatcher and checks all its actions.
struct Simulation {
    random: fastrand::Rng,
    settings: Settings,
    checker: RuleChecker,
    dispatcher: Dispatcher,
    now: f64,
    last_id: u32,
    actions: Vec<Action>,
}

impl Simulation {
    fn new(seed: u64, schedulers: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut settings = settings();
        settings.hedging_allowed = random.bool();
        settings.capacity_probes_allowed = random.bool();
        settings.cancellation_allowed = random.bool();
        settings.discovery_polled = random.bool();
        settings.starts_reported = random.bool();
        settings.scheduler_count = schedulers;
        settings.scheduler_index = random.usize(..schedulers);
        for class in &mut settings.classes {
            class.weight_after_objective = if random.bool() { 0.2 } else { 0.0 };
        }
        Simulation {
            random,
            checker: RuleChecker::new(settings.clone()),
            dispatcher: Dispatcher::new(settings.clone(), seed),
            settings,
            now: 50.0,
            last_id: 0,
            actions: Vec::new(),
        }
    }

    /// Passes one event to the dispatcher, advances the clock by a random time and runs the timers that expire.
    fn step(&mut self, event: Event) {
        self.checker.observe(self.now, &event);
        self.handle(self.now, event);
        let mut previous = self.now;
        self.now += if self.random.u8(0..4) == 0 { self.random.f64() * 0.2 } else { 0.004 };
        loop {
            // Timers run in order of expiry, so that the clock never goes back.
            self.checker.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
            if self.checker.timers.first().is_none_or(|timer| timer.0 > self.now) {
                break;
            }
            let (at, tag) = self.checker.timers.remove(0);
            // A timer is handled with the first batch of events at or after its expiry.
            let interval_s = self.settings.event_interval_s;
            let at = ((at / interval_s).ceil() * interval_s).max(previous);
            self.handle(at, Event::TimerExpired(tag));
            (self.now, previous) = (self.now.max(at), at);
        }
    }

    fn handle(&mut self, at: f64, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(at, event, &mut actions);
        for action in &actions {
            self.checker.check(at, action);
        }
        self.actions.append(&mut actions);
    }

    /// Returns a random event that is valid in the current state.
    fn random_event(&mut self, accepts_requests: bool) -> Event {
        let in_flight = self.checker.attempts_in_flight();
        let picked = (!in_flight.is_empty()).then(|| in_flight[self.random.usize(..in_flight.len())]);
        if !self.checker.probed.is_empty() && self.random.u8(0..4) > 0 {
            return self.probe_reply();
        }
        match (self.random.u8(0..100), picked) {
            (0..=29, _) if accepts_requests => self.request_received(),
            (30..=44, Some((id, attempt))) => Event::AttemptStarted { request: RequestId(id), attempt },
            (45..=49, Some((id, attempt))) => {
                // Requests run for at least the 0.3 s that is estimated.
                let started_at = self.checker.requests[&id].attempts[attempt].started_at;
                let fraction = ((self.now - started_at) / 0.3).clamp(0.0, 1.0) * self.random.f64();
                Event::AttemptProgressed { request: RequestId(id), attempt, fraction }
            }
            (50..=79, Some((id, attempt))) => self.attempt_ended(id, attempt),
            (80, _) => self.worker_changed(),
            (81..=82, Some((id, attempt))) => Event::AttemptEndUncertain { request: RequestId(id), attempt },
            (85, _) if self.settings.discovery_polled => Event::DiscoveryFailed,
            (86, _) => Event::ProbeEnded {
                worker: WorkerId(self.random.u64(0..8)), // not necessarily one that was probed
                outcome: AttemptOutcome::TimedOut,
                load: LoadReport::default(),
            },
            _ => Event::TimerExpired(u64::MAX), // unknown tag: only time passes
        }
    }

    fn probe_reply(&mut self) -> Event {
        let worker = self.checker.probed.remove(0);
        let outcome =
            if self.random.u8(0..5) > 0 { AttemptOutcome::Succeeded } else { AttemptOutcome::TimedOut };
        let load = LoadReport { free_slots: Some(f64::from(self.random.u8(0..4))), ..LoadReport::default() };
        Event::ProbeEnded { worker, outcome, load }
    }

    /// A new request with its full time to the deadline, or a client's retry with less.
    fn request_received(&mut self) -> Event {
        self.last_id += 1;
        let time_left_s = if self.random.u8(0..4) > 0 { 10.0 } else { self.random.f64() * 10.0 + 0.1 };
        let class = self.random.usize(..4);
        Event::RequestReceived(Request {
            deadline: self.now + time_left_s,
            ..request(self.last_id, class, self.now)
        })
    }

    /// Ends an attempt, or lets time pass if it would succeed before its estimated work is done.
    fn attempt_ended(&mut self, id: u32, attempt: usize) -> Event {
        const FAULTS: [AttemptOutcome; 5] = [
            AttemptOutcome::Failed,
            AttemptOutcome::RejectedByWorker,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::ConnectionReset,
            AttemptOutcome::TimedOut,
        ];
        let mut outcome = FAULTS.get(self.random.usize(..40)).copied().unwrap_or(AttemptOutcome::Succeeded);
        let received = &self.checker.requests[&id];
        if outcome == AttemptOutcome::Succeeded && self.now < received.attempts[attempt].started_at + 0.3 {
            if self.random.u8(0..8) > 0 {
                return Event::TimerExpired(u64::MAX);
            }
            outcome = AttemptOutcome::Failed;
        }
        Event::AttemptEnded(AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            client_answered: outcome == AttemptOutcome::Succeeded || received.answered,
            load: LoadReport::default(),
        })
    }

    /// A worker drains, becomes ready again or restarts.
    fn worker_changed(&mut self) -> Event {
        let state = *self.random.choice(&[WorkerState::Ready, WorkerState::Draining]).expect("not empty");
        let started_at_s = if self.random.bool() { self.now } else { 0.0 };
        let changed = WorkerInfo { state, started_at_s, ..worker(self.random.u64(0..8)) };
        Event::WorkersListed { complete_snapshot: false, from_cache: false, entries: vec![changed] }
    }
}

/// Runs 3000 random events through the dispatcher of one of `schedulers` schedulers. Returns how many attempts it sent,
/// and all its actions.
fn run_simulation(seed: u64, schedulers: usize) -> (usize, Vec<Action>) {
    let mut simulation = Simulation::new(seed, schedulers);
    let entries: Vec<WorkerInfo> = (0..simulation.random.u64(0..9)).map(worker).collect();
    simulation.step(Event::WorkersListed { complete_snapshot: true, from_cache: true, entries });
    for step in 1..3000 {
        let event = simulation.random_event(step < 2500);
        simulation.step(event);
    }
    for (id, received) in &simulation.checker.requests {
        assert!(received.answered || received.deadline > simulation.now, "request {id} got no final answer");
    }
    (simulation.checker.dispatched, simulation.actions)
}

#[test]
fn the_four_rules_hold_on_random_events() {
    let dispatched: usize = (0..24).map(|seed| run_simulation(seed, 1 + seed as usize % 4).0).sum();
    assert!(dispatched > 400, "only {dispatched} attempts were sent");
}

/// Each scheduler stays within its share of the budget of a worker in slow start, so all of them together keep rule 4.
#[test]
fn the_four_rules_hold_with_hundreds_of_schedulers() {
    let dispatched: usize = (0..24).map(|seed| run_simulation(seed, 250 + 20 * seed as usize).0).sum();
    assert!(dispatched > 400, "only {dispatched} attempts were sent");
}

#[test]
fn same_events_produce_the_same_actions() {
    for schedulers in [3, 300] {
        let distinct: BTreeSet<String> =
            (0..3).map(|_| format!("{:?}", run_simulation(5, schedulers).1)).collect();
        assert_eq!(distinct.len(), 1);
    }
}
