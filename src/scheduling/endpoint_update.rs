//! Applies endpoint lists and, in the simulator, schedules the next poll after a failed one.
//!
//! On real sockets `src/server/discovery.rs` polls and watches on its own: the engine ignores
//! `Action::WatchEndpointList` and never sends `Event::DiscoveryFailed`.

use crate::scheduling::action::Action;
use crate::scheduling::endpoint::WorkerInfo;
use crate::scheduling::fleet::SlotTotals;
use crate::scheduling::random::seeded_hash;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::timer::Timer;

/// Backoff after the first failed poll; doubles with each further failure.
const MIN_POLL_BACKOFF_S: f64 = 0.5;
/// The backoff doubles at most this many times.
const MAX_POLL_DOUBLINGS: u32 = 6;

impl SchedulerState {
    /// Applies an endpoint list: updates the fleet and the candidates. A list that shows load and is not the cached
    /// copy also updates the load estimates and the quota share.
    pub(crate) fn apply_endpoint_list(
        &mut self,
        complete_snapshot: bool,
        from_cache: bool,
        entries: Vec<WorkerInfo>,
    ) {
        let listed: Vec<_> = entries.iter().map(|entry| entry.id).collect();
        let seed = self.seed;
        self.fleet.apply_list(complete_snapshot, entries, |id| seeded_hash(seed, id));
        if self.settings.weights_show_load && !from_cache {
            self.fleet.apply_listed_loads(&listed, self.now);
            self.update_quota_share();
        }
        self.reset_candidates();
        if !from_cache {
            self.failed_polls = 0;
        }
        self.broadcast_gossip();
        if from_cache && self.settings.discovery_polled {
            self.emit(Action::WatchEndpointList);
        }
        self.schedule_round(0.0);
    }

    /// Sets this scheduler's share of the quotas to its fraction of the traffic, measured by reserved slots.
    fn update_quota_share(&mut self) {
        let slots = self.fleet.ready_slots();
        let scheduler_count = self.settings.scheduler_count as f64;
        let even_share = SlotTotals { slots, reserved_here: slots / scheduler_count, reserved_by_all: slots };
        let reserved = self.fleet.reserved_slots();
        let traffic_share = self.statistics.traffic_share(self.now, reserved, even_share);
        self.set_quota_share(traffic_share);
    }

    /// Resets the candidates for the next round: all ready workers if this scheduler's own traffic shows free slots,
    /// otherwise none until workers answer capacity probes.
    pub(crate) fn reset_candidates(&mut self) {
        self.candidates =
            if self.sees_free_slots() { self.fleet.candidate_order.clone() } else { Vec::new() };
    }

    /// Backs off after a failed poll of discovery.
    ///
    /// The delay grows with the scheduler's index so that schedulers do not all poll at once. The longest delay stays
    /// within `max_poll_interval_s`, after which a scheduler counts as notified of a change.
    pub(crate) fn discovery_failed(&mut self) {
        if !self.settings.discovery_polled {
            return;
        }
        let doublings = self.failed_polls.min(MAX_POLL_DOUBLINGS);
        let backoff_s =
            (MIN_POLL_BACKOFF_S * f64::from(1u32 << doublings)).min(self.settings.max_poll_interval_s / 2.0);
        self.failed_polls += 1;
        let spread = self.settings.scheduler_index as f64 / self.settings.scheduler_count as f64;
        self.set_timer(backoff_s * (1.0 + spread.min(1.0)), Timer::DiscoveryRetry);
    }
}
