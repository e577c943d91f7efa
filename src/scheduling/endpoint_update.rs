//! What a new endpoint list changes, and, in the simulator, when discovery is polled again after a failure.
//!
//! On real sockets `src/server/discovery.rs` polls and watches by itself: the engine ignores `Action::WatchEndpointList` and never
//! hands in `Event::DiscoveryFailed`.

use crate::scheduling::action::Action;
use crate::scheduling::endpoint::WorkerInfo;
use crate::scheduling::fleet::SlotSums;
use crate::scheduling::random::seeded_hash;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::timer::Timer;

/// Backoff after the first failed poll; it doubles with each further one.
const MIN_POLL_BACKOFF_S: f64 = 0.5;
/// The backoff doubles this often at the most.
const MAX_POLL_DOUBLINGS: u32 = 6;

impl SchedulerState {
    /// Applies a list: the fleet, the quota shares that follow from its load figures, and the candidates.
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

    /// Takes this scheduler's fraction of the traffic, by what it and all hold, as its share of the quotas.
    fn update_quota_share(&mut self) {
        let slots = self.fleet.ready_slots();
        let scheduler_count = self.settings.scheduler_count as f64;
        let even_share = SlotSums { slots, held_here: slots / scheduler_count, held_by_all: slots };
        let held = self.fleet.held_slots();
        let traffic_share = self.statistics.traffic_share(self.now, held, even_share);
        self.set_quota_share(traffic_share);
    }

    /// The candidates of the next round: all ready workers where own traffic shows free slots, else none until workers
    /// answer capacity probes.
    pub(crate) fn reset_candidates(&mut self) {
        self.candidates =
            if self.sees_free_slots() { self.fleet.candidate_order.clone() } else { Vec::new() };
    }

    /// Backs off after a failed poll of discovery. The schedulers' delays differ by their index, so that they do not all
    /// poll at once; the longest stays within the time after which a change counts as notified.
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
