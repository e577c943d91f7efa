//! All decisions and the estimates behind them. Read `src/api.rs` first, and `docs/design.md` for the why.

use crate::scheduling::affinity::{self, Objects};
use crate::scheduling::estimates::*;
use crate::scheduling::gossip::{self, Notes};
use crate::scheduling::interface::*;
use crate::scheduling::random::{chance, spread};
use crate::scheduling::state::*;

// Constants that no setting or observation supplies. Times in seconds unless said otherwise.
const ROUND_PER_AIM: f64 = 0.06; // a round is short against the tightest aim
const SWEEP: f64 = 0.1; // overdue work is looked for this often
const EQ1: [f64; 3] = [2.0, 0.3, 2.0]; // alpha (latency aim), beta (tenant's share), delta (worth) of Eq. 1
const LAST: f64 = 5.0; // priority that a job over quota or past its aim loses: it comes after all others
const DEGRADE: f64 = 1.25; // the paper's limit: aims stretched further than this are given up
const SLOTS_AT_FIRST: f64 = 2.0; // of a kind that has not shown how many jobs it runs at once
const OVERDUE_START: f64 = 1.8; // a start later than so many usual waits makes a worker suspect
const OVERDUE_RUN: f64 = 5.0; // a run longer than so many times its estimate does, too
const START_PATIENCE: f64 = 0.6; // but not before so many usual runs: that long a job may well wait
const LEAST_OVERDUE: f64 = 0.4; // nothing is overdue before this: pauses and the network take that long
const BACKOFF: (f64, f64) = (0.5, 4.0); // first and longest wait between trials of a suspect
const FAILED: f64 = 0.7; // a failure leaves so much of a worker's stability, where dispatchers are few
const SAFE: f64 = 0.6; // a bulk job takes a slower worker while it ends within this part of its aim
const KEEPS: f64 = 5.0; // a usual run saved outweighs so much room, in shares of a worker's slots
const QUOTA_BURST: f64 = 2.0; // seconds of a quota that may come at once
const LEAST_SPARE: f64 = 3.0; // attempts out beyond this dispatcher's part of the slots, at the least
const FEW: usize = 4; // so many dispatchers see enough by themselves: all workers are candidates
const LEAST_LOOKS: usize = 2; // workers that a job is held against at the least: the power of two choices
const ASK: usize = 2; // workers asked at a time whether they have a slot free
const ASK_AGAIN: f64 = 0.025; // a held job asks others after this, then after ever longer
const OFFER: f64 = 0.05; // a slot said to be free is taken for free this long
const ANSWER: f64 = 0.02; // an answer to a question takes no longer, if it did not wait for a slot
const MOST_SUSPECT: f64 = 0.6; // with more of the fleet suspect, lateness alone is no verdict

/// Decides for one dispatcher. The same settings, seed and events give the same actions.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) s: Settings,
    pub(crate) seed: u64,
    pub(crate) round: f64,
    pub(crate) now: f64,
    pub(crate) farm: Farm,
    pub(crate) turn: usize,           // where in it the next question goes
    pub(crate) offers: Vec<WorkerId>, // the candidates of a round: those that answered lately, or all
    pub(crate) jobs: Jobs,
    pub(crate) seen: Seen,
    pub(crate) objects: Objects,
    pub(crate) notes: Notes,
    pub(crate) quotas: Vec<Bucket>, // by tenant: this dispatcher's part
    pub(crate) wake_at: f64,
    pub(crate) checking: bool,
    pub(crate) tell_at: f64,
    pub(crate) list_failures: u32,
}

impl Dispatcher {
    /// A dispatcher that has seen nothing yet. The seed only breaks ties, so that dispatchers differ.
    pub fn new(s: Settings, seed: u64) -> Self {
        let mut dispatcher = Dispatcher { wake_at: f64::INFINITY, seed, ..Dispatcher::default() };
        dispatcher.configure(s);
        dispatcher
    }

    /// Takes up other settings. What has a number keeps it; jobs and all that was learnt stay.
    pub fn configure(&mut self, s: Settings) {
        self.s = Settings { scheduler_count: s.scheduler_count.max(1), ..s };
        self.round =
            (ROUND_PER_AIM * self.s.scoring_bounds().0.min(1.0)).max(2.0 * self.s.event_interval_s).max(1e-3);
        self.seen.fit(self.s.classes.len());
        self.share_quotas(1.0 / self.s.scheduler_count as f64);
        self.offers = if self.sees() { self.farm.ring.clone() } else { Vec::new() };
    }

    /// How many of the listed workers get nothing for now, because they are suspect.
    pub fn ejected_count(&self) -> usize {
        self.farm.suspects.len()
    }

    /// What another process of this dispatcher should know from its start.
    pub fn learned_state(&self) -> LearnedState {
        self.farm.learnt(&self.seen, &self.objects)
    }

