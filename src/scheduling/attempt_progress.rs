//! What is learned when an attempt starts, progresses or ends, and what follows for its worker and its request.

use crate::scheduling::affinity::Locality;
use crate::scheduling::capacity_probe::FREE_SLOT_LIFETIME_S;
use crate::scheduling::decaying_mean::{FLEET_TIME_CONSTANT_S, LOAD_TIME_CONSTANT_S, WORKER_TIME_CONSTANT_S};
use crate::scheduling::event::AttemptEnded;
use crate::scheduling::fleet::STALE_LOAD_WEIGHT;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::load_estimate::FEW_SCHEDULERS;
use crate::scheduling::outlier_detection::EjectionReason;
use crate::scheduling::request::{AttemptOutcome, Request};
use crate::scheduling::request_table::AttemptTransition;
use crate::scheduling::state::SchedulerState;

/// An attempt that started later than this, or than two rounds, was queued at its worker.
const MIN_QUEUED_S: f64 = 0.05;
/// A success moves a worker's stability by this fraction.
const STABILITY_GAIN: f64 = 0.1;
/// A failure leaves this fraction of a worker's stability, where schedulers are few.
const STABILITY_AFTER_FAILURE: f64 = 0.7;
/// A worker with a stability below this is ejected.
const EJECTION_STABILITY: f64 = 0.3;
/// This many resets with no notification between eject a worker; one may happen to a sound one.
const EJECTING_RESETS: u32 = 2;
/// After a rejection a worker gets nothing for this time per slot.
const REJECTION_BACKOFF_PER_SLOT_S: f64 = 0.1;
/// ln: one run shows a worker in slow start to be this much faster or slower at the most (a factor of three).
const MAX_LOG_GAIN: f64 = 1.1;
/// A shorter run time counts as this: its logarithm is taken.
const MIN_RUN_TIME_S: f64 = 1e-4;

/// What counts of an attempt that has ended.
struct EndedAttempt {
    worker: WorkerId,
    outcome: AttemptOutcome,
    request: Request,
    work: f64,
    sent_at: f64,
    started_at: Option<f64>,
    locality: Option<Locality>,
    /// It was overdue, or being cancelled.
    was_abandoned: bool,
    /// The latency objective was met.
    met_objective: bool,
}

/// A run that ended well.
struct FinishedRun {
    worker: WorkerId,
    work: f64,
    run_time_s: f64,
    locality: Option<Locality>,
}

impl SchedulerState {
    /// An attempt has started to run.
    pub(crate) fn attempt_started(&mut self, id: RequestId, attempt: usize) {
        self.attempt_progressed(id, attempt, 0.0);
    }

    /// An attempt has made progress; a fraction of 0 is its start. What was reported before is ignored.
    pub(crate) fn attempt_progressed(&mut self, id: RequestId, attempt: usize, fraction: f64) {
        let Some(tracked) = self.requests.all.get_mut(&id) else { return };
        let Some(attempt) = tracked.attempts.get_mut(attempt) else { return };
        let is_new_progress = attempt.is_in_flight() && fraction > attempt.progress;
        if !is_new_progress {
            return;
        }
        attempt.progress = fraction;
        attempt.last_notified_at = self.now;
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

    /// An attempt has ended: its worker is judged by it, its run time is learned, and its request is closed, answered or
    /// queued again.
    pub(crate) fn attempt_ended(&mut self, ended: AttemptEnded) {
        let Some(attempt) = self.end_attempt(&ended) else { return };
        self.judge_worker(&attempt);
        self.apply_load_report(attempt.worker, ended.load, STALE_LOAD_WEIGHT);
        if attempt.outcome == AttemptOutcome::Succeeded {
            self.record_success(&attempt);
        }
        self.continue_request(&ended);
        self.schedule_round(0.0); // a slot is free
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

    /// Releases what the attempt held, and moves the worker's stability; ejects the worker where that calls for it.
    fn judge_worker(&mut self, attempt: &EndedAttempt) {
        let now = self.now;
        // With many schedulers each sees few attempts of a worker, so one failure counts for those that the others see.
        let schedulers = (self.settings.scheduler_count as f64 / FEW_SCHEDULERS as f64).max(1.0);
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
                worker.stability *= STABILITY_AFTER_FAILURE.powf(schedulers);
            }
        }
        let was_reset = attempt.outcome == AttemptOutcome::ConnectionReset;
        worker.consecutive_resets += u32::from(was_reset);
        let is_connection_failure = attempt.outcome == AttemptOutcome::ConnectFailed
            || was_reset && worker.consecutive_resets >= EJECTING_RESETS;
        let is_unstable = worker.stability < EJECTION_STABILITY;
        self.record_cancelled_wait(attempt);
        if is_connection_failure {
            self.eject(attempt.worker, EjectionReason::ConnectionFailure);
        } else if is_unstable {
            self.eject(attempt.worker, EjectionReason::LateOrUnstable);
        }
    }

