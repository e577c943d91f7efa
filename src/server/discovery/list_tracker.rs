//! Tracks which endpoint list this process uses, and decides whether a received list replaces it.
//!
//! Lists come from discovery and, during an upgrade, from the other processes of this scheduler: what one of them was
//! notified of holds for all. The tracker passes each list that is newer than the one in use to the engine, which
//! relays it to the remaining processes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::config::endpoint_list::EndpointListUpdate;
use crate::server::discovery::list_version::{ListPosition, ListVersion, VersionCheck};
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::messages::PeerProcessId;
use crate::server::metrics::Counters;

#[cfg(test)]
mod tests;

/// Where an endpoint list stands among all lists of this scheduler. Serialized in handover frames, so the order of the
/// fields must not change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListOrigin {
    /// Version and sequence of the list.
    pub position: ListPosition,
    /// The address of the discovery that sent it; `None` for the list of the configuration.
    pub discovery: Option<SocketAddr>,
}

/// An update of the endpoint list that the engine is to apply.
#[derive(Clone, Debug)]
pub struct EndpointListNews {
    /// The update.
    pub update: EndpointListUpdate,
    /// Where the list stands after the update.
    pub origin: ListOrigin,
    /// The process that the update was received from; `None` for discovery.
    pub received_from: Option<PeerProcessId>,
}

/// Tracks the endpoint list in use.
pub struct ListTracker {
    version: Cell<ListVersion>,
    /// The address of discovery that the list in use came from.
    source: Cell<Option<SocketAddr>>,
    /// The address of discovery that this process follows.
    followed: Cell<SocketAddr>,
    queue: EngineQueue,
    counters: Rc<Counters>,
}

impl ListTracker {
    /// Starts from the configured endpoint list, whose version is `version`.
    pub fn new(followed: SocketAddr, version: u64, queue: EngineQueue, counters: Rc<Counters>) -> Self {
        ListTracker {
            version: Cell::new(ListVersion::new(version)),
            source: Cell::new(None),
            followed: Cell::new(followed),
            queue,
            counters,
        }
    }

    /// The address of discovery that this process follows.
    pub fn followed(&self) -> SocketAddr {
        self.followed.get()
    }

    /// The known version. A poll requests the changes made after it.
    pub fn known_version(&self) -> u64 {
        self.version.get().known()
    }

    /// Follows discovery at another address. The list in use stays until the new address sends one.
    pub fn follow(&self, address: SocketAddr) {
        self.followed.set(address);
        self.restart();
    }

    /// Gives up the sequence of versions: the next list of discovery is applied whatever its version.
    pub fn restart(&self) {
        let mut version = self.version.get();
        version.reset();
        self.version.set(version);
    }

    /// Whether discovery has sent outdated lists for so long that it is not expected to catch up.
    pub fn has_regressed(&self, now: Instant) -> bool {
        self.version.get().has_regressed(now)
    }

    /// Passes a list of discovery to the engine unless it is outdated.
    pub fn received_from_discovery(&self, update: EndpointListUpdate, now: Instant) -> VersionCheck {
        let mut version = self.version.get();
        let check = version.check(update.version, now);
        self.version.set(version);
        if check == VersionCheck::Current {
            self.source.set(Some(self.followed.get()));
            self.counters.pool_updates.add();
            self.apply(update, None);
        }
        check
    }

    /// Passes a list of another process to the engine if it is newer than the one in use.
    pub fn received_from_process(
        &self,
        update: EndpointListUpdate,
        origin: ListOrigin,
        process: PeerProcessId,
    ) {
        let (version, known_version) = (origin.position.version, self.known_version());
        let workers = update.entries.len();
        let Some(position) = self.newer_position(origin) else {
            tracing::debug!(version, known_version, workers, "endpoint list of another process is not newer");
            return;
        };
        tracing::info!(version, known_version, workers, "endpoint list of another process is applied");
        self.version.set(ListVersion::at(position));
        self.source.set(origin.discovery);
        self.apply(update, Some(process));
    }

    /// Applies entries from another process whose list was cut off by the end of that process. The version in use stays
    /// the same, so that discovery still sends what is missing.
    pub fn received_incomplete_list(
        &self,
        update: EndpointListUpdate,
        origin: ListOrigin,
        process: PeerProcessId,
    ) {
        if self.newer_position(origin).is_some() {
            let workers = update.entries.len();
            tracing::warn!(workers, "endpoint list of another process is incomplete");
            self.apply(update, Some(process));
        }
    }

    /// The position of a list of another process in the sequence of this one, if the list is newer than the one in use.
    ///
    /// Versions of another discovery address cannot be compared with those here. Such a list is used until the followed
    /// address sends one, whatever its version.
    fn newer_position(&self, origin: ListOrigin) -> Option<ListPosition> {
        let (source, followed) = (self.source.get(), Some(self.followed.get()));
        let is_foreign = origin.discovery.is_some() && origin.discovery != followed;
        if is_foreign && source == followed {
            return None;
        }
        let position = if is_foreign { origin.position.restarted() } else { origin.position };
        let current = self.version.get().position();
        let replaces_configured_list = position == current && source.is_none() && origin.discovery.is_some();
        (replaces_configured_list || position.is_newer_than(current)).then_some(position)
    }

    fn apply(&self, update: EndpointListUpdate, received_from: Option<PeerProcessId>) {
        let origin = ListOrigin { position: self.version.get().position(), discovery: self.source.get() };
        let news = EndpointListNews { update, origin, received_from };
        self.queue.send(EngineMessage::EndpointListChanged(Box::new(news)));
    }
}
