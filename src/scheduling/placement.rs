//! Placement: which worker a request goes to, in three steps.
//!
//! 1. Eligibility: `is_eligible` has the rules of the service, for capacity probes too: no draining worker, none that could run
//!    the request twice or collapse in slow start. `is_available` also leaves out ejected and rejecting workers, those on
//!    probation, and those that failed the request.
//! 2. Score ([`SchedulerState::score`]): how good an eligible worker is; less is better. Urgent requests go to the worker
//!    that finishes first, bulk to the roomiest that still meets the objective.
//! 3. Draw ([`draw_best`]): the best of a few candidates that are drawn at random by their room. All schedulers know of
//!    the same free slots at the same time: the best worker for one is the best for all.

use crate::scheduling::action::Action;
use crate::scheduling::affinity::remember_key;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::load_estimate::FEW_SCHEDULERS;
use crate::scheduling::load_shedding::MAX_OBJECTIVE_STRETCH;
use crate::scheduling::random::{seeded_hash, uniform_draw};
use crate::scheduling::request_table::{Attempt, TrackedRequest};
use crate::scheduling::settings::{Idempotency, LoadReportField};
use crate::scheduling::state::SchedulerState;
use crate::scheduling::worker::{Worker, MEDIUM_COMPLEXITY};

/// Bulk takes a slower worker while it finishes within this fraction of the time left to the objective.
const SAFE_OBJECTIVE_FRACTION: f64 = 0.6;
/// For bulk, a mean run saved by affinity outweighs this many times a worker's whole room.
const AFFINITY_PREFERENCE: f64 = 5.0;
/// For bulk, a run time ratio of the fleet's mean weighs as much as this part of a worker's whole room.
const SLOWNESS_PREFERENCE: f64 = 0.1;
/// For bulk, the score of a worker without room; all of them are below the score of any late worker.
const BULK_BASE_SCORE: f64 = -1.0;
/// A worker in another zone counts as this much slower.
const OTHER_ZONE_PENALTY: f64 = 1.1;
/// A worker counts as free if this part of the slots that the request needs is.
const MIN_FREE_PART: f64 = 0.5;
/// A low stability raises a score tenfold at the most.
const MIN_SCORE_STABILITY: f64 = 0.1;
/// Candidates drawn at the least: the power of two choices.
const MIN_SAMPLE: usize = 2;
/// The weight in the draw of a worker where the request must wait.
const BUSY_DRAW_WEIGHT: f64 = 0.01;

/// What holds for all requests of a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundContext {
    /// Most of the queue is urgent.
    pub is_mostly_urgent: bool,
    /// How full workers will be by the next list (held slots over slots); infinite where the list shows no load.
    pub fill_level: f64,
}

/// What a placement goes by, the same for all workers.
struct PlacementContext {
    round: RoundContext,
    is_urgent: bool,
    /// Only a worker that probably has the request's data is taken.
    needs_affinity: bool,
    /// Time left to the objective, in seconds.
    slack_s: f64,
    /// A worker that answered an attempt of the request with an error is left out: there are others.
    avoids_failed: bool,
    /// How long a request is queued at a worker whose queue is not known, in seconds.
    unknown_queue_s: f64,
    /// Weight in the draw of a worker in the own zone: the zone as a whole weighs as much as all others.
    own_zone_weight: f64,
    /// Weight in the draw of a worker with a pooled connection: as a whole they weigh as much as all others.
    pooled_connection_weight: f64,
}

/// What one worker would be for the request.
struct Outlook {
    /// Slots estimated free.
    free_slots: f64,
    /// Slots below the fill level of the round.
    slots_below_level: f64,
    /// It is known to have room.
    is_known_free: bool,
    /// It has the memory, as far as is known.
    has_memory: bool,
    is_in_slow_start: bool,
    zone_penalty: f64,
    zone_weight: f64,
    /// What affinity saves, in mean runs.
    affinity_saving: f64,
    /// Until the request is done there, in seconds, with the zone's penalty.
    finish_s: f64,
}