    /// An attempt that was cancelled before it started shows how long starts take at present.
    fn record_cancelled_wait(&mut self, attempt: &EndedAttempt) {
        let was_in_vain = attempt.started_at.is_none() && attempt.outcome == AttemptOutcome::Cancelled;
        let waited_s = self.now - attempt.sent_at;
        // Others count with weight 0, which only moves the time of the mean.
        let weight = f64::from(u8::from(was_in_vain));
        self.statistics.recent_start_delay.add(self.now, LOAD_TIME_CONSTANT_S, waited_s, weight);
    }

    /// Learns the run time, and readmits the worker if it was ejected.
    fn record_success(&mut self, attempt: &EndedAttempt) {
        if let Some(started_at) = attempt.started_at {
            self.record_run(&FinishedRun {
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

    /// Learns from a run. One in slow start tells nothing of other workers: it would make the allowances of all of them
    /// too large.
    fn record_run(&mut self, run: &FinishedRun) {
        let worker = self.fleet.workers.get(&run.worker);
        if worker.is_some_and(|worker| !self.is_in_slow_start(worker)) {
            self.record_warm_run(run);
        } else {
            self.record_slow_start_run(run);
        }
    }

    fn record_warm_run(&mut self, run: &FinishedRun) {
        let log_ratio = (run.run_time_s.max(MIN_RUN_TIME_S) / run.work).ln();
        if let Some((locality, worker)) = run.locality.zip(self.fleet.workers.get(&run.worker)) {
            let extra_s = run.run_time_s - self.run_time_s(worker, run.work);
            self.affinity.record_run(self.now, locality, extra_s / self.mean_run_time_s());
        }
        self.statistics.log_run_time_ratio.add(self.now, FLEET_TIME_CONSTANT_S, log_ratio, 1.0);
        let complexity = self.complexity(run.work);
        self.fleet.record_run(run.worker, complexity, self.now, log_ratio);
    }

    /// A run in slow start tells the worker's speed in the middle of it, against the least by the settings.
    fn record_slow_start_run(&mut self, run: &FinishedRun) {
        let Some(worker) = self.fleet.workers.get(&run.worker) else { return };
        let log_ratio = (run.run_time_s.max(MIN_RUN_TIME_S) / run.work).ln();
        let least_speed = self.capacity_fraction(worker, run.run_time_s / 2.0);
        let gain = self.kind_log_ratio(worker.info.kind) - log_ratio - least_speed.ln();
        let gain = gain.clamp(-MAX_LOG_GAIN, MAX_LOG_GAIN);
        let now = self.now;
        self.statistics.log_slow_start_gain.add(now, WORKER_TIME_CONSTANT_S, gain, 1.0);
        if let Some(worker) = self.fleet.workers.get_mut(&run.worker) {
            worker.log_slow_start_gain.add(now, WORKER_TIME_CONSTANT_S, gain, 1.0);
        }
    }

    /// Closes the request of an ended attempt, answers it, or queues it again.
    fn continue_request(&mut self, ended: &AttemptEnded) {
        let id = ended.request;
        let Some(tracked) = self.requests.all.get(&id) else { return };
        if ended.client_answered || tracked.is_closed() {
            self.close(id);
        } else if self.is_out_of_attempts(tracked) {
            self.give_final_answer(id); // no further attempt is possible
        } else {
            self.requests.enqueue(id);
        }
    }
}
