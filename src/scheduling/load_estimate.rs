//! Estimates of the load of workers: reserved slots, free slots, and whether the fleet is full.
//!
//! Reservations of other schedulers are learned from load reports, listed weights or gossip, as the settings allow.
//! Between updates the estimate decays to the typical load. This module makes no decisions.

use crate::scheduling::action::CapacitySummary;
use crate::scheduling::gossip::WorkerKey;
use crate::scheduling::scheduler_share;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::water_filling::{self, WorkerLoad};
use crate::scheduling::worker::{Worker, MEDIUM_COMPLEXITY};

/// Busy fraction assumed before anything was observed.
const INITIAL_BUSY_FRACTION: f64 = 0.5;
/// Age of listed weights on arrival. They are refreshed every 0.5 to 1.2 s and arrive with a delay.
const LISTED_WEIGHT_AGE_S: f64 = 0.8;
/// A pooled connection is expected to stay open for this fraction of the workers' idle timeout.
const POOLED_FRACTION_OF_IDLE_TIMEOUT: f64 = 0.5;
/// The fleet counts as full if more than this fraction of workers had no free slot when probed or sent a request. On a
/// full fleet, late requests would only take slots from others.
const OVERLOADED_BUSY_FRACTION: f64 = 0.55;
/// Up to this many schedulers, or half as many as there are ready workers, see enough of the load in their own traffic,
/// so all workers are candidates.
pub(crate) const SMALL_GROUP_SCHEDULERS: usize = 4;
/// Minimum listed weight, so that a weight of 0 cannot cause a division by zero.
const MIN_WEIGHT: f64 = 0.01;

impl SchedulerState {
    /// Whether so few schedulers share the workers that this scheduler's own traffic shows most of their load.
    pub(crate) fn is_small_scheduler_group(&self) -> bool {
        let half_of_fleet = self.fleet.candidate_order.len() / 2;
        self.settings.scheduler_count <= SMALL_GROUP_SCHEDULERS.max(half_of_fleet)
    }

    /// Whether this scheduler's own traffic shows which workers have free slots. Otherwise it sends capacity probes,
    /// which cost the workers some effort and the request a round trip.
    pub(crate) fn sees_free_slots(&self) -> bool {
        self.is_small_scheduler_group() || !self.settings.capacity_probes_allowed
    }

    /// Whether overload of a worker can be distinguished from a fault: by own traffic, by probes or by load figures.
    pub(crate) fn detects_overload(&self) -> bool {
        self.is_small_scheduler_group()
            || self.settings.capacity_probes_allowed
            || self.settings.weights_show_load
            || !self.settings.load_report_fields.is_empty()
    }

    /// Whether answers to capacity probes are the only source of load figures.
    pub(crate) fn relies_on_probes(&self) -> bool {
        !self.sees_free_slots() && self.settings.load_report_fields.is_empty()
    }

    fn busy_fraction(&self) -> f64 {
        self.statistics.busy_fraction.load_value_or(self.now, INITIAL_BUSY_FRACTION)
    }

    /// Whether hardly any worker has a free slot. Always false if this scheduler's own traffic shows free slots,
    /// because its queue then shows that the fleet is full.
    pub(crate) fn is_fleet_full(&self) -> bool {
        !self.sees_free_slots() && self.busy_fraction() > OVERLOADED_BUSY_FRACTION
    }

    /// Slots that other schedulers have reserved at a worker: the sum of their gossip, plus a proportional part of the
    /// last known figure for schedulers without recent gossip.
    pub(crate) fn slots_reserved_by_others(&self, worker: &Worker) -> f64 {
        let key = WorkerKey::new(worker.info.stable_id);
        let gossip = self.gossip.reserved_by_others(self.now, key, self.mean_run_time_s());
        let other_schedulers = (self.settings.scheduler_count as f64 - 1.0).max(1.0);
        let silent_fraction = (1.0 - gossip.live_schedulers as f64 / other_schedulers).max(0.0);
        gossip.slots + silent_fraction * self.last_known_reserved_by_others(worker)
    }

