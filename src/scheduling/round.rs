//! A scheduling round: sorts the queue by priority, gives up requests that are too late, sheds requests while the queue
//! takes too long to clear (Eq. 2 of the paper, see `load_shedding.rs`), and places the rest.
//!
//! The interval between rounds is short compared with the tightest latency objective, and a freed slot triggers an
//! early round. If this scheduler's own traffic shows free slots, a round places requests up to this scheduler's share
//! of the slots in service plus a margin. Otherwise it has no limit of its own and places requests on workers that have
//! just answered a capacity probe. Requests that are not placed stay queued, and their priority grows with the time
//! waited, up to a cap. Requests that are given up or shed are rejected if that is safe, and failed otherwise.

use crate::scheduling::admission::PRIORITY_PENALTY;
use crate::scheduling::capacity_probe::{FREE_SLOT_LIFETIME_S, PROBE_RETRY_S};
use crate::scheduling::identifiers::RequestId;
use crate::scheduling::load_shedding::{QueuedRequest, MAX_OBJECTIVE_STRETCH};
use crate::scheduling::placement::RoundContext;
use crate::scheduling::request_table::TrackedRequest;
use crate::scheduling::state::SchedulerState;

/// Minimum margin, in slots, by which this scheduler's attempts may exceed its share of the slots.
const MIN_EXTRA_SLOTS: f64 = 3.0;
/// A request is placed if the remaining slot budget covers at least this fraction of its slots.
const MIN_SLOT_FRACTION: f64 = 0.5;
/// Minimum delay of the follow-up that a round schedules, as a fraction of the retry interval of capacity probes. A
/// round that another event triggers can run sooner.
const ROUND_PROBE_RETRY_FRACTION: f64 = 0.4;

/// The queue of a round, sorted by descending priority, and the requests to reject or fail.
struct RoundPlan {
    queue: Vec<QueuedRequest>,
    dropped: Vec<RequestId>,
}

impl SchedulerState {
    /// Handles the expiry of a round timer: runs a round if one is due.
    ///
    /// A timer that expires more than one event interval before `next_round_at` is stale, because a sooner round has
    /// run in the meantime, and is ignored.
    pub(crate) fn run_round(&mut self) {
        if self.now < self.next_round_at - self.settings.event_interval_s {
            return;
        }
        self.next_round_at = f64::INFINITY;
        self.requests.prune_queue();
        let RoundPlan { mut queue, mut dropped } = self.plan_round();
        dropped.extend(self.shed_excess(&mut queue));
        for id in dropped {
            self.reject_or_fail(id);
        }
        let context = self.round_context(&queue);
        let mut slot_budget = self.limit_round(&mut queue);
        self.place_queue(queue, context, &mut slot_budget);
        self.requests.prune_queue();
        self.schedule_round(self.round_interval_s.max(ROUND_PROBE_RETRY_FRACTION * PROBE_RETRY_S));
    }

    /// Sorts the queue by priority and splits off the requests that are too late for an answer to have any value.
    ///
    /// A request is late if it would take longer than [`MAX_OBJECTIVE_STRETCH`] times its latency objective even if it
    /// started now on the fastest kind of worker. It is urgent if it is not late but would probably miss its objective
    /// by waiting any longer: its latest start is less than two rounds and a mean start delay away.
    fn plan_round(&self) -> RoundPlan {
        let fastest_ratio = self.fastest_run_time_ratio();
        let mut queue = Vec::with_capacity(self.requests.queue.len());
        let mut dropped = Vec::new();
        for &id in &self.requests.queue {
            let tracked = &self.requests.all[&id];
            let latest_start =
                tracked.first_requested_at + tracked.objective_s - tracked.work * fastest_ratio;
            let is_late = self.now > latest_start + (MAX_OBJECTIVE_STRETCH - 1.0) * tracked.objective_s;
            if is_late && !self.has_value_when_late(tracked) {
                dropped.push(id);
                continue;
            }
            let is_urgent = self.now > latest_start - 2.0 * self.round_interval_s - self.mean_start_delay_s();
            let priority = self.aged_priority(tracked) - if is_late { PRIORITY_PENALTY } else { 0.0 };
            queue.push(QueuedRequest { id, priority, is_urgent: !is_late && is_urgent });
        }
        queue.sort_by(|a, b| b.priority.total_cmp(&a.priority).then(a.id.cmp(&b.id)));
        RoundPlan { queue, dropped }
    }

