//! The fleet: all listed workers, their kinds, and the state derived from the endpoint list (candidate order, ejected
//! workers).

use std::collections::BTreeMap;

use crate::scheduling::decaying_mean::{FLEET_TIME_CONSTANT_S, WORKER_TIME_CONSTANT_S};
use crate::scheduling::endpoint::{LoadReport, WorkerInfo, WorkerState};
use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::request_table::TrackedRequest;
use crate::scheduling::worker::{Worker, WorkerKind};

/// Slots assumed per worker for a kind whose concurrency has not been observed yet.
const INITIAL_SLOTS: f64 = 2.0;
/// Loads below this count as zero, because listed weights are rounded.
const MIN_LOAD: f64 = 0.04;
/// Weight of load figures that are about a second old when they correct an estimate.
pub(crate) const STALE_LOAD_WEIGHT: f64 = 0.5;

/// Total and reserved slots, summed over a set of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SlotTotals {
    /// All slots.
    pub slots: f64,
    /// Slots reserved by this scheduler's attempts.
    pub reserved_here: f64,
    /// Slots reserved by all schedulers.
    pub reserved_by_all: f64,
}

/// The estimate of a worker's slots before a load report corrects it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotEstimate {
    pub total: f64,
    pub reserved_by_others: f64,
}

/// A worker's load as derived from its listed weight.
#[derive(Clone, Copy, Debug)]
struct ListedLoad {
    kind: usize,
    /// Reserved slots per core.
    load: f64,
}

/// All listed workers and their kinds.
#[derive(Default)]
pub(crate) struct Fleet {
    pub workers: BTreeMap<WorkerId, Worker>,
    pub kinds: Vec<WorkerKind>,
    /// The ready workers, in an order that differs between schedulers.
    pub candidate_order: Vec<WorkerId>,
    /// The ready workers that are ejected.
    pub ejected: Vec<WorkerId>,
    /// When an endpoint list last contained load figures.
    pub loads_listed_at: f64,
}

impl Fleet {
    /// The ready workers, in candidate order.
    pub(crate) fn ready_workers(&self) -> impl Iterator<Item = &Worker> {
        self.candidate_order.iter().map(|id| &self.workers[id])
    }

    /// Total slots of a worker: the larger of its own estimate and that of its kind.
    pub(crate) fn slots_of(&self, worker: &Worker) -> f64 {
        worker.slots.total.max(self.kinds[worker.info.kind].slots)
    }

    /// Total slots of the ready workers, estimated by kind.
    pub(crate) fn ready_slots(&self) -> f64 {
        self.kinds.iter().map(|kind| kind.ready_workers * kind.slots).sum()
    }

    /// Total slots of the ready workers that are not ejected, and the slots that this scheduler has reserved there.
    pub(crate) fn in_service_slots(&self) -> SlotTotals {
        let mut sums = SlotTotals::default();
        for worker in self.ready_workers().filter(|worker| !worker.is_ejected()) {
            sums.slots += self.slots_of(worker);
            sums.reserved_here += worker.slots.reserved_here;
        }
        sums
    }

    /// Slots of the ready workers that are reserved by this scheduler and by all schedulers.
    pub(crate) fn reserved_slots(&self) -> SlotTotals {
        let mut sums = SlotTotals::default();
        for worker in self.ready_workers() {
            sums.reserved_here += worker.slots.reserved_here;
            sums.reserved_by_all =
                sums.reserved_by_all + worker.slots.reserved_here + worker.slots.reserved_by_others;
        }
        sums
    }

