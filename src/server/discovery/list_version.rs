//! Version check for endpoint lists. Performs no I/O and reads no clock.
//!
//! An outdated list would bring back workers that are draining or have left, so it is ignored at first: the server that
//! sent it may catch up. If it does not, the version has regressed, for example because discovery was restored from a
//! backup. The next list is then applied whatever its version.

use std::time::Duration;

use tokio::time::Instant;

use crate::server::discovery::deadlines::NOTIFIED_AFTER;

#[cfg(test)]
mod tests;

/// How long outdated lists are ignored. Leaves one second of [`NOTIFIED_AFTER`] for a new poll.
const CATCH_UP_TIMEOUT: Duration = NOTIFIED_AFTER.saturating_sub(Duration::from_secs(1));

/// The version of the endpoint list in use.
#[derive(Clone, Copy, Debug)]
pub struct ListVersion {
    known: u64,
    /// When the first of an uninterrupted series of outdated lists was received.
    first_outdated_at: Option<Instant>,
}

/// Result of comparing the version of a received list with the known version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionCheck {
    /// The known version or a newer one; the list is to be applied.
    Current,
    /// The first outdated list, to be ignored and logged.
    FirstOutdated,
    /// Another outdated list, to be ignored.
    RepeatedOutdated,
}

impl ListVersion {
    /// Starts from the version of the list that the scheduler was started with.
    pub fn new(known: u64) -> Self {
        ListVersion { known, first_outdated_at: None }
    }

    /// The known version. A poll requests the changes made after it.
    pub fn known(self) -> u64 {
        self.known
    }

    /// Compares the version of a list received at `now` with the known version, and updates the known version.
    pub fn check(&mut self, received: u64, now: Instant) -> VersionCheck {
        if received >= self.known {
            *self = ListVersion::new(received);
            return VersionCheck::Current;
        }
        if self.first_outdated_at.is_some() {
            return VersionCheck::RepeatedOutdated;
        }
        self.first_outdated_at = Some(now);
        VersionCheck::FirstOutdated
    }

    /// Whether discovery has sent outdated lists for so long that it is not expected to catch up.
    pub fn has_regressed(self, now: Instant) -> bool {
        self.first_outdated_at.is_some_and(|first| now.duration_since(first) >= CATCH_UP_TIMEOUT)
    }

    /// Forgets the known version, so that the next list is applied whatever its version.
    pub fn reset(&mut self) {
        *self = ListVersion::new(0);
    }
}
