//! Load shedding: which queued requests are given up because they cannot be served in time.
//!
//! Two rules: a request that can no longer finish within [`MAX_OBJECTIVE_STRETCH`] times its objective is given up, unless an
//! answer after the objective still earns something (`plan_round` in `round.rs`); and when the whole queue takes too long to clear, the
//! requests of lowest priority are shed (Eq. 2 of the paper).

use crate::scheduling::identifiers::RequestId;
use crate::scheduling::random::poisson_upper_bound;
use crate::scheduling::state::SchedulerState;

/// The paper's limit: latency objectives are stretched by this factor before requests are given up.
pub(crate) const MAX_OBJECTIVE_STRETCH: f64 = 1.25;

/// A queued request in a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub id: RequestId,
    pub priority: f64,
    /// It cannot wait for another round.
    pub is_urgent: bool,
}

/// What one request adds to the two sides of Eq. 2, in seconds.
struct SheddingTerms {
    clearing_s: f64,
    objective_s: f64,
}

impl SchedulerState {
    /// Sheds from the end of `queue`, which is in order of priority, until the rest can be cleared in time.
    ///
    /// Eq. 2 compares the time to clear the queue, at this scheduler's share of all slots, with the mean latency objective
    /// plus a control time, stretched by [`MAX_OBJECTIVE_STRETCH`]. One request is always left. Returns what was shed, in
    /// the order of shedding.
    pub(crate) fn shed_excess(&self, queue: &mut Vec<QueuedRequest>) -> Vec<RequestId> {
        let own_slots = poisson_upper_bound(self.fleet.ready_slots() / self.settings.scheduler_count as f64);
        let work_per_s = own_slots / self.fleet_run_time_ratio();
        let control_s = self.round_interval_s + self.mean_start_delay_s();
        let terms = |queued: &QueuedRequest| {
            let tracked = &self.requests.all[&queued.id];
            SheddingTerms {
                clearing_s: tracked.work / work_per_s,
                objective_s: tracked.objective_s + control_s,
            }
        };
        let mut sums = SheddingTerms { clearing_s: 0.0, objective_s: 0.0 };
        for queued in queue.iter() {
            let term = terms(queued);
            sums.clearing_s += term.clearing_s;
            sums.objective_s += term.objective_s;
        }
        let mut shed = Vec::new();
        while queue.len() > 1
            && sums.clearing_s > MAX_OBJECTIVE_STRETCH * sums.objective_s / queue.len() as f64
        {
            let Some(last) = queue.pop() else { break };
            let term = terms(&last);
            sums.clearing_s -= term.clearing_s;
            sums.objective_s -= term.objective_s;
            shed.push(last.id);
        }
        shed
    }
}
