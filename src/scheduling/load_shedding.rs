//! Load shedding: gives up queued requests that cannot be served in time.
//!
//! There are two rules. A request that can no longer finish within [`MAX_OBJECTIVE_STRETCH`] times its latency
//! objective is given up, unless a late answer still has value (`plan_round` in `round.rs`). And while clearing the
//! whole queue takes too long, the requests of lowest priority are shed (Eq. 2 of the paper).

use crate::scheduling::identifiers::RequestId;
use crate::scheduling::random::poisson_upper_bound;
use crate::scheduling::state::SchedulerState;

/// A request is late if it would take longer than this factor times its latency objective (limit from the paper). Eq. 2
/// stretches the mean latency objective by the same factor.
pub(crate) const MAX_OBJECTIVE_STRETCH: f64 = 1.25;

/// A queued request, as seen by one scheduling round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub id: RequestId,
    pub priority: f64,
    /// Whether the request would probably miss its objective if it waited for another round.
    pub is_urgent: bool,
}

/// Contribution of one request to the two sides of Eq. 2, in seconds.
struct Eq2Terms {
    clearing_time_s: f64,
    objective_s: f64,
}

impl SchedulerState {
    /// Sheds requests from the end of `queue`, which is sorted by descending priority, until the rest clears in time.
    ///
    /// Eq. 2 compares the time to clear the queue with the time allowed for it. The first is computed for this
    /// scheduler's share of all slots plus two standard deviations ([`poisson_upper_bound`]), the second is the mean
    /// latency objective plus a control delay, stretched by [`MAX_OBJECTIVE_STRETCH`]. At least one request always
    /// remains. Returns the shed requests in the order of shedding.
    pub(crate) fn shed_excess(&self, queue: &mut Vec<QueuedRequest>) -> Vec<RequestId> {
        let own_slots = poisson_upper_bound(self.fleet.ready_slots() / self.settings.scheduler_count as f64);
        let work_per_s = own_slots / self.fleet_run_time_ratio();
        let control_delay_s = self.round_interval_s + self.mean_start_delay_s();
        let terms = |queued: &QueuedRequest| {
            let tracked = &self.requests.all[&queued.id];
            Eq2Terms {
                clearing_time_s: tracked.work / work_per_s,
                objective_s: tracked.objective_s + control_delay_s,
            }
        };
        let mut sums = Eq2Terms { clearing_time_s: 0.0, objective_s: 0.0 };
        for queued in queue.iter() {
            let term = terms(queued);
            sums.clearing_time_s += term.clearing_time_s;
            sums.objective_s += term.objective_s;
        }
        let mut shed = Vec::new();
        while queue.len() > 1
            && sums.clearing_time_s > MAX_OBJECTIVE_STRETCH * sums.objective_s / queue.len() as f64
        {
            let Some(last) = queue.pop() else { break };
            let term = terms(&last);
            sums.clearing_time_s -= term.clearing_time_s;
            sums.objective_s -= term.objective_s;
            shed.push(last.id);
        }
        shed
    }
}
