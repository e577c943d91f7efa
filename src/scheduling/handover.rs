//! State that one process of a scheduler hands over to another in an upgrade: learned state and individual requests.
//!
//! Without it the new process would assume that every worker has few slots, half of them busy, and could run a
//! non-idempotent request twice. postcard stores the fields of both records by position, so their order must not
//! change.

use serde::{Deserialize, Serialize};

use crate::scheduling::affinity::AffinityStatistics;
use crate::scheduling::fleet::Fleet;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::request_table::TrackedRequest;
use crate::scheduling::statistics::TrafficStatistics;
use crate::scheduling::worker::{Capacity, Worker, WorkerKind};

/// What one process of a scheduler has learned, for the initialization of another.
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

    /// The workers that the state includes.
    pub fn workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.workers.iter().map(|worker| worker.info.id)
    }

    /// Translates worker ids to those of another process. Workers without an id there are dropped.
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

    /// Applies the state to the workers that are listed here, and returns the traffic and affinity statistics.
    pub(crate) fn apply_to(self, fleet: &mut Fleet) -> (TrafficStatistics, AffinityStatistics) {
        for (current, learned) in fleet.kinds.iter_mut().zip(self.kinds) {
            *current = WorkerKind { ready_workers: current.ready_workers, ..learned };
        }
        for learned in self.workers {
            if let Some(current) = fleet.workers.get_mut(&learned.info.id) {
                apply_worker(current, learned);
            }
        }
        fleet.rebuild_ejected();
        (self.statistics, self.affinity)
    }
}

/// Replaces what is known about a worker, except for this process's own reservations and sends. Does
/// nothing if the start times differ, which means that the worker has restarted in between.
fn apply_worker(current: &mut Worker, learned: Worker) {
    if current.info.started_at_s != learned.info.started_at_s {
        return;
    }
    *current = Worker {
        info: current.info.clone(),
        slots: Capacity { reserved_here: current.slots.reserved_here, ..learned.slots },
        memory: Capacity { reserved_here: current.memory.reserved_here, ..learned.memory },
        attempts_not_started: current.attempts_not_started,
        recent_sends: std::mem::take(&mut current.recent_sends),
        ..learned
    };
}

/// A tracked request, which another process of the scheduler can take over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord(pub(crate) TrackedRequest);

/// The capacity that a request needs at a worker, and the tenant that sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestNeeds {
    /// Index of the tenant.
    pub tenant: usize,
    /// Slots that the request needs while it runs.
    pub slots: f64,
    /// Memory that the request needs while it runs.
    pub memory: f64,
}

impl RequestRecord {
    /// The capacity that the request needs, and its tenant.
    pub fn needs(&self) -> RequestNeeds {
        let request = &self.0.request;
        RequestNeeds { tenant: request.tenant, slots: request.slots, memory: request.memory }
    }

    /// Replaces the request id, the deadline and the workers of the attempts (in order) by those of another process.
    pub fn renumbered(mut self, id: RequestId, deadline: f64, workers: &[WorkerId]) -> Self {
        self.0.request.id = id;
        self.0.request.deadline = deadline;
        for (attempt, &worker) in self.0.attempts.iter_mut().zip(workers) {
            attempt.worker = worker;
        }
        self
    }
}
