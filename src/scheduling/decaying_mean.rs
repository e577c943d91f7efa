//! Exponentially decaying weighted means, which store all learned figures.

use serde::{Deserialize, Serialize};

/// Time constant of per-worker observations: a few tens of requests.
pub(crate) const WORKER_TIME_CONSTANT_S: f64 = 15.0;
/// Time constant of figures for a kind of worker, for the fleet and for the traffic. It is longer because per-worker
/// estimates fall back to these figures.
pub(crate) const FLEET_TIME_CONSTANT_S: f64 = 60.0;
/// Time constant of load figures. It is shorter because bursts last only seconds.
pub(crate) const LOAD_TIME_CONSTANT_S: f64 = 4.0;
/// The fallback of an estimate counts as this many observations.
pub(crate) const FALLBACK_WEIGHT: f64 = 2.0;

/// A weighted mean, stored as the weighted sum and the total weight at the time of the last observation. Both decay
/// from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DecayingMean {
    /// Weighted sum of the observations.
    pub sum: f64,
    /// Sum of the weights.
    pub weight: f64,
    /// When the last observation was added.
    pub updated_at: f64,
}

impl DecayingMean {
    fn remaining_fraction(&self, now: f64, time_constant_s: f64) -> f64 {
        (-(now - self.updated_at).max(0.0) / time_constant_s).exp()
    }

    /// Adds a weighted observation. A weight of 0 only decays the mean to `now`.
    pub(crate) fn add(&mut self, now: f64, time_constant_s: f64, value: f64, weight: f64) {
        let remaining = self.remaining_fraction(now, time_constant_s);
        self.sum = self.sum * remaining + value * weight;
        self.weight = self.weight * remaining + weight;
        self.updated_at = now;
    }

    /// The total weight, decayed to `now`.
    pub(crate) fn remaining_weight(&self, now: f64, time_constant_s: f64) -> f64 {
        self.weight * self.remaining_fraction(now, time_constant_s)
    }

    /// The mean, with `fallback` counted as `fallback_weight` observations.
    pub(crate) fn value_or(
        &self,
        now: f64,
        time_constant_s: f64,
        fallback_weight: f64,
        fallback: f64,
    ) -> f64 {
        let remaining = self.remaining_fraction(now, time_constant_s);
        (self.sum * remaining + fallback_weight * fallback) / (self.weight * remaining + fallback_weight)
    }

    /// [`Self::value_or`] with [`FLEET_TIME_CONSTANT_S`] and [`FALLBACK_WEIGHT`].
    pub(crate) fn fleet_value_or(&self, now: f64, fallback: f64) -> f64 {
        self.value_or(now, FLEET_TIME_CONSTANT_S, FALLBACK_WEIGHT, fallback)
    }

    /// [`Self::value_or`] with [`WORKER_TIME_CONSTANT_S`] and [`FALLBACK_WEIGHT`].
    pub(crate) fn worker_value_or(&self, now: f64, fallback: f64) -> f64 {
        self.value_or(now, WORKER_TIME_CONSTANT_S, FALLBACK_WEIGHT, fallback)
    }

    /// [`Self::value_or`] with [`LOAD_TIME_CONSTANT_S`] and [`FALLBACK_WEIGHT`].
    pub(crate) fn load_value_or(&self, now: f64, fallback: f64) -> f64 {
        self.value_or(now, LOAD_TIME_CONSTANT_S, FALLBACK_WEIGHT, fallback)
    }
}
