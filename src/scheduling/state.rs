//! What the dispatcher remembers: plain records and their book-keeping. The estimates made from them and
//! all decisions are in `src/rules.rs`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::scheduling::affinity::{Objects, Place};
use crate::scheduling::decaying_mean::Mean;
use crate::scheduling::interface::*;
use crate::scheduling::recent_sends::Sends;

/// Weights are rounded: a load under this is none.
const LEAST_STEP: f64 = 0.04;
/// News of a while back moves what is thought of a worker's load by so much.
pub(crate) const OLD_NEWS: f64 = 0.5;

/// Complexity classes, as many as in the paper; each spans a factor of two of work.
pub(crate) const CLASSES: usize = 5;

// Tags of timers.
pub(crate) const WAKE: u64 = 0;
pub(crate) const CHECK: u64 = 1;
pub(crate) const LIST: u64 = 2;
pub(crate) const NOTE: u64 = 3;
/// Plus the request id.
pub(crate) const DEADLINE: u64 = 1 << 32;

/// What a dispatcher has seen of its traffic; all of it fades but the last.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Seen {
    /// ln(run time / hinted work) over all workers.
    pub fleet: Mean,
    /// ln of hinted work: places the complexity classes.
    pub mean_work: Mean,
    /// From send to start.
    pub start_wait: Mean,
    /// The same of late, also of what was given up before its start.
    pub waits: Mean,
    /// ln(speed seen / least speed that they can have had) of workers that warm up.
    pub warming: Mean,
    /// Share of the workers asked or sent to that had no slot free.
    pub busy: Mean,
    /// Of the requests.
    pub priority: Mean,
    /// What this dispatcher, and what all, held at the workers when lists came.
    pub mine: Mean,
    pub all: Mean,
    /// Hinted work of all.
    pub usual: Mean,
    /// By class: time to the deadline of a client's first try.
    pub longest_left: Vec<f64>,
    /// By class: hinted work.
    pub work: Vec<Mean>,
}

impl Seen {
    /// Makes room for so many classes; what is known of them stays.
    pub(crate) fn fit(&mut self, classes: usize) {
        self.longest_left.resize(classes, 0.0);
        self.work.resize(classes, Mean::default());
    }

    /// The share of the traffic that comes this way: of what all hold at the workers, what is held from here,
    /// leaning on `usual` (this dispatcher's and all) as on one list. The shares of all come to one.
    pub(crate) fn share(&mut self, now: f64, recent: f64, held: (f64, f64), usual: (f64, f64)) -> f64 {
        self.mine.add(now, recent, held.0, 1.0);
        self.all.add(now, recent, held.1, 1.0);
        (self.mine.sum + usual.0) / (self.all.sum + usual.1).max(1e-9)
    }
}

/// What a dispatcher has learnt, for another process of it to start from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    seen: Seen,
    objects: Objects,
    kinds: Vec<Kind>,
    workers: Vec<Worker>,
}

impl LearnedState {
    /// The workers that it knows something of.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.workers.iter().map(|w| w.info.id)
    }

    /// The same in another process's numbers.
    pub fn renumbered(mut self, number: impl Fn(WorkerId) -> Option<WorkerId>) -> Self {
        self.workers.retain_mut(|w| number(w.info.id).map(|id| w.info.id = id).is_some());
        self
    }
}

/// Requests left inside a quota.
pub(crate) struct Bucket {
    pub per_s: f64,
    pub most: f64,
    pub left: f64,
    pub at: f64,
}

impl Bucket {
    pub(crate) fn full(per_s: f64, most: f64) -> Self {
        Bucket { per_s, most, left: most, at: 0.0 }
    }

    pub(crate) fn take(&mut self, now: f64) -> bool {
        self.left = (self.left + self.per_s * (now - self.at).max(0.0)).min(self.most);
        self.at = now;
        let inside = self.left >= 1.0;
        self.left -= f64::from(u8::from(inside));
        inside
    }
}

/// Slots or memory of a worker: all of it, what others are thought to hold, what this dispatcher does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Pool {
    pub total: f64,
    pub others: f64,
    pub mine: f64,
    /// When `others` was last learnt.
    pub at: f64,
}

/// What is known of a kind of worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Kind {
    pub speed: Mean,
    pub slots: f64,
    /// How many of it take work.
    pub ready: f64,
    /// The largest weight listed: what one of it weighs that holds nothing.
    pub size: f64,
    /// By how much one held request raises the load of one of it: the part of a core in all its cores.
    pub step: f64,
}

