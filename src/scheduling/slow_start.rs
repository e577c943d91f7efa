//! Slow start: how much one scheduler may send a worker that has just started.
//!
//! A worker in slow start collapses once all schedulers together send it more than N + 2 √N + 2 requests of mean work
//! within the window that the settings name ([`scheduler_share::collapse_threshold`]). N is what the settings allow it at
//! its age; that it has shown more does not count. Nobody sees the sum, so each scheduler keeps to an allowance of its
//! own, worked out from settings, endpoint list and its own index:
//!
//! - with up to nine schedulers ([`scheduler_share::fixed_shares_suffice`]) a fixed share of the worker's budget,
//! - with more of them whole requests, granted at random by interval. A grant is worth a request of mean work, whatever its
//!   class: counted in the class at hand, classes of little work would be granted too often. Each scheduler's intervals
//!   have their own phase, so that no window meets the grants of two intervals of all schedulers.

use crate::scheduling::decaying_mean::FLEET_TIME_CONSTANT_S;
use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::random::uniform_draw;
use crate::scheduling::scheduler_share;
use crate::scheduling::settings::Settings;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::worker::{Worker, MEDIUM_COMPLEXITY};

/// A mean of observed work weighs as much as its fallback after this many observations.
const WORK_FALLBACK_WEIGHT: f64 = 1.0;
/// A fixed share is rounded to the nearest whole request: shares are as often too large for their last request as too
/// small.
const ROUNDING: f64 = 0.5;
/// Sums of work may exceed an allowance by rounding errors.
const ROUNDING_ERROR: f64 = 1e-9;
/// An interval lasts at least this long, whatever the settings say.
const MIN_INTERVAL_S: f64 = 1e-3;

/// What one scheduler may send one worker: `work` seconds in all, counted from `since` on.
struct Allowance {
    since: f64,
    work: f64,
}

impl SchedulerState {
    /// Whether a worker may be sent this request: always once it is warm, else within this scheduler's allowance.
    pub(crate) fn slow_start_allows(&self, worker: &Worker, class: usize, work: f64) -> bool {
        if !self.is_in_slow_start(worker) {
            return true;
        }
        let work = self.slow_start_work(class, work);
        let Some(allowance) = self.slow_start_allowance(worker, work) else { return false };
        worker.recent_sends.work_since(allowance.since) + work <= allowance.work * (1.0 + ROUNDING_ERROR)
    }

    /// What a request counts for at a worker in slow start: no less than others of its class, whatever its hint says.
    pub(crate) fn slow_start_work(&self, class: usize, work: f64) -> f64 {
        let objective_s = self.settings.classes[class].latency_objective_s;
        let class_work = &self.statistics.work_by_class[class];
        work.max(class_work.value_or(self.now, FLEET_TIME_CONSTANT_S, WORK_FALLBACK_WEIGHT, objective_s))
    }

    /// Counts work that was sent to a worker, by this process or another one of this scheduler.
    pub(crate) fn count_sent_work(&mut self, id: WorkerId, class: usize, work: f64) {
        let work = self.slow_start_work(class, work);
        let window_start = self.now - self.settings.overload_window_s;
        if let Some(worker) = self.fleet.workers.get_mut(&id) {
            worker.recent_sends.add(window_start, self.now, work);
        }
    }

    /// What this scheduler may send the worker now, with a request that counts for `work` seconds; `None` where it has no
    /// share of the worker's budget.
    fn slow_start_allowance(&self, worker: &Worker, work: f64) -> Option<Allowance> {
        if scheduler_share::fixed_shares_suffice(self.settings.scheduler_count) {
            self.fixed_share_allowance(worker, work)
        } else {
            Some(self.granted_allowance(worker, work))
        }
    }

    fn fixed_share_allowance(&self, worker: &Worker, work: f64) -> Option<Allowance> {
        let gain = worker.log_slow_start_gain.worker_value_or(self.now, 0.0).exp();
        let capacity_fraction = (self.capacity_fraction(worker, 0.0) * gain).min(1.0);
        let share = self.fixed_budget_share(worker)? * self.window_budget(worker, capacity_fraction);
        let since = self.now - self.settings.overload_window_s;
        Some(Allowance { since, work: share + ROUNDING * work })
    }

