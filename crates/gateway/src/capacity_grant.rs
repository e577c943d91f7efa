//! Receiver-side flow control: the capacity granted on an inbound link, and how much of it is used.
//!
//! The sender's counterpart is `credit`. `gateway/granting` decides how much is granted.

use crate::Time;

/// The grant of one inbound link. All totals are in slots over the lifetime of the link.
#[derive(Debug, Default)]
pub(crate) struct CapacityGrant {
    /// Slots received, including those of returned requests, which the sender counts as used.
    received: u64,
    /// The most recently sent limit.
    limit: u64,
    /// The highest limit ever sent. Requests that were in flight when the limit was lowered are still
    /// covered.
    highest_limit: u64,
    /// Requests that arrive before this time are covered.
    expires_at: Time,
}

impl CapacityGrant {
    /// Allows `slots` more slots to be received from now on, and returns the limit to send.
    pub(crate) fn set(&mut self, slots: u32, expires_at: Time) -> u64 {
        self.limit = self.received.saturating_add(u64::from(slots));
        self.highest_limit = self.highest_limit.max(self.limit);
        self.expires_at = self.expires_at.max(expires_at);
        self.limit
    }

    /// Returns how many granted slots are unused.
    pub(crate) fn unused(&self) -> u64 {
        self.limit.saturating_sub(self.received)
    }

    /// Counts a received request. Returns false if it exceeds every limit sent so far or the grant has
    /// expired.
    pub(crate) fn record_received(&mut self, now: Time, slots: u32) -> bool {
        self.received = self.received.saturating_add(u64::from(slots));
        self.received <= self.highest_limit && now < self.expires_at
    }
}

#[cfg(test)]
mod tests;