/// A worker that a request may go to.
pub(crate) struct Candidate {
    pub worker: WorkerId,
    /// How good it is; less is better.
    pub score: f64,
    /// How likely it is drawn; one with infinite weight always is.
    pub draw_weight: f64,
}

impl SchedulerState {
    /// Chooses a worker for a request, or none: then it stays queued.
    pub(crate) fn choose_worker(
        &self,
        tracked: &TrackedRequest,
        is_urgent: bool,
        needs_affinity: bool,
        round: RoundContext,
    ) -> Option<WorkerId> {
        let context = self.placement_context(tracked, is_urgent, needs_affinity, round);
        let mut candidates = Vec::with_capacity(self.candidates.len());
        for &id in &self.candidates {
            let worker = &self.fleet.workers[&id];
            if self.is_available(tracked, worker, &context) {
                candidates.extend(self.candidate(tracked, worker, &context));
            }
        }
        let sample = (FEW_SCHEDULERS * self.candidates.len()).div_ceil(self.settings.scheduler_count);
        let request_seed = self.seed ^ u64::from(tracked.request.id.0);
        draw_best(candidates, sample.max(MIN_SAMPLE), |id| uniform_draw(seeded_hash(request_seed, id)))
    }

    fn placement_context(
        &self,
        tracked: &TrackedRequest,
        is_urgent: bool,
        needs_affinity: bool,
        round: RoundContext,
    ) -> PlacementContext {
        let class = &self.settings.classes[tracked.request.class];
        let other_zones = self.settings.zones.len().saturating_sub(1).max(1);
        PlacementContext {
            round,
            is_urgent,
            needs_affinity,
            slack_s: (tracked.objective_ends_at() - self.now).max(self.round_interval_s),
            avoids_failed: class.required_kind.is_none() && self.candidates.len() > tracked.attempts.len(),
            unknown_queue_s: if self.detects_overload() { 0.0 } else { self.recent_start_delay_s() },
            own_zone_weight: other_zones as f64,
            pooled_connection_weight: self.candidates_per_pooled_connection(),
        }
    }

    // ---- Eligibility ----

    /// Whether a worker may be sent the request at all. Draining workers get nothing, even within the drain
    /// grace (`drain_grace_s`).
    pub(crate) fn is_eligible(&self, tracked: &TrackedRequest, worker: &Worker) -> bool {
        if !tracked.is_open() || self.now >= tracked.request.deadline {
            return false;
        }
        if tracked.attempts.len() >= self.settings.max_attempts {
            return false;
        }
        let must_not_hedge = tracked.has_attempt_in_flight() && !self.settings.hedging_allowed;
        if must_not_hedge || tracked.is_in_flight_at(worker.info.id) {
            return false;
        }
        let required_kind = self.settings.classes[tracked.request.class].required_kind;
        if required_kind.is_some_and(|kind| kind != worker.info.kind) || !worker.is_ready() {
            return false;
        }
        self.may_repeat_at(tracked, worker)
            && self.slow_start_allows(worker, tracked.request.class, tracked.work)
    }

    /// Whether an eligible worker is in service and not to be avoided for this request.
    fn is_available(&self, tracked: &TrackedRequest, worker: &Worker, context: &PlacementContext) -> bool {
        let id = worker.info.id;
        let has_failed_there =
            tracked.attempts.iter().any(|attempt| attempt.worker == id && attempt.has_failed());
        if context.avoids_failed && has_failed_there {
            return false;
        }
        let must_be_safe = self.idempotency_of(tracked) != Idempotency::Idempotent;
        if worker.is_on_probation() && must_be_safe {
            return false;
        }
        if self.now < worker.rejecting_until || worker.is_ejected() {
            return false;
        }
        self.is_eligible(tracked, worker)
    }

    // ---- Score ----

    /// The worker with its score and its weight in the draw, unless the request had better stay queued.
    fn candidate(
        &self,
        tracked: &TrackedRequest,
        worker: &Worker,
        context: &PlacementContext,
    ) -> Option<Candidate> {
        let outlook = self.outlook(tracked, worker, context);
        if context.needs_affinity && outlook.affinity_saving <= 0.0 {
            return None;
        }
        if !outlook.is_known_free && !self.may_wait_there(tracked, worker, &outlook, context) {
            return None;
        }
        Some(Candidate {
            worker: worker.info.id,
            score: self.score(worker, &outlook, context),
            draw_weight: self.draw_weight(worker, &outlook, context),
        })
    }

