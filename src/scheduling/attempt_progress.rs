//! Updates statistics, the worker and the request when an attempt starts, progresses or ends.

use crate::scheduling::affinity::Locality;
use crate::scheduling::capacity_probe::FREE_SLOT_LIFETIME_S;
use crate::scheduling::decaying_mean::{FLEET_TIME_CONSTANT_S, LOAD_TIME_CONSTANT_S, WORKER_TIME_CONSTANT_S};
use crate::scheduling::event::AttemptEnded;
use crate::scheduling::fleet::STALE_LOAD_WEIGHT;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::load_estimate::SMALL_GROUP_SCHEDULERS;
use crate::scheduling::outlier_detection::EjectionReason;
use crate::scheduling::request::{AttemptOutcome, Request};
use crate::scheduling::request_table::AttemptTransition;
use crate::scheduling::state::SchedulerState;

/// An attempt that took longer than this and longer than two rounds to start was queued at its worker.
const MIN_QUEUED_S: f64 = 0.05;
/// Smoothing factor by which a success moves a worker's stability toward 1, or toward 0 if it missed the
/// objective.
const STABILITY_GAIN: f64 = 0.1;
/// Fraction of a worker's stability that remains after a failure if there are few schedulers.
const STABILITY_AFTER_FAILURE: f64 = 0.7;
/// A worker whose stability falls below this is ejected.
const MIN_STABILITY: f64 = 0.3;
/// This many resets without a notification in between eject a worker; a healthy worker may cause one.
const RESETS_UNTIL_EJECTION: u32 = 2;
/// A worker that rejected an attempt is sent nothing for this time multiplied by its slots, but at least for
/// [`FREE_SLOT_LIFETIME_S`].
const REJECTION_BACKOFF_PER_SLOT_S: f64 = 0.1;
/// Maximum natural logarithm of the gain or loss in speed learned from one run in slow start (a factor of
/// three).
const MAX_LOG_GAIN: f64 = 1.1;
/// Lower bound of a run time before its logarithm is taken.
const MIN_RUN_TIME_S: f64 = 1e-4;

/// Data of an ended attempt that is used to update its worker and the statistics.
struct EndedAttempt {
    worker: WorkerId,
    outcome: AttemptOutcome,
    request: Request,
    work: f64,
    sent_at: f64,
    started_at: Option<f64>,
    locality: Option<Locality>,
    /// The attempt was overdue or being cancelled.
    was_abandoned: bool,
    /// The attempt ended within the latency objective.
    met_objective: bool,
}

/// The run of an attempt that succeeded.
struct SuccessfulRun {
    worker: WorkerId,
    work: f64,
    run_time_s: f64,
    locality: Option<Locality>,
}

impl SchedulerState {
    /// Handles the start notification of an attempt.
    pub(crate) fn attempt_started(&mut self, id: RequestId, attempt: usize) {
        self.attempt_progressed(id, attempt, 0.0);
    }

    /// Handles a progress notification of an attempt; a fraction of 0 is its start. Progress that was already
    /// reported is ignored.
    pub(crate) fn attempt_progressed(&mut self, id: RequestId, attempt: usize, fraction: f64) {
        let Some(tracked) = self.requests.all.get_mut(&id) else { return };
        let Some(attempt) = tracked.attempts.get_mut(attempt) else { return };
        let is_new_progress = attempt.is_in_flight() && fraction > attempt.progress;
        if !is_new_progress {
            return;
        }
        attempt.progress = fraction;
        attempt.last_notified_at = self.now;
        attempt.end_is_uncertain = false;
        let worker_id = attempt.worker;
        let start_delay_s = self.now - attempt.sent_at;
        let has_just_started = attempt.started_at.is_none() && fraction == 0.0;
        if has_just_started {
            attempt.started_at = Some(self.now);
        }
        let Some(worker) = self.fleet.workers.get_mut(&worker_id) else { return };
        worker.last_notified_at = self.now;
        worker.consecutive_resets = 0;
        if has_just_started {
            self.record_start(worker_id, start_delay_s);
        } else {
            self.readmit(worker_id);
        }
    }