/// What is known of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Worker {
    pub info: WorkerInfo,
    /// ln(run time / hinted work) by complexity class, and over all.
    pub cells: [Mean; CLASSES],
    pub overall: Mean,
    /// ln(speed seen / least speed that it can have had) while it warms up.
    pub warming: Mean,
    pub stability: f64,
    /// Not trusted until it has answered a probe, which is due then.
    pub suspect: Option<f64>,
    /// Wait before the next probe.
    pub backoff: f64,
    /// Jobs done since it was last suspect.
    pub proven: f64,
    pub slots: Pool,
    pub memory: Pool,
    /// Attempts sent there and not known to have started.
    pub waiting: usize,
    pub full_until: f64,
    /// When any attempt there last started or got on.
    pub heard: f64,
    /// Connections to it that broke since then.
    pub broke: u32,
    /// When it was asked for a free slot, while the answer is out.
    pub asked: f64,
    /// When it last answered at once and nothing was sent since.
    pub offered: f64,
    /// When it was last sent a job.
    pub sent: f64,
    /// Time and work of what it was sent lately, while cold.
    pub cold_sends: Sends,
    /// The objects that it was sent lately, the latest first.
    pub near: Vec<u64>,
}

impl Worker {
    pub(crate) fn unknown() -> Self {
        Worker {
            stability: 1.0,
            proven: f64::INFINITY,
            asked: f64::NEG_INFINITY,
            offered: f64::NEG_INFINITY,
            sent: f64::NEG_INFINITY,
            ..Worker::default()
        }
    }

    /// A new process on the same machine: only the machine's size and what is out there stay.
    pub(crate) fn restarted(&self) -> Self {
        let mut w = Worker { slots: self.slots, memory: self.memory, ..Worker::unknown() };
        (w.slots.others, w.memory.others, w.waiting) = (0.0, 0.0, self.waiting);
        w
    }

    pub(crate) fn take(&mut self, req: &Request, started: bool) {
        self.slots.mine += req.slots;
        self.memory.mine += req.memory;
        self.waiting += usize::from(!started);
    }

    /// A job of this dispatcher has started there; if it waited, all slots were taken.
    pub(crate) fn started(&mut self, now: f64, total: f64, waited: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        let running = self.slots.mine - self.waiting as f64;
        self.slots.total = self.slots.total.max(running);
        let others = if waited { total - running } else { self.slots.others.min(total - running) };
        (self.slots.others, self.slots.at) = (others.max(0.0), now);
    }

    pub(crate) fn give_back(&mut self, req: &Request, started: bool) {
        self.slots.mine = (self.slots.mine - req.slots).max(0.0);
        self.memory.mine = (self.memory.mine - req.memory).max(0.0);
        self.waiting = self.waiting.saturating_sub(usize::from(!started));
    }
}

/// The workers as listed, and what follows from the list.
#[derive(Default)]
pub(crate) struct Farm {
    pub workers: BTreeMap<WorkerId, Worker>,
    pub kinds: Vec<Kind>,
    /// Those that take work, in the dispatcher's own order.
    pub ring: Vec<WorkerId>,
    pub suspects: Vec<WorkerId>,
    /// When a list last told what all hold.
    pub told: f64,
}

impl Farm {
    pub(crate) fn slots_of(&self, w: &Worker) -> f64 {
        w.slots.total.max(self.kinds[w.info.kind].slots)
    }

    /// All slots of those that take work, as far as their kinds have shown.
    pub(crate) fn slots(&self) -> f64 {
        self.kinds.iter().map(|k| k.ready * k.slots).sum()
    }

    /// Slots of the workers that are trusted, and what this dispatcher has out there.
    pub(crate) fn trusted(&self) -> (f64, f64) {
        let trusted = self.ring.iter().map(|id| &self.workers[id]).filter(|w| w.suspect.is_none());
        let each = trusted.map(|w| (self.slots_of(w), w.slots.mine));
        each.fold((0.0, 0.0), |sum, w| (sum.0 + w.0, sum.1 + w.1))
    }

    /// What this dispatcher holds at those that take work, and what all do.
    pub(crate) fn held(&self) -> (f64, f64) {
        let each = self.ring.iter().map(|id| &self.workers[id].slots);
        each.fold((0.0, 0.0), |sum, s| (sum.0 + s.mine, sum.1 + s.mine + s.others))
    }

