//! Settings, workers, requests and a scheduler on a virtual clock, for tests of scheduling decisions.
#![allow(dead_code)]

use chutesaddle::scheduling::*;
use chutesaddle::Dispatcher;

/// Time that a test worker takes to reply to a capacity probe.
const PROBE_REPLY_S: f64 = 0.005;

pub(crate) fn class(idempotency: Idempotency, deduplication_scope: DeduplicationScope) -> RequestClass {
    RequestClass {
        name: String::new(),
        latency_objective_s: 0.5,
        objective_per_work: 2.0,
        deadline_s: 10.0,
        priority_weight: 1.0,
        weight_after_objective: 0.0,
        idempotency,
        deduplication_scope,
        deduplication_window_s: 5.0,
        required_kind: None,
    }
}

/// Class 0 is idempotent and class 1 non-idempotent. Requests of classes 2 and 3 are idempotent with a key, class 2
/// within a cell and class 3 on all workers.
pub(crate) fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, DeduplicationScope::All),
            class(Idempotency::NonIdempotent, DeduplicationScope::All),
            class(Idempotency::WithKey, DeduplicationScope::Cell),
            class(Idempotency::WithKey, DeduplicationScope::All),
        ],
        tenants: vec![Tenant { name: String::new(), quota_per_s: 1000.0 }],
        event_interval_s: 0.004,
        starts_reported: true,
        max_attempts: 4,
        cancellation_allowed: true,
        capacity_probes_allowed: true,
        slow_start_fraction: 0.2,
        slow_start_duration_s: 20.0,
        collapse_multiple: 3.0,
        ..Settings::default()
    }
}

/// A ready worker that is past its slow start. Workers with odd and even ids form two cells.
pub(crate) fn worker(id: u64) -> WorkerInfo {
    let cell = (id % 2) as u16;
    WorkerInfo { id: WorkerId(id), stable_id: id, state: WorkerState::Ready, cell, ..WorkerInfo::default() }
}

/// Workers 1 to `count`.
pub(crate) fn fleet(count: u64) -> Vec<WorkerInfo> {
    (1..=count).map(worker).collect()
}

/// A request with an estimated work of 0.3 s that is received now and has a deadline in 10 s.
pub(crate) fn request(id: u32, class: usize, now: f64) -> Request {
    let id = RequestId(id);
    Request {
        id,
        class,
        tenant: 0,
        deadline: now + 10.0,
        slots: 1.0,
        memory: 0.0,
        estimated_work_s: Some(0.3),
        affinity_key: None,
    }
}

/// A scheduler's dispatcher on a virtual clock: its timers expire as the test lets time pass.
pub(crate) struct TestScheduler {
    pub dispatcher: Dispatcher,
    pub now: f64,
    /// Expiry time and tag of each timer.
    timers: Vec<(f64, u64)>,
    /// The load report in replies to capacity probes. If `None`, probes get no reply.
    pub probe_reply: Option<LoadReport>,
    /// Arrival time of each pending probe reply, with its worker.
    probes: Vec<(f64, WorkerId)>,
}

impl TestScheduler {
    /// Creates a scheduler that has read this endpoint list from its cache.
    pub(crate) fn new(settings: Settings, workers: Vec<WorkerInfo>) -> Self {
        Self::seeded(settings, 7, workers)
    }

    /// Like [`Self::new`], with this seed for the dispatcher's random draws.
    pub(crate) fn seeded(settings: Settings, seed: u64, workers: Vec<WorkerInfo>) -> Self {
        let mut scheduler = TestScheduler {
            dispatcher: Dispatcher::new(settings, seed),
            now: 100.0,
            timers: Vec::new(),
            probe_reply: None,
            probes: Vec::new(),
        };
        scheduler.send(Event::WorkersListed { complete_snapshot: true, from_cache: true, entries: workers });
        scheduler
    }

    /// Passes one event to the dispatcher. Sets timers on the virtual clock and returns all other actions.
    pub(crate) fn send(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions.retain(|action| match action {
            Action::SetTimer { after_s, tag } => {
                self.timers.push((self.now + after_s, *tag));
                false
            }
            Action::Probe(worker) if self.probe_reply.is_some() => {
                self.probes.push((self.now + PROBE_REPLY_S, *worker));
                true
            }
            _ => true,
        });
        actions
    }

    /// Sends an incremental update of the endpoint list.
    pub(crate) fn update_workers(&mut self, entries: Vec<WorkerInfo>) -> Vec<Action> {
        self.send(Event::WorkersListed { complete_snapshot: false, from_cache: false, entries })
    }

    /// Sends a complete snapshot of the endpoint list.
    pub(crate) fn replace_workers(&mut self, entries: Vec<WorkerInfo>) -> Vec<Action> {
        self.send(Event::WorkersListed { complete_snapshot: true, from_cache: false, entries })
    }

    /// Advances the clock. Timers expire in order, and capacity probes get their replies.
    pub(crate) fn run(&mut self, seconds: f64) -> Vec<Action> {
        let end = self.now + seconds;
        let mut actions = Vec::new();
        loop {
            let probe = self.probes.iter().position(|probe| probe.0 <= end.min(self.now + PROBE_REPLY_S));
            if let (Some(index), Some(load)) = (probe, self.probe_reply) {
                let (at, worker) = self.probes.remove(index);
                self.now = self.now.max(at);
                let outcome = AttemptOutcome::Succeeded;
                actions.extend(self.send(Event::ProbeEnded { worker, outcome, load }));
                continue;
            }
            let due = self.timers.iter().enumerate().filter(|(_, timer)| timer.0 <= end);
            let Some((index, _)) = due.min_by(|(_, a), (_, b)| a.0.total_cmp(&b.0)) else {
                break;
            };
            let (at, tag) = self.timers.remove(index);
            self.now = self.now.max(at);
            actions.extend(self.send(Event::TimerExpired(tag)));
        }
        self.now = end;
        actions
    }

    /// Ends an attempt. If it succeeded, the client has its final answer.
    pub(crate) fn end_attempt(&mut self, id: u32, attempt: usize, outcome: AttemptOutcome) -> Vec<Action> {
        self.send(Event::AttemptEnded(AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            client_answered: outcome == AttemptOutcome::Succeeded,
            load: LoadReport::default(),
        }))
    }
}

/// The dispatched requests, each with its worker.
pub(crate) fn dispatched(actions: &[Action]) -> Vec<(u32, u64)> {
    let dispatch = |action: &Action| match action {
        Action::Dispatch { request, worker } => Some((request.0, worker.0)),
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}

/// The workers that are sent a capacity probe.
pub(crate) fn probed(actions: &[Action]) -> Vec<u64> {
    let probe = |action: &Action| match action {
        Action::Probe(worker) => Some(worker.0),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

pub(crate) fn rejected(actions: &[Action], id: u32) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { request, .. } if request.0 == id))
}

pub(crate) fn failed(actions: &[Action], id: u32) -> bool {
    actions.contains(&Action::Fail(RequestId(id)))
}
