//! Overdue attempts: when an attempt is overdue, and the consequences for its worker, its request and the
//! queue.
//!
//! | an attempt that | is overdue after |
//! | --- | --- |
//! | has not started | a multiple of the mean start delay or the mean run time, whichever is longer; later in slow start |
//! | has started, with progress reported | two missed notifications plus [`MIN_OVERDUE_S`] |
//! | has started, without progress reports | [`MIN_OVERDUE_S`] plus a multiple of its estimated run time |
//!
//! The worker is ejected unless most of the fleet is (`outlier_detection.rs`), and the attempt is replaced
//! where that is allowed (`hedging.rs`). If the worker has reported an end that may be this attempt's, only its own
//! notifications count from then on, and the worker is not ejected. A sent request that has not started and can no
//! longer meet its latency objective is rejected if a late answer has no value and the client can safely retry, because
//! it would only delay the requests queued behind it.

use crate::scheduling::admission::OVERDUE_CHECK_INTERVAL_S;
use crate::scheduling::capacity_probe::IMMEDIATE_ANSWER_S;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::outlier_detection::EjectionReason;
use crate::scheduling::request_table::{Attempt, TrackedRequest};
use crate::scheduling::state::SchedulerState;
use crate::scheduling::timer::Timer;
use crate::scheduling::worker::Worker;

/// No run is overdue before this, and no start before [`START_RUN_TIME_FACTOR`] times this: process pauses
/// and network delays can last that long.
const MIN_OVERDUE_S: f64 = 0.4;
/// A start is overdue after this multiple of the mean start delay.
const START_DELAY_FACTOR: f64 = 1.8;
/// A start is not overdue before this multiple of the mean run time, because requests are often queued that
/// long.
const START_RUN_TIME_FACTOR: f64 = 0.6;
/// A run is overdue after this multiple of its estimated run time.
const RUN_TIME_FACTOR: f64 = 5.0;
/// Progress is overdue after this many missed notifications.
const MISSED_PROGRESS_NOTIFICATIONS: f64 = 2.0;

/// Time limits for attempts that have not started.
struct StartLimits {
    /// The attempt is overdue after this.
    overdue_s: f64,
    /// Where only capacity probes show load, an attempt that has not started is replaced after this. Infinite
    /// elsewhere: without probes a late start may mean overload, which a replacement would aggravate.
    replace_unstarted_s: f64,
}

/// Result of the check of one attempt in flight.
struct AttemptCheck {
    request: RequestId,
    attempt: usize,
    worker: WorkerId,
    /// Whether the worker is ejected. It is not while it has reported an end that may be this attempt's.
    ejects_worker: bool,
    should_replace: bool,
}

impl SchedulerState {
    /// Checks all attempts in flight and all ejected workers, and sets the timer for the next check.
    pub(crate) fn check_overdue(&mut self) {
        let limits = self.start_limits();
        let mut checks = Vec::new();
        let mut too_late = Vec::new();
        for (&id, tracked) in &self.requests.all {
            for (index, attempt) in tracked.attempts.iter().enumerate() {
                let Some(worker) = self.fleet.workers.get(&attempt.worker) else { continue };
                if !attempt.is_in_flight() {
                    continue;
                }
                checks.push(self.check_attempt(tracked, index, worker, &limits));
                if self.is_too_late(tracked, attempt, worker) {
                    too_late.push(id);
                }
            }
        }
        for id in too_late {
            self.reject_or_fail(id);
        }
        for check in checks {
            if check.ejects_worker {
                self.eject(check.worker, EjectionReason::LateOrUnstable);
            }
            if check.should_replace {
                self.replace_overdue_attempt(check.request, check.attempt);
            }
        }
        self.check_ejected_workers();
        self.schedule_overdue_check();
        self.schedule_round(self.round_interval_s);
    }

    fn start_limits(&self) -> StartLimits {
        let run_time_limit_s = START_RUN_TIME_FACTOR * MIN_OVERDUE_S.max(self.mean_run_time_s());
        let start_delay_limit_s = START_DELAY_FACTOR * self.mean_start_delay_s();
        let replace_unstarted_s = if self.relies_on_probes() {
            IMMEDIATE_ANSWER_S + 2.0 * self.settings.event_interval_s
        } else {
            f64::INFINITY
        };
        StartLimits { overdue_s: run_time_limit_s.max(start_delay_limit_s), replace_unstarted_s }
    }

    fn check_attempt(
        &self,
        tracked: &TrackedRequest,
        index: usize,
        worker: &Worker,
        limits: &StartLimits,
    ) -> AttemptCheck {
        let attempt = &tracked.attempts[index];
        let silence_s = self.silence_s(attempt, worker);
        let overdue_s = self.overdue_limit_s(tracked, attempt, worker, limits);
        // Where this scheduler's own traffic does not show free slots, a late start may mean overload, so a
        // different limit applies.
        let awaits_start = attempt.started_at.is_none() && !attempt.end_is_uncertain;
        let replace_after_s =
            if awaits_start && !self.sees_free_slots() { limits.replace_unstarted_s } else { overdue_s };
        AttemptCheck {
            request: tracked.request.id,
            attempt: index,
            worker: attempt.worker,
            ejects_worker: silence_s > overdue_s && !attempt.end_is_uncertain,
            should_replace: silence_s > replace_after_s,
        }
    }

    /// Seconds since the last notification of an attempt. While its start is awaited, any notification of the
    /// worker counts: the worker is alive, though possibly overloaded, and another attempt would add to its
    /// load. Not so once the attempt may have ended, because then no start may follow.
    fn silence_s(&self, attempt: &Attempt, worker: &Worker) -> f64 {
        let awaits_start = attempt.started_at.is_none() && !attempt.end_is_uncertain;
        let any_notification_counts = awaits_start && !self.relies_on_probes();
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

    /// Whether a request whose attempt has not started can no longer finish within its latency objective, has
    /// no value after it, and may be rejected.
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