    /// Corrects the estimate by a load report. A `weight` of 1 replaces the estimate.
    pub(crate) fn apply_load_report(
        &mut self,
        id: WorkerId,
        load: LoadReport,
        weight: f64,
        estimate: SlotEstimate,
        now: f64,
    ) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if let Some(free) = load.free_slots {
            worker.slots.total = estimate.total.max(free.round());
            let queued = load.queue_length.unwrap_or(0.0);
            let reserved_by_others =
                (worker.slots.total - free + queued - worker.slots.reserved_here).max(0.0);
            let correction = weight * (reserved_by_others - estimate.reserved_by_others);
            worker.slots.reserved_by_others = estimate.reserved_by_others + correction;
            worker.slots.updated_at = now;
            self.kinds[worker.info.kind].slots = worker.slots.total;
        }
        if let Some(free) = load.free_memory {
            worker.memory.total = worker.memory.total.max(free.round()).max(estimate.total);
            worker.memory.reserved_by_others =
                (worker.memory.total - free - worker.memory.reserved_here).max(0.0);
        }
    }

    /// Corrects the estimates by the load that listed weights show. Workers missing from the list
    /// count as updated too, because their weight is unchanged.
    pub(crate) fn apply_listed_loads(&mut self, listed: &[WorkerId], now: f64) {
        self.learn_load_per_request(listed);
        for id in listed {
            let Some(ListedLoad { kind, load }) = self.listed_load(*id) else { continue };
            let kind = &self.kinds[kind];
            let cores =
                if kind.load_per_request > 0.0 { (1.0 / kind.load_per_request).round() } else { kind.slots };
            let Some(worker) = self.workers.get_mut(id) else { continue };
            let reserved_by_others = (load * cores - worker.slots.reserved_here).max(0.0);
            worker.slots.reserved_by_others +=
                STALE_LOAD_WEIGHT * (reserved_by_others - worker.slots.reserved_by_others);
        }
        for worker in self.workers.values_mut() {
            worker.slots.updated_at = now;
        }
        self.loads_listed_at = now;
    }

    /// Learns the load that one request causes on each kind of worker: the smallest load above [`MIN_LOAD`] ever listed
    /// for the kind. Its inverse is the number of cores.
    fn learn_load_per_request(&mut self, listed: &[WorkerId]) {
        let loads: Vec<_> = listed.iter().filter_map(|id| self.listed_load(*id)).collect();
        for ListedLoad { kind, load } in loads {
            let kind = &mut self.kinds[kind];
            let is_smallest = kind.load_per_request <= 0.0 || load < kind.load_per_request;
            if load > MIN_LOAD && is_smallest {
                kind.load_per_request = load;
                kind.slots = kind.slots.max((1.0 / load).round());
            }
        }
    }

    /// Derives a worker's load from its listed weight, which is its idle weight divided by 1 + requests per core.
    fn listed_load(&self, id: WorkerId) -> Option<ListedLoad> {
        let worker = self.workers.get(&id).filter(|worker| worker.info.weight > 0.0)?;
        let idle_weight = self.kinds[worker.info.kind].idle_weight;
        let load = (idle_weight / worker.info.weight - 1.0).max(0.0);
        Some(ListedLoad { kind: worker.info.kind, load })
    }

    /// Reserves capacity for the in-flight attempts of a request that is taken over from another process of this
    /// scheduler.
    pub(crate) fn reserve_capacity_for(&mut self, request: &TrackedRequest) {
        for attempt in request.attempts.iter().filter(|attempt| attempt.is_in_flight()) {
            if let Some(worker) = self.workers.get_mut(&attempt.worker) {
                worker.reserve_capacity(&request.request, attempt.started_at.is_some());
            }
        }
    }

    /// Releases the capacity reserved for the in-flight attempts of a request that is handed over to another process of
    /// this scheduler.
    pub(crate) fn release_capacity_for(&mut self, request: &TrackedRequest) {
        for attempt in request.attempts.iter().filter(|attempt| attempt.is_in_flight()) {
            if let Some(worker) = self.workers.get_mut(&attempt.worker) {
                worker.release_capacity(&request.request, attempt.started_at.is_some());
            }
        }
    }

    /// Records ln(run time / estimated work) of a completed run for its worker and for the worker's kind.
    pub(crate) fn record_run(&mut self, id: WorkerId, complexity: usize, now: f64, log_ratio: f64) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let kind = &mut self.kinds[worker.info.kind];
        kind.log_run_time_ratio.add(now, FLEET_TIME_CONSTANT_S, log_ratio, 1.0);
        worker.log_ratio_by_complexity[complexity].add(now, WORKER_TIME_CONSTANT_S, log_ratio, 1.0);
        worker.log_run_time_ratio.add(now, WORKER_TIME_CONSTANT_S, log_ratio, 1.0);
    }

    /// Applies an endpoint list. Workers that a complete snapshot does not contain are removed, once they have no slots
    /// reserved here. Candidates are sorted by `order`.
    pub(crate) fn apply_list(
        &mut self,
        complete_snapshot: bool,
        entries: Vec<WorkerInfo>,
        order: impl Fn(WorkerId) -> u64,
    ) {
        if complete_snapshot {
            for worker in self.workers.values_mut() {
                worker.info.state = WorkerState::Gone;
            }
        }
        for info in entries {
            self.apply_entry(info);
        }
        self.workers
            .retain(|_, worker| worker.info.state != WorkerState::Gone || worker.slots.reserved_here > 0.0);
        self.count_ready_workers();
        self.candidate_order = self.worker_ids_where(Worker::is_ready);
        self.candidate_order.sort_by_cached_key(|&id| order(id));
        self.ejected = self.worker_ids_where(|worker| worker.is_ready() && worker.is_ejected());
    }

    fn apply_entry(&mut self, info: WorkerInfo) {
        let kinds = self.kinds.len().max(info.kind + 1);
        self.kinds.resize_with(kinds, || WorkerKind { slots: INITIAL_SLOTS, ..WorkerKind::default() });
        let worker = self.workers.entry(info.id).or_insert_with(Worker::unknown);
        if info.started_at_s > worker.info.started_at_s {
            // The worker's process has restarted, so its health and load are unknown again.
            *worker = worker.restarted();
        }
        let kind = &mut self.kinds[info.kind];
        kind.idle_weight = kind.idle_weight.max(info.weight);
        worker.info = info;
    }

    fn count_ready_workers(&mut self) {
        for kind in &mut self.kinds {
            kind.ready_workers = 0.0;
        }
        for worker in self.workers.values().filter(|worker| worker.is_ready()) {
            self.kinds[worker.info.kind].ready_workers += 1.0;
        }
    }

    fn worker_ids_where(&self, condition: impl Fn(&Worker) -> bool) -> Vec<WorkerId> {
        self.workers.values().filter(|worker| condition(worker)).map(|worker| worker.info.id).collect()
    }

    /// Rebuilds the list of ejected workers, in candidate order, after their health was replaced.
    pub(crate) fn rebuild_ejected(&mut self) {
        let ejected = self.candidate_order.iter().filter(|id| self.workers[id].is_ejected());
        self.ejected = ejected.copied().collect();
    }
}
