//! Checks each action of a dispatcher against the four rules of `docs/design.md`, without knowledge of its decisions.

use std::collections::BTreeMap;

use chutesaddle::scheduling::scheduler_share;
use chutesaddle::scheduling::slow_start::GrantInterval;
use chutesaddle::scheduling::*;

/// A scheduler must stop sending to a draining worker within this time after it is notified.
const DRAIN_GRACE_S: f64 = 0.25;

/// An attempt that the dispatcher has sent.
#[derive(Default)]
pub(crate) struct SentAttempt {
    pub(crate) worker: u64,
    pub(crate) sent_at: f64,
    pub(crate) in_flight: bool,
    pub(crate) may_have_run: bool,
    /// When it started to run at the worker, or infinity if it has not started.
    pub(crate) started_at: f64,
}

/// A request that the dispatcher has received.
pub(crate) struct ReceivedRequest {
    pub(crate) class: usize,
    pub(crate) deadline: f64,
    /// Whether the client has its final answer.
    pub(crate) answered: bool,
    pub(crate) attempts: Vec<SentAttempt>,
}

/// Tracks the dispatcher's events and actions, and checks each action against the four rules.
pub(crate) struct RuleChecker {
    pub(crate) settings: Settings,
    pub(crate) requests: BTreeMap<u32, ReceivedRequest>,
    /// Each listed worker, with the time of its last change of state.
    pub(crate) workers: BTreeMap<u64, (WorkerInfo, f64)>,
    /// Attempts sent to each worker in slow start: the time and the work in seconds.
    pub(crate) slow_start_sends: BTreeMap<u64, Vec<(f64, f64)>>,
    /// Expiry time and tag of each timer.
    pub(crate) timers: Vec<(f64, u64)>,
    /// Workers with a capacity probe in flight.
    pub(crate) probed: Vec<WorkerId>,
    pub(crate) dispatched: usize,
    /// The maximum number of attempts that were ever in flight at one worker.
    pub(crate) max_in_flight: usize,
}

impl RuleChecker {
    pub(crate) fn new(settings: Settings) -> Self {
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
    pub(crate) fn observe(&mut self, now: f64, event: &Event) {
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

    pub(crate) fn check(&mut self, now: f64, action: &Action) {
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
    pub(crate) fn attempts_in_flight(&self) -> Vec<(u32, usize)> {
        let numbers_in_flight = |(&id, received): (&u32, &ReceivedRequest)| {
            let attempts = received.attempts.iter().enumerate();
            let numbers = attempts.filter(|(_, attempt)| attempt.in_flight).map(|(number, _)| number);
            numbers.map(|number| (id, number)).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(numbers_in_flight).collect()
    }
}
