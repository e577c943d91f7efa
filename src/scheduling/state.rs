//! What the decisions work on: settings, workers, requests, statistics, and the actions of the event at hand.
//!
//! Data only. Each rule is an `impl SchedulerState` in the file that is named for its question; rules use estimates, and
//! estimates use nothing but this data.

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

/// All that a scheduler's decisions depend on.
#[derive(Default)]
pub(crate) struct SchedulerState {
    pub settings: Settings,
    /// Makes the draws of schedulers differ.
    pub seed: u64,
    /// The time of the event at hand, in seconds on the caller's clock.
    pub now: f64,
    /// Time between two scheduling rounds.
    pub round_interval_s: f64,
    pub fleet: Fleet,
    pub requests: RequestTable,
    pub statistics: TrafficStatistics,
    pub affinity: AffinityStatistics,
    pub gossip: GossipState,
    /// By tenant: this scheduler's share of the quota.
    pub quotas: Vec<TokenBucket>,
    /// The workers that a round considers: all ready ones, or those that answered a capacity probe lately.
    pub candidates: Vec<WorkerId>,
    /// Where in the fleet's candidate order the next capacity probe goes.
    pub next_probe_position: usize,
    /// When the next round is due; infinite while no timer is set for one.
    pub next_round_at: f64,
    /// A timer is set for the next overdue check.
    pub overdue_check_scheduled: bool,
    pub next_gossip_at: f64,
    /// Polls of discovery that failed since the last list.
    pub failed_polls: u32,
    /// What the caller is to do, in order.
    pub actions: Vec<Action>,
}

impl SchedulerState {
    /// Adds an action for the caller.
    pub(crate) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn set_timer(&mut self, after_s: f64, timer: Timer) {
        self.act(Action::SetTimer { after_s, tag: timer.tag() });
    }

    /// Makes sure that a round comes within this time, if any request is queued.
    pub(crate) fn schedule_round(&mut self, after_s: f64) {
        let is_sooner = self.now + after_s < self.next_round_at;
        if is_sooner && !self.requests.queue.is_empty() {
            self.next_round_at = self.now + after_s;
            self.set_timer(after_s, Timer::Round);
        }
    }
}