    /// What is known of the workers, with what was seen of the traffic.
    pub(crate) fn learnt(&self, seen: &Seen, objects: &Objects) -> LearnedState {
        LearnedState {
            seen: seen.clone(),
            objects: objects.clone(),
            kinds: self.kinds.clone(),
            workers: self.workers.values().cloned().collect(),
        }
    }

    /// Takes up what another process of this dispatcher has learnt of the workers that are listed here, but
    /// not what it holds there. Gives back what it has seen.
    pub(crate) fn take_up(&mut self, learnt: LearnedState) -> (Seen, Objects) {
        for (own, kind) in self.kinds.iter_mut().zip(learnt.kinds) {
            *own = Kind { ready: own.ready, ..kind };
        }
        for w in learnt.workers {
            let Some(own) = self.workers.get_mut(&w.info.id) else { continue };
            if own.info.started_at_s == w.info.started_at_s {
                let slots = Pool { mine: own.slots.mine, ..w.slots };
                let memory = Pool { mine: own.memory.mine, ..w.memory };
                let (info, cold_sends) = (own.info.clone(), std::mem::take(&mut own.cold_sends));
                *own = Worker { info, slots, memory, waiting: own.waiting, cold_sends, ..w };
            }
        }
        let suspects = self.ring.iter().filter(|id| self.workers[id].suspect.is_some());
        self.suspects = suspects.copied().collect();
        (learnt.seen, learnt.objects)
    }

    /// A worker has proved itself: it is a suspect no longer, and its work comes back step by step.
    pub(crate) fn clear(&mut self, id: WorkerId) {
        let Some(w) = self.workers.get_mut(&id) else { return };
        if w.suspect.take().is_some() {
            (w.stability, w.proven) = (w.stability.max(0.5), 0.0);
            self.suspects.retain(|s| *s != id);
        }
    }

    /// Takes up a load report by so much of its weight; `others` and `total` are slots as thought of before.
    pub(crate) fn report(
        &mut self,
        id: WorkerId,
        load: LoadReport,
        weight: f64,
        (others, total): (f64, f64),
        now: f64,
    ) {
        let Some(w) = self.workers.get_mut(&id) else { return };
        if let Some(free) = load.free_slots {
            w.slots.total = total.max(free.round());
            let held = w.slots.total - free + load.queue_length.unwrap_or(0.0) - w.slots.mine;
            (w.slots.others, w.slots.at) = (others + weight * (held.max(0.0) - others), now);
            self.kinds[w.info.kind].slots = w.slots.total;
        }
        if let Some(free) = load.free_memory {
            w.memory.total = w.memory.total.max(free.round()).max(total);
            w.memory.others = (w.memory.total - free - w.memory.mine).max(0.0);
        }
    }

    /// Takes up what live weights tell of the load of all workers. An entry left out weighs what it did.
    pub(crate) fn weigh(&mut self, listed: &[WorkerId], now: f64) {
        let loads: Vec<_> = listed.iter().filter_map(|id| self.load(*id)).collect();
        for &(kind, load) in &loads {
            let kind = &mut self.kinds[kind];
            if load > LEAST_STEP && (kind.step <= 0.0 || load < kind.step) {
                kind.step = load;
                kind.slots = kind.slots.max((1.0 / load).round());
            }
        }
        for id in listed {
            let Some((kind, load)) = self.load(*id) else { continue };
            let kind = &self.kinds[kind];
            let cores = if kind.step > 0.0 { (1.0 / kind.step).round() } else { kind.slots };
            let Some(w) = self.workers.get_mut(id) else { continue };
            let held = (load * cores - w.slots.mine).max(0.0);
            w.slots.others += OLD_NEWS * (held - w.slots.others);
        }
        self.workers.values_mut().for_each(|w| w.slots.at = now);
        self.told = now;
    }

    /// A worker's kind and what it holds for each core, by its weight.
    fn load(&self, id: WorkerId) -> Option<(usize, f64)> {
        let w = self.workers.get(&id).filter(|w| w.info.weight > 0.0)?;
        Some((w.info.kind, (self.kinds[w.info.kind].size / w.info.weight - 1.0).max(0.0)))
    }

