//! What one process of a scheduler passes to another in an upgrade: what it has learned, and single requests.
//!
//! Without it the new process would take every worker for one with few slots, half of them busy, and could run a request
//! twice that must run once. Both records are stored by position: their fields keep their order.

use serde::{Deserialize, Serialize};

use crate::scheduling::affinity::AffinityStatistics;
use crate::scheduling::fleet::Fleet;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::request_table::TrackedRequest;
use crate::scheduling::statistics::TrafficStatistics;
use crate::scheduling::worker::{Capacity, Worker, WorkerKind};

/// What a scheduler has learned, for another process of it to start from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    statistics: TrafficStatistics,
    affinity: AffinityStatistics,
    kinds: Vec<WorkerKind>,
    workers: Vec<Worker>,
}

impl LearnedState {
    pub(crate) fn new(statistics: &TrafficStatistics, affinity: &AffinityStatistics, fleet: &Fleet) -> Self {
        LearnedState {
            statistics: statistics.clone(),
            affinity: affinity.clone(),
            kinds: fleet.kinds.clone(),
            workers: fleet.workers.values().cloned().collect(),
        }
    }

    /// The workers that it knows something of.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.workers.iter().map(|worker| worker.info.id)
    }

    /// The same in another process's numbers. Workers without a number there are left out.
    pub fn renumbered(mut self, number: impl Fn(WorkerId) -> Option<WorkerId>) -> Self {
        self.workers.retain_mut(|worker| match number(worker.info.id) {
            Some(id) => {
                worker.info.id = id;
                true
            }
            None => false,
        });
        self
    }

    /// Applies it to the workers that are listed here, and gives back what it says of the traffic.
    pub(crate) fn apply_to(self, fleet: &mut Fleet) -> (TrafficStatistics, AffinityStatistics) {
        for (own, kind) in fleet.kinds.iter_mut().zip(self.kinds) {
            *own = WorkerKind { ready_workers: own.ready_workers, ..kind };
        }
        for learned in self.workers {
            if let Some(own) = fleet.workers.get_mut(&learned.info.id) {
                apply_worker(own, learned);
            }
        }
        fleet.rebuild_ejected();
        (self.statistics, self.affinity)
    }
}

/// What this process holds at a worker and has sent there stays its own. Of another run of the worker nothing is known.
fn apply_worker(own: &mut Worker, learned: Worker) {
    if own.info.started_at_s != learned.info.started_at_s {
        return;
    }
    *own = Worker {
        info: own.info.clone(),
        slots: Capacity { reserved_here: own.slots.reserved_here, ..learned.slots },
        memory: Capacity { reserved_here: own.memory.reserved_here, ..learned.memory },
        attempts_not_started: own.attempts_not_started,
        recent_sends: std::mem::take(&mut own.recent_sends),
        ..learned
    };
}

/// What a scheduler knows of a request, for another process of it to go on with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord(pub(crate) TrackedRequest);

/// What a request needs of a worker, and whose it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestNeeds {
    /// Index into the tenants.
    pub tenant: usize,
    /// Slots that it holds while it runs.
    pub slots: f64,
    /// Memory that it holds while it runs.
    pub memory: f64,
}

impl RequestRecord {
    /// What the request needs, and whose it is.
    pub fn needs(&self) -> RequestNeeds {
        let request = &self.0.request;
        RequestNeeds { tenant: request.tenant, slots: request.slots, memory: request.memory }
    }

    /// The same in another process's numbers; `workers` are those of the attempts, in their order.
    pub fn renumbered(mut self, id: RequestId, deadline: f64, workers: &[WorkerId]) -> Self {
        self.0.request.id = id;
        self.0.request.deadline = deadline;
        for (attempt, &worker) in self.0.attempts.iter_mut().zip(workers) {
            attempt.worker = worker;
        }
        self
    }
}
