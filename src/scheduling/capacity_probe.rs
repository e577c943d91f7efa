//! Capacity probes: ask workers for free slots on behalf of queued requests.
//!
//! Where this scheduler's own traffic does not show free slots, probes are sent to the next few workers in
//! its order, starting with its own zone, and are repeated with growing delays. A worker that answers
//! immediately has a free slot and becomes a candidate for a short time. The same probe serves as the health
//! check of an ejected worker.

use crate::scheduling::action::Action;
use crate::scheduling::decaying_mean::LOAD_TIME_CONSTANT_S;
use crate::scheduling::endpoint::LoadReport;
use crate::scheduling::fleet::SlotEstimate;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::request::AttemptOutcome;
use crate::scheduling::request_table::TrackedRequest;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::worker::Worker;

/// Number of workers probed at a time.
const PROBES_PER_ROUND: usize = 2;
/// Delay before a queued request probes more workers; it grows with each round of probes.
pub(crate) const PROBE_RETRY_S: f64 = 0.025;
/// Growth factor of that delay.
const PROBE_RETRY_GROWTH: f64 = 1.5;
/// How long a slot counts as free after a probe found it free.
pub(crate) const FREE_SLOT_LIFETIME_S: f64 = 0.05;
/// A probe that is answered within this time plus two event intervals did not wait for a slot.
pub(crate) const IMMEDIATE_ANSWER_S: f64 = 0.02;
/// Weight of a load report in the answer to a probe: it is fresh and replaces the estimate.
const FRESH_LOAD_WEIGHT: f64 = 1.0;

/// A worker to be probed, and its offset from the position at which this round of probes began.
struct ProbeTarget {
    step: usize,
    worker: WorkerId,
}

impl SchedulerState {
    /// Sends a round of probes for a request unless this scheduler's own traffic shows free slots. The busy
    /// fraction counts the first round for a request as not busy and each repeated one as busy.
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

    /// Returns the next workers in this scheduler's order that may take the request and whose load is
    /// unknown. The first round covers this scheduler's zone, then the other zones; later rounds cover all
    /// zones at once.
    fn probe_targets(&self, tracked: &TrackedRequest) -> Vec<ProbeTarget> {
        let workers = self.fleet.candidate_order.len();
        let is_first_round = tracked.probe_rounds == 0;
        let steps = if is_first_round { 2 * workers } else { workers };
        let mut targets = Vec::with_capacity(PROBES_PER_ROUND);
        for step in 0..steps {
            let id = self.fleet.candidate_order[(self.next_probe_position + step) % workers];
            let worker = &self.fleet.workers[&id];
            let is_own_zone = worker.info.zone == self.settings.zone;
            let is_zone_probed = !is_first_round || is_own_zone == (step < workers);
            if is_zone_probed && self.is_worth_probing(tracked, worker) {
                targets.push(ProbeTarget { step, worker: id });
            }
            if targets.len() == PROBES_PER_ROUND {
                break;
            }
        }
        targets
    }

    fn is_worth_probing(&self, tracked: &TrackedRequest, worker: &Worker) -> bool {
        let has_known_free_slot = self.now - worker.free_slot_seen_at < FREE_SLOT_LIFETIME_S;
        let is_rejecting = self.now < worker.rejecting_until;
        let awaits_answer = worker.probe_sent_at > f64::NEG_INFINITY;
        if worker.is_ejected() || has_known_free_slot || is_rejecting || awaits_answer {
            return false;
        }
        self.is_eligible(tracked, worker)
    }

    /// Handles the answer to a probe: applies its load report, records a free slot if the answer was
    /// immediate, and readmits an ejected worker. That worker is on probation, because probes may bypass its
    /// queue.
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

    /// Updates the load estimate of a worker from its load report; a weight of 1 replaces the estimate.
    pub(crate) fn apply_load_report(&mut self, id: WorkerId, load: LoadReport, weight: f64) {
        let Some(worker) = self.fleet.workers.get(&id) else { return };
        let estimate = SlotEstimate {
            total: self.fleet.slots_of(worker),
            reserved_by_others: self.slots_reserved_by_others(worker),
        };
        self.fleet.apply_load_report(id, load, weight, estimate, self.now);
    }
}