    /// Ratio of run time to estimated work on the fastest kind of worker.
    fn fastest_run_time_ratio(&self) -> f64 {
        let fleet_log_ratio = self.statistics.log_run_time_ratio.fleet_value_or(self.now, 0.0);
        let kinds = (0..self.fleet.kinds.len()).map(|kind| self.kind_log_ratio(kind));
        kinds.fold(fleet_log_ratio, f64::min).exp()
    }

    /// Whether an answer to a late request still has value. On a full fleet it never does: the request would take a
    /// slot from one that can still meet its objective.
    fn has_value_when_late(&self, tracked: &TrackedRequest) -> bool {
        let class = &self.settings.classes[tracked.request.class];
        !self.is_fleet_full() && class.weight_after_objective > 0.0
    }

    /// Priority plus the time waited as a fraction of the objective, up to 1. Capped because late requests must not
    /// overtake requests that can still meet their objective.
    fn aged_priority(&self, tracked: &TrackedRequest) -> f64 {
        tracked.priority + ((self.now - tracked.first_requested_at) / tracked.objective_s).min(1.0)
    }

    fn round_context(&self, queue: &[QueuedRequest]) -> RoundContext {
        let urgent = queue.iter().filter(|queued| queued.is_urgent).count();
        let fill_level = if self.settings.weights_show_load { self.fill_level() } else { f64::INFINITY };
        RoundContext { is_mostly_urgent: 2 * urgent > queue.len(), fill_level }
    }

    /// Limits the requests or the candidate workers of the round, and returns how many slots its requests may take in
    /// total.
    ///
    /// If this scheduler's own traffic shows free slots, the slots that it reserves are limited to its share of the
    /// slots in service plus a margin, because a request that stays queued can still be sent to any worker. The margin
    /// is one standard deviation of a Poisson count with the share as its mean, but at least [`MIN_EXTRA_SLOTS`]. The
    /// queue of the round is cut to one request for each slot of the budget and one for each ready worker.
    ///
    /// Otherwise the budget is unlimited, and the candidates are the workers that recently answered a capacity probe.
    fn limit_round(&mut self, queue: &mut Vec<QueuedRequest>) -> f64 {
        if self.sees_free_slots() {
            let sums = self.fleet.in_service_slots();
            let slot_share = sums.slots / self.settings.scheduler_count as f64;
            let slot_budget = slot_share + slot_share.sqrt().max(MIN_EXTRA_SLOTS) - sums.reserved_here;
            queue.truncate(slot_budget.max(0.0).ceil() as usize + self.fleet.candidate_order.len());
            slot_budget
        } else {
            let (now, workers) = (self.now, &self.fleet.workers);
            self.candidates.retain(|id| {
                let worker = workers.get(id);
                worker.is_some_and(|worker| now - worker.free_slot_seen_at < FREE_SLOT_LIFETIME_S)
            });
            f64::INFINITY
        }
    }

    /// Places requests until the slot budget is used up, in two passes if any affinity key has preferred workers.
    ///
    /// The first pass skips requests whose data is probably on none of the workers that can take them, whatever their
    /// priority, because a request that has to fetch its data occupies its slot for longer. The second pass gives them
    /// the remaining slots.
    fn place_queue(&mut self, queue: Vec<QueuedRequest>, context: RoundContext, slot_budget: &mut f64) {
        let mut remaining = queue;
        if self.affinity.has_preferred_workers() {
            remaining = self.place_in_order(remaining, context, true, slot_budget);
        }
        self.place_in_order(remaining, context, false, slot_budget);
    }

    /// Places requests in order and ends at the first one that exceeds the slot budget, even if a smaller one behind it
    /// would fit. Returns the requests that the affinity pass defers to the second pass.
    fn place_in_order(
        &mut self,
        queue: Vec<QueuedRequest>,
        context: RoundContext,
        is_affinity_pass: bool,
        slot_budget: &mut f64,
    ) -> Vec<QueuedRequest> {
        let mut deferred = Vec::new();
        for queued in queue {
            let tracked = &self.requests.all[&queued.id];
            let needs_affinity = is_affinity_pass && tracked.uses_affinity;
            let slots = tracked.request.slots;
            let may_probe = self.now >= tracked.next_probe_at;
            if *slot_budget < MIN_SLOT_FRACTION * slots {
                break;
            }
            if let Some(worker) = self.choose_worker(tracked, queued.is_urgent, needs_affinity, context) {
                *slot_budget -= slots;
                self.dispatch(queued.id, worker);
            } else if needs_affinity {
                deferred.push(queued);
            } else if may_probe {
                self.probe_for_capacity(queued.id);
            }
        }
        deferred
    }
}