    /// Hands a request over to another process of this dispatcher: nothing of it is left here.
    pub fn hand_over(&mut self, id: RequestId) -> Option<RequestRecord> {
        self.jobs.hand_over(id, &mut self.farm)
    }

    /// What a request comes to by Eq. 1; below 0 where it is beyond its tenant's quota.
    pub fn priority(&self, id: RequestId) -> Option<f64> {
        self.jobs.all.get(&id).map(|job| job.priority)
    }

    /// Takes one event and appends what is to be done. News of what is no longer held is passed over.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = if now.is_finite() { self.now.max(now) } else { self.now };
        match event {
            Event::WorkersListed { whole, cached, entries } => self.list(whole, cached, entries, out),
            Event::DiscoveryFailed => self.list_failed(out),
            Event::RequestReceived(req) if self.jobs.all.contains_key(&req.id) => {}
            Event::RequestReceived(req) => self.accept(req, out),
            Event::StateLearned(learnt) => {
                (self.seen, self.objects) = self.farm.take_up(*learnt);
                self.seen.fit(self.s.classes.len());
            }
            Event::RequestTakenOver(record) => self.begin(record.0, out),
            Event::AttemptStarted { request, attempt } => self.news(request, attempt, 0.0, out),
            Event::AttemptProgressed { request, attempt, share } => self.news(request, attempt, share, out),
            Event::ResponseStarted { request, .. } => self.jobs.streams(request),
            Event::AttemptEnded(ended) => self.attempt_ended(ended, out),
            Event::ClientDisconnected(id) => self.close(id, out),
            Event::TimerExpired(WAKE) => self.run_round(out),
            Event::TimerExpired(CHECK) => self.sweep(out),
            Event::TimerExpired(LIST) => out.push(Action::WatchEndpointList),
            Event::TimerExpired(NOTE) => self.tell(out),
            // The deadline sweep: a request ends here at the latest, whatever else went wrong.
            Event::TimerExpired(tag) if tag >= DEADLINE => self.end(RequestId(tag as u32), out),
            Event::TimerExpired(_) => {}
            Event::SentByOtherProcess { worker, class, work } if class < self.s.classes.len() => {
                self.cold_sent(worker, self.cold_work(class, work));
            }
            Event::SentByOtherProcess { .. } => {}
            Event::GossipReceived { from, .. } if from == self.s.scheduler_index => {} // what is sent to all may come back
            Event::GossipReceived { from, bytes } => {
                self.notes.hear(self.now, from, self.s.scheduler_count, &bytes)
            }
            Event::ProbeEnded { worker, outcome, load } => self.probed(worker, outcome, load, out),
        }
    }

    /// A failed call backs off, within the time after which the list counts as told; each in its turn.
    fn list_failed(&mut self, out: &mut Vec<Action>) {
        if self.s.discovery_polled {
            let wait =
                (0.5 * f64::from(1u32 << self.list_failures.min(6))).min(self.s.max_poll_interval_s / 2.0);
            self.list_failures += 1;
            let turn = (self.s.scheduler_index as f64 / self.s.scheduler_count as f64).min(1.0);
            out.push(Action::SetTimer { after_s: wait * (1.0 + turn), tag: LIST });
        }
    }

    fn list(&mut self, whole: bool, cached: bool, entries: Vec<WorkerInfo>, out: &mut Vec<Action>) {
        let kind = || Kind { slots: SLOTS_AT_FIRST, ..Kind::default() };
        let listed: Vec<_> = entries.iter().map(|entry| entry.id).collect();
        self.farm.update(whole, entries, kind, |id| spread(self.seed, id));
        if self.s.weights_show_load && !cached {
            self.farm.weigh(&listed, self.now);
            let (slots, n) = (self.farm.slots(), self.s.scheduler_count as f64);
            let share = self.seen.share(self.now, RECENT, self.farm.held(), (slots / n, slots));
            self.share_quotas(share);
        }
        self.offers = if self.sees() { self.farm.ring.clone() } else { Vec::new() };
        self.list_failures *= u32::from(cached);
        self.tell(out);
        out.extend((cached && self.s.discovery_polled).then_some(Action::WatchEndpointList));
        self.wake_in(0.0, out);
    }

    /// Takes up another share of the traffic.
    fn share_quotas(&mut self, share: f64) {
        for (i, tenant) in self.s.tenants.iter().enumerate() {
            let part = tenant.quota_per_s * share;
            let quota = Bucket::full(part, by_chance(QUOTA_BURST * part));
            match self.quotas.get_mut(i) {
                Some(q) => (q.per_s, q.most, q.left) = (quota.per_s, quota.most, q.left.min(quota.most)),
                None => self.quotas.push(quota),
            }
        }
    }

    fn accept(&mut self, req: Request, out: &mut Vec<Action>) {
        let (id, left) = (req.id, req.deadline - self.now);
        let Some(class) = self.s.classes.get(req.class).filter(|_| left.is_finite()) else {
            return out.push(Action::Reject { request: id, hold_off_s: 0.0 });
        };
        let work = req.estimated_work_s.filter(|h| h.is_finite() && *h > 0.0);
        let work = work.unwrap_or_else(|| {
            self.mean(&self.seen.mean_work, class.latency_objective_s.max(1e-3).ln()).exp()
        });
        self.seen.mean_work.add(self.now, KIND_RECENT, work.ln(), 1.0);
        self.seen.work[req.class].add(self.now, KIND_RECENT, work, 1.0);
        self.seen.usual.add(self.now, KIND_RECENT, work, 1.0);
        if let Some(object) = req.affinity_key {
            let farm = &self.farm;
            let weigh = |w: &Worker| (w.info.stable_id, farm.slots_of(w));
            let weights = || farm.ring.iter().map(|id| weigh(&farm.workers[id])).collect();
            self.objects.ask(self.now, object, weights);
        }
        // A client's later tries have less time left than its first: the aim counts from the first.
        let longest = &mut self.seen.longest_left[req.class];
        *longest = longest.max(left.min(class.deadline_s));
        let since = (req.deadline - *longest).min(self.now);
        let aim =
            (class.latency_objective_s + class.objective_per_work * work).min(class.deadline_s).max(1e-3);
        // Eq. 1, with worth for the group; what is over its tenant's quota comes last.
        let inside = self.quotas.get_mut(req.tenant).is_none_or(|q| q.take(self.now));
        let (t_min, n_max, worth_max) = self.s.scoring_bounds();
        let n = self.s.tenants.get(req.tenant).map_or(n_max, |t| t.quota_per_s);
        let ratios =
            [t_min / class.latency_objective_s.max(1e-3), n / n_max, class.priority_weight / worth_max];
        let eq1: f64 = EQ1.iter().zip(ratios).map(|(weight, ratio)| weight * ratio).sum();
        let priority = if inside { eq1 } else { eq1 - LAST * (1.0 - self.s.weight_over_quota) };
        self.seen.priority.add(self.now, KIND_RECENT, priority, 1.0);
        if self.full_load() && priority < self.mean(&self.seen.priority, priority) {
            return out.push(Action::Reject { request: id, hold_off_s: self.s.max_retry_after_s.min(aim) });
        }
        let tries = self.objects.tries(self.now, chance(self.seed ^ u64::from(id.0)));
        let mut job = Job::new(req, work, aim, since, priority);
        job.keeps &= !tries;
        self.begin(job, out);
    }

    /// Sees to a job from now on, whether it is new or comes from another process of this dispatcher.
    fn begin(&mut self, job: Job, out: &mut Vec<Action>) {
        let (id, left) = (job.req.id, job.req.deadline - self.now);
        let after_s = (left - 2.0 * self.s.event_interval_s).max(0.0);
        out.push(Action::SetTimer { after_s, tag: DEADLINE + u64::from(id.0) });
        self.farm.occupy(&job);
        self.jobs.add(job);
        self.ask(id, out);
        self.wake_in(self.round, out);
        let check = !std::mem::replace(&mut self.checking, true);
        out.extend(check.then_some(Action::SetTimer { after_s: SWEEP, tag: CHECK }));
    }

    /// The only place that gives a final answer: a refusal where that is true, else a failure.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.all.get(&id).filter(|j| !j.ended && !j.stream) else { return };
        out.push(if self.may_refuse(job) {
            Action::Reject { request: id, hold_off_s: self.s.max_retry_after_s.min(job.aim) }
        } else {
            Action::Fail(id)
        });
        self.close(id, out);
    }

    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.all.get_mut(&id) else { return };
        job.ended = true;
        for (attempt, a) in
            job.attempts.iter_mut().enumerate().filter(|(_, a)| a.out && self.s.cancellation_allowed)
        {
            a.given_up = true;
            out.push(Action::Cancel { request: id, attempt });
        }
        self.jobs.forget(id);
    }

    // ---- Guards: the four rules ----

    fn may_route(&self, job: &Job, w: &Worker) -> bool {
        let over = job.ended || job.stream || self.now >= job.req.deadline;
        let spent = over || job.attempts.len() >= self.s.max_attempts;
        let copy = job.attempts.iter().any(|a| a.out) && !self.s.hedging_allowed || job.is_at(w.info.id);
        let other_kind = self.s.classes[job.req.class].required_kind.is_some_and(|kind| kind != w.info.kind);
        if spent || copy || other_kind || w.info.state != WorkerState::Ready || !self.may_repeat(job, w) {
            return false; // drains are kept without using up their grace
        }
        if self.warmth(w, 0.0) >= 1.0 {
            return true;
        }
        // Fall-back: all schedulers together stay under what the cold worker can take.
        let work = self.cold_work(job.req.class, job.work);
        self.slow_start(w, work)
            .is_some_and(|may| w.cold_sends.since(may.from) + work <= may.work * (1.0 + 1e-9))
    }

    fn cold_sent(&mut self, id: WorkerId, work: f64) {
        let (from, now) = (self.now - self.s.overload_window_s, self.now);
        self.farm.workers.get_mut(&id).into_iter().for_each(|w| w.cold_sends.add(from, now, work));
    }

    /// Whether `w` may be sent the job though earlier attempts may have run: no effect twice.
    fn may_repeat(&self, job: &Job, w: &Worker) -> bool {
        let class = &self.s.classes[job.req.class];
        let Some(first) = job.attempts.iter().find(|a| a.may_have_run) else { return true };
        // The repeat counts when its last byte arrives, which a connection that comes up late delays.
        let late = self.s.connect_timeout_s.max(0.1 * class.deduplication_window_s);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            _ if self.now + late > first.sent + class.deduplication_window_s => false,
            Idempotency::WithKey => {
                self.farm.workers.get(&first.worker).is_some_and(|v| class.deduplication_scope.holds(v, w))
            }
        }
    }

    /// Whether no attempt is out and none may follow, whatever workers there will be.
    fn is_spent(&self, job: &Job) -> bool {
        let (class, may_have_run) =
            (&self.s.classes[job.req.class], job.attempts.iter().any(|a| a.may_have_run));
        let spent = job.attempts.len() >= self.s.max_attempts
            || class.idempotency == Idempotency::NonIdempotent && may_have_run;
        spent && !job.attempts.iter().any(|a| a.out)
    }

    fn may_refuse(&self, job: &Job) -> bool {
        let class = &self.s.classes[job.req.class];
        class.idempotency == Idempotency::Idempotent
            || job.attempts.iter().all(|a| !a.may_have_run)
            || (class.idempotency == Idempotency::WithKey
                && class.deduplication_scope == DeduplicationScope::All)
    }

    /// Whether own traffic tells which workers are free: that of a dispatcher for every two workers does. A
    /// question costs the worker work, and the answer time.
    pub(crate) fn sees(&self) -> bool {
        self.is_few() || !self.s.capacity_probes_allowed
    }

    /// Whether a crowd at a worker is told from trouble there: by enough own traffic, by questions, by news.
    pub(crate) fn tells_crowds(&self) -> bool {
        self.is_few()
            || self.s.capacity_probes_allowed
            || self.s.weights_show_load
            || !self.s.load_report_fields.is_empty()
    }

    fn is_few(&self) -> bool {
        self.s.scheduler_count <= FEW.max(self.farm.ring.len() / 2)
    }

    fn blind(&self) -> bool {
        !self.sees() && self.s.load_report_fields.is_empty()
    }

    /// Takes up a load report: wholly if just asked for, else half, as it tells of a while back.
    fn report(&mut self, id: WorkerId, load: LoadReport, weight: f64) {
        let Some(w) = self.farm.workers.get(&id) else { return };
        let known = (self.others(w), self.farm.slots_of(w));
        self.farm.report(id, load, weight, known, self.now);
    }

    fn news(&mut self, id: RequestId, attempt: usize, share: f64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.all.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(attempt).filter(|a| a.out && share > a.share) else { return };
        (a.share, a.news) = (share, self.now);
        let (id, sent, first) = (a.worker, a.sent, a.start.is_none() && share == 0.0);
        a.start = a.start.or(first.then_some(self.now));
        let Some(w) = self.farm.workers.get(&id) else { return };
        let (total, waited) = (self.farm.slots_of(w), self.now - sent > (2.0 * self.round).max(0.05));
        let Some(w) = self.farm.workers.get_mut(&id) else { return };
        (w.heard, w.broke) = (self.now, 0);
        if !first {
            return self.farm.clear(id); // it got on
        }
        w.started(self.now, total, waited);
        self.seen.busy.add(self.now, SOON, f64::from(u8::from(waited)), 1.0);
        self.seen.start_wait.add(self.now, RECENT, self.now - sent, 1.0);
        self.seen.waits.add(self.now, SOON, self.now - sent, 1.0);
        self.wake_in(self.round, out);
    }

    /// `hard`: a connection failed or broke; else it was only late.
    fn doubt(&mut self, id: WorkerId, hard: bool) {
        let (n, suspects) = (self.farm.ring.len().max(1) as f64, self.farm.suspects.len() as f64);
        let share = 1.0 + self.s.scheduler_count as f64 / n; // all of them try it: what each seldom uses, seldom
        let doubtful = |w: &&mut Worker| w.suspect.is_none() && (hard || suspects <= MOST_SUSPECT * n);
        let Some(w) = self.farm.workers.get_mut(&id).filter(doubtful) else { return };
        w.backoff = (2.0 * w.backoff).clamp(BACKOFF.0 * share, BACKOFF.1 * share);
        (w.suspect, w.stability) = (Some(self.now + w.backoff), w.stability.min(0.5));
        self.farm.suspects.push(id);
    }

    fn attempt_ended(&mut self, e: AttemptEnded, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.all.get_mut(&e.request) else { return };
        let Some(a) = job.attempts.get_mut(e.attempt).filter(|a| a.out) else { return };
        (a.out, a.failed) = (false, e.outcome == AttemptOutcome::Failed);
        a.may_have_run = !e.outcome.proves_not_executed();
        let (worker, work, start, place, timely) = (a.worker, job.work, a.start, a.place, !a.given_up);
        let waited = self.now - a.sent;
        let in_time = f64::from(u8::from(self.now <= job.since + job.aim));
        if let Some(w) = self.farm.workers.get_mut(&worker) {
            w.give_back(&job.req, start.is_some());
            let vain = start.is_none() && e.outcome == AttemptOutcome::Cancelled;
            self.seen.waits.add(self.now, SOON, waited, f64::from(u8::from(vain)));
            match e.outcome {
                AttemptOutcome::RejectedByWorker => {
                    w.full_until = self.now + OFFER.max(w.slots.total * SWEEP)
                }
                AttemptOutcome::Succeeded => w.stability += 0.1 * (in_time - w.stability),
                AttemptOutcome::Cancelled | AttemptOutcome::NotSent | AttemptOutcome::StaleConnection => {}
                // What is seldom used is judged on less: one failure stands for those that others meet there.
                _ => w.stability *= FAILED.powf((self.s.scheduler_count as f64 / FEW as f64).max(1.0)),
            }
            // One connection may break on a sound worker; two with nothing heard between do not.
            w.broke += u32::from(e.outcome == AttemptOutcome::ConnectionReset);
            let broke = e.outcome == AttemptOutcome::ConnectFailed
                || e.outcome == AttemptOutcome::ConnectionReset && w.broke > 1;
            (broke || w.stability < 0.3).then(|| self.doubt(worker, broke));
        }
        self.report(worker, e.load, OLD_NEWS);
        if e.outcome == AttemptOutcome::Succeeded {
            // A cold worker's run teaches nothing: it would make the budget of all cold ones too large.
            let warm = self.farm.workers.get(&worker).is_some_and(|w| self.warmth(w, 0.0) >= 1.0);
            if let Some(start) = start.filter(|_| !warm) {
                self.warmed(worker, self.now - start, work);
            }
            if let Some(start) = start.filter(|_| warm) {
                let value = ((self.now - start).max(1e-4) / work).ln();
                if let Some((place, w)) = place.zip(self.farm.workers.get(&worker)) {
                    let extra = self.now - start - self.run_time(w, work);
                    self.objects.ran(self.now, place, extra / self.fleet_run());
                }
                self.seen.fleet.add(self.now, KIND_RECENT, value, 1.0);
                self.farm.learn(worker, self.complexity(work), (self.now, RECENT, KIND_RECENT), value);
            }
            self.farm.clear(worker);
            if let Some(w) = self.farm.workers.get_mut(&worker).filter(|_| timely) {
                (w.heard, w.broke, w.proven, w.backoff) = (self.now, 0, w.proven + 1.0, 0.0);
            }
        }
        let job = self.jobs.all.get(&e.request);
        if e.client_answered || job.is_some_and(|j| j.ended) {
            self.close(e.request, out);
        } else if job.is_some_and(|j| self.is_spent(j)) {
            self.end(e.request, out); // whoever asked had better know now
        } else {
            self.jobs.hold(e.request);
        }
        self.wake_in(0.0, out); // a slot is free: the next round is due
    }

    /// Asks the next few workers in this dispatcher's order for a free slot, first those of its own zone.
    fn ask(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (now, n) = (self.now, self.farm.ring.len());
        let Some(job) = self.jobs.all.get(&id).filter(|_| !self.sees()) else { return };
        let at = |step| &self.farm.workers[&self.farm.ring[(self.turn + step) % n]];
        let fit = |&step: &usize| {
            let (w, own) = (at(step), at(step).info.zone == self.s.zone);
            let known = now - w.offered < OFFER || now < w.full_until || w.asked > f64::NEG_INFINITY;
            (job.asks > 0 || own == (step < n)) && w.suspect.is_none() && !known && self.may_route(job, w)
        };
        let steps = if job.asks == 0 { 2 * n } else { n }; // where its own zone had none, it asks any
        let picked: Vec<_> = (0..steps).filter(fit).take(ASK).map(|step| (step, at(step).info.id)).collect();
        self.turn = (self.turn + picked.last().map_or(0, |p| p.0 + 1)) % n.max(1);
        for (_, id) in picked {
            self.farm.workers.get_mut(&id).into_iter().for_each(|w| w.asked = now);
            out.push(Action::Probe(id));
        }
        let Some(job) = self.jobs.all.get_mut(&id) else { return };
        self.seen.busy.add(now, SOON, f64::from(u8::from(job.asks > 0)), 1.0);
        job.ask_at = now + ASK_AGAIN * 1.5f64.powi(job.asks);
        job.asks += 1;
    }

    /// An answer at once is an offer. A suspect is then on trial: it may have answered beside its queue.
    fn probed(&mut self, id: WorkerId, outcome: AttemptOutcome, load: LoadReport, out: &mut Vec<Action>) {
        self.report(id, load, 1.0);
        let Some(w) = self.farm.workers.get_mut(&id) else { return };
        let asked = std::mem::replace(&mut w.asked, f64::NEG_INFINITY);
        if outcome != AttemptOutcome::Succeeded {
            return;
        }
        if self.now - asked <= ANSWER + 2.0 * self.s.event_interval_s {
            w.offered = self.now;
            self.offers.extend((!self.offers.contains(&id)).then_some(id));
        }
        self.farm.clear(id);
        self.wake_in(0.0, out);
    }

    fn sweep(&mut self, out: &mut Vec<Action>) {
        let start_limit = START_PATIENCE * LEAST_OVERDUE.max(self.fleet_run());
        let start_limit = start_limit.max(OVERDUE_START * self.usual_wait());
        // A late start means a crowd where queues are unseen; where nothing is seen, it is time to move on.
        let unseen = if self.blind() { ANSWER + 2.0 * self.s.event_interval_s } else { f64::INFINITY };
        let (mut late, mut vain) = (Vec::new(), Vec::new());
        for (&id, job) in &self.jobs.all {
            let worthless =
                self.s.classes[job.req.class].weight_after_objective <= 0.0 && self.may_refuse(job);
            for (n, a) in job.attempts.iter().enumerate().filter(|(_, a)| a.out) {
                let Some(w) = self.farm.workers.get(&a.worker) else { continue };
                // Heard of since, it is alive, if crowded: copies of what waits there would add to it.
                let waits = a.start.is_none() && !self.blind();
                let over = self.now - if waits { a.news.max(w.heard) } else { a.news };
                let limit = match a.start {
                    None => start_limit / self.warmth(w, 0.0),
                    Some(_) if self.s.progress_interval_s > 0.0 => {
                        2.0 * self.s.progress_interval_s + LEAST_OVERDUE
                    }
                    Some(_) => LEAST_OVERDUE + OVERDUE_RUN * self.run_time(w, job.work),
                };
                let move_at = if a.start.is_none() && !self.sees() { unseen } else { limit };
                late.push((id, n, a.worker, over > limit, over > move_at));
                // What waits there and can no longer be in time only delays what stands behind it.
                let past = self.now > job.since + job.aim - self.run_time(w, job.work);
                vain.extend((past && worthless && a.start.is_none() && !job.ended).then_some(id));
            }
        }
        vain.into_iter().for_each(|id| self.end(id, out));
        for (id, n, worker, silent, moves) in late {
            silent.then(|| self.doubt(worker, false));
            moves.then(|| self.redirect(id, n, out));
        }
        for id in self.farm.suspects.clone() {
            let due = |w: &&mut Worker| w.suspect.is_some_and(|at| self.now >= at);
            let Some(w) = self.farm.workers.get_mut(&id).filter(due) else { continue };
            w.suspect = Some(self.now + w.backoff);
            out.extend(self.s.capacity_probes_allowed.then_some(Action::Probe(id)));
            (!self.s.capacity_probes_allowed).then(|| self.farm.clear(id));
        }
        self.checking = !self.jobs.all.is_empty() || !self.farm.suspects.is_empty();
        let after_s = if self.blind() { ANSWER } else { SWEEP };
        out.extend(self.checking.then_some(Action::SetTimer { after_s, tag: CHECK }));
        self.wake_in(self.round, out);
    }

    /// Moves overdue work where its class permits that and somebody else can take it.
    fn redirect(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.all.get(&id) else { return };
        let spent = job.attempts[attempt].given_up || job.attempts.len() >= self.s.max_attempts;
        let once = self.s.classes[job.req.class].idempotency == Idempotency::NonIdempotent;
        let room = |w: &Worker| w.suspect.is_none() && self.free(w) >= 1.0 && self.may_repeat(job, w);
        let crowded = self.s.hedging_allowed && !self.farm.ring.iter().any(|id| room(&self.farm.workers[id]));
        let crowd = crowded || job.attempts[attempt].start.is_none() && !self.tells_crowds();
        if spent || job.ended || once || crowd || self.full_load() {
            return;
        }
        self.jobs.give_up(id, attempt);
        if self.s.hedging_allowed {
            self.jobs.hold(id); // the first of the two to answer counts
        } else if self.s.cancellation_allowed {
            out.push(Action::Cancel { request: id, attempt });
        }
    }

    /// Tells the other dispatchers what is held from here, at once if that has changed, else now and then.
    fn tell(&mut self, out: &mut Vec<Action>) {
        if !self.s.gossip_allowed || self.now < self.tell_at - self.s.event_interval_s {
            return; // not allowed, or not yet
        }
        self.tell_at = self.now + gossip::EVERY;
        let held = |w: &Worker| (gossip::key(w.info.stable_id), w.slots.mine.min(255.0) as u8);
        let held = self.farm.workers.values().filter(|w| w.slots.mine >= 1.0).map(held).collect();
        out.extend(self.notes.tell(self.now, held).map(Action::BroadcastGossip));
        out.push(Action::SetTimer { after_s: gossip::EVERY, tag: NOTE });
    }

    fn wake_in(&mut self, after_s: f64, out: &mut Vec<Action>) {
        if self.now + after_s < self.wake_at && !self.jobs.held.is_empty() {
            self.wake_at = self.now + after_s;
            out.push(Action::SetTimer { after_s, tag: WAKE });
        }
    }

    fn run_round(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if now < self.wake_at - self.s.event_interval_s {
            return; // an earlier timer than the one that counts
        }
        self.wake_at = f64::INFINITY;
        self.jobs.drop_placed();
        let kinds = (0..self.farm.kinds.len()).map(|k| self.kind_ratio(k));
        let fastest = kinds.fold(self.mean(&self.seen.fleet, 0.0), f64::min).exp();
        // Top jobs first; what cannot be served in time frees its place, before its aim has passed.
        let (mut order, mut hopeless) = (Vec::with_capacity(self.jobs.held.len()), Vec::new());
        for &id in &self.jobs.held {
            let job = &self.jobs.all[&id];
            let latest = job.since + job.aim - job.work * fastest;
            // Aging, by one in an aim, ends with it: late jobs must not overtake those that can make theirs.
            let mut priority = job.priority + ((now - job.since) / job.aim).min(1.0);
            let late = now > latest + (DEGRADE - 1.0) * job.aim;
            if late && (self.full_load() || self.s.classes[job.req.class].weight_after_objective <= 0.0) {
                hopeless.push(id);
            } else {
                priority -= if late { LAST } else { 0.0 }; // it can still earn something, after all others
                let urgent = !late && now > latest - 2.0 * self.round - self.usual_wait();
                order.push(Ranked { priority, urgent, id });
            }
        }
        order.sort_by(|a, b| b.priority.total_cmp(&a.priority).then(a.id.cmp(&b.id)));
        self.shed(&mut order, &mut hopeless);
        hopeless.into_iter().for_each(|id| self.end(id, out));
        let mostly_urgent = 2 * order.iter().filter(|r| r.urgent).count() > order.len();
        let mut room = f64::INFINITY;
        let level = if self.s.weights_show_load { self.level() } else { f64::INFINITY };
        if self.sees() {
            let (slots, mine) = self.farm.trusted();
            let part = slots / self.s.scheduler_count as f64;
            room = part + part.sqrt().max(LEAST_SPARE) - mine;
            order.truncate(room.max(0.0).ceil() as usize + self.farm.ring.len());
        } else {
            self.offers.retain(|id| self.farm.workers.get(id).is_some_and(|w| now - w.offered < OFFER));
        }
        // First jobs for which somebody with room keeps what they need, whoever waits before them: a job that
        // has to fetch it holds its slot for as long again. The slots that are left go to the others.
        for strict in [self.objects.any_homes(), false] {
            for r in std::mem::take(&mut order) {
                let job = &self.jobs.all[&r.id];
                let strict = strict && job.keeps;
                if room < 0.5 * job.req.slots {
                    break;
                } else if let Some(worker) = self.choose(job, r.urgent, mostly_urgent, level, strict) {
                    room -= job.req.slots;
                    self.route(r.id, worker, out);
                } else if strict {
                    order.push(r);
                } else if now >= job.ask_at {
                    self.ask(r.id, out);
                }
            }
        }
        self.jobs.drop_placed();
        self.wake_in(self.round.max(0.4 * ASK_AGAIN), out);
    }

    /// Full load (Eq. 2): the time to clear what waits against the mean aim, stretched to the paper's 25%.
    fn shed(&self, order: &mut Vec<Ranked>, hopeless: &mut Vec<RequestId>) {
        let part = by_chance(self.farm.slots() / self.s.scheduler_count as f64);
        let (rate, control) = (part / self.mean(&self.seen.fleet, 0.0).exp(), self.round + self.usual_wait());
        let cost = |r: &Ranked| (self.jobs.all[&r.id].work / rate, self.jobs.all[&r.id].aim + control);
        let (mut clear, mut aims) = order.iter().map(cost).fold((0.0, 0.0), |s, c| (s.0 + c.0, s.1 + c.1));
        while order.len() > 1 && clear > DEGRADE * aims / order.len() as f64 {
            let last = order.split_off(order.len() - 1);
            last.iter().map(cost).for_each(|c| (clear, aims) = (clear - c.0, aims - c.1));
            hopeless.extend(last.iter().map(|r| r.id));
        }
    }

    fn choose(
        &self,
        job: &Job,
        urgent: bool,
        mostly_urgent: bool,
        level: f64,
        strict: bool,
    ) -> Option<WorkerId> {
        let class = &self.s.classes[job.req.class];
        let slack = (job.since + job.aim - self.now).max(self.round);
        let others = class.required_kind.is_none() && self.offers.len() > job.attempts.len(); // it failed once there
        let home = self.s.zones.len().saturating_sub(1).max(1) as f64; // the own zone weighs as all others
        let (crowds, kept) = (self.tells_crowds(), self.kept()); // those kept weigh as all others, too
        let queue = if crowds { 0.0 } else { self.wait_now() }; // unseen, each is as long as others were
        let mut fit: Vec<Fit> = Vec::with_capacity(self.offers.len());
        for &id in &self.offers {
            let w = &self.farm.workers[&id];
            let trial = w.proven < 1.0 && class.idempotency != Idempotency::Idempotent; // no unsafe work on trial
            let failed = others && job.attempts.iter().any(|a| a.worker == id && a.failed);
            if failed || trial || self.now < w.full_until || w.suspect.is_some() || !self.may_route(job, w) {
                continue;
            }
            let free = self.free(w);
            let memory = w.memory.total - w.memory.others - w.memory.mine;
            let fits = job.req.memory <= memory || w.memory.mine == 0.0;
            let below = level * self.farm.slots_of(w) - w.slots.mine - w.slots.others;
            // Who lies below the level has room for a job from here, beside what the others send there.
            let first = self.s.weights_show_load && w.slots.mine < 1.0;
            let has_room = !self.s.weights_show_load || below > 0.0;
            let known_free = fits && has_room && (first || self.blind() || free >= 0.5 * job.req.slots);
            let cold = self.warmth(w, 0.0) < 1.0;
            let wait = (job.req.slots - free).max(0.0) * self.fleet_run() / self.farm.slots_of(w);
            let wait = wait.max(if cold { 0.0 } else { queue });
            let (away, near) = if w.info.zone == self.s.zone { (1.0, home) } else { (1.1, 1.0) };
            let saves = job.req.affinity_key.filter(|_| job.keeps).map_or(0.0, |o| self.saves(o, w));
            if strict && saves <= 0.0 {
                continue;
            }
            let finish = (wait + self.run_time(w, job.work) - saves * self.fleet_run()).max(0.0) * away;
            let soon = self.s.load_report_fields.contains(&LoadReportField::Queue)
                && finish < SAFE * slack
                && job.asks > 0;
            let tolerable = if self.sees() { w.waiting == 0 && urgent } else { fits && soon };
            // What is not free must not queue only to be late.
            let late = finish > DEGRADE * slack && class.weight_after_objective <= 0.0;
            if !known_free && (late || !tolerable) {
                continue;
            }
            let mut score = finish / w.stability.max(0.1);
            if !urgent && !mostly_urgent && score < SAFE * slack {
                // Bulk: among those that still make the aim, the roomiest; of these the faster, but where
                // crowds are unseen: there all would meet at the fast ones, which are drawn by size already.
                let slow =
                    if crowds { self.ratio(w, 2) / self.mean(&self.seen.fleet, 0.0).exp() } else { 0.0 };
                score = -1.0 - free / self.farm.slots_of(w) / away + 0.1 * slow - KEEPS * saves;
            }
            let room = match known_free {
                false => 0.01,
                true if cold => f64::INFINITY,
                true if self.s.weights_show_load => below * near,
                true if !crowds => self.size(w) * near * if self.keeps(w) { kept } else { 1.0 },
                true => 1.0,
            };
            fit.push(Fit { score, id, room });
        }
        let looks = (FEW * self.offers.len()).div_ceil(self.s.scheduler_count).max(LEAST_LOOKS);
        let draw = |id| chance(spread(self.seed ^ u64::from(job.req.id.0), id));
        pick(fit, looks, draw)
    }

    fn route(&mut self, id: RequestId, worker: WorkerId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.all.get_mut(&id) else { return };
        let Some(w) = self.farm.workers.get_mut(&worker) else { return };
        job.held = false;
        let place = job.req.affinity_key.map(|object| self.objects.place(object, w.info.stable_id, &w.near));
        job.req.affinity_key.into_iter().for_each(|object| affinity::keep(&mut w.near, object));
        job.attempts.push(Attempt::new(worker, self.now, self.s.starts_reported, place));
        w.take(&job.req, !self.s.starts_reported);
        w.sent = self.now;
        let (class, work) = (job.req.class, job.work);
        self.cold_sent(worker, self.cold_work(class, work));
        out.push(Action::Dispatch { request: id, worker });
    }
}
