//! Small builders that the tests share.
#![allow(dead_code)]

use chutesaddle::scheduling::interface::*;
use chutesaddle::Dispatcher;

pub(crate) fn class(effect: Effect, group: Group) -> Class {
    Class {
        name: String::new(),
        aim_s: 0.5,
        stretch: 2.0,
        deadline_s: 10.0,
        worth: 1.0,
        late_worth: 0.0,
        effect,
        group,
        window_s: 5.0,
        kind: None,
    }
}

/// Class 0 is repeatable, 1 must run once, 2 is keyed within a cell, 3 keyed everywhere.
pub(crate) fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Effect::Repeatable, Group::All),
            class(Effect::Once, Group::All),
            class(Effect::Keyed, Group::Cell),
            class(Effect::Keyed, Group::All),
        ],
        tenants: vec![Tenant { name: String::new(), quota_per_s: 1000.0 }],
        tick_s: 0.004,
        tells_start: true,
        max_attempts: 4,
        may_cancel: true,
        probes: true,
        cold_share: 0.2,
        warm_within_s: 20.0,
        fall_multiple: 3.0,
        ..Settings::default()
    }
}

pub(crate) fn worker(n: u64) -> WorkerInfo {
    let cell = (n % 2) as u16;
    WorkerInfo { id: WorkerId(n), tag: n, state: WorkerState::Ready, cell, ..WorkerInfo::default() }
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
        hint: Some(0.3),
        object: None,
    }
}

/// A dispatcher whose timers are run by the test's own clock.
pub(crate) struct Bench {
    pub d: Dispatcher,
    pub now: f64,
    timers: Vec<(f64, u64)>,
    /// Answers every question within 5 ms, with this report.
    pub answer: Option<Load>,
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
        bench.send(Event::Workers { whole: true, cached: true, entries: workers });
        bench
    }

    /// Hands in one event; timers asked for are kept, all other actions returned.
    pub(crate) fn send(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.d.handle(self.now, event, &mut out);
        out.retain(|action| match action {
            Action::Timer { after_s, tag } => {
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
                all.extend(self.send(Event::Probed { worker, outcome: Outcome::Ok, load }));
                continue;
            }
            let due = self.timers.iter().enumerate().filter(|(_, t)| t.0 <= end);
            let Some((i, _)) = due.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0)) else { break };
            let (at, tag) = self.timers.remove(i);
            self.now = self.now.max(at);
            all.extend(self.send(Event::Timer(tag)));
        }
        self.now = end;
        all
    }

    pub(crate) fn end(&mut self, id: u32, attempt: usize, outcome: Outcome) -> Vec<Action> {
        let closed = outcome == Outcome::Ok;
        let request = RequestId(id);
        self.send(Event::Ended(Ended { request, attempt, outcome, closed, load: Load::default() }))
    }
}

pub(crate) fn routes(actions: &[Action]) -> Vec<(u32, u64)> {
    let route = |a: &Action| match a {
        Action::Route { request, worker } => Some((request.0, worker.0)),
        _ => None,
    };
    actions.iter().filter_map(route).collect()
}

pub(crate) fn refused(actions: &[Action], id: u32) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if request.0 == id))
}

pub(crate) fn failed(actions: &[Action], id: u32) -> bool {
    actions.contains(&Action::Fail(RequestId(id)))
}