    fn outlook(&self, tracked: &TrackedRequest, worker: &Worker, context: &PlacementContext) -> Outlook {
        let request = &tracked.request;
        let free_slots = self.free_slots(worker);
        let slots_below_level = context.round.fill_level * self.fleet.slots_of(worker)
            - worker.slots.held_here
            - worker.slots.held_by_others;
        let has_memory = has_memory(tracked, worker);
        let is_in_slow_start = self.is_in_slow_start(worker);
        let is_own_zone = worker.info.zone == self.settings.zone;
        let zone_penalty = if is_own_zone { 1.0 } else { OTHER_ZONE_PENALTY };
        let affinity_key = request.affinity_key.filter(|_| tracked.uses_affinity);
        let affinity_saving = affinity_key.map_or(0.0, |key| self.affinity_saving(key, worker));
        let queue_s = self.queue_s(request.slots - free_slots, worker, is_in_slow_start, context);
        let saved_s = affinity_saving * self.mean_run_time_s();
        let finish_s = (queue_s + self.run_time_s(worker, tracked.work) - saved_s).max(0.0) * zone_penalty;
        Outlook {
            free_slots,
            slots_below_level,
            is_known_free: has_memory && self.has_room(request.slots, worker, free_slots, slots_below_level),
            has_memory,
            is_in_slow_start,
            zone_penalty,
            zone_weight: if is_own_zone { context.own_zone_weight } else { 1.0 },
            affinity_saving,
            finish_s,
        }
    }

    /// How long the request is queued at a worker that lacks this many slots, in seconds.
    fn queue_s(
        &self,
        missing_slots: f64,
        worker: &Worker,
        is_in_slow_start: bool,
        context: &PlacementContext,
    ) -> f64 {
        let queue_s = missing_slots.max(0.0) * self.mean_run_time_s() / self.fleet.slots_of(worker);
        queue_s.max(if is_in_slow_start { 0.0 } else { context.unknown_queue_s })
    }

    /// Whether a worker is known to have room. Where the list shows load, one below the level has room for a request from
    /// here, beside what the others send there.
    fn has_room(&self, needed_slots: f64, worker: &Worker, free_slots: f64, slots_below_level: f64) -> bool {
        let is_below_level = !self.settings.weights_show_load || slots_below_level > 0.0;
        if !is_below_level {
            return false;
        }
        let is_first_from_here = self.settings.weights_show_load && worker.slots.held_here < 1.0;
        is_first_from_here || self.relies_on_probes() || free_slots >= MIN_FREE_PART * needed_slots
    }

    /// Whether a request may go where it has to wait. What is not free must not queue only to be late.
    fn may_wait_there(
        &self,
        tracked: &TrackedRequest,
        worker: &Worker,
        outlook: &Outlook,
        context: &PlacementContext,
    ) -> bool {
        let class = &self.settings.classes[tracked.request.class];
        let is_late = outlook.finish_s > MAX_OBJECTIVE_STRETCH * context.slack_s;
        if is_late && class.weight_after_objective <= 0.0 {
            return false;
        }
        if self.sees_free_slots() {
            return worker.attempts_not_started == 0 && context.is_urgent;
        }
        let reports_queue = self.settings.load_report_fields.contains(&LoadReportField::Queue);
        let is_safely_in_time = outlook.finish_s < SAFE_OBJECTIVE_FRACTION * context.slack_s;
        outlook.has_memory && reports_queue && is_safely_in_time && tracked.probe_rounds > 0
    }

