//! The endpoint list in use, kept as discovery sent it, so that it can be sent to the other processes of an upgrade.

use std::collections::{BTreeMap, HashSet};

use crate::config::endpoint_list::{EndpointEntry, EndpointListUpdate, EndpointState};
use crate::server::discovery::list_tracker::ListOrigin;
use crate::server::lifecycle::handover_frames::EndpointListPart;

/// The endpoint list in use.
#[derive(Default)]
pub(super) struct KnownList {
    origin: ListOrigin,
    /// The listed workers by name.
    entries: BTreeMap<String, EndpointEntry>,
}

impl KnownList {
    /// Applies an update, after which the list stands at `origin`.
    pub(super) fn apply(&mut self, update: &EndpointListUpdate, origin: ListOrigin) {
        self.origin = origin;
        // An unreadable entry may be that of a worker missing from the update.
        if update.complete_snapshot && update.unreadable_entries == 0 {
            let listed: HashSet<&str> = update.entries.iter().map(|entry| entry.name.as_str()).collect();
            self.entries.retain(|name, _| listed.contains(name.as_str()));
        }
        for entry in &update.entries {
            if entry.state == EndpointState::Removed {
                self.entries.remove(&entry.name);
            } else {
                self.entries.insert(entry.name.clone(), entry.clone());
            }
        }
    }

    /// The whole list, as it is sent to another process.
    pub(super) fn to_parts(&self) -> Vec<EndpointListPart> {
        EndpointListPart::split(self.origin, true, self.entries.values().cloned())
    }
}
