//! Decides which of two endpoint lists is newer. Performs no I/O and reads no clock.
//!
//! Versions grow within a sequence. A sequence is given up when its version regresses, or when discovery moves to another
//! address: versions may start over there. [`ListPosition`] therefore also holds the last version that was given up.
//!
//! An outdated list would bring back workers that are draining or have left, so it is ignored at first: the server that
//! sent it may catch up. If it does not, the version has regressed, for example because discovery was restored from a
//! backup. The next list is then applied whatever its version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::server::discovery::deadlines::NOTIFIED_AFTER;

#[cfg(test)]
mod tests;

/// How long outdated lists are ignored. Leaves one second of [`NOTIFIED_AFTER`] for a new poll.
const CATCH_UP_TIMEOUT: Duration = NOTIFIED_AFTER.saturating_sub(Duration::from_secs(1));

/// The version of an endpoint list and the sequence of versions that it belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPosition {
    /// Version of the list; 0 if the sequence is new and no list of it has been received.
    pub version: u64,
    /// The highest version of the sequences that were given up before this one; 0 for none.
    pub superseded: u64,
}

impl ListPosition {
    /// Whether the list at this position is newer than the one at `other`.
    ///
    /// A process that has given up a sequence has newer lists than one that is still at or below its last version.
    pub fn is_newer_than(self, other: ListPosition) -> bool {
        if self.gave_up(other) != other.gave_up(self) {
            return self.gave_up(other);
        }
        self.version > other.version
    }

    /// Whether `other` belongs to a sequence that was given up before this position.
    fn gave_up(self, other: ListPosition) -> bool {
        self.superseded > other.superseded && other.version <= self.superseded
    }

    /// The position after the sequence is given up.
    #[must_use]
    pub fn restarted(self) -> Self {
        ListPosition { version: 0, superseded: self.superseded.max(self.version) }
    }
}

/// The version of the endpoint list in use.
#[derive(Clone, Copy, Debug)]
pub struct ListVersion {
    position: ListPosition,
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
    pub fn new(version: u64) -> Self {
        ListVersion::at(ListPosition { version, superseded: 0 })
    }

    /// Continues from the list at this position.
    pub fn at(position: ListPosition) -> Self {
        ListVersion { position, first_outdated_at: None }
    }

    /// The known version. A poll requests the changes made after it.
    pub fn known(self) -> u64 {
        self.position.version
    }

    /// The position of the list in use.
    pub fn position(self) -> ListPosition {
        self.position
    }

    /// Compares the version of a list received at `now` with the known version, and updates the known version.
    pub fn check(&mut self, received: u64, now: Instant) -> VersionCheck {
        if received >= self.position.version {
            *self = ListVersion::at(ListPosition { version: received, ..self.position });
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
        *self = ListVersion::at(self.position.restarted());
    }
}
