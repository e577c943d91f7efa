//! Means of what was seen, which fade with time.

use serde::{Deserialize, Serialize};

/// A sum and its weight, as they were at a time; they fade from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Mean {
    pub sum: f64,
    pub weight: f64,
    pub at: f64,
}

impl Mean {
    fn keep(&self, now: f64, recent: f64) -> f64 {
        (-(now - self.at).max(0.0) / recent).exp()
    }

    pub(crate) fn add(&mut self, now: f64, recent: f64, value: f64, weight: f64) {
        let keep = self.keep(now, recent);
        (self.sum, self.weight, self.at) =
            (self.sum * keep + value * weight, self.weight * keep + weight, now);
    }

    /// What is left of its weight.
    pub(crate) fn left(&self, now: f64, recent: f64) -> f64 {
        self.weight * self.keep(now, recent)
    }

    /// The mean, leaning on `fallback` as on `trust` values while there is little to go by.
    pub(crate) fn or(&self, now: f64, recent: f64, trust: f64, fallback: f64) -> f64 {
        let keep = self.keep(now, recent);
        (self.sum * keep + trust * fallback) / (self.weight * keep + trust)
    }
}
