//! Flow control at the sender: what the peer has granted on a link, and what is used of it.
//!
//! As in QUIC's flow control (RFC 9000, section 4), limit and use are totals over the life of the link, in slots:
//! a grant that crosses with a request is counted neither twice nor not at all. The other end of the account is
//! `capacity_grant`.

use crate::Time;

/// The credit of one outbound link.
#[derive(Debug, Default)]
pub(crate) struct Credit {
    limit: u64,
    used: u64,
    expires_at: Time,
}

impl Credit {
    /// Records a grant. The last one counts, also where it is lower.
    pub(crate) fn set_limit(&mut self, limit: u64, expires_at: Time) {
        self.limit = limit;
        self.expires_at = expires_at;
    }

    /// Slots that may still be used.
    pub(crate) fn available(&self, now: Time) -> u64 {
        if now >= self.expires_at {
            return 0;
        }
        self.limit.saturating_sub(self.used)
    }

    /// Uses some of it; false, and nothing is used, if it is not there.
    pub(crate) fn consume(&mut self, now: Time, slots: u32) -> bool {
        let slots = u64::from(slots);
        if self.available(now) < slots {
            return false;
        }
        self.used += slots; // at most `limit`, so it cannot overflow
        true
    }
}

#[cfg(test)]
mod tests;
