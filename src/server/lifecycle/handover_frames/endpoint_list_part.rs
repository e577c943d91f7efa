//! The endpoint list in handover frames: split into parts, so that no frame grows with the number of workers.

use serde::{Deserialize, Serialize};

use crate::config::endpoint_list::{EndpointEntry, EndpointListUpdate};
use crate::server::discovery::list_tracker::ListOrigin;

#[cfg(test)]
mod tests;

/// Maximum size of the entries of one part, in bytes.
const MAX_PART_BYTES: usize = 64 * 1024;
/// Upper bound of the encoded size of an entry without its texts, in bytes.
const ENTRY_BYTES: usize = 80;

/// A part of an update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointListPart {
    /// Where the list stands after the whole update.
    pub origin: ListOrigin,
    /// Whether the whole update is a complete snapshot.
    pub complete_snapshot: bool,
    /// Whether this is the last part of the update.
    pub is_last: bool,
    /// The entries of this part.
    pub entries: Vec<EndpointEntry>,
}

impl EndpointListPart {
    /// Splits an update. An entry that exceeds a part on its own is omitted; the update then removes no worker.
    pub fn split(
        origin: ListOrigin,
        complete_snapshot: bool,
        entries: impl Iterator<Item = EndpointEntry>,
    ) -> Vec<Self> {
        let mut groups = vec![Vec::new()];
        let mut group_bytes = 0;
        let mut complete_snapshot = complete_snapshot;
        for entry in entries {
            let entry_bytes = encoded_bytes(&entry);
            if entry_bytes > MAX_PART_BYTES {
                complete_snapshot = false;
                continue;
            }
            group_bytes += entry_bytes;
            if group_bytes > MAX_PART_BYTES {
                groups.push(Vec::new());
                group_bytes = entry_bytes;
            }
            if let Some(group) = groups.last_mut() {
                group.push(entry);
            }
        }
        let last = groups.len() - 1;
        let parts = groups.into_iter().enumerate().map(|(index, entries)| EndpointListPart {
            origin,
            complete_snapshot,
            is_last: index == last,
            entries,
        });
        parts.collect()
    }
}

/// Upper bound of the encoded size of an entry in bytes.
fn encoded_bytes(entry: &EndpointEntry) -> usize {
    ENTRY_BYTES + entry.name.len() + entry.zone.len() + entry.kind.len()
}

/// Joins the parts of one update after the other.
#[derive(Debug, Default)]
pub struct EndpointListAssembler {
    received: Option<EndpointListPart>,
}

/// An update joined from its parts.
#[derive(Debug, PartialEq)]
pub struct AssembledList {
    /// The update. Its version is that of `origin`.
    pub update: EndpointListUpdate,
    /// Where the list stands after the update.
    pub origin: ListOrigin,
}

impl EndpointListAssembler {
    /// Adds a part. Returns the whole update after the last one.
    pub fn add(&mut self, part: EndpointListPart) -> Option<AssembledList> {
        let is_last = part.is_last;
        match &mut self.received {
            Some(received) => received.entries.extend(part.entries),
            none => *none = Some(part),
        }
        if !is_last {
            return None;
        }
        self.received.take().map(|part| AssembledList::new(part.complete_snapshot, part))
    }

    /// The entries of an update whose last part is missing, because the sender has exited. Removes no worker.
    pub fn into_incomplete(self) -> Option<AssembledList> {
        self.received.map(|part| AssembledList::new(false, part))
    }
}

impl AssembledList {
    fn new(complete_snapshot: bool, joined: EndpointListPart) -> Self {
        let version = joined.origin.position.version;
        let entries = joined.entries;
        let update = EndpointListUpdate { version, complete_snapshot, entries, unreadable_entries: 0 };
        AssembledList { update, origin: joined.origin }
    }
}
