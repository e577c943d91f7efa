//! Sender-side flow control: the capacity granted by the peer on a link, and how much of it is used.
//!
//! As in QUIC flow control (RFC 9000, section 4), limit and use are totals over the lifetime of the link, in
//! slots, so a grant and a request that cross on the link are counted exactly once. The receiver's
//! counterpart is `capacity_grant`.

use crate::Time;

/// The credit of one outbound link.
#[derive(Debug, Default)]
pub(crate) struct Credit {
    limit: u64,
    used: u64,
    expires_at: Time,
}

impl Credit {
    /// Sets the limit. The latest grant applies, even if it is lower.
    pub(crate) fn set_limit(&mut self, limit: u64, expires_at: Time) {
        self.limit = limit;
        self.expires_at = expires_at;
    }

    /// Returns how many slots may still be used.
    pub(crate) fn available(&self, now: Time) -> u64 {
        if now >= self.expires_at {
            return 0;
        }
        self.limit.saturating_sub(self.used)
    }

    /// Uses `slots` of the credit. Returns false and uses nothing if fewer are available.
    pub(crate) fn consume(&mut self, now: Time, slots: u32) -> bool {
        let slots = u64::from(slots);
        if self.available(now) < slots {
            return false;
        }
        self.used += slots; // cannot overflow: at most `limit`
        true
    }
}

#[cfg(test)]
mod tests;
