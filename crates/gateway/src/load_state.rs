//! Decides, with hysteresis, whether this site forwards requests, grants capacity to peers, or neither.
//!
//! Two loaded sites must not pass requests back and forth, and a site must not alternate between granting and
//! withdrawing capacity. Therefore a site grants only after it has had spare capacity for
//! [`Config::settle_time`], and grants nothing for [`Config::shedding_hold`] after it has forwarded a
//! request.

use crate::{Config, Time};

/// A site with fewer free slots than this is short of capacity.
const MIN_FREE_SLOTS: f64 = 1.0;

/// The load of a site, as estimated by its scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteLoad {
    /// Total slots of the workers that accept requests.
    pub slots: f64,
    /// Number of these slots estimated to be free.
    pub free: f64,
    /// Number of requests waiting for a slot.
    pub waiting: usize,
    /// Estimated time to process all waiting requests.
    pub backlog: Time,
}

impl SiteLoad {
    /// Returns the number of free slots that no waiting request needs.
    pub fn spare(&self) -> f64 {
        (self.free - self.waiting as f64).max(0.0)
    }

    /// Returns [`SiteLoad::spare`] as a fraction of all slots.
    pub fn spare_fraction(&self) -> f64 {
        if self.slots > 0.0 {
            self.spare() / self.slots
        } else {
            0.0
        }
    }
}

/// What a site does for its peers. The lower-case variant names are values of a metric.
///
/// | state | next state | condition |
/// | --- | --- | --- |
/// | any | shedding | a request is forwarded |
/// | shedding | shedding | less than `shedding_hold` since the last forwarded request |
/// | open | open | the spare fraction is at least `close_at` |
/// | any, otherwise | open | the spare fraction has been at least `open_at` for `settle_time` |
/// | any, otherwise | neutral | |
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadState {
    /// The site grants no capacity and has not recently forwarded requests.
    #[default]
    Neutral,
    /// The site grants capacity.
    Open,
    /// The site recently forwarded requests and grants no capacity.
    Shedding,
}

/// Tracks the load state and its inputs.
#[derive(Debug, Default)]
pub(crate) struct LoadMonitor {
    load: SiteLoad,
    state: LoadState,
    /// Start of the current period in which the spare fraction is at least `open_at`.
    spare_since: Option<Time>,
    /// Start of the current period without a free slot.
    starved_since: Option<Time>,
    last_forwarded_at: Time,
    /// Slots of requests accepted since the last load measurement, which does not include them.
    accepted_slots: u32,
}

impl LoadMonitor {
    pub(crate) fn state(&self) -> LoadState {
        self.state
    }

    /// Records a load measurement.
    pub(crate) fn record_load(&mut self, now: Time, load: SiteLoad, config: &Config) {
        self.load = load;
        self.accepted_slots = 0;
        self.starved_since = period_start(self.starved_since, load.free < MIN_FREE_SLOTS, now);
        self.spare_since = period_start(self.spare_since, load.spare_fraction() >= config.open_at, now);
        self.update_state(now, config);
    }

    /// Updates the state for the current time.
    pub(crate) fn update_state(&mut self, now: Time, config: &Config) {
        let within_hold = now < self.last_forwarded_at + config.shedding_hold;
        let stays_open = self.load.spare_fraction() >= config.close_at;
        let opens = self.spare_since.is_some_and(|start| now >= start + config.settle_time);
        self.state = match self.state {
            LoadState::Shedding if within_hold => LoadState::Shedding,
            LoadState::Open if stays_open => LoadState::Open,
            LoadState::Neutral | LoadState::Open | LoadState::Shedding if opens => LoadState::Open,
            LoadState::Neutral | LoadState::Open | LoadState::Shedding => LoadState::Neutral,
        };
    }

    /// Returns whether this site has had no free slot for long enough to forward requests.
    pub(crate) fn may_forward(&self, now: Time, config: &Config) -> bool {
        let starved = self.starved_since.is_some_and(|start| now >= start + config.starvation_time);
        self.state != LoadState::Open && starved
    }

    /// Returns whether a request that must start within `start_in` would be late behind the backlog.
    pub(crate) fn backlog_exceeds(&self, start_in: Time) -> bool {
        self.load.backlog > start_in
    }

    /// Records that a waiting request was forwarded, and reduces the backlog by its share.
    pub(crate) fn record_forwarded(&mut self, now: Time) {
        self.state = LoadState::Shedding;
        self.last_forwarded_at = now;
        let waiting = self.load.waiting.max(1) as u32;
        self.load.backlog -= self.load.backlog / waiting;
        self.load.waiting = self.load.waiting.saturating_sub(1);
    }

    /// Records that a request from a peer was accepted.
    pub(crate) fn record_accepted(&mut self, slots: u32) {
        self.accepted_slots = self.accepted_slots.saturating_add(slots);
    }

    /// Returns the number of slots to grant to all peers in total.
    pub(crate) fn grantable_slots(&self, config: &Config) -> u32 {
        if self.state != LoadState::Open {
            return 0;
        }
        let reserved = config.reserved_fraction * self.load.slots + f64::from(self.accepted_slots);
        (self.load.spare() - reserved).max(0.0) as u32
    }

    /// Returns when the state may change without a new measurement.
    pub(crate) fn due(&self, now: Time, config: &Config) -> Option<Time> {
        let change_at = match self.state {
            LoadState::Shedding => Some(self.last_forwarded_at + config.shedding_hold),
            LoadState::Neutral => self.spare_since.map(|start| start + config.settle_time),
            LoadState::Open => None,
        };
        change_at.filter(|at| *at > now)
    }
}

/// Returns the start of the current period in which a condition holds, or `None` if it does not hold.
fn period_start(previous: Option<Time>, holds: bool, now: Time) -> Option<Time> {
    holds.then(|| previous.unwrap_or(now))
}

#[cfg(test)]
mod tests;
