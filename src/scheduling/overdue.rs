//! Overdue attempts: when an attempt is late, and what follows for its worker, its request and the queue.
//!
//! | an attempt that | is overdue after |
//! | --- | --- |
//! | has not started | a multiple of the usual start delay, or of the mean run time; longer at a worker in slow start |
//! | has started, where progress is reported | two missed notifications and [`MIN_OVERDUE_S`] |
//! | has started, where it is not | [`MIN_OVERDUE_S`] and a multiple of its estimated run time |
//!
//! Its worker is ejected (`outlier_detection.rs`), and the attempt is replaced where that is allowed (`hedging.rs`). A
//! request that has not started and can no longer meet its objective is given up: it only delays what is queued behind
//! it.

use crate::scheduling::admission::OVERDUE_CHECK_INTERVAL_S;
use crate::scheduling::capacity_probe::IMMEDIATE_ANSWER_S;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::outlier_detection::EjectionReason;
use crate::scheduling::request_table::{Attempt, TrackedRequest};
use crate::scheduling::state::SchedulerState;
use crate::scheduling::timer::Timer;
use crate::scheduling::worker::Worker;

/// No run is overdue before this, and no start before [`START_RUN_TIME_FACTOR`] times this: pauses and the network take
/// that long.
const MIN_OVERDUE_S: f64 = 0.4;
/// A start is overdue after this many usual start delays ...
const START_DELAY_FACTOR: f64 = 1.8;
/// ... but not before this many mean run times: a request may well be queued that long.
const START_RUN_TIME_FACTOR: f64 = 0.6;
/// A run is overdue after this many times its estimate.
const RUN_TIME_FACTOR: f64 = 5.0;
/// Progress is overdue after this many missed notifications.
const MISSED_PROGRESS_NOTIFICATIONS: f64 = 2.0;

/// Limits for attempts that have not started, in seconds.
struct StartLimits {
    /// After this the worker is late.
    overdue_s: f64,
    /// Where only capacity probes show load, an attempt that has not started is replaced after this. Infinite where load
    /// reports show it: there it is not replaced at all.
    replace_unstarted_s: f64,
}

/// What an attempt in flight has come to.
struct CheckedAttempt {
    request: RequestId,
    attempt: usize,
    worker: WorkerId,
    is_overdue: bool,
    is_to_be_replaced: bool,
}

impl SchedulerState {
    /// Looks over all attempts in flight and all ejected workers, and sets the timer for the next check.
    pub(crate) fn check_overdue(&mut self) {
        let limits = self.start_limits();
        let mut checked = Vec::new();
        let mut too_late = Vec::new();
        for (&id, tracked) in &self.requests.all {
            for (index, attempt) in tracked.attempts.iter().enumerate() {
                let Some(worker) = self.fleet.workers.get(&attempt.worker) else { continue };
                if !attempt.is_in_flight() {
                    continue;
                }
                checked.push(self.check_attempt(tracked, index, worker, &limits));
                if self.is_too_late(tracked, attempt, worker) {
                    too_late.push(id);
                }
            }
        }
        for id in too_late {
            self.give_final_answer(id);
        }
        for attempt in checked {
            if attempt.is_overdue {
                self.eject(attempt.worker, EjectionReason::LateOrUnstable);
            }
            if attempt.is_to_be_replaced {
                self.replace_overdue_attempt(attempt.request, attempt.attempt);
            }
        }
        self.check_ejected_workers();
        self.schedule_overdue_check();
        self.schedule_round(self.round_interval_s);
    }

    fn start_limits(&self) -> StartLimits {
        let by_run_time_s = START_RUN_TIME_FACTOR * MIN_OVERDUE_S.max(self.mean_run_time_s());
        let by_start_delay_s = START_DELAY_FACTOR * self.mean_start_delay_s();
        let replace_unstarted_s = if self.relies_on_probes() {
            IMMEDIATE_ANSWER_S + 2.0 * self.settings.event_interval_s
        } else {
            f64::INFINITY
        };
        StartLimits { overdue_s: by_run_time_s.max(by_start_delay_s), replace_unstarted_s }
    }

    fn check_attempt(
        &self,
        tracked: &TrackedRequest,
        index: usize,
        worker: &Worker,
        limits: &StartLimits,
    ) -> CheckedAttempt {
        let attempt = &tracked.attempts[index];
        let silent_s = self.silent_s(attempt, worker);
        let overdue_s = self.overdue_limit_s(tracked, attempt, worker, limits);
        // Where own traffic does not show free slots, a late start may mean overload: another limit holds.
        let is_start_awaited = attempt.started_at.is_none();
        let replace_after_s =
            if is_start_awaited && !self.sees_free_slots() { limits.replace_unstarted_s } else { overdue_s };
        CheckedAttempt {
            request: tracked.request.id,
            attempt: index,
            worker: attempt.worker,
            is_overdue: silent_s > overdue_s,
            is_to_be_replaced: silent_s > replace_after_s,
        }
    }

    /// For how long nothing was received of an attempt. While its start is awaited any notification of the worker counts:
    /// it is alive then, if overloaded, and other attempts would add to that.
    fn silent_s(&self, attempt: &Attempt, worker: &Worker) -> f64 {
        let any_notification_counts = attempt.started_at.is_none() && !self.relies_on_probes();
        let last_notified_at = if any_notification_counts {
            attempt.last_notified_at.max(worker.last_notified_at)
        } else {
            attempt.last_notified_at
        };
        self.now - last_notified_at
    }

    fn overdue_limit_s(
        &self,
        tracked: &TrackedRequest,
        attempt: &Attempt,
        worker: &Worker,
        limits: &StartLimits,
    ) -> f64 {
        if attempt.started_at.is_none() {
            return limits.overdue_s / self.capacity_fraction(worker, 0.0);
        }
        if self.settings.progress_interval_s > 0.0 {
            return MISSED_PROGRESS_NOTIFICATIONS * self.settings.progress_interval_s + MIN_OVERDUE_S;
        }
        MIN_OVERDUE_S + RUN_TIME_FACTOR * self.run_time_s(worker, tracked.work)
    }

    /// Whether a request whose attempt has not started can no longer earn anything, and may be rejected.
    fn is_too_late(&self, tracked: &TrackedRequest, attempt: &Attempt, worker: &Worker) -> bool {
        if attempt.started_at.is_some() || tracked.is_closed() {
            return false;
        }
        let class = &self.settings.classes[tracked.request.class];
        if class.weight_after_objective > 0.0 || !self.may_reject(tracked) {
            return false;
        }
        self.now > tracked.objective_ends_at() - self.run_time_s(worker, tracked.work)
    }

    fn schedule_overdue_check(&mut self) {
        self.overdue_check_scheduled = !self.requests.all.is_empty() || !self.fleet.ejected.is_empty();
        if self.overdue_check_scheduled {
            let after_s = if self.relies_on_probes() { IMMEDIATE_ANSWER_S } else { OVERDUE_CHECK_INTERVAL_S };
            self.set_timer(after_s, Timer::OverdueCheck);
        }
    }
}
