//! Exponentially decaying weighted means, by which all learned figures are kept.

use serde::{Deserialize, Serialize};

/// Observations of one scheduler's workers decay with this time constant: a few tens of requests.
pub(crate) const WORKER_TIME_CONSTANT_S: f64 = 15.0;
/// Figures of a kind of worker, of the fleet and of the traffic decay slower: estimates fall back to them.
pub(crate) const FLEET_TIME_CONSTANT_S: f64 = 60.0;
/// Load decays faster: bursts last seconds.
pub(crate) const LOAD_TIME_CONSTANT_S: f64 = 4.0;
/// The fallback of an estimate weighs as much as this many observations.
pub(crate) const FALLBACK_WEIGHT: f64 = 2.0;

/// A weighted sum and its weight at the time of the last observation; both decay from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DecayingMean {
    /// Sum of the observations, each times its weight.
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

    /// Adds an observation of this weight. One of weight 0 only moves the time up to which the mean has decayed.
    pub(crate) fn add(&mut self, now: f64, time_constant_s: f64, value: f64, weight: f64) {
        let remaining = self.remaining_fraction(now, time_constant_s);
        self.sum = self.sum * remaining + value * weight;
        self.weight = self.weight * remaining + weight;
        self.updated_at = now;
    }

    /// What is left of its weight.
    pub(crate) fn remaining_weight(&self, now: f64, time_constant_s: f64) -> f64 {
        self.weight * self.remaining_fraction(now, time_constant_s)
    }

    /// The mean, in which `fallback` counts as `fallback_weight` observations.
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

    /// The mean with the time constant of the fleet; see [`FLEET_TIME_CONSTANT_S`].
    pub(crate) fn fleet_value_or(&self, now: f64, fallback: f64) -> f64 {
        self.value_or(now, FLEET_TIME_CONSTANT_S, FALLBACK_WEIGHT, fallback)
    }

    /// The mean with the time constant of a worker; see [`WORKER_TIME_CONSTANT_S`].
    pub(crate) fn worker_value_or(&self, now: f64, fallback: f64) -> f64 {
        self.value_or(now, WORKER_TIME_CONSTANT_S, FALLBACK_WEIGHT, fallback)
    }

    /// The mean with the time constant of load; see [`LOAD_TIME_CONSTANT_S`].
    pub(crate) fn load_value_or(&self, now: f64, fallback: f64) -> f64 {
        self.value_or(now, LOAD_TIME_CONSTANT_S, FALLBACK_WEIGHT, fallback)
    }
}
