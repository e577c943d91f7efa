//! Tenants' quotas: this scheduler's share of each, and whether a request is inside it.
//!
//! A request over its tenant's quota is not rejected for that: it comes after all others (`admission.rs`).

use crate::scheduling::state::SchedulerState;
use crate::scheduling::token_bucket::TokenBucket;

impl SchedulerState {
    /// Gives this scheduler another fraction of each tenant's quota; what is left of the buckets stays.
    pub(crate) fn set_quota_share(&mut self, traffic_share: f64) {
        for (index, tenant) in self.settings.tenants.iter().enumerate() {
            let rate_per_s = tenant.quota_per_s * traffic_share;
            match self.quotas.get_mut(index) {
                Some(bucket) => bucket.set_rate(rate_per_s),
                None => self.quotas.push(TokenBucket::full(rate_per_s)),
            }
        }
    }

    /// Whether a request of this tenant is inside the quota, from which it takes one. A tenant without a quota is.
    pub(crate) fn take_quota(&mut self, tenant: usize) -> bool {
        let now = self.now;
        self.quotas.get_mut(tenant).is_none_or(|bucket| bucket.take(now))
    }
}
