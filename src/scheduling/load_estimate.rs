//! Estimates of how loaded the workers are: who holds how many slots, how many are free, whether the fleet is full.
//!
//! What other schedulers hold is known from load reports, listed weights or gossip, as the settings allow; between two of these the
//! estimate decays to the usual load. Nothing is decided here.

use crate::scheduling::action::CapacitySummary;
use crate::scheduling::gossip::WorkerKey;
use crate::scheduling::scheduler_share;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::water_filling::{self, WorkerLoad};
use crate::scheduling::worker::{Worker, MEDIUM_COMPLEXITY};

/// The busy fraction of workers before anything was observed.
const INITIAL_BUSY_FRACTION: f64 = 0.5;
/// The age of listed weights when they come: they are renewed every 0.5 to 1.2 s, and late.
const LISTED_WEIGHT_AGE_S: f64 = 0.8;
/// A pooled connection is expected to be open for this fraction of the workers' idle timeout.
const POOLED_FRACTION_OF_IDLE_TIMEOUT: f64 = 0.5;
/// With more than this fraction of the probed workers busy the fleet is full: late requests would only take slots.
const OVERLOADED_BUSY_FRACTION: f64 = 0.55;
/// This many schedulers see enough by their own traffic: all workers are candidates.
pub(crate) const FEW_SCHEDULERS: usize = 4;
/// Keeps a listed weight of 0 from dividing by zero.
const MIN_WEIGHT: f64 = 0.01;

impl SchedulerState {
    /// Whether so few schedulers share the workers that own traffic shows most of what happens there.
    pub(crate) fn is_small_scheduler_group(&self) -> bool {
        let enough_workers = self.fleet.candidate_order.len() / 2;
        self.settings.scheduler_count <= FEW_SCHEDULERS.max(enough_workers)
    }

    /// Whether own traffic shows which workers have free slots. Otherwise capacity probes ask for them, at the price of
    /// work at the workers and of a round trip.
    pub(crate) fn sees_free_slots(&self) -> bool {
        self.is_small_scheduler_group() || !self.settings.capacity_probes_allowed
    }

    /// Whether overload at a worker can be told from a fault there: by own traffic, by probes, or by load figures.
    pub(crate) fn detects_overload(&self) -> bool {
        self.is_small_scheduler_group()
            || self.settings.capacity_probes_allowed
            || self.settings.weights_show_load
            || !self.settings.load_report_fields.is_empty()
    }

    /// Whether nothing but the answers to capacity probes tells of a worker's load.
    pub(crate) fn relies_on_probes(&self) -> bool {
        !self.sees_free_slots() && self.settings.load_report_fields.is_empty()
    }

    fn busy_fraction(&self) -> f64 {
        self.statistics.busy_fraction.load_value_or(self.now, INITIAL_BUSY_FRACTION)
    }

    /// Whether the fleet is full, where no scheduler sees that in its own queue: hardly any worker has a slot free.
    pub(crate) fn is_fleet_full(&self) -> bool {
        !self.sees_free_slots() && self.busy_fraction() > OVERLOADED_BUSY_FRACTION
    }

    /// Slots that other schedulers hold at a worker: what their gossip says, and for those that are silent their part of
    /// the last known figure.
    pub(crate) fn slots_held_by_others(&self, worker: &Worker) -> f64 {
        let key = WorkerKey::new(worker.info.stable_id);
        let gossip = self.gossip.held_by_others(self.now, key, self.mean_run_time_s());
        let other_schedulers = (self.settings.scheduler_count as f64 - 1.0).max(1.0);
        let silent_fraction = (1.0 - gossip.live_schedulers as f64 / other_schedulers).max(0.0);
        gossip.slots + silent_fraction * self.last_known_held_by_others(worker)
    }

    /// The last known figure, which fades to the usual load within a mean run time.
    fn last_known_held_by_others(&self, worker: &Worker) -> f64 {
        let has_other_schedulers = self.settings.scheduler_count > 1;
        // Where grants go by interval, only some schedulers may send to a worker in slow start: the usual load, which is
        // seen at warm workers, tells nothing of it.
        let grants_by_interval =
            !self.detects_overload() && !scheduler_share::fixed_shares_suffice(self.settings.scheduler_count);
        let has_usual_load = has_other_schedulers && !(grants_by_interval && self.is_in_slow_start(worker));
        let usual = f64::from(u8::from(has_usual_load)) * self.busy_fraction() * self.fleet.slots_of(worker);
        let age_s = (self.now - worker.slots.updated_at).max(0.0);
        usual + (worker.slots.held_by_others - usual) * (-age_s / self.mean_run_time_s()).exp()
    }

    /// Slots estimated free for this scheduler. A worker on probation is opened step by step.
    pub(crate) fn free_slots(&self, worker: &Worker) -> f64 {
        // Gossip is fresh: by the next round a part of what is held has ended.
        let still_held = if self.gossip.live_schedulers(self.now) > 0 {
            (-2.0 * self.round_interval_s / self.mean_run_time_s()).exp()
        } else {
            1.0
        };
        let held = still_held * (self.slots_held_by_others(worker) + worker.slots.held_here);
        let probation_limit = 1.0 + worker.successes_since_readmission - worker.slots.held_here;
        (self.fleet.slots_of(worker) - held).min(probation_limit)
    }

    /// How full the workers will be by the next list, if all schedulers fill them evenly (held slots over slots).
    pub(crate) fn fill_level(&self) -> f64 {
        let is_filled = |worker: &&Worker| !worker.is_ejected() && !self.is_in_slow_start(worker);
        let load = |worker: &Worker| WorkerLoad {
            reserved: worker.slots.held_here + worker.slots.held_by_others,
            slots: self.fleet.slots_of(worker),
        };
        let loads: Vec<_> = self.fleet.ready_workers().filter(is_filled).map(load).collect();
        let age_s = self.now - self.fleet.loads_listed_at + LISTED_WEIGHT_AGE_S;
        water_filling::fill_level(&loads, age_s / self.mean_run_time_s())
    }

    /// What a worker can do, for comparison with others: its listed size, at the speed it has shown, as far as it is warm.
    pub(crate) fn relative_capacity(&self, worker: &Worker) -> f64 {
        worker.info.weight.max(MIN_WEIGHT) * self.capacity_fraction(worker, 0.0)
            / self.run_time_ratio(worker, MEDIUM_COMPLEXITY)
    }

    /// Whether a pooled connection to the worker is expected to be open.
    pub(crate) fn has_pooled_connection(&self, worker: &Worker) -> bool {
        let expected_open_s = POOLED_FRACTION_OF_IDLE_TIMEOUT * self.settings.connection_idle_timeout_s;
        self.now - worker.last_dispatched_at < expected_open_s
    }

    /// How many candidates without a pooled connection there are for each with one; 1 at the least.
    pub(crate) fn candidates_per_pooled_connection(&self) -> f64 {
        let candidates = self.candidates.iter().map(|id| &self.fleet.workers[id]);
        let pooled = candidates.filter(|worker| self.has_pooled_connection(worker)).count();
        (self.candidates.len() as f64 / pooled.max(1) as f64 - 1.0).max(1.0)
    }

    /// By how many mean runs a request with this affinity key is shorter at this worker than at an unrelated one.
    pub(crate) fn affinity_saving(&self, key: u64, worker: &Worker) -> f64 {
        let locality = self.affinity.locality(key, worker.info.stable_id, &worker.recent_affinity_keys);
        self.affinity.saving(self.now, locality)
    }

    /// The capacity of the workers in service, and the queue in front of it.
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
