//! Slow start: what one scheduler may send a worker that warms up, so that all schedulers together stay under its fall.
//!
//! A cold worker falls once it gets more than N + 2 root N + 2 requests of mean work within the window that the
//! settings name. N is what the settings allow it at its age; that it has shown more does not count. Nobody sees the
//! sum, so each scheduler keeps to an [`Allowance`] of its own, worked out from settings, list and its own index.
//!
//! With few schedulers each has a fixed share of the budget (`src/shares.rs`). With many, time is cut into intervals as
//! long as the window; in each interval chance grants some schedulers a job, and the expected sum is
//! [`scheduler_share::mean_grants`]. Three things kept that sum from being what it was meant to be, and felled workers on 1 in
//! 10 short days with 32 schedulers:
//! - Grants were counted in jobs of the class at hand, so small classes were granted to more schedulers than large
//!   ones, and the holders of either sent: up to four times the budget. Now a grant is worth a usual job, whatever the
//!   class.
//! - What a worker had shown since its start raised its N.
//! - All intervals began at the same moment, so that two of them met in one window. Now each scheduler has its own
//!   phase.

use crate::scheduling::dispatcher::Dispatcher;
use crate::scheduling::estimates::{KIND_RECENT, RECENT, TRUST};
use crate::scheduling::interface::Settings;
use crate::scheduling::random::chance;
use crate::scheduling::scheduler_share;
use crate::scheduling::state::Worker;

/// What one scheduler may send one worker: `work` seconds in all, counted from `from` on.
pub(crate) struct Allowance {
    pub from: f64,
    pub work: f64,
}

impl Dispatcher {
    /// What this scheduler may send the worker now, with a job that counts for `work` seconds; `None` where it has
    /// no part of the worker's budget.
    pub(crate) fn slow_start(&self, w: &Worker, work: f64) -> Option<Allowance> {
        if scheduler_share::suffice(self.s.scheduler_count) {
            self.fixed_share(w, work)
        } else {
            Some(self.granted(w, work))
        }
    }

    fn fixed_share(&self, w: &Worker, work: f64) -> Option<Allowance> {
        let shown = w.warming.or(self.now, RECENT, TRUST, 0.0).exp();
        let warmth = (self.warmth(w, 0.0) * shown).min(1.0);
        let part = self.cold_part(w)? * self.budget(w, warmth);
        // To the nearest whole job: parts are as often too large for their last job as too small.
        Some(Allowance { from: self.now - self.s.overload_window_s, work: part + 0.5 * work })
    }

    fn granted(&self, w: &Worker, work: f64) -> Allowance {
        let usual = self.seen.usual.or(self.now, KIND_RECENT, 1.0, work);
        let jobs = scheduler_share::mean_grants(self.allowed(w, usual));
        let worth = work.max(usual);
        let salt = w.info.started_at_s.to_bits() ^ w.info.stable_id;
        let interval = Interval::at(self.now - w.info.started_at_s, salt, &self.s);
        let mine = scheduler_share::granted(
            self.s.scheduler_index,
            self.s.scheduler_count,
            jobs * usual / worth,
            salt,
            interval.number,
        );
        Allowance { from: w.info.started_at_s + interval.began, work: mine * worth }
    }

    /// The requests of mean work that the worker may get within a window by the settings: as its size and the `usual`
    /// work tell, or as its part of the tenants' quotas does, whichever is less. Who has seen ten requests may take half
    /// of the usual work for all of it.
    fn allowed(&self, w: &Worker, usual: f64) -> f64 {
        let warmth = self.warmth(w, 0.0);
        let seen = self.budget(w, warmth) / usual;
        let quota: f64 = self.s.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        if quota <= 0.0 {
            return seen;
        }
        let speed = |kind: usize| self.kind_ratio(kind).exp();
        let ready = self.farm.kinds.iter().enumerate();
        let fleet: f64 = ready.map(|(kind, k)| k.ready * k.slots / speed(kind)).sum();
        let part = self.farm.slots_of(w) / speed(w.info.kind) / fleet.max(1e-9);
        seen.min(self.s.collapse_multiple * self.s.overload_window_s * warmth * quota * part)
    }

    /// Seconds of usual-speed work that the worker can be sent within a window before it is overdriven.
    fn budget(&self, w: &Worker, warmth: f64) -> f64 {
        let speed = self.kind_ratio(w.info.kind).exp().max(self.ratio(w, 2));
        let capacity = warmth * self.farm.slots_of(w).max(1.0) / speed;
        self.s.collapse_multiple * capacity * self.s.overload_window_s
    }
}

/// One of the intervals in which a scheduler may use what it is granted at a worker.
#[derive(Debug, PartialEq)]
pub struct Interval {
    /// Counted from the worker's start.
    pub number: u64,
    /// When it began, in seconds after the worker's start; below 0 for the first.
    pub began: f64,
}

impl Interval {
    /// The interval of the scheduler of these settings in which a worker of this age is. `salt` is the same for all
    /// schedulers and another one for each worker.
    pub fn at(age_s: f64, salt: u64, settings: &Settings) -> Self {
        let length_s = settings.overload_window_s.max(1e-3);
        let phase = chance(salt ^ (settings.scheduler_index as u64 + 1).wrapping_mul(0xA24B_AED4_963E_E407));
        let number = (age_s.max(0.0) / length_s + phase).floor();
        Interval { number: number as u64, began: (number - phase) * length_s }
    }
}

#[cfg(test)]
mod tests;
