//! Capacity probes: which workers are asked for a free slot, and what their answers mean.
//!
//! Where own traffic does not show free slots, a request sends probes to the next few workers in this scheduler's order,
//! those of its own zone first, and again after ever longer delays. A worker that answers at once has a free slot and is
//! a candidate for a moment. The same probe is the health check of an ejected worker.

use crate::scheduling::action::Action;
use crate::scheduling::decaying_mean::LOAD_TIME_CONSTANT_S;
use crate::scheduling::endpoint::LoadReport;
use crate::scheduling::fleet::SlotEstimate;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::request::AttemptOutcome;
use crate::scheduling::request_table::TrackedRequest;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::worker::Worker;

/// Workers that are probed at a time.
const PROBES_PER_ROUND: usize = 2;
/// A queued request probes other workers after this, then after ever longer delays.
pub(crate) const PROBE_RETRY_S: f64 = 0.025;
/// By this factor the delay grows.
const PROBE_RETRY_GROWTH: f64 = 1.5;
/// A slot that was reported free counts as free for this long.
pub(crate) const FREE_SLOT_LIFETIME_S: f64 = 0.05;
/// An answer takes no longer than this if it did not wait for a slot.
pub(crate) const IMMEDIATE_ANSWER_S: f64 = 0.02;
/// A load report in the answer to a probe is fresh: it replaces the estimate.
const FRESH_LOAD_WEIGHT: f64 = 1.0;

/// A worker to be probed, and its position after the one where this round of probes began.
struct ProbeTarget {
    step: usize,
    worker: WorkerId,
}

impl SchedulerState {
    /// Sends a round of probes for a request, where own traffic does not show free slots.
    pub(crate) fn probe_for_capacity(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.all.get(&id) else { return };
        if self.sees_free_slots() {
            return;
        }
        let targets = self.probe_targets(tracked);
        let workers = self.fleet.candidate_order.len().max(1);
        let steps = targets.last().map_or(0, |last| last.step + 1);
        self.next_probe_position = (self.next_probe_position + steps) % workers;
        for target in targets {
            if let Some(worker) = self.fleet.workers.get_mut(&target.worker) {
                worker.probe_sent_at = self.now;
            }
            self.emit(Action::Probe(target.worker));
        }
        let Some(tracked) = self.requests.all.get_mut(&id) else { return };
        let is_repeated = tracked.probe_rounds > 0;
        tracked.next_probe_at = self.now + PROBE_RETRY_S * PROBE_RETRY_GROWTH.powi(tracked.probe_rounds);
        tracked.probe_rounds += 1;
        let busy = f64::from(u8::from(is_repeated));
        self.statistics.busy_fraction.add(self.now, LOAD_TIME_CONSTANT_S, busy, 1.0);
    }

    /// The next workers in this scheduler's order that may take the request and whose state is not known. The first round
    /// goes through the own zone, then through the others; later ones through all.
    fn probe_targets(&self, tracked: &TrackedRequest) -> Vec<ProbeTarget> {
        let workers = self.fleet.candidate_order.len();
        let is_first_round = tracked.probe_rounds == 0;
        let steps = if is_first_round { 2 * workers } else { workers };
        let mut targets = Vec::with_capacity(PROBES_PER_ROUND);
        for step in 0..steps {
            let id = self.fleet.candidate_order[(self.next_probe_position + step) % workers];
            let worker = &self.fleet.workers[&id];
            let is_own_zone = worker.info.zone == self.settings.zone;
            let is_zone_due = !is_first_round || is_own_zone == (step < workers);
            if is_zone_due && self.is_worth_probing(tracked, worker) {
                targets.push(ProbeTarget { step, worker: id });
            }
            if targets.len() == PROBES_PER_ROUND {
                break;
            }
        }
        targets
    }

    fn is_worth_probing(&self, tracked: &TrackedRequest, worker: &Worker) -> bool {
        let is_known_free = self.now - worker.free_slot_seen_at < FREE_SLOT_LIFETIME_S;
        let is_rejecting = self.now < worker.rejecting_until;
        let is_probed_already = worker.probe_sent_at > f64::NEG_INFINITY;
        if worker.is_ejected() || is_known_free || is_rejecting || is_probed_already {
            return false;
        }
        self.is_eligible(tracked, worker)
    }

    /// Takes the answer to a probe: the load, a free slot if it came at once, and the readmission of an ejected worker,
    /// which is on probation then, as it may have answered beside its queue.
    pub(crate) fn probe_ended(&mut self, id: WorkerId, outcome: AttemptOutcome, load: LoadReport) {
        self.apply_load_report(id, load, FRESH_LOAD_WEIGHT);
        let Some(worker) = self.fleet.workers.get_mut(&id) else { return };
        let sent_at = std::mem::replace(&mut worker.probe_sent_at, f64::NEG_INFINITY);
        if outcome != AttemptOutcome::Succeeded {
            return;
        }
        let was_immediate = self.now - sent_at <= IMMEDIATE_ANSWER_S + 2.0 * self.settings.event_interval_s;
        if was_immediate {
            worker.free_slot_seen_at = self.now;
            if !self.candidates.contains(&id) {
                self.candidates.push(id);
            }
        }
        self.readmit(id);
        self.schedule_round(0.0);
    }

    /// Corrects the estimate of a worker's load by its report; a weight of 1 replaces it.
    pub(crate) fn apply_load_report(&mut self, id: WorkerId, load: LoadReport, weight: f64) {
        let Some(worker) = self.fleet.workers.get(&id) else { return };
        let estimate = SlotEstimate {
            total: self.fleet.slots_of(worker),
            held_by_others: self.slots_held_by_others(worker),
        };
        self.fleet.apply_load_report(id, load, weight, estimate, self.now);
    }
}
