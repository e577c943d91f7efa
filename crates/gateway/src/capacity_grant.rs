//! Flow control at the receiver: what this site has granted on an inbound link, and what has come in on it.
//!
//! The other end of the account is `credit`. How much is granted is decided in `gateway/granting`.

use crate::Time;

/// The grant of one inbound link. All sums are in slots over the life of the link.
#[derive(Debug, Default)]
pub(crate) struct CapacityGrant {
    /// Received in all, including what was returned: the sender counts that as used.
    received: u64,
    /// The limit that was sent last.
    limit: u64,
    /// The highest limit that was ever sent. What was under way when a limit was lowered is still covered.
    highest_limit: u64,
    /// Until then what arrives is covered.
    expires_at: Time,
}

impl CapacityGrant {
    /// Grants `slots` from now on and gives the limit that says so.
    pub(crate) fn set(&mut self, slots: u32, expires_at: Time) -> u64 {
        self.limit = self.received.saturating_add(u64::from(slots));
        self.highest_limit = self.highest_limit.max(self.limit);
        self.expires_at = self.expires_at.max(expires_at);
        self.limit
    }

    /// Slots that are granted and not used.
    pub(crate) fn unused(&self) -> u64 {
        self.limit.saturating_sub(self.received)
    }

    /// Counts a request that arrives; false if it exceeds every limit that was sent, or comes long after.
    pub(crate) fn record_received(&mut self, now: Time, slots: u32) -> bool {
        self.received = self.received.saturating_add(u64::from(slots));
        self.received <= self.highest_limit && now < self.expires_at
    }
}

#[cfg(test)]
mod tests;
