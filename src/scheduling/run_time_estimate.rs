//! Estimates of run times and start delays.
//!
//! The client's hint estimates the work of a request in seconds on a standard core. The ratio of run time to estimated
//! work is learned for each worker and complexity class. With few observations the estimate falls back to the worker's
//! mean over all classes, then to its kind, then to the fleet. Ratios are stored as logarithms. This module makes no
//! decisions.

use crate::scheduling::state::SchedulerState;
use crate::scheduling::worker::{Worker, COMPLEXITY_CLASSES, MEDIUM_COMPLEXITY};

/// Bounds of the mean run time, which can be far off while there are few observations.
const MEAN_RUN_TIME_BOUNDS_S: (f64, f64) = (0.05, 60.0);
/// Minimum capacity fraction of a worker, regardless of the settings.
const MIN_CAPACITY_FRACTION: f64 = 0.01;
/// Minimum duration of a slow start, regardless of the settings.
const MIN_SLOW_START_S: f64 = 1e-3;

impl SchedulerState {
    /// The minimum fraction of its capacity that a worker had `seconds_ago`, according to the slow start settings.
    ///
    /// It grows linearly from `slow_start_fraction` at the worker's start to 1.
    pub(crate) fn capacity_fraction(&self, worker: &Worker, seconds_ago: f64) -> f64 {
        let age_s = if worker.info.started_at_s > 0.0 {
            (self.now - seconds_ago - worker.info.started_at_s).max(0.0)
        } else {
            f64::INFINITY
        };
        let initial = self.settings.slow_start_fraction.clamp(MIN_CAPACITY_FRACTION, 1.0);
        let duration_s = self.settings.slow_start_duration_s.max(MIN_SLOW_START_S);
        (initial + (1.0 - initial) * age_s / duration_s).min(1.0)
    }

    /// Whether a worker is still in slow start.
    pub(crate) fn is_in_slow_start(&self, worker: &Worker) -> bool {
        self.capacity_fraction(worker, 0.0) < 1.0
    }

    /// Mean ratio of run time to estimated work over the fleet.
    pub(crate) fn fleet_run_time_ratio(&self) -> f64 {
        self.statistics.log_run_time_ratio.fleet_value_or(self.now, 0.0).exp()
    }

    /// Mean of ln(run time / estimated work) for a kind of worker.
    pub(crate) fn kind_log_ratio(&self, kind: usize) -> f64 {
        let fleet_log_ratio = self.statistics.log_run_time_ratio.fleet_value_or(self.now, 0.0);
        self.fleet.kinds[kind].log_run_time_ratio.fleet_value_or(self.now, fleet_log_ratio)
    }

    /// The complexity class of a request with this estimated work. Each class spans a factor of two; an average request
    /// is in the middle class.
    pub(crate) fn complexity(&self, work: f64) -> usize {
        let log_mean_work = self.statistics.log_work.fleet_value_or(self.now, work.ln());
        let steps = (work.ln() - log_mean_work) / std::f64::consts::LN_2;
        (steps.round() + MEDIUM_COMPLEXITY as f64).clamp(0.0, (COMPLEXITY_CLASSES - 1) as f64) as usize
    }

    /// Ratio of run time to estimated work at a worker, for a complexity class.
    pub(crate) fn run_time_ratio(&self, worker: &Worker, complexity: usize) -> f64 {
        let kind_log_ratio = self.kind_log_ratio(worker.info.kind);
        let worker_log_ratio = worker.log_run_time_ratio.worker_value_or(self.now, kind_log_ratio);
        worker.log_ratio_by_complexity[complexity].worker_value_or(self.now, worker_log_ratio).exp()
    }

    /// Expected run time of a request with this estimated work at a worker, in seconds.
    pub(crate) fn run_time_s(&self, worker: &Worker, work: f64) -> f64 {
        work * self.run_time_ratio(worker, self.complexity(work)) / self.speed_fraction(worker)
    }

    /// The fraction of its full speed at which a worker runs during slow start.
    ///
    /// This is the minimum according to the settings. If overload of a worker cannot be distinguished from a fault, the
    /// minimum is multiplied by the observed gain in speed of workers in slow start; otherwise the minimum has proved
    /// accurate enough.
    fn speed_fraction(&self, worker: &Worker) -> f64 {
        let min_fraction = self.capacity_fraction(worker, 0.0);
        if self.detects_overload() || min_fraction >= 1.0 {
            return min_fraction;
        }
        let fleet_gain = self.statistics.log_slow_start_gain.worker_value_or(self.now, 0.0);
        let gain = worker.log_slow_start_gain.worker_value_or(self.now, fleet_gain);
        (min_fraction * gain.exp()).min(1.0)
    }

    /// Mean run time over the fleet, in seconds.
    pub(crate) fn mean_run_time_s(&self) -> f64 {
        let log_work = self.statistics.log_work.fleet_value_or(self.now, 0.0);
        let log_ratio = self.statistics.log_run_time_ratio.fleet_value_or(self.now, 0.0);
        let (min_s, max_s) = MEAN_RUN_TIME_BOUNDS_S;
        (log_work + log_ratio).exp().clamp(min_s, max_s)
    }

    /// Mean time from dispatch to start, in seconds.
    pub(crate) fn mean_start_delay_s(&self) -> f64 {
        self.statistics.start_delay.fleet_value_or(self.now, self.round_interval_s)
    }

    /// Mean time from dispatch to start over the last few seconds. Estimates the wait at a worker whose queue is
    /// unknown.
    pub(crate) fn recent_start_delay_s(&self) -> f64 {
        self.statistics.recent_start_delay.load_value_or(self.now, self.mean_start_delay_s())
    }
}
