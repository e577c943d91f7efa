//! The state of one scheduler: settings, workers, requests, statistics and the pending actions.
//!
//! This file holds only data. The rules are `impl SchedulerState` blocks in the files named after their topic. Rules
//! use estimates, and estimates depend only on this state.

use crate::scheduling::action::Action;
use crate::scheduling::affinity::AffinityStatistics;
use crate::scheduling::fleet::Fleet;
use crate::scheduling::gossip::GossipState;
use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::request_table::RequestTable;
use crate::scheduling::settings::Settings;
use crate::scheduling::statistics::TrafficStatistics;
use crate::scheduling::timer::Timer;
use crate::scheduling::token_bucket::TokenBucket;

/// Everything that a scheduler's decisions depend on.
#[derive(Default)]
pub(crate) struct SchedulerState {
    pub settings: Settings,
    /// Makes the random draws of schedulers differ.
    pub seed: u64,
    /// Time of the current event, in seconds on the caller's clock.
    pub now: f64,
    /// Usual interval between scheduling rounds. Some events trigger a round sooner, such as the end of an attempt.
    pub round_interval_s: f64,
    pub fleet: Fleet,
    pub requests: RequestTable,
    pub statistics: TrafficStatistics,
    pub affinity: AffinityStatistics,
    pub gossip: GossipState,
    /// This scheduler's share of each tenant's quota, indexed by tenant.
    pub quotas: Vec<TokenBucket>,
    /// The workers that a round considers: all ready workers, or those that recently answered a capacity probe.
    pub candidates: Vec<WorkerId>,
    /// Position in the fleet's candidate order of the next worker to probe for capacity.
    pub next_probe_position: usize,
    /// When the next round is due; infinite if no timer is set.
    pub next_round_at: f64,
    /// Whether a timer is set for the next overdue check.
    pub overdue_check_scheduled: bool,
    pub next_gossip_at: f64,
    /// Discovery polls that have failed since the last endpoint list.
    pub failed_polls: u32,
    /// Actions for the caller, in order.
    pub actions: Vec<Action>,
}

impl SchedulerState {
    /// Appends an action for the caller.
    pub(crate) fn emit(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn set_timer(&mut self, after_s: f64, timer: Timer) {
        self.emit(Action::SetTimer { after_s, tag: timer.tag() });
    }

    /// Ensures that a round runs within this time, if any request is queued.
    pub(crate) fn schedule_round(&mut self, after_s: f64) {
        let is_sooner = self.now + after_s < self.next_round_at;
        if is_sooner && !self.requests.queue.is_empty() {
            self.next_round_at = self.now + after_s;
            self.set_timer(after_s, Timer::Round);
        }
    }
}
