//! Placement: chooses the worker for a request, in three steps.
//!
//! 1. Eligibility: `is_eligible` applies the rules that also hold for capacity probes. It excludes draining
//!    workers, workers that could run the request a second time, and workers that the request could make
//!    collapse in slow start. `is_available` also excludes ejected and rejecting workers, workers on
//!    probation, and workers where the request has failed.
//! 2. Score ([`SchedulerState::score`]): ranks the eligible workers; lower is better. Urgent requests prefer
//!    the worker that finishes first, bulk prefers the worker with the most free slots that still meets the
//!    latency objective.
//! 3. Draw ([`draw_best`]): takes the best of a few candidates that are drawn at random, weighted by
//!    `draw_weight`. The draw keeps schedulers apart: all see the same free slots at the same time, so the best
//!    worker for one is the best for all.

use crate::scheduling::action::Action;
use crate::scheduling::affinity::remember_key;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::load_estimate::SMALL_GROUP_SCHEDULERS;
use crate::scheduling::load_shedding::MAX_OBJECTIVE_STRETCH;
use crate::scheduling::random::{seeded_hash, uniform_draw};
use crate::scheduling::request_table::{Attempt, TrackedRequest};
use crate::scheduling::settings::{Idempotency, LoadReportField};
use crate::scheduling::state::SchedulerState;
use crate::scheduling::worker::{Worker, MEDIUM_COMPLEXITY};

/// A request safely meets its latency objective if it finishes within this fraction of its slack. Bulk may be
/// sent to a slower worker only then.
const SAFE_OBJECTIVE_FRACTION: f64 = 0.6;
/// Weight in the bulk score of one average run time saved by affinity; an entirely free worker weighs 1.
const AFFINITY_PREFERENCE: f64 = 5.0;
/// Weight in the bulk score of a run time ratio equal to the fleet's mean; an entirely free worker weighs 1.
const SLOWNESS_PREFERENCE: f64 = 0.1;
/// Bulk score of a worker without free slots. It is negative so that workers that safely meet the objective
/// rank ahead of those that may be late.
const BULK_BASE_SCORE: f64 = -1.0;
/// Multiplier for the estimated time to finish at a worker in another zone.
const OTHER_ZONE_PENALTY: f64 = 1.1;
/// A worker counts as free if at least this fraction of the slots that the request needs is free.
const MIN_FREE_FRACTION: f64 = 0.5;
/// Lower bound of the stability by which a score is divided: low stability raises a score at most tenfold.
const MIN_SCORE_STABILITY: f64 = 0.1;
/// Minimum number of candidates drawn: the power of two choices.
const MIN_SAMPLE_SIZE: usize = 2;
/// Draw weight of a worker at which the request would be queued.
const BUSY_DRAW_WEIGHT: f64 = 0.01;

/// State shared by all placements of a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundContext {
    /// Whether most of the queued requests are urgent.
    pub is_mostly_urgent: bool,
    /// Expected fill level of the workers by the next endpoint list (reserved slots over slots); infinite if
    /// listed weights do not show load.
    pub fill_level: f64,
}

/// Inputs of a placement that are the same for all workers.
struct PlacementContext {
    round: RoundContext,
    is_urgent: bool,
    /// Whether only workers that probably have the request's data are considered.
    needs_affinity: bool,
    /// Time left until the latency objective, in seconds.
    slack_s: f64,
    /// Whether to exclude workers that answered an attempt of the request with an error. Set only while there
    /// are other candidates.
    avoids_failed_workers: bool,
    /// Queueing time assumed at a worker whose queue is unknown, in seconds.
    default_queue_s: f64,
    /// Draw weight of a worker in this scheduler's zone. The zone as a whole weighs as much as all other
    /// zones together.
    own_zone_weight: f64,
    /// Draw weight of a worker with a pooled connection. Together these workers weigh as much as all others.
    pooled_connection_weight: f64,
}

/// Estimates for a request at one candidate worker.
struct PlacementEstimate {
    /// Estimated number of free slots.
    free_slots: f64,
    /// Slots that remain below the fill level of the round; negative above it.
    slots_below_level: f64,
    /// Whether slots and memory for the request are estimated free.
    has_free_capacity: bool,
    /// Whether memory for the request is estimated free.
    has_memory: bool,
    is_in_slow_start: bool,
    zone_penalty: f64,
    zone_weight: f64,
    /// Run time saved by affinity, in multiples of the mean run time.
    affinity_saving: f64,
    /// Estimated time until the request finishes, in seconds, including the zone penalty.
    time_to_finish_s: f64,
}

/// A worker that a request may be sent to.
pub(crate) struct Candidate {
    pub worker: WorkerId,
    /// Lower is better.
    pub score: f64,
    /// Weight in the random draw; a candidate with infinite weight is always drawn.
    pub draw_weight: f64,
}

