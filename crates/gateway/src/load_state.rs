//! Whether this site forwards requests, grants capacity to others, or neither, with hysteresis both ways.
//!
//! Two sites that are both loaded must not pass requests back and forth, and a site must not grant and withdraw
//! by turns. So a site grants only after it has been free for [`Config::settle_time`], and grants nothing for
//! [`Config::shedding_hold`] after it has forwarded a request.

use crate::{Config, Time};

/// A site without one free slot is short of capacity, in slots.
const MIN_FREE_SLOTS: f64 = 1.0;

/// The load of a site, as its scheduler estimates it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteLoad {
    /// Slots of the workers that take requests.
    pub slots: f64,
    /// Of these, the ones estimated free.
    pub free: f64,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Time that the site needs to work off the waiting requests.
    pub backlog: Time,
}

impl SiteLoad {
    /// Free slots for which no request waits.
    pub fn spare(&self) -> f64 {
        (self.free - self.waiting as f64).max(0.0)
    }

    /// [`SiteLoad::spare`] as a fraction of all slots.
    pub fn spare_fraction(&self) -> f64 {
        if self.slots > 0.0 {
            self.spare() / self.slots
        } else {
            0.0
        }
    }
}

/// What a site does about the others. The names of the variants, in lower case, are values of a metric.
///
/// | state | becomes | when |
/// | --- | --- | --- |
/// | any | shedding | a request is forwarded |
/// | shedding | shedding | for `shedding_hold` after the last forwarded request |
/// | open | open | while the spare fraction is at least `close_at` |
/// | any, else | open | the spare fraction has been at least `open_at` for `settle` |
/// | any, else | neutral | |
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadState {
    /// It grants nothing and has forwarded nothing lately.
    #[default]
    Neutral,
    /// It grants capacity.
    Open,
    /// It has forwarded requests lately and grants nothing.
    Shedding,
}

/// The load state and what it follows from.
#[derive(Debug, Default)]
pub(crate) struct LoadMonitor {
    load: SiteLoad,
    state: LoadState,
    /// Since when enough is spare to grant, without a break.
    spare_since: Option<Time>,
    /// Since when no slot is free, without a break.
    starved_since: Option<Time>,
    last_forwarded_at: Time,
    /// Slots of requests accepted since the load was last measured, which does not show them yet.
    accepted_slots: u32,
}

impl LoadMonitor {
    pub(crate) fn state(&self) -> LoadState {
        self.state
    }

    /// Takes a new measurement of the load.
    pub(crate) fn record_load(&mut self, now: Time, load: SiteLoad, config: &Config) {
        self.load = load;
        self.accepted_slots = 0;
        self.starved_since = since(self.starved_since, load.free < MIN_FREE_SLOTS, now);
        self.spare_since = since(self.spare_since, load.spare_fraction() >= config.open_at, now);
        self.update_state(now, config);
    }

    /// Changes the state where its time has come.
    pub(crate) fn update_state(&mut self, now: Time, config: &Config) {
        let holds_after_forwarding = now < self.last_forwarded_at + config.shedding_hold;
        let stays_open = self.load.spare_fraction() >= config.close_at;
        let opens = self.spare_since.is_some_and(|since| now >= since + config.settle_time);
        self.state = match self.state {
            LoadState::Shedding if holds_after_forwarding => LoadState::Shedding,
            LoadState::Open if stays_open => LoadState::Open,
            LoadState::Neutral | LoadState::Open | LoadState::Shedding if opens => LoadState::Open,
            LoadState::Neutral | LoadState::Open | LoadState::Shedding => LoadState::Neutral,
        };
    }

    /// Whether this site has lacked a free slot for long enough that requests may be forwarded.
    pub(crate) fn may_forward(&self, now: Time, config: &Config) -> bool {
        let starved = self.starved_since.is_some_and(|since| now >= since + config.starvation_time);
        self.state != LoadState::Open && starved
    }

    /// Whether a request that must start this soon comes too late if it waits behind the others here.
    pub(crate) fn backlog_exceeds(&self, start_in: Time) -> bool {
        self.load.backlog > start_in
    }

    /// Records that a waiting request is forwarded, and takes its part off the backlog.
    pub(crate) fn record_forwarded(&mut self, now: Time) {
        self.state = LoadState::Shedding;
        self.last_forwarded_at = now;
        let waiting = self.load.waiting.max(1) as u32;
        self.load.backlog -= self.load.backlog / waiting;
        self.load.waiting = self.load.waiting.saturating_sub(1);
    }

    /// Records that a request of another site is accepted.
    pub(crate) fn record_accepted(&mut self, slots: u32) {
        self.accepted_slots = self.accepted_slots.saturating_add(slots);
    }

    /// Slots to grant to all peers together.
    pub(crate) fn grantable_slots(&self, config: &Config) -> u32 {
        if self.state != LoadState::Open {
            return 0;
        }
        let reserved = config.reserved_fraction * self.load.slots + f64::from(self.accepted_slots);
        (self.load.spare() - reserved).max(0.0) as u32
    }

    /// When the state may change without a new measurement.
    pub(crate) fn due(&self, now: Time, config: &Config) -> Option<Time> {
        let change_at = match self.state {
            LoadState::Shedding => Some(self.last_forwarded_at + config.shedding_hold),
            LoadState::Neutral => self.spare_since.map(|since| since + config.settle_time),
            LoadState::Open => None,
        };
        change_at.filter(|at| *at > now)
    }
}

/// Since when a condition has held without a break; `None` while it does not.
fn since(earlier: Option<Time>, holds: bool, now: Time) -> Option<Time> {
    holds.then(|| earlier.unwrap_or(now))
}

#[cfg(test)]
mod tests;
