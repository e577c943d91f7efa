//! The version of the endpoint list, and how long an older one is ignored. Free of I/O and clock.
//!
//! An older list would bring back workers that are draining or have left, so it is ignored at first: whatever served
//! it may catch up. If it does not, discovery has been set back (restored from a backup, for example), and its list
//! is taken up from the beginning.

use std::time::Duration;

use tokio::time::Instant;

use crate::server::discovery::deadlines::NOTIFIED_AFTER;

#[cfg(test)]
mod tests;

/// An older list is ignored for this long. The rest of [`NOTIFIED_AFTER`], one second, is for a new poll.
const MAX_CATCH_UP: Duration = NOTIFIED_AFTER.saturating_sub(Duration::from_secs(1));

/// The version of the list that is in use.
#[derive(Clone, Copy, Debug)]
pub struct ListVersion {
    known: u64,
    /// Since when discovery has sent older lists only.
    older_since: Option<Instant>,
}

/// How a received list compares with the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionCheck {
    /// As new as the known one or newer: to be taken up.
    Current,
    /// The first older one: to be ignored, and logged.
    FirstOlder,
    /// A further older one: to be ignored.
    StillOlder,
}

impl ListVersion {
    /// From the version that the scheduler was started with.
    pub fn new(known: u64) -> Self {
        ListVersion { known, older_since: None }
    }

    /// The known version, from which a poll asks for changes.
    pub fn known(self) -> u64 {
        self.known
    }

    /// Compares a list of this version, received at `now`, and remembers the result.
    pub fn check(&mut self, received: u64, now: Instant) -> VersionCheck {
        if received >= self.known {
            *self = ListVersion::new(received);
            return VersionCheck::Current;
        }
        if self.older_since.is_some() {
            return VersionCheck::StillOlder;
        }
        self.older_since = Some(now);
        VersionCheck::FirstOlder
    }

    /// Whether discovery has been behind for so long that it will not catch up.
    pub fn is_set_back(self, now: Instant) -> bool {
        self.older_since.is_some_and(|since| now.duration_since(since) >= MAX_CATCH_UP)
    }

    /// Forgets the known version: the next list is taken up whatever its version.
    pub fn reset(&mut self) {
        *self = ListVersion::new(0);
    }
}