impl SchedulerState {
    /// Chooses a worker for a request, or returns `None` if the request should stay queued.
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
        let sample_size =
            (SMALL_GROUP_SCHEDULERS * self.candidates.len()).div_ceil(self.settings.scheduler_count);
        let request_seed = self.seed ^ u64::from(tracked.request.id.0);
        draw_best(candidates, sample_size.max(MIN_SAMPLE_SIZE), |id| {
            uniform_draw(seeded_hash(request_seed, id))
        })
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
            avoids_failed_workers: class.required_kind.is_none()
                && self.candidates.len() > tracked.attempts.len(),
            default_queue_s: if self.detects_overload() { 0.0 } else { self.recent_start_delay_s() },
            own_zone_weight: other_zones as f64,
            pooled_connection_weight: self.candidates_per_pooled_connection(),
        }
    }

    // ---- Eligibility ----

    /// Whether the worker may be sent the request at all. Draining workers are sent nothing, even within the
    /// drain grace period (`drain_grace_s`).
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
        self.may_resend_to(tracked, worker)
            && self.slow_start_allows(worker, tracked.request.class, tracked.work)
    }

    /// Whether the worker is eligible, in service and not to be avoided for this request.
    fn is_available(&self, tracked: &TrackedRequest, worker: &Worker, context: &PlacementContext) -> bool {
        let id = worker.info.id;
        let has_failed_there =
            tracked.attempts.iter().any(|attempt| attempt.worker == id && attempt.has_failed());
        if context.avoids_failed_workers && has_failed_there {
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

    /// Returns the worker with its score and draw weight, or `None` if the request should rather stay queued.
    fn candidate(
        &self,
        tracked: &TrackedRequest,
        worker: &Worker,
        context: &PlacementContext,
    ) -> Option<Candidate> {
        let estimate = self.estimate_placement(tracked, worker, context);
        if context.needs_affinity && estimate.affinity_saving <= 0.0 {
            return None;
        }
        if !estimate.has_free_capacity && !self.may_queue_at(tracked, worker, &estimate, context) {
            return None;
        }
        Some(Candidate {
            worker: worker.info.id,
            score: self.score(worker, &estimate, context),
            draw_weight: self.draw_weight(worker, &estimate, context),
        })
    }

    fn estimate_placement(
        &self,
        tracked: &TrackedRequest,
        worker: &Worker,
        context: &PlacementContext,
    ) -> PlacementEstimate {
        let request = &tracked.request;
        let free_slots = self.free_slots(worker);
        let slots_below_level = context.round.fill_level * self.fleet.slots_of(worker)
            - worker.slots.reserved_here
            - worker.slots.reserved_by_others;
        let has_memory = has_memory(tracked, worker);
        let is_in_slow_start = self.is_in_slow_start(worker);
        let is_own_zone = worker.info.zone == self.settings.zone;
        let zone_penalty = if is_own_zone { 1.0 } else { OTHER_ZONE_PENALTY };
        let affinity_key = request.affinity_key.filter(|_| tracked.uses_affinity);
        let affinity_saving = affinity_key.map_or(0.0, |key| self.affinity_saving(key, worker));
        let queue_s = self.queue_s(request.slots - free_slots, worker, is_in_slow_start, context);
        let saved_s = affinity_saving * self.mean_run_time_s();
        let time_to_finish_s =
            (queue_s + self.run_time_s(worker, tracked.work) - saved_s).max(0.0) * zone_penalty;
        PlacementEstimate {
            free_slots,
            slots_below_level,
            has_free_capacity: has_memory
                && self.has_free_slots(request.slots, worker, free_slots, slots_below_level),
            has_memory,
            is_in_slow_start,
            zone_penalty,
            zone_weight: if is_own_zone { context.own_zone_weight } else { 1.0 },
            affinity_saving,
            time_to_finish_s,
        }
    }

    /// Estimated time that the request is queued at a worker that lacks this many slots, in seconds.
    fn queue_s(
        &self,
        missing_slots: f64,
        worker: &Worker,
        is_in_slow_start: bool,
        context: &PlacementContext,
    ) -> f64 {
        let queue_s = missing_slots.max(0.0) * self.mean_run_time_s() / self.fleet.slots_of(worker);
        queue_s.max(if is_in_slow_start { 0.0 } else { context.default_queue_s })
    }

    /// Whether the worker is estimated to have free slots. Where listed weights show load, a worker below the
    /// fill level takes one request of this scheduler in addition to those of other schedulers. Where capacity
    /// probes are the only source of load figures, every candidate counts as free, because it has just answered
    /// one.
    fn has_free_slots(
        &self,
        needed_slots: f64,
        worker: &Worker,
        free_slots: f64,
        slots_below_level: f64,
    ) -> bool {
        let is_below_level = !self.settings.weights_show_load || slots_below_level > 0.0;
        if !is_below_level {
            return false;
        }
        let is_first_of_scheduler = self.settings.weights_show_load && worker.slots.reserved_here < 1.0;
        is_first_of_scheduler || self.relies_on_probes() || free_slots >= MIN_FREE_FRACTION * needed_slots
    }

    /// Whether the request may be sent to a worker without free capacity, where it is queued. It may not if
    /// it would be late there and lose its value.
    fn may_queue_at(
        &self,
        tracked: &TrackedRequest,
        worker: &Worker,
        estimate: &PlacementEstimate,
        context: &PlacementContext,
    ) -> bool {
        let class = &self.settings.classes[tracked.request.class];
        let is_late = estimate.time_to_finish_s > MAX_OBJECTIVE_STRETCH * context.slack_s;
        if is_late && class.weight_after_objective <= 0.0 {
            return false;
        }
        if self.sees_free_slots() {
            return worker.attempts_not_started == 0 && context.is_urgent;
        }
        let reports_queue = self.settings.load_report_fields.contains(&LoadReportField::Queue);
        let safely_meets_objective = estimate.time_to_finish_s < SAFE_OBJECTIVE_FRACTION * context.slack_s;
        estimate.has_memory && reports_queue && safely_meets_objective && tracked.probe_rounds > 0
    }

    /// Returns the score of a worker; lower is better.
    ///
    /// The score is the estimated time to finish, raised by low stability. Bulk that safely meets its
    /// objective prefers the worker with the most free slots instead, and among equally free workers the
    /// fastest. Speed is ignored where overload cannot be detected: all schedulers would converge on the fast
    /// workers, which the draw already favors.
    fn score(&self, worker: &Worker, estimate: &PlacementEstimate, context: &PlacementContext) -> f64 {
        let score = estimate.time_to_finish_s / worker.stability.max(MIN_SCORE_STABILITY);
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
        let free_fraction = estimate.free_slots / self.fleet.slots_of(worker) / estimate.zone_penalty;
        BULK_BASE_SCORE - free_fraction + SLOWNESS_PREFERENCE * slowness
            - AFFINITY_PREFERENCE * estimate.affinity_saving
    }

    // ---- Draw ----

    /// Weight of a worker with free capacity in the random draw. Where listed weights show load, it is the
    /// worker's slots below the fill level, weighted by zone. Otherwise it is equal for all workers if overload
    /// can be detected, and depends on relative capacity, zone and pooled connection if not. A worker in slow
    /// start is always drawn, as its allowance already limits the requests sent there.
    fn draw_weight(&self, worker: &Worker, estimate: &PlacementEstimate, context: &PlacementContext) -> f64 {
        if !estimate.has_free_capacity {
            return BUSY_DRAW_WEIGHT;
        }
        if estimate.is_in_slow_start {
            return f64::INFINITY;
        }
        if self.settings.weights_show_load {
            return estimate.slots_below_level * estimate.zone_weight;
        }
        if self.detects_overload() {
            return 1.0;
        }
        let connection_weight =
            if self.has_pooled_connection(worker) { context.pooled_connection_weight } else { 1.0 };
        self.relative_capacity(worker) * estimate.zone_weight * connection_weight
    }

    // ---- Dispatch ----

    /// Sends the request to the worker and reserves the capacity that it needs there.
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
        worker.reserve_capacity(&tracked.request, !starts_reported);
        worker.last_dispatched_at = self.now;
        let (class, work) = (tracked.request.class, tracked.work);
        self.count_sent_work(worker_id, class, work);
        self.emit(Action::Dispatch { request: id, worker: worker_id });
    }
}

