//! Slow start: limits what one scheduler may send to a worker that has just started.
//!
//! A worker in slow start collapses once all schedulers together send it more than N + 2 √N + 2 average
//! requests within the overload window from the settings ([`scheduler_share::collapse_threshold`]). N is the
//! number that the settings allow at the worker's age; higher performance observed at the worker does not
//! raise it. No scheduler sees the sum, so each one keeps to its own allowance, computed from the settings,
//! the endpoint list, its own index, and the sizes and speeds that it has observed:
//!
//! - With up to nine schedulers ([`scheduler_share::fixed_shares_suffice`]), a fixed share of the worker's
//!   budget, scaled by the gain in speed observed at the worker.
//! - With more schedulers, whole requests that are granted at random per interval. A grant is worth an
//!   average request, regardless of class: if it were counted in the class of the request at hand, classes
//!   with little work would be granted too often. The intervals of each scheduler have their own phase;
//!   otherwise one window could contain the grants of two intervals of all schedulers.

use crate::scheduling::decaying_mean::FLEET_TIME_CONSTANT_S;
use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::random::uniform_draw;
use crate::scheduling::scheduler_share;
use crate::scheduling::settings::Settings;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::worker::{Worker, MEDIUM_COMPLEXITY};

/// Number of observations after which a mean of observed work weighs as much as its fallback.
const WORK_FALLBACK_WEIGHT: f64 = 1.0;
/// Rounds a fixed share to the nearest whole request, so that the last request exceeds the share as often as
/// it falls short.
const SHARE_ROUNDING: f64 = 0.5;
/// Relative tolerance for floating-point errors when sums of work are compared with an allowance.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Lower bound of the interval length, regardless of the settings.
const MIN_INTERVAL_S: f64 = 1e-3;

/// Limit on the work that one scheduler may send one worker: `work` seconds in total since `window_start`.
struct Allowance {
    window_start: f64,
    work: f64,
}

impl SchedulerState {
    /// Whether slow start permits sending the worker this request: always if the worker is warm, otherwise
    /// within this scheduler's allowance.
    pub(crate) fn slow_start_allows(&self, worker: &Worker, class: usize, work: f64) -> bool {
        if !self.is_in_slow_start(worker) {
            return true;
        }
        let work = self.slow_start_work(class, work);
        let Some(allowance) = self.slow_start_allowance(worker, work) else { return false };
        worker.recent_sends.work_since(allowance.window_start) + work
            <= allowance.work * (1.0 + ROUNDING_TOLERANCE)
    }

    /// Work that a request counts for at a worker in slow start, in seconds. It is at least the mean of the
    /// request's class, regardless of the request's hint.
    pub(crate) fn slow_start_work(&self, class: usize, work: f64) -> f64 {
        let objective_s = self.settings.classes[class].latency_objective_s;
        let class_work = &self.statistics.work_by_class[class];
        work.max(class_work.value_or(self.now, FLEET_TIME_CONSTANT_S, WORK_FALLBACK_WEIGHT, objective_s))
    }

    /// Counts work sent to a worker by this process or by another process of the same scheduler.
    pub(crate) fn count_sent_work(&mut self, id: WorkerId, class: usize, work: f64) {
        let work = self.slow_start_work(class, work);
        let window_start = self.now - self.settings.overload_window_s;
        if let Some(worker) = self.fleet.workers.get_mut(&id) {
            worker.recent_sends.add(window_start, self.now, work);
        }
    }

    /// This scheduler's current allowance at the worker for a request that counts for `work` seconds; `None`
    /// if it has no share of the worker's budget.
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
        let window_start = self.now - self.settings.overload_window_s;
        Some(Allowance { window_start, work: share + SHARE_ROUNDING * work })
    }

    /// This scheduler's fraction of the worker's budget, if it currently has one.
    fn fixed_budget_share(&self, worker: &Worker) -> Option<f64> {
        let fraction_at_window_start = self.capacity_fraction(worker, self.settings.overload_window_s);
        let budget_growth = fraction_at_window_start / self.capacity_fraction(worker, f64::INFINITY);
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
        Allowance { window_start: worker.info.started_at_s + interval.start_s, work: granted * grant_work }
    }

    /// Number of average requests that the settings allow the worker within a window (N in the module
    /// documentation): the smaller of the limits by its size and by its share of all tenants' quotas.
    fn allowed_requests(&self, worker: &Worker, mean_work: f64) -> f64 {
        let capacity_fraction = self.capacity_fraction(worker, 0.0);
        let size_limit = self.window_budget(worker, capacity_fraction) / mean_work;
        let quota_per_s: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        if quota_per_s <= 0.0 {
            return size_limit;
        }
        let settings = &self.settings;
        let quota_limit = settings.collapse_multiple
            * settings.overload_window_s
            * capacity_fraction
            * quota_per_s
            * self.fleet_fraction(worker);
        size_limit.min(quota_limit)
    }

    /// The worker's fraction of the total capacity of all ready workers.
    fn fleet_fraction(&self, worker: &Worker) -> f64 {
        let run_time_ratio = |kind: usize| self.kind_log_ratio(kind).exp();
        let kinds = self.fleet.kinds.iter().enumerate();
        let fleet: f64 =
            kinds.map(|(index, kind)| kind.ready_workers * kind.slots / run_time_ratio(index)).sum();
        self.fleet.slots_of(worker) / run_time_ratio(worker.info.kind) / fleet.max(1e-9)
    }

    /// Work in seconds that can be sent to a worker with this capacity fraction within a window before it is
    /// overloaded.
    fn window_budget(&self, worker: &Worker, capacity_fraction: f64) -> f64 {
        let kind_ratio = self.kind_log_ratio(worker.info.kind).exp();
        let run_time_ratio = kind_ratio.max(self.run_time_ratio(worker, MEDIUM_COMPLEXITY));
        let capacity = capacity_fraction * self.fleet.slots_of(worker).max(1.0) / run_time_ratio;
        self.settings.collapse_multiple * capacity * self.settings.overload_window_s
    }
}

/// An interval in which a scheduler may use the requests granted to it at a worker.
#[derive(Debug, PartialEq)]
pub struct GrantInterval {
    /// Index of the interval, counted from the worker's start.
    pub number: u64,
    /// Start of the interval in seconds after the worker's start; below 0 for the first one.
    pub start_s: f64,
}

impl GrantInterval {
    /// Returns the interval that contains the given worker age, for the scheduler with these settings. `salt`
    /// is the same for all schedulers and differs between workers.
    pub fn at(worker_age_s: f64, salt: u64, settings: &Settings) -> Self {
        let length_s = settings.overload_window_s.max(MIN_INTERVAL_S);
        let scheduler_hash = (settings.scheduler_index as u64 + 1).wrapping_mul(0xA24B_AED4_963E_E407);
        let phase = uniform_draw(salt ^ scheduler_hash);
        let number = (worker_age_s.max(0.0) / length_s + phase).floor();
        GrantInterval { number: number as u64, start_s: (number - phase) * length_s }
    }
}

#[cfg(test)]
mod tests;
