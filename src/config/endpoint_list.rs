//! The endpoint list as discovery writes it: the workers, where they are and whether they take work.
//!
//! The same JSON arrives from a poll, on a watch (see `src/server/discovery`) and in the platform's file. This module
//! reads one message of it; what follows from a change is decided elsewhere.

use std::net::SocketAddr;

use simd_json::prelude::*;
use simd_json::tape::Value;

/// The field names of the endpoint list, each under our term for it.
mod fields {
    pub(super) const VERSION: &str = "version";
    pub(super) const COMPLETE_SNAPSHOT: &str = "full";
    pub(super) const ENTRIES: &str = "servers";

    pub(super) const ENTRY_NAME: &str = "id";
    pub(super) const ENTRY_ADDRESS: &str = "addr";
    pub(super) const ENTRY_ZONE: &str = "zone";
    pub(super) const ENTRY_KIND: &str = "kind";
    pub(super) const ENTRY_CELL: &str = "cell";
    pub(super) const ENTRY_STATE: &str = "state";
    pub(super) const ENTRY_WEIGHT: &str = "weight";
    /// In milliseconds of Unix time.
    pub(super) const ENTRY_STARTED: &str = "started_ms";
}

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Whether a worker takes work, as discovery says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes work.
    Active,
    /// It finishes what it has, and takes nothing new.
    Draining,
    /// It is gone.
    Removed,
}

impl EndpointState {
    /// The state that discovery calls so.
    fn of_wire_name(name: &str) -> Option<Self> {
        match name {
            "active" => Some(EndpointState::Active),
            "leaving" => Some(EndpointState::Draining),
            "left" => Some(EndpointState::Removed),
            _ => None,
        }
    }
}

/// A worker in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Its name, the same at every scheduler and after a restart.
    pub name: String,
    /// Where this scheduler reaches it; may be absent where it has been removed.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u16,
    /// Whether it takes work.
    pub state: EndpointState,
    /// Unix time of its last start in seconds; 0 for long ago.
    pub started_s: f64,
    /// Its weight; 0 where discovery gives none.
    pub weight: f64,
}

/// One message of discovery: the complete list or the entries that changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointListUpdate {
    /// Its version.
    pub version: u64,
    /// It is a complete snapshot: a worker that is not in it has been removed.
    pub complete_snapshot: bool,
    /// The entries that could be read.
    pub entries: Vec<EndpointEntry>,
    /// How many entries could not be read. A snapshot with such entries does not prove that an absent worker is gone.
    pub unreadable_entries: usize,
}

impl EndpointListUpdate {
    /// Reads a message; `None` if it is not one. An entry that cannot be read is counted and skipped: one bad entry
    /// must not hide the others.
    pub fn read(value: &Value) -> Option<Self> {
        let version = value.get_u64(fields::VERSION)?;
        // Not `get_array`: simd-json 0.15 cuts its slice of the tape one node short and panics on the last.
        let listed = value.get(fields::ENTRIES)?.as_array()?;
        let entries: Vec<_> = listed.iter().filter_map(|entry| read_entry(&entry)).collect();
        let unreadable_entries = listed.len() - entries.len();
        let complete_snapshot = value.get_bool(fields::COMPLETE_SNAPSHOT).unwrap_or(false);
        Some(EndpointListUpdate { version, complete_snapshot, entries, unreadable_entries })
    }
}

/// Reads one entry; `None` if its name, its state or an address that it needs cannot be read.
fn read_entry(entry: &Value) -> Option<EndpointEntry> {
    let state = EndpointState::of_wire_name(entry.get_str(fields::ENTRY_STATE)?)?;
    let address = entry.get_str(fields::ENTRY_ADDRESS).and_then(|address| address.parse().ok());
    if address.is_none() && state != EndpointState::Removed {
        return None;
    }
    let text = |field| entry.get_str(field).unwrap_or_default().to_owned();
    let number = |field| entry.get(field).and_then(|value| value.cast_f64()).unwrap_or_default();
    let cell = entry.get(fields::ENTRY_CELL).and_then(|cell| cell.as_u16());
    Some(EndpointEntry {
        name: entry.get_str(fields::ENTRY_NAME)?.to_owned(),
        address,
        zone: text(fields::ENTRY_ZONE),
        kind: text(fields::ENTRY_KIND),
        cell: cell.unwrap_or_default(),
        state,
        started_s: number(fields::ENTRY_STARTED) / MILLISECONDS_PER_SECOND,
        weight: number(fields::ENTRY_WEIGHT),
    })
}
