//! Small builders that the tests share.
#![allow(dead_code)]

use chutesaddle::scheduling::*;
use chutesaddle::Dispatcher;

pub(crate) fn class(effect: Idempotency, group: DeduplicationScope) -> RequestClass {
    RequestClass {
        name: String::new(),
        latency_objective_s: 0.5,
        objective_per_work: 2.0,
        deadline_s: 10.0,
        priority_weight: 1.0,
        weight_after_objective: 0.0,
        idempotency: effect,
        deduplication_scope: group,
        deduplication_window_s: 5.0,
        required_kind: None,
    }
}

/// Class 0 is repeatable, 1 must run once, 2 is keyed within a cell, 3 keyed everywhere.
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

pub(crate) fn worker(n: u64) -> WorkerInfo {
    let cell = (n % 2) as u16;
    WorkerInfo { id: WorkerId(n), stable_id: n, state: WorkerState::Ready, cell, ..WorkerInfo::default() }
}

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

/// A dispatcher whose timers are run by the test's own clock.
pub(crate) struct Bench {
    pub d: Dispatcher,
    pub now: f64,
    timers: Vec<(f64, u64)>,
    /// Answers every question within 5 ms, with this report.
    pub answer: Option<LoadReport>,
    probes: Vec<(f64, WorkerId)>,
}

impl Bench {
    pub(crate) fn new(settings: Settings, workers: Vec<WorkerInfo>) -> Self {
        Self::seeded(settings, 7, workers)
    }

    pub(crate) fn seeded(settings: Settings, seed: u64, workers: Vec<WorkerInfo>) -> Self {
        let mut bench = Bench {
            d: Dispatcher::new(settings, seed),
            now: 100.0,
            timers: Vec::new(),
            answer: None,
            probes: Vec::new(),
        };
        bench.send(Event::WorkersListed { complete_snapshot: true, from_cache: true, entries: workers });
        bench
    }

    /// Hands in one event; timers asked for are kept, all other actions returned.
    pub(crate) fn send(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.d.handle(self.now, event, &mut out);
        out.retain(|action| match action {
            Action::SetTimer { after_s, tag } => {
                self.timers.push((self.now + after_s, *tag));
                false
            }
            Action::Probe(worker) if self.answer.is_some() => {
                self.probes.push((self.now + 0.005, *worker));
                true
            }
            _ => true,
        });
        out
    }

    /// Lets time pass, running the timers in order.
    pub(crate) fn run(&mut self, seconds: f64) -> Vec<Action> {
        let end = self.now + seconds;
        let mut all = Vec::new();
        loop {
            let probe = self.probes.iter().position(|p| p.0 <= end.min(self.now + 0.005));
            if let (Some(i), Some(load)) = (probe, self.answer) {
                let (at, worker) = self.probes.remove(i);
                self.now = self.now.max(at);
                all.extend(self.send(Event::ProbeEnded { worker, outcome: AttemptOutcome::Succeeded, load }));
                continue;
            }
            let due = self.timers.iter().enumerate().filter(|(_, t)| t.0 <= end);
            let Some((i, _)) = due.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0)) else { break };
            let (at, tag) = self.timers.remove(i);
            self.now = self.now.max(at);
            all.extend(self.send(Event::TimerExpired(tag)));
        }
        self.now = end;
        all
    }

    pub(crate) fn end(&mut self, id: u32, attempt: usize, outcome: AttemptOutcome) -> Vec<Action> {
        let closed = outcome == AttemptOutcome::Succeeded;
        let request = RequestId(id);
        self.send(Event::AttemptEnded(AttemptEnded {
            request,
            attempt,
            outcome,
            client_answered: closed,
            load: LoadReport::default(),
        }))
    }
}

pub(crate) fn routes(actions: &[Action]) -> Vec<(u32, u64)> {
    let route = |a: &Action| match a {
        Action::Dispatch { request, worker } => Some((request.0, worker.0)),
        _ => None,
    };
    actions.iter().filter_map(route).collect()
}

pub(crate) fn refused(actions: &[Action], id: u32) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if request.0 == id))
}

pub(crate) fn failed(actions: &[Action], id: u32) -> bool {
    actions.contains(&Action::Fail(RequestId(id)))
}