    /// How good a worker is; less is better.
    ///
    /// The time to finish, raised by a low stability. Bulk, which safely meets its objective there, goes to the roomiest
    /// worker instead, and of these to the faster one; but not where overload is not seen: there all would meet at the
    /// fast ones, which the draw prefers already.
    fn score(&self, worker: &Worker, outlook: &Outlook, context: &PlacementContext) -> f64 {
        let score = outlook.finish_s / worker.stability.max(MIN_SCORE_STABILITY);
        let is_bulk = !context.is_urgent
            && !context.round.is_mostly_urgent
            && score < SAFE_OBJECTIVE_FRACTION * context.slack_s;
        if !is_bulk {
            return score;
        }
        let slowness = if self.detects_overload() {
            self.run_time_ratio(worker, MEDIUM_COMPLEXITY) / self.fleet_run_time_ratio()
        } else {
            0.0
        };
        let free_fraction = outlook.free_slots / self.fleet.slots_of(worker) / outlook.zone_penalty;
        BULK_BASE_SCORE - free_fraction + SLOWNESS_PREFERENCE * slowness
            - AFFINITY_PREFERENCE * outlook.affinity_saving
    }

    // ---- Draw ----

    /// How likely a worker is drawn: by its room as far as that is known, else by its size, zone and pooled connection. A
    /// worker in slow start always is: its allowance limits what it gets.
    fn draw_weight(&self, worker: &Worker, outlook: &Outlook, context: &PlacementContext) -> f64 {
        if !outlook.is_known_free {
            return BUSY_DRAW_WEIGHT;
        }
        if outlook.is_in_slow_start {
            return f64::INFINITY;
        }
        if self.settings.weights_show_load {
            return outlook.slots_below_level * outlook.zone_weight;
        }
        if self.detects_overload() {
            return 1.0;
        }
        let connection_weight =
            if self.has_pooled_connection(worker) { context.pooled_connection_weight } else { 1.0 };
        self.relative_capacity(worker) * outlook.zone_weight * connection_weight
    }

    // ---- Dispatch ----

    /// Sends the request to the worker, and counts what it holds there.
    pub(crate) fn dispatch(&mut self, id: RequestId, worker_id: WorkerId) {
        let Some(tracked) = self.requests.all.get_mut(&id) else { return };
        let Some(worker) = self.fleet.workers.get_mut(&worker_id) else { return };
        let starts_reported = self.settings.starts_reported;
        tracked.queued = false;
        let affinity_key = tracked.request.affinity_key;
        let locality = affinity_key
            .map(|key| self.affinity.locality(key, worker.info.stable_id, &worker.recent_affinity_keys));
        if let Some(key) = affinity_key {
            remember_key(&mut worker.recent_affinity_keys, key);
        }
        tracked.attempts.push(Attempt::new(worker_id, self.now, starts_reported, locality));
        worker.hold_capacity(&tracked.request, !starts_reported);
        worker.last_dispatched_at = self.now;
        let (class, work) = (tracked.request.class, tracked.work);
        self.count_sent_work(worker_id, class, work);
        self.emit(Action::Dispatch { request: id, worker: worker_id });
    }
}

/// Whether the request fits a worker's memory, or nothing of this scheduler is there.
fn has_memory(tracked: &TrackedRequest, worker: &Worker) -> bool {
    let memory = &worker.memory;
    let free = memory.total - memory.held_by_others - memory.held_here;
    tracked.request.memory <= free || memory.held_here == 0.0
}

/// The best of a sample of candidates, drawn without replacement by their weights (`draw` is uniform over (0, 1]).
/// Candidates of infinite weight come on top of the sample.
pub(crate) fn draw_best(
    mut candidates: Vec<Candidate>,
    sample: usize,
    draw: impl Fn(WorkerId) -> f64,
) -> Option<WorkerId> {
    let certain = candidates.iter().filter(|candidate| candidate.draw_weight.is_infinite()).count();
    let sample = sample + certain;
    if candidates.len() > sample {
        let sort_key = |candidate: &Candidate| -draw(candidate.worker).ln() / candidate.draw_weight;
        let mut keyed: Vec<_> =
            candidates.into_iter().map(|candidate| (sort_key(&candidate), candidate)).collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
        candidates = keyed.into_iter().take(sample).map(|(_, candidate)| candidate).collect();
    }
    let best = candidates.iter().min_by(|a, b| a.score.total_cmp(&b.score));
    best.map(|candidate| candidate.worker)
}