    /// This scheduler's fraction of the worker's budget, if it has one now.
    fn fixed_budget_share(&self, worker: &Worker) -> Option<f64> {
        let at_window_start = self.capacity_fraction(worker, self.settings.overload_window_s);
        let budget_growth = at_window_start / self.capacity_fraction(worker, f64::INFINITY);
        let salt = worker.info.started_at_s.to_bits() ^ u64::from(worker.info.cell);
        let settings = &self.settings;
        scheduler_share::fixed_share(settings.scheduler_index, settings.scheduler_count, budget_growth, salt)
    }

    fn granted_allowance(&self, worker: &Worker, work: f64) -> Allowance {
        let mean_work =
            self.statistics.work.value_or(self.now, FLEET_TIME_CONSTANT_S, WORK_FALLBACK_WEIGHT, work);
        let grants = scheduler_share::mean_grants_per_interval(self.allowed_requests(worker, mean_work));
        let grant_work = work.max(mean_work);
        let salt = worker.info.started_at_s.to_bits() ^ worker.info.stable_id;
        let interval = GrantInterval::at(self.now - worker.info.started_at_s, salt, &self.settings);
        let granted = scheduler_share::granted_requests(
            self.settings.scheduler_index,
            self.settings.scheduler_count,
            grants * mean_work / grant_work,
            salt,
            interval.number,
        );
        Allowance { since: worker.info.started_at_s + interval.began_s, work: granted * grant_work }
    }

    /// The requests of mean work that the settings allow the worker within a window (N above): by its size, or by its
    /// part of all tenants' quotas, whichever is less.
    fn allowed_requests(&self, worker: &Worker, mean_work: f64) -> f64 {
        let capacity_fraction = self.capacity_fraction(worker, 0.0);
        let by_size = self.window_budget(worker, capacity_fraction) / mean_work;
        let quota_per_s: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        if quota_per_s <= 0.0 {
            return by_size;
        }
        let settings = &self.settings;
        let by_quota = settings.collapse_multiple
            * settings.overload_window_s
            * capacity_fraction
            * quota_per_s
            * self.fleet_fraction(worker);
        by_size.min(by_quota)
    }

    /// The worker's part of what all ready workers can do.
    fn fleet_fraction(&self, worker: &Worker) -> f64 {
        let run_time_ratio = |kind: usize| self.kind_log_ratio(kind).exp();
        let kinds = self.fleet.kinds.iter().enumerate();
        let fleet: f64 =
            kinds.map(|(index, kind)| kind.ready_workers * kind.slots / run_time_ratio(index)).sum();
        self.fleet.slots_of(worker) / run_time_ratio(worker.info.kind) / fleet.max(1e-9)
    }

    /// Seconds of work that a worker with this fraction of its capacity can be sent within a window before it is
    /// overloaded.
    fn window_budget(&self, worker: &Worker, capacity_fraction: f64) -> f64 {
        let kind_ratio = self.kind_log_ratio(worker.info.kind).exp();
        let run_time_ratio = kind_ratio.max(self.run_time_ratio(worker, MEDIUM_COMPLEXITY));
        let capacity = capacity_fraction * self.fleet.slots_of(worker).max(1.0) / run_time_ratio;
        self.settings.collapse_multiple * capacity * self.settings.overload_window_s
    }
}

/// One of the intervals in which a scheduler may use what it is granted at a worker.
#[derive(Debug, PartialEq)]
pub struct GrantInterval {
    /// Counted from the worker's start.
    pub number: u64,
    /// When it began, in seconds after the worker's start; below 0 for the first.
    pub began_s: f64,
}

impl GrantInterval {
    /// The interval of the scheduler of these settings in which a worker of this age is. `salt` is the same for all
    /// schedulers and another one for each worker.
    pub fn at(worker_age_s: f64, salt: u64, settings: &Settings) -> Self {
        let length_s = settings.overload_window_s.max(MIN_INTERVAL_S);
        let scheduler_hash = (settings.scheduler_index as u64 + 1).wrapping_mul(0xA24B_AED4_963E_E407);
        let phase = uniform_draw(salt ^ scheduler_hash);
        let number = (worker_age_s.max(0.0) / length_s + phase).floor();
        GrantInterval { number: number as u64, began_s: (number - phase) * length_s }
    }
}

#[cfg(test)]
mod tests;