    /// Attempts that another process of this dispatcher has sent are out for this one from now on.
    pub(crate) fn occupy(&mut self, job: &Job) {
        for a in job.attempts.iter().filter(|a| a.out) {
            self.workers.get_mut(&a.worker).into_iter().for_each(|w| w.take(&job.req, a.start.is_some()));
        }
    }

    /// Adds a value to what is known of a worker and its kind; they fade at different paces.
    pub(crate) fn learn(&mut self, id: WorkerId, cell: usize, times: (f64, f64, f64), value: f64) {
        let Some(w) = self.workers.get_mut(&id) else { return };
        let (now, recent, kind_recent) = times;
        self.kinds[w.info.kind].speed.add(now, kind_recent, value, 1.0);
        w.cells[cell].add(now, recent, value, 1.0);
        w.overall.add(now, recent, value, 1.0);
    }

    pub(crate) fn update(
        &mut self,
        whole: bool,
        entries: Vec<WorkerInfo>,
        kind: impl Fn() -> Kind,
        order: impl Fn(WorkerId) -> u64,
    ) {
        self.workers.values_mut().filter(|_| whole).for_each(|w| w.info.state = WorkerState::Gone);
        for info in entries {
            let kinds = self.kinds.len().max(info.kind + 1);
            self.kinds.resize_with(kinds, &kind);
            let w = self.workers.entry(info.id).or_insert_with(Worker::unknown);
            if info.started_at_s > w.info.started_at_s {
                // A new process: what was learnt of the old one's health and load is void.
                *w = w.restarted();
            }
            self.kinds[info.kind].size = self.kinds[info.kind].size.max(info.weight);
            w.info = info;
        }
        self.workers.retain(|_, w| w.info.state != WorkerState::Gone || w.slots.mine > 0.0);
        let ready = || self.workers.values().filter(|w| w.info.state == WorkerState::Ready);
        self.kinds.iter_mut().for_each(|k| k.ready = 0.0);
        ready().for_each(|w| self.kinds[w.info.kind].ready += 1.0);
        self.ring = ready().map(|w| w.info.id).collect();
        self.ring.sort_by_cached_key(|&id| order(id));
        self.suspects = ready().filter(|w| w.suspect.is_some()).map(|w| w.info.id).collect();
    }
}

impl DeduplicationScope {
    /// Whether two workers drop each other's repeats.
    pub(crate) fn holds(self, a: &Worker, b: &Worker) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => a.info.zone == b.info.zone,
            DeduplicationScope::Cell => a.info.cell == b.info.cell,
        }
    }
}

/// One attempt of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub sent: f64,
    pub start: Option<f64>,
    pub news: f64,
    pub share: f64,
    pub out: bool,
    pub may_have_run: bool,
    /// How the worker stood to what the job needs.
    pub place: Option<Place>,
    /// The worker answered with an error.
    pub failed: bool,
    /// Cancelled, or a second copy was asked for.
    pub given_up: bool,
}

impl Attempt {
    pub(crate) fn new(worker: WorkerId, now: f64, tells_start: bool, place: Option<Place>) -> Self {
        let (start, news) = ((!tells_start).then_some(now), now);
        Attempt {
            worker,
            sent: now,
            start,
            news,
            share: -1.0,
            out: true,
            may_have_run: true,
            place,
            failed: false,
            given_up: false,
        }
    }
}

/// A request and its attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Job {
    pub req: Request,
    pub work: f64,
    pub aim: f64,
    /// When the client first asked.
    pub since: f64,
    pub priority: f64,
    pub attempts: Vec<Attempt>,
    /// What it needs counts in choosing a worker.
    pub keeps: bool,
    /// How often workers were asked for it since it was last placed, and when to ask again.
    pub asks: i32,
    pub ask_at: f64,
    pub held: bool,
    pub ended: bool,
    pub stream: bool,
}

impl Job {
    pub(crate) fn new(req: Request, work: f64, aim: f64, since: f64, priority: f64) -> Self {
        let (attempts, held, ended, stream, keeps) =
            (Vec::new(), true, false, false, req.affinity_key.is_some());
        Job { req, work, aim, since, priority, attempts, keeps, asks: 0, ask_at: 0.0, held, ended, stream }
    }

    pub(crate) fn is_at(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|a| a.out && a.worker == worker)
    }
}

/// What a dispatcher knows of a request, for another process of it to go on with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord(pub(crate) Job);

impl RequestRecord {
    /// Its tenant, and the slots and memory that it needs.
    pub fn needs(&self) -> (usize, f64, f64) {
        (self.0.req.tenant, self.0.req.slots, self.0.req.memory)
    }

