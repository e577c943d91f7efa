//! A scheduling round: queued requests are ordered, those that are too late given up, and the rest placed as far as slots go.
//!
//! Rounds come in short intervals against the tightest latency objective, and early when a slot becomes free. A round
//! takes from the top of the queue as many requests as known free slots hold; what is not placed stays and gains
//! priority.

use crate::scheduling::admission::DEPRIORITIZATION;
use crate::scheduling::capacity_probe::{FREE_SLOT_LIFETIME_S, PROBE_RETRY_S};
use crate::scheduling::identifiers::RequestId;
use crate::scheduling::load_shedding::{QueuedRequest, MAX_OBJECTIVE_STRETCH};
use crate::scheduling::placement::RoundContext;
use crate::scheduling::request_table::TrackedRequest;
use crate::scheduling::state::SchedulerState;

/// Attempts in flight beyond this scheduler's share of the slots, at the least.
const MIN_EXTRA_ATTEMPTS: f64 = 3.0;
/// A request is placed while the room left is at least this part of what it needs.
const MIN_ROOM_PART: f64 = 0.5;
/// The next round comes after this part of the time until more capacity probes may be sent, or later.
const ROUND_PER_PROBE_RETRY: f64 = 0.4;

/// The queue of a round, in order of priority, and the requests that are given up.
struct RoundPlan {
    queue: Vec<QueuedRequest>,
    given_up: Vec<RequestId>,
}

impl SchedulerState {
    /// Runs a round, unless the timer is an earlier one than the one that counts.
    pub(crate) fn run_round(&mut self) {
        if self.now < self.next_round_at - self.settings.event_interval_s {
            return;
        }
        self.next_round_at = f64::INFINITY;
        self.requests.drop_placed();
        let RoundPlan { mut queue, mut given_up } = self.plan_round();
        given_up.extend(self.shed_excess(&mut queue));
        for id in given_up {
            self.give_final_answer(id);
        }
        let context = self.round_context(&queue);
        let mut room = self.prepare_candidates(&mut queue);
        self.place_queue(queue, context, &mut room);
        self.requests.drop_placed();
        self.schedule_round(self.round_interval_s.max(ROUND_PER_PROBE_RETRY * PROBE_RETRY_S));
    }

    /// Orders the queue by priority, and gives up what is too late to earn anything.
    fn plan_round(&self) -> RoundPlan {
        let fastest_ratio = self.fastest_run_time_ratio();
        let mut queue = Vec::with_capacity(self.requests.queue.len());
        let mut given_up = Vec::new();
        for &id in &self.requests.queue {
            let tracked = &self.requests.all[&id];
            let latest_start = tracked.first_asked_at + tracked.objective_s - tracked.work * fastest_ratio;
            let is_late = self.now > latest_start + (MAX_OBJECTIVE_STRETCH - 1.0) * tracked.objective_s;
            if is_late && !self.may_earn_late(tracked) {
                given_up.push(id);
                continue;
            }
            let is_urgent = self.now > latest_start - 2.0 * self.round_interval_s - self.mean_start_delay_s();
            let priority = self.aged_priority(tracked) - if is_late { DEPRIORITIZATION } else { 0.0 };
            queue.push(QueuedRequest { id, priority, is_urgent: !is_late && is_urgent });
        }
        queue.sort_by(|a, b| b.priority.total_cmp(&a.priority).then(a.id.cmp(&b.id)));
        RoundPlan { queue, given_up }
    }

    /// The ratio of run time to work of the fastest kind of worker.
    fn fastest_run_time_ratio(&self) -> f64 {
        let fleet_log_ratio = self.statistics.log_run_time_ratio.fleet_value_or(self.now, 0.0);
        let kinds = (0..self.fleet.kinds.len()).map(|kind| self.kind_log_ratio(kind));
        kinds.fold(fleet_log_ratio, f64::min).exp()
    }

    /// Whether an answer after the stretched objective still earns something. On a full fleet it would only take a slot.
    fn may_earn_late(&self, tracked: &TrackedRequest) -> bool {
        let class = &self.settings.classes[tracked.request.class];
        !self.is_fleet_full() && class.weight_after_objective > 0.0
    }

    /// Priority plus one for each objective waited, up to one: late requests must not overtake those that can still meet
    /// their objective.
    fn aged_priority(&self, tracked: &TrackedRequest) -> f64 {
        tracked.priority + ((self.now - tracked.first_asked_at) / tracked.objective_s).min(1.0)
    }

    fn round_context(&self, queue: &[QueuedRequest]) -> RoundContext {
        let urgent = queue.iter().filter(|queued| queued.is_urgent).count();
        let fill_level = if self.settings.weights_show_load { self.fill_level() } else { f64::INFINITY };
        RoundContext { is_mostly_urgent: 2 * urgent > queue.len(), fill_level }
    }

    /// Limits the round to the requests that may be placed, and returns the slots that they may take in all.
    ///
    /// Where own traffic shows free slots, this scheduler has no more attempts in flight than its share of the slots and
    /// a standard deviation: what is queued here can still choose. Else the candidates are the workers that answered a
    /// capacity probe just now.
    fn prepare_candidates(&mut self, queue: &mut Vec<QueuedRequest>) -> f64 {
        if self.sees_free_slots() {
            let sums = self.fleet.in_service_slots();
            let share = sums.slots / self.settings.scheduler_count as f64;
            let room = share + share.sqrt().max(MIN_EXTRA_ATTEMPTS) - sums.reserved_here;
            queue.truncate(room.max(0.0).ceil() as usize + self.fleet.candidate_order.len());
            room
        } else {
            let (now, workers) = (self.now, &self.fleet.workers);
            self.candidates.retain(|id| {
                let worker = workers.get(id);
                worker.is_some_and(|worker| now - worker.free_slot_seen_at < FREE_SLOT_LIFETIME_S)
            });
            f64::INFINITY
        }
    }

    /// Places requests while there is room.
    ///
    /// First come requests for which a worker with room probably has the data, whoever waits before them: a request that
    /// has to fetch it holds its slot for longer. The slots that are left go to the others.
    fn place_queue(&mut self, queue: Vec<QueuedRequest>, context: RoundContext, room: &mut f64) {
        let mut remaining = queue;
        if self.affinity.has_preferred_workers() {
            remaining = self.place_in_order(remaining, context, true, room);
        }
        self.place_in_order(remaining, context, false, room);
    }

    /// Places requests in order until there is no room. Returns those that were left for a second pass because no worker
    /// has their data.
    fn place_in_order(
        &mut self,
        queue: Vec<QueuedRequest>,
        context: RoundContext,
        is_affinity_pass: bool,
        room: &mut f64,
    ) -> Vec<QueuedRequest> {
        let mut left = Vec::new();
        for queued in queue {
            let tracked = &self.requests.all[&queued.id];
            let needs_affinity = is_affinity_pass && tracked.uses_affinity;
            let slots = tracked.request.slots;
            let may_probe = self.now >= tracked.next_probe_at;
            if *room < MIN_ROOM_PART * slots {
                break;
            }
            if let Some(worker) = self.choose_worker(tracked, queued.is_urgent, needs_affinity, context) {
                *room -= slots;
                self.dispatch(queued.id, worker);
            } else if needs_affinity {
                left.push(queued);
            } else if may_probe {
                self.probe_for_capacity(queued.id);
            }
        }
        left
    }
}