    /// The last known figure, which decays to the typical load with the mean run time as time constant.
    fn last_known_reserved_by_others(&self, worker: &Worker) -> f64 {
        let has_other_schedulers = self.settings.scheduler_count > 1;
        // With grants by interval only some schedulers may send to a worker in slow start, so the typical load, which
        // is observed at warm workers, does not apply to it.
        let grants_by_interval =
            !self.detects_overload() && !scheduler_share::fixed_shares_suffice(self.settings.scheduler_count);
        let has_typical_load = has_other_schedulers && !(grants_by_interval && self.is_in_slow_start(worker));
        let typical =
            f64::from(u8::from(has_typical_load)) * self.busy_fraction() * self.fleet.slots_of(worker);
        let age_s = (self.now - worker.slots.updated_at).max(0.0);
        typical + (worker.slots.reserved_by_others - typical) * (-age_s / self.mean_run_time_s()).exp()
    }

    /// Slots estimated to be free for this scheduler. A worker on probation is limited to one slot, plus one for each
    /// success since its readmission.
    pub(crate) fn free_slots(&self, worker: &Worker) -> f64 {
        // Gossip is fresh, so some of the reserved slots will be released by the next round.
        let still_reserved = if self.gossip.live_schedulers(self.now) > 0 {
            (-2.0 * self.round_interval_s / self.mean_run_time_s()).exp()
        } else {
            1.0
        };
        let reserved = still_reserved * (self.slots_reserved_by_others(worker) + worker.slots.reserved_here);
        let probation_limit = 1.0 + worker.successes_since_readmission - worker.slots.reserved_here;
        (self.fleet.slots_of(worker) - reserved).min(probation_limit)
    }

    /// Fill level (reserved slots / total slots) expected by the next endpoint list, if all schedulers fill the workers
    /// evenly.
    pub(crate) fn fill_level(&self) -> f64 {
        let is_filled = |worker: &&Worker| !worker.is_ejected() && !self.is_in_slow_start(worker);
        let load = |worker: &Worker| WorkerLoad {
            reserved: worker.slots.reserved_here + worker.slots.reserved_by_others,
            slots: self.fleet.slots_of(worker),
        };
        let loads: Vec<_> = self.fleet.ready_workers().filter(is_filled).map(load).collect();
        let age_s = self.now - self.fleet.loads_listed_at + LISTED_WEIGHT_AGE_S;
        water_filling::fill_level(&loads, age_s / self.mean_run_time_s())
    }

    /// Capacity of a worker relative to others: its listed size, scaled by its observed speed and its slow start.
    pub(crate) fn relative_capacity(&self, worker: &Worker) -> f64 {
        worker.info.weight.max(MIN_WEIGHT) * self.capacity_fraction(worker, 0.0)
            / self.run_time_ratio(worker, MEDIUM_COMPLEXITY)
    }

    /// Whether a pooled connection to the worker is expected to be open.
    pub(crate) fn has_pooled_connection(&self, worker: &Worker) -> bool {
        let expected_open_s = POOLED_FRACTION_OF_IDLE_TIMEOUT * self.settings.connection_idle_timeout_s;
        self.now - worker.last_dispatched_at < expected_open_s
    }

    /// Number of candidates without a pooled connection per candidate with one, but at least 1.
    pub(crate) fn candidates_per_pooled_connection(&self) -> f64 {
        let candidates = self.candidates.iter().map(|id| &self.fleet.workers[id]);
        let pooled = candidates.filter(|worker| self.has_pooled_connection(worker)).count();
        (self.candidates.len() as f64 / pooled.max(1) as f64 - 1.0).max(1.0)
    }

    /// Time saved by running a request with this affinity key on this worker instead of an unrelated one, in multiples
    /// of the mean run time.
    pub(crate) fn affinity_saving(&self, key: u64, worker: &Worker) -> f64 {
        let locality = self.affinity.locality(key, worker.info.stable_id, &worker.recent_affinity_keys);
        self.affinity.saving(self.now, locality)
    }

    /// The capacity of the workers in service, and the backlog of queued requests.
    pub(crate) fn capacity_summary(&self) -> CapacitySummary {
        let mut slots = 0.0;
        let mut free = 0.0;
        for worker in self.fleet.ready_workers() {
            if worker.is_ejected() || self.now < worker.rejecting_until {
                continue;
            }
            let worker_slots = self.fleet.slots_of(worker) * self.capacity_fraction(worker, 0.0);
            slots += worker_slots;
            free += self.free_slots(worker).clamp(0.0, worker_slots);
        }
        let queued_work: f64 = self.requests.queued().map(|tracked| tracked.work).sum();
        let backlog_s = queued_work * self.fleet_run_time_ratio() / slots.max(1.0);
        CapacitySummary { slots, free, waiting: self.requests.queue.len(), backlog_s }
    }
}
