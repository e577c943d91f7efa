//! What is reckoned from the records of `src/state.rs`: run times, loads, how warm a worker is, how full the
//! fleet. Nothing is decided here; `src/rules.rs` decides by it.

use crate::scheduling::decaying_mean::Mean;
use crate::scheduling::dispatcher::Dispatcher;
use crate::scheduling::gossip;
use crate::scheduling::interface::*;
use crate::scheduling::scheduler_share;
use crate::scheduling::state::*;
use crate::scheduling::water_filling;

// Times in seconds unless said otherwise.
pub(crate) const RECENT: f64 = 15.0; // class times fade with this time constant: a few tens of jobs
pub(crate) const KIND_RECENT: f64 = 60.0; // those of a kind and of the fleet fade slower: they carry the fallback
pub(crate) const SOON: f64 = 4.0; // how busy workers are fades sooner: bursts last seconds
pub(crate) const TRUST: f64 = 2.0; // observations that weigh as much as the estimate a mean falls back to
const MOST_AHEAD: f64 = 1.1; // ln: one run makes a cold worker three times as fast, or slow, at the most
const LIST_AGE: f64 = 0.8; // live weights are renewed every 0.5 to 1.2 s, and late: so old when they come
const KEPT: f64 = 0.5; // of the idle time at a worker, a connection to it is kept so long
const FULL_LOAD: f64 = 0.55; // so many of the workers asked without a free slot: late work only takes places

impl Dispatcher {
    /// How it stands here, for whoever may carry work elsewhere.
    pub fn capacity_summary(&self) -> CapacitySummary {
        let ring = self.farm.ring.iter().map(|id| &self.farm.workers[id]);
        let fit = ring.filter(|w| w.suspect.is_none() && self.now >= w.full_until);
        let each = fit.map(|w| (self.farm.slots_of(w) * self.warmth(w, 0.0), self.free(w)));
        let add =
            |sum: (f64, f64), (slots, free): (f64, f64)| (sum.0 + slots, sum.1 + free.clamp(0.0, slots));
        let (slots, free) = each.fold((0.0, 0.0), add);
        let held = self.jobs.held.iter().filter_map(|id| self.jobs.all.get(id));
        let work: f64 = held.filter(|job| job.held).map(|job| job.work).sum();
        let clear_s = work * self.usual_ratio() / slots.max(1.0);
        CapacitySummary { slots, free, waiting: self.jobs.held.len(), backlog_s: clear_s }
    }