    /// The same in another process's numbers; `workers` are those of the attempts, in their order.
    pub fn renumbered(mut self, id: RequestId, deadline: f64, workers: &[WorkerId]) -> Self {
        (self.0.req.id, self.0.req.deadline) = (id, deadline);
        self.0.attempts.iter_mut().zip(workers).for_each(|(a, &worker)| a.worker = worker);
        self
    }
}

/// A held job in a round.
pub(crate) struct Ranked {
    pub priority: f64,
    pub urgent: bool,
    pub id: RequestId,
}

/// The requests, and which of them are held here.
#[derive(Default)]
pub(crate) struct Jobs {
    pub all: BTreeMap<RequestId, Job>,
    pub held: Vec<RequestId>,
}

impl Jobs {
    pub(crate) fn add(&mut self, job: Job) {
        self.held.extend(job.held.then_some(job.req.id));
        self.all.insert(job.req.id, job);
    }

    /// Gives up a request, with its attempts, to another process of this dispatcher.
    pub(crate) fn hand_over(&mut self, id: RequestId, farm: &mut Farm) -> Option<RequestRecord> {
        let job = self.all.remove(&id)?;
        self.held.retain(|held| *held != id);
        for a in job.attempts.iter().filter(|a| a.out) {
            farm.workers
                .get_mut(&a.worker)
                .into_iter()
                .for_each(|w| w.give_back(&job.req, a.start.is_some()));
        }
        Some(RequestRecord(job))
    }

    /// Puts a request back among those held; false if it is over or held already.
    pub(crate) fn hold(&mut self, id: RequestId) -> bool {
        let Some(job) = self.all.get_mut(&id).filter(|j| !j.ended && !j.held) else { return false };
        job.held = true;
        self.held.push(id);
        true
    }

    /// Nothing more is expected of an attempt.
    pub(crate) fn give_up(&mut self, id: RequestId, attempt: usize) {
        if let Some(a) = self.all.get_mut(&id).and_then(|j| j.attempts.get_mut(attempt)) {
            a.given_up = true;
        }
    }

    /// The client owns an answer that has begun to stream.
    pub(crate) fn streams(&mut self, id: RequestId) {
        if let Some(job) = self.all.get_mut(&id) {
            job.stream = true;
        }
    }

    /// Forgets a request that is over and has no attempt out.
    pub(crate) fn forget(&mut self, id: RequestId) {
        if self.all.get(&id).is_some_and(|job| job.ended && job.attempts.iter().all(|a| !a.out)) {
            self.all.remove(&id);
        }
    }

    pub(crate) fn drop_placed(&mut self) {
        let all = &self.all;
        self.held.retain(|id| all.get(id).is_some_and(|j| j.held && !j.ended));
    }
}

/// What a part may come to by chance: two deviations of a Poisson count more. Parts may be under one job.
pub(crate) fn by_chance(expected: f64) -> f64 {
    expected + 2.0 * expected.sqrt().max(1.0)
}

/// A worker that a job may go to: how good it is (less is better), and how much room it has.
pub(crate) struct Fit {
    pub score: f64,
    pub id: WorkerId,
    pub room: f64,
}

/// The best of so many drawn at random by their room. All of them know of the same free slots at the same
/// time, and the best for one is the best for all.
pub(crate) fn pick(mut fit: Vec<Fit>, looks: usize, draw: impl Fn(WorkerId) -> f64) -> Option<WorkerId> {
    let looks = looks + fit.iter().filter(|f| f.room.is_infinite()).count();
    if fit.len() > looks {
        let mut keyed: Vec<_> = fit.into_iter().map(|f| (-draw(f.id).ln() / f.room, f)).collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
        fit = keyed.into_iter().map(|k| k.1).collect();
        fit.truncate(looks);
    }
    fit.iter().min_by(|a, b| a.score.total_cmp(&b.score)).map(|f| f.id)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scheduling::affinity::keep;

    #[test]
    fn a_restarted_worker_keeps_nothing_of_before() {
        let mut w = Worker::unknown();
        (1..20).for_each(|object| keep(&mut w.near, object));
        let before = Objects::default().place(19, 7, &w.near);
        let after = Objects::default().place(19, 7, &w.restarted().near);
        assert_eq!((before, after), (Place::Near(0), Place::Far));
    }
}