/// Whether the request fits the worker's free memory, or this scheduler has nothing reserved there.
fn has_memory(tracked: &TrackedRequest, worker: &Worker) -> bool {
    let memory = &worker.memory;
    let free = memory.total - memory.reserved_by_others - memory.reserved_here;
    tracked.request.memory <= free || memory.reserved_here == 0.0
}

/// Returns the best of a weighted sample of the candidates, drawn without replacement (`draw` is uniform over
/// (0, 1]). Candidates with infinite weight are added to the sample and do not count toward its size.
pub(crate) fn draw_best(
    mut candidates: Vec<Candidate>,
    sample_size: usize,
    draw: impl Fn(WorkerId) -> f64,
) -> Option<WorkerId> {
    let always_drawn = candidates.iter().filter(|candidate| candidate.draw_weight.is_infinite()).count();
    let sample_size = sample_size + always_drawn;
    if candidates.len() > sample_size {
        let sort_key = |candidate: &Candidate| -draw(candidate.worker).ln() / candidate.draw_weight;
        let mut keyed: Vec<_> =
            candidates.into_iter().map(|candidate| (sort_key(&candidate), candidate)).collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
        candidates = keyed.into_iter().take(sample_size).map(|(_, candidate)| candidate).collect();
    }
    let best = candidates.iter().min_by(|a, b| a.score.total_cmp(&b.score));
    best.map(|candidate| candidate.worker)
}