    /// Handles a report of an end that may be this attempt's or an earlier one's at the same worker. The attempt is
    /// overdue unless the worker reports its progress from now on (`overdue.rs`). A repetition of the report does not
    /// extend that time.
    pub(crate) fn attempt_end_uncertain(&mut self, id: RequestId, attempt: usize) {
        let Some(tracked) = self.requests.all.get_mut(&id) else { return };
        let Some(attempt) = tracked.attempts.get_mut(attempt) else { return };
        if attempt.is_in_flight() && !attempt.end_is_uncertain {
            attempt.end_is_uncertain = true;
            attempt.last_notified_at = self.now;
        }
    }

    fn record_start(&mut self, id: WorkerId, start_delay_s: f64) {
        let was_queued = start_delay_s > (2.0 * self.round_interval_s).max(MIN_QUEUED_S);
        let Some(total_slots) = self.fleet.workers.get(&id).map(|worker| self.fleet.slots_of(worker)) else {
            return;
        };
        let now = self.now;
        if let Some(worker) = self.fleet.workers.get_mut(&id) {
            worker.attempt_started(now, total_slots, was_queued);
        }
        let busy = f64::from(u8::from(was_queued));
        self.statistics.busy_fraction.add(now, LOAD_TIME_CONSTANT_S, busy, 1.0);
        self.statistics.start_delay.add(now, WORKER_TIME_CONSTANT_S, start_delay_s, 1.0);
        self.statistics.recent_start_delay.add(now, LOAD_TIME_CONSTANT_S, start_delay_s, 1.0);
        self.schedule_round(self.round_interval_s);
    }

    /// Handles the end of an attempt: updates its worker and the run time statistics, and closes, answers or
    /// requeues its request.
    pub(crate) fn attempt_ended(&mut self, ended: AttemptEnded) {
        let Some(attempt) = self.end_attempt(&ended) else { return };
        self.update_worker(&attempt);
        self.apply_load_report(attempt.worker, ended.load, STALE_LOAD_WEIGHT);
        if attempt.outcome == AttemptOutcome::Succeeded {
            self.record_success(&attempt);
        }
        self.continue_request(&ended);
        self.schedule_round(0.0); // a slot has become free
    }

    fn end_attempt(&mut self, ended: &AttemptEnded) -> Option<EndedAttempt> {
        let tracked = self.requests.all.get_mut(&ended.request)?;
        let met_objective = self.now <= tracked.objective_ends_at();
        let attempt = tracked.attempts.get_mut(ended.attempt).filter(|attempt| attempt.is_in_flight())?;
        let was_abandoned = attempt.is_abandoned();
        attempt.advance(AttemptTransition::End(ended.outcome));
        Some(EndedAttempt {
            worker: attempt.worker,
            outcome: ended.outcome,
            work: tracked.work,
            sent_at: attempt.sent_at,
            started_at: attempt.started_at,
            locality: attempt.locality,
            was_abandoned,
            met_objective,
            request: tracked.request.clone(),
        })
    }

