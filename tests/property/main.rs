//! Feeds random valid event sequences to the dispatcher and independently checks its actions against the four rules
//! of `docs/design.md`, which `tests/scheduling.rs` lists.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use chutesaddle::scheduling::scheduler_share;
use chutesaddle::scheduling::slow_start::GrantInterval;
use chutesaddle::scheduling::*;
use chutesaddle::Dispatcher;
use common::*;

/// A scheduler must stop sending to a draining worker within this time after it is notified.
const DRAIN_GRACE_S: f64 = 0.25;

/// An attempt that the dispatcher has sent.
#[derive(Default)]
struct SentAttempt {
    worker: u64,
    sent_at: f64,
    in_flight: bool,
    may_have_run: bool,
    /// When it started to run at the worker, or infinity if it has not started.
    started_at: f64,
}

/// A request that the dispatcher has received.
struct ReceivedRequest {
    class: usize,
    deadline: f64,
    /// Whether the client has its final answer.
    answered: bool,
    attempts: Vec<SentAttempt>,
}

/// Tracks the dispatcher's events and actions, and checks each action against the four rules.
struct RuleChecker {
    settings: Settings,
    requests: BTreeMap<u32, ReceivedRequest>,
    /// Each listed worker, with the time of its last change of state.
    workers: BTreeMap<u64, (WorkerInfo, f64)>,
    /// Attempts sent to each worker in slow start: the time and the work in seconds.
    slow_start_sends: BTreeMap<u64, Vec<(f64, f64)>>,
    /// Expiry time and tag of each timer.
    timers: Vec<(f64, u64)>,
    /// Workers with a capacity probe in flight.
    probed: Vec<WorkerId>,
    dispatched: usize,
    /// The maximum number of attempts that were ever in flight at one worker.
    max_in_flight: usize,
}

impl RuleChecker {
    fn new(settings: Settings) -> Self {
        RuleChecker {
            settings,
            requests: BTreeMap::new(),
            workers: BTreeMap::new(),
            slow_start_sends: BTreeMap::new(),
            timers: Vec::new(),
            probed: Vec::new(),
            dispatched: 0,
            max_in_flight: 0,
        }
    }

    /// Records an event before the dispatcher handles it.
    fn observe(&mut self, now: f64, event: &Event) {
        match event {
            Event::WorkersListed { entries, .. } => {
                for entry in entries {
                    let notified_at = self
                        .workers
                        .get(&entry.id.0)
                        .filter(|old| old.0.state == entry.state)
                        .map_or(now, |old| old.1);
                    self.workers.insert(entry.id.0, (entry.clone(), notified_at));
                }
            }
            Event::RequestReceived(request) => {
                let received = ReceivedRequest {
                    class: request.class,
                    deadline: request.deadline,
                    answered: false,
                    attempts: Vec::new(),
                };
                self.requests.insert(request.id.0, received);
            }
            Event::AttemptStarted { request, attempt } => {
                let attempt = &mut self.requests.get_mut(&request.0).expect("received").attempts[*attempt];
                attempt.started_at = attempt.started_at.min(now);
            }
            Event::AttemptEnded(ended) => {
                let received = self.requests.get_mut(&ended.request.0).expect("received");
                received.attempts[ended.attempt].in_flight = false;
                received.attempts[ended.attempt].may_have_run = !matches!(
                    ended.outcome,
                    AttemptOutcome::RejectedByWorker
                        | AttemptOutcome::ConnectFailed
                        | AttemptOutcome::NotSent
                );
                received.answered |= ended.client_answered;
            }
            _ => {}
        }
    }

    fn check(&mut self, now: f64, action: &Action) {
        match *action {
            Action::SetTimer { after_s, tag } => self.timers.push((now + after_s, tag)),
            Action::Fail(id) => self.record_final_answer(now, id.0),
            Action::Reject { request, .. } => self.check_rejected(now, request.0),
            Action::Cancel { request, attempt } => {
                assert!(attempt < self.requests[&request.0].attempts.len());
            }
            Action::Dispatch { request, worker } => self.check_dispatched(now, request.0, worker.0),
            Action::Probe(worker) => {
                assert!(self.settings.capacity_probes_allowed && self.workers.contains_key(&worker.0));
                self.probed.push(worker);
            }
            Action::BroadcastGossip(_) => assert!(self.settings.gossip_allowed),
            Action::WatchEndpointList => assert!(self.settings.discovery_polled),
        }
    }

    /// Records the final answer to a request and checks it against rule 1.
    fn record_final_answer(&mut self, now: f64, id: u32) {
        let received = self.requests.get_mut(&id).expect("answers only received requests");
        assert!(!received.answered, "request {id} is answered twice");
        assert!(now <= received.deadline + 1e-9, "request {id} is answered after its deadline");
        received.answered = true;
    }

    /// Checks rule 2 for a rejection, which tells the client that the request did not run or may run again.
    fn check_rejected(&mut self, now: f64, id: u32) {
        let received = &self.requests[&id];
        let class = &self.settings.classes[received.class];
        let may_have_run = received.attempts.iter().any(|attempt| attempt.may_have_run);
        let may_run_twice = class.idempotency == Idempotency::Idempotent
            || (class.idempotency == Idempotency::WithKey
                && class.deduplication_scope == DeduplicationScope::All);
        assert!(!may_have_run || may_run_twice, "request {id} is rejected although it may have run");
        self.record_final_answer(now, id);
    }

