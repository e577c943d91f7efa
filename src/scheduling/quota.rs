//! Tenant quotas, each enforced for this scheduler's share of the traffic.
//!
//! A request over its tenant's quota is not rejected but given a lower priority (`admission.rs`).

use crate::scheduling::state::SchedulerState;
use crate::scheduling::token_bucket::TokenBucket;

impl SchedulerState {
    /// Sets the fraction of each tenant's quota that this scheduler may use. Tokens left in the buckets are retained.
    pub(crate) fn set_quota_share(&mut self, traffic_share: f64) {
        for (index, tenant) in self.settings.tenants.iter().enumerate() {
            let rate_per_s = tenant.quota_per_s * traffic_share;
            match self.quotas.get_mut(index) {
                Some(bucket) => bucket.set_rate(rate_per_s),
                None => self.quotas.push(TokenBucket::full(rate_per_s)),
            }
        }
    }

    /// Consumes one token of the tenant's quota; returns false if none is left. Unknown tenants have no limit.
    pub(crate) fn consume_quota(&mut self, tenant: usize) -> bool {
        let now = self.now;
        self.quotas.get_mut(tenant).is_none_or(|bucket| bucket.take(now))
    }
}