    /// Releases the capacity reserved for the attempt, updates the worker's stability, and ejects the worker
    /// if necessary.
    fn update_worker(&mut self, attempt: &EndedAttempt) {
        let now = self.now;
        // With many schedulers each one observes only a few of a worker's attempts, so a failure also counts
        // for those that the other schedulers observe.
        let failure_weight = (self.settings.scheduler_count as f64 / SMALL_GROUP_SCHEDULERS as f64).max(1.0);
        let Some(worker) = self.fleet.workers.get_mut(&attempt.worker) else { return };
        worker.release_capacity(&attempt.request, attempt.started_at.is_some());
        match attempt.outcome {
            AttemptOutcome::RejectedByWorker => {
                let backoff_s = FREE_SLOT_LIFETIME_S.max(worker.slots.total * REJECTION_BACKOFF_PER_SLOT_S);
                worker.rejecting_until = now + backoff_s;
            }
            AttemptOutcome::Succeeded => {
                let success = f64::from(u8::from(attempt.met_objective));
                worker.stability += STABILITY_GAIN * (success - worker.stability);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent | AttemptOutcome::StaleConnection => {}
            AttemptOutcome::Failed
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset => {
                worker.stability *= STABILITY_AFTER_FAILURE.powf(failure_weight);
            }
        }
        let was_reset = attempt.outcome == AttemptOutcome::ConnectionReset;
        worker.consecutive_resets += u32::from(was_reset);
        let is_connection_failure = attempt.outcome == AttemptOutcome::ConnectFailed
            || was_reset && worker.consecutive_resets >= RESETS_UNTIL_EJECTION;
        let is_unstable = worker.stability < MIN_STABILITY;
        self.record_wait_of_cancelled_attempt(attempt);
        if is_connection_failure {
            self.eject(attempt.worker, EjectionReason::ConnectionFailure);
        } else if is_unstable {
            self.eject(attempt.worker, EjectionReason::LateOrUnstable);
        }
    }

    /// Counts the wait of an attempt that was cancelled before it started as a recent start delay.
    fn record_wait_of_cancelled_attempt(&mut self, attempt: &EndedAttempt) {
        let was_cancelled_before_start =
            attempt.started_at.is_none() && attempt.outcome == AttemptOutcome::Cancelled;
        let waited_s = self.now - attempt.sent_at;
        // Other attempts are added with weight 0, which only advances the time of the decaying mean.
        let weight = f64::from(u8::from(was_cancelled_before_start));
        self.statistics.recent_start_delay.add(self.now, LOAD_TIME_CONSTANT_S, waited_s, weight);
    }

    /// Records the run time and readmits the worker if it was ejected.
    fn record_success(&mut self, attempt: &EndedAttempt) {
        if let Some(started_at) = attempt.started_at {
            self.record_run(&SuccessfulRun {
                worker: attempt.worker,
                work: attempt.work,
                run_time_s: self.now - started_at,
                locality: attempt.locality,
            });
        }
        self.readmit(attempt.worker);
        let now = self.now;
        if let Some(worker) = self.fleet.workers.get_mut(&attempt.worker) {
            if !attempt.was_abandoned {
                worker.last_notified_at = now;
                worker.consecutive_resets = 0;
                worker.successes_since_readmission += 1.0;
                worker.ejection_backoff_s = 0.0;
            }
        }
    }

    /// Updates the run time statistics. A run in slow start does not count for other workers, because it
    /// would make the allowances of all of them too large.
    fn record_run(&mut self, run: &SuccessfulRun) {
        let worker = self.fleet.workers.get(&run.worker);
        if worker.is_some_and(|worker| !self.is_in_slow_start(worker)) {
            self.record_warm_run(run);
        } else {
            self.record_slow_start_run(run);
        }
    }

    fn record_warm_run(&mut self, run: &SuccessfulRun) {
        let log_ratio = (run.run_time_s.max(MIN_RUN_TIME_S) / run.work).ln();
        if let Some((locality, worker)) = run.locality.zip(self.fleet.workers.get(&run.worker)) {
            let extra_s = run.run_time_s - self.run_time_s(worker, run.work);
            self.affinity.record_run(self.now, locality, extra_s / self.mean_run_time_s());
        }
        self.statistics.log_run_time_ratio.add(self.now, FLEET_TIME_CONSTANT_S, log_ratio, 1.0);
        let complexity = self.complexity(run.work);
        self.fleet.record_run(run.worker, complexity, self.now, log_ratio);
    }

    /// Updates the slow start gain: the worker's speed in the middle of the run relative to the configured
    /// minimum.
    fn record_slow_start_run(&mut self, run: &SuccessfulRun) {
        let Some(worker) = self.fleet.workers.get(&run.worker) else { return };
        let log_ratio = (run.run_time_s.max(MIN_RUN_TIME_S) / run.work).ln();
        let min_speed = self.capacity_fraction(worker, run.run_time_s / 2.0);
        let gain = self.kind_log_ratio(worker.info.kind) - log_ratio - min_speed.ln();
        let gain = gain.clamp(-MAX_LOG_GAIN, MAX_LOG_GAIN);
        let now = self.now;
        self.statistics.log_slow_start_gain.add(now, WORKER_TIME_CONSTANT_S, gain, 1.0);
        if let Some(worker) = self.fleet.workers.get_mut(&run.worker) {
            worker.log_slow_start_gain.add(now, WORKER_TIME_CONSTANT_S, gain, 1.0);
        }
    }

    /// Closes, answers or requeues the request of an attempt that has ended.
    fn continue_request(&mut self, ended: &AttemptEnded) {
        let id = ended.request;
        let Some(tracked) = self.requests.all.get(&id) else { return };
        if ended.client_answered || tracked.is_closed() {
            self.close(id);
        } else if self.is_out_of_attempts(tracked) {
            self.reject_or_fail(id); // no further attempt is possible
        } else {
            self.requests.enqueue(id);
        }
    }
}