    /// Checks rules 2 to 4 for an attempt that is sent.
    fn check_dispatched(&mut self, now: f64, id: u32, worker: u64) {
        self.dispatched += 1;
        let is_at_worker = |attempt: &&SentAttempt| attempt.in_flight && attempt.worker == worker;
        let in_flight =
            self.requests.values().flat_map(|request| &request.attempts).filter(is_at_worker).count();
        self.max_in_flight = self.max_in_flight.max(in_flight + 1);
        let (info, notified_at) = &self.workers[&worker];
        assert!(
            info.state == WorkerState::Ready || now <= notified_at + DRAIN_GRACE_S,
            "request {id} is sent to worker {worker}, which is not ready"
        );
        let info = info.clone();
        let received = self.requests.get(&id).expect("dispatches only received requests");
        assert!(!received.answered && received.attempts.len() < self.settings.max_attempts);
        self.check_retry(now, received, &info);
        self.check_slow_start(now, &info);
        let started_at = if self.settings.starts_reported { f64::INFINITY } else { now };
        let received = self.requests.get_mut(&id).expect("dispatches only received requests");
        received.attempts.push(SentAttempt {
            worker,
            sent_at: now,
            in_flight: true,
            may_have_run: true,
            started_at,
        });
    }

    /// Checks rule 2 for an attempt that may be a retry or a hedged request.
    fn check_retry(&self, now: f64, received: &ReceivedRequest, info: &WorkerInfo) {
        let class = &self.settings.classes[received.class];
        assert!(
            self.settings.hedging_allowed || received.attempts.iter().all(|attempt| !attempt.in_flight),
            "hedging is not allowed"
        );
        let Some(first) = received.attempts.iter().find(|attempt| attempt.may_have_run) else { return };
        match class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => panic!("a non-idempotent request that may have run is sent again"),
            Idempotency::WithKey => {
                assert!(
                    now <= first.sent_at + class.deduplication_window_s,
                    "retry after the deduplication window"
                );
                let cell = self.workers[&first.worker].0.cell;
                assert!(
                    class.deduplication_scope == DeduplicationScope::All || cell == info.cell,
                    "retry outside the deduplication scope"
                );
            }
        }
    }

    /// Checks rule 4 for an attempt that is sent to a worker in slow start.
    fn check_slow_start(&mut self, now: f64, info: &WorkerInfo) {
        let age = now - info.started_at_s;
        if info.started_at_s <= 0.0 || age >= self.settings.slow_start_duration_s {
            return;
        }
        self.slow_start_sends.entry(info.id.0).or_default().push((now, 0.3));
        // Assumes that a worker has as many slots as attempts were ever in flight at one worker or were reported free
        // (up to 3), at speed 1. Another half of that allows for what the dispatcher learns about the worker.
        let capacity_fraction = self.settings.slow_start_fraction
            + (1.0 - self.settings.slow_start_fraction) * age / self.settings.slow_start_duration_s;
        let budget =
            self.settings.collapse_multiple * capacity_fraction * self.max_in_flight.max(3) as f64 * 1.5;
        let budget = budget * self.settings.overload_window_s;
        if scheduler_share::fixed_shares_suffice(self.settings.scheduler_count) {
            self.check_fixed_share(now, info, budget);
        } else {
            self.check_grants(now, info, budget);
        }
    }

    /// Checks the work sent against this scheduler's fixed share of the budget. The shares of all schedulers add up to
    /// one (`src/scheduling/scheduler_share.rs`).
    fn check_fixed_share(&self, now: f64, info: &WorkerInfo, budget: f64) {
        let window_start = now - self.settings.overload_window_s;
        let work: f64 = self.slow_start_sends[&info.id.0]
            .iter()
            .filter(|(at, _)| *at >= window_start && *at >= info.started_at_s)
            .map(|(_, work)| work)
            .sum();
        let age = now - info.started_at_s;
        let age_fraction =
            (age - self.settings.overload_window_s).max(0.0) / self.settings.slow_start_duration_s;
        let growth = (self.settings.slow_start_fraction
            + (1.0 - self.settings.slow_start_fraction) * age_fraction)
            / self.settings.slow_start_fraction;
        let salt = info.started_at_s.to_bits() ^ u64::from(info.cell);
        let share = scheduler_share::fixed_share(
            self.settings.scheduler_index,
            self.settings.scheduler_count,
            growth,
            salt,
        );
        let share = share.expect("only schedulers with a share send");
        assert!(work <= budget * share, "{work} s of work sent to a worker in slow start");
    }

    /// Checks the number of requests sent in the current grant interval. The grants of all schedulers add up to the
    /// budget on average, as each scheduler sends at most its share plus one request.
    fn check_grants(&self, now: f64, info: &WorkerInfo, budget: f64) {
        let salt = info.started_at_s.to_bits() ^ info.stable_id;
        let interval = |at: f64| GrantInterval::at(at - info.started_at_s, salt, &self.settings).number;
        let sent = self.slow_start_sends[&info.id.0]
            .iter()
            .filter(|(at, _)| *at >= info.started_at_s && interval(*at) == interval(now))
            .count();
        let max = budget / 0.3 / self.settings.scheduler_count as f64 + 1.0;
        assert!(
            sent as f64 <= max,
            "{sent} requests sent to a worker in slow start in one interval, at most {max} allowed"
        );
    }

    /// The request and attempt number of each attempt in flight.
    fn attempts_in_flight(&self) -> Vec<(u32, usize)> {
        let numbers_in_flight = |(&id, received): (&u32, &ReceivedRequest)| {
            let attempts = received.attempts.iter().enumerate();
            let numbers = attempts.filter(|(_, attempt)| attempt.in_flight).map(|(number, _)| number);
            numbers.map(|number| (id, number)).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(numbers_in_flight).collect()
    }
}

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
