//! A token bucket that enforces a tenant's quota.

use crate::scheduling::random::poisson_upper_bound;

/// Burst allowance, in seconds of the quota's rate.
const QUOTA_BURST_S: f64 = 2.0;

/// The requests that a tenant may still send within its quota.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    pub(crate) fn full(rate_per_s: f64) -> Self {
        let capacity = poisson_upper_bound(QUOTA_BURST_S * rate_per_s);
        TokenBucket { rate_per_s, capacity, tokens: capacity, refilled_at: 0.0 }
    }

    /// Changes the rate and the capacity; tokens beyond the new capacity are discarded.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64) {
        let new = TokenBucket::full(rate_per_s);
        self.rate_per_s = new.rate_per_s;
        self.capacity = new.capacity;
        self.tokens = self.tokens.min(new.capacity);
    }

    /// Takes a token; returns false if none is left.
    pub(crate) fn take(&mut self, now: f64) -> bool {
        let refill = self.rate_per_s * (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + refill).min(self.capacity);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