    /// Requests that wait and were sent nowhere yet, with the time by which each must start to be in time.
    pub fn waiting_requests(&self) -> impl Iterator<Item = (RequestId, f64)> + '_ {
        let jobs = self.jobs.held.iter().filter_map(|id| self.jobs.all.get(id));
        let jobs = jobs.filter(|job| job.held && !job.ended && job.attempts.is_empty());
        jobs.map(|job| (job.req.id, job.since + job.aim - job.work * self.usual_ratio()))
    }

    /// When a request of this class must start to be in time, on a worker like most.
    pub fn latest_start(&self, class: usize, hint: Option<f64>, deadline: f64) -> f64 {
        let (longest, class) = (self.seen.longest_left[class], &self.s.classes[class]);
        let work = hint.unwrap_or(class.latency_objective_s);
        let aim = (class.latency_objective_s + class.objective_per_work * work).min(class.deadline_s);
        (deadline - longest).min(self.now) + aim - work * self.usual_ratio()
    }

    pub(crate) fn usual_ratio(&self) -> f64 {
        self.mean(&self.seen.fleet, 0.0).exp()
    }

    /// Share of its capacity that a worker has at the least, `back_s` ago.
    pub(crate) fn warmth(&self, w: &Worker, back_s: f64) -> f64 {
        let age = if w.info.started_at_s > 0.0 {
            (self.now - back_s - w.info.started_at_s).max(0.0)
        } else {
            f64::INFINITY
        };
        let share = self.s.slow_start_fraction.clamp(0.01, 1.0);
        (share + (1.0 - share) * age / self.s.slow_start_duration_s.max(1e-3)).min(1.0)
    }

    pub(crate) fn mean(&self, mean: &Mean, fallback: f64) -> f64 {
        mean.or(self.now, KIND_RECENT, TRUST, fallback)
    }

    pub(crate) fn complexity(&self, work: f64) -> usize {
        let steps = (work.ln() - self.mean(&self.seen.mean_work, work.ln())) / std::f64::consts::LN_2;
        (steps.round() + 2.0).clamp(0.0, (CLASSES - 1) as f64) as usize
    }

    pub(crate) fn kind_ratio(&self, kind: usize) -> f64 {
        self.mean(&self.farm.kinds[kind].speed, self.mean(&self.seen.fleet, 0.0))
    }

    /// Run time / hinted work in a complexity class, leaning on the worker's mean, its kind, the fleet.
    pub(crate) fn ratio(&self, w: &Worker, cell: usize) -> f64 {
        let overall = w.overall.or(self.now, RECENT, TRUST, self.kind_ratio(w.info.kind));
        w.cells[cell].or(self.now, RECENT, TRUST, overall).exp()
    }

    pub(crate) fn run_time(&self, w: &Worker, work: f64) -> f64 {
        work * self.ratio(w, self.complexity(work)) / self.pace(w)
    }

    /// Share of its speed that a worker is thought to have: the least that settings tell, and where crowds are
    /// unseen as much more as those that warm up have shown. Where they are seen, over 120 drawn days that made no
    /// difference, and a release went worse.
    fn pace(&self, w: &Worker) -> f64 {
        let warmth = self.warmth(w, 0.0);
        if self.tells_crowds() || warmth >= 1.0 {
            return warmth;
        }
        let shown = w.warming.or(self.now, RECENT, TRUST, self.seen.warming.or(self.now, RECENT, TRUST, 0.0));
        (warmth * shown.exp()).min(1.0)
    }

    pub(crate) fn fleet_run(&self) -> f64 {
        (self.mean(&self.seen.mean_work, 0.0) + self.mean(&self.seen.fleet, 0.0)).exp().clamp(0.05, 60.0)
    }

    pub(crate) fn usual_wait(&self) -> f64 {
        self.mean(&self.seen.start_wait, self.round)
    }

    /// A run on a worker that warms up tells its speed in the middle of it, against the least it can have.
    pub(crate) fn warmed(&mut self, id: WorkerId, took_s: f64, work: f64) {
        let Some(w) = self.farm.workers.get(&id) else { return };
        let value = (took_s.max(1e-4) / work).ln();
        let ahead = self.kind_ratio(w.info.kind) - value - self.warmth(w, took_s / 2.0).ln();
        let ahead = ahead.clamp(-MOST_AHEAD, MOST_AHEAD);
        self.seen.warming.add(self.now, RECENT, ahead, 1.0);
        self.farm.workers.entry(id).and_modify(|w| w.warming.add(self.now, RECENT, ahead, 1.0));
    }

    /// How long a job would wait at present where nothing is known of a worker's queue.
    pub(crate) fn wait_now(&self) -> f64 {
        self.seen.waits.or(self.now, SOON, TRUST, self.usual_wait())
    }

    /// Slots that the other dispatchers are thought to hold: what they told, and for those that told nothing
    /// lately their part of what was last learnt, fading to the usual.
    pub(crate) fn others(&self, w: &Worker) -> f64 {
        let (told, tellers) = self.notes.held(self.now, gossip::key(w.info.stable_id), self.fleet_run());
        let silent = 1.0 - tellers as f64 / (self.s.scheduler_count as f64 - 1.0).max(1.0);
        told + silent.max(0.0) * self.learnt_of_others(w)
    }

    fn learnt_of_others(&self, w: &Worker) -> f64 {
        // Where crowds are unseen, most are met at warm workers: they tell nothing of those that warm up, to which
        // only some may send in each interval.
        let few_may = !self.tells_crowds() && !scheduler_share::suffice(self.s.scheduler_count);
        let others = self.s.scheduler_count > 1 && !(few_may && self.warmth(w, 0.0) < 1.0);
        let usual = f64::from(u8::from(others))
            * self.seen.busy.or(self.now, SOON, TRUST, 0.5)
            * self.farm.slots_of(w);
        usual + (w.slots.others - usual) * (-(self.now - w.slots.at).max(0.0) / self.fleet_run()).exp()
    }

    /// Slots thought free for this dispatcher; a worker just back from trouble is opened step by step.
    pub(crate) fn free(&self, w: &Worker) -> f64 {
        let keep =
            if self.notes.tellers(self.now) > 0 { (-2.0 * self.round / self.fleet_run()).exp() } else { 1.0 };
        (self.farm.slots_of(w) - keep * (self.others(w) + w.slots.mine)).min(1.0 + w.proven - w.slots.mine)
    }

    /// How full warm workers will be by the next news of them, if all dispatchers fill them evenly.
    pub(crate) fn level(&self) -> f64 {
        let warm = |w: &&Worker| w.suspect.is_none() && self.warmth(w, 0.0) >= 1.0;
        let warm = self.farm.ring.iter().map(|id| &self.farm.workers[id]).filter(warm);
        let loads = warm.map(|w| (w.slots.mine + w.slots.others, self.farm.slots_of(w))).collect();
        water_filling::fill(loads, (self.now - self.farm.told + LIST_AGE) / self.fleet_run())
    }

    /// What a job counts for at a cold worker: no less than others of its class, whatever its hint says.
    pub(crate) fn cold_work(&self, class: usize, work: f64) -> f64 {
        work.max(self.seen.work[class].or(
            self.now,
            KIND_RECENT,
            1.0,
            self.s.classes[class].latency_objective_s,
        ))
    }

    /// What a worker can do, for comparison with others: its size as listed, at the speed it has shown, as far
    /// as it is warm.
    pub(crate) fn size(&self, w: &Worker) -> f64 {
        w.info.weight.max(0.01) * self.warmth(w, 0.0) / self.ratio(w, 2)
    }

    /// Whether a connection to the worker is there from an earlier job.
    pub(crate) fn keeps(&self, w: &Worker) -> bool {
        self.now - w.sent < KEPT * self.s.connection_idle_timeout_s
    }

    /// How many workers there are for each to which a connection is there.
    pub(crate) fn kept(&self) -> f64 {
        let kept = self.offers.iter().filter(|&id| self.keeps(&self.farm.workers[id])).count();
        (self.offers.len() as f64 / kept.max(1) as f64 - 1.0).max(1.0)
    }

    /// This dispatcher's part of a cold worker's budget, if it has one now.
    pub(crate) fn cold_part(&self, w: &Worker) -> Option<f64> {
        let grown = self.warmth(w, self.s.overload_window_s) / self.warmth(w, f64::INFINITY);
        let salt = w.info.started_at_s.to_bits() ^ u64::from(w.info.cell);
        scheduler_share::part(self.s.scheduler_index, self.s.scheduler_count, grown, salt)
    }

    /// Full load where no dispatcher sees it in its own queue: hardly any worker has a slot free.
    pub(crate) fn full_load(&self) -> bool {
        !self.sees() && self.seen.busy.or(self.now, SOON, TRUST, 0.5) > FULL_LOAD
    }

    /// By how many usual runs a job on this object is shorter there than where nothing of it is kept.
    pub(crate) fn saves(&self, object: u64, w: &Worker) -> f64 {
        self.objects.saves(self.now, self.objects.place(object, w.info.stable_id, &w.near))
    }
}
