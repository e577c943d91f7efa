//! The endpoint list as sent by discovery: the workers with their addresses, locations and states.
//!
//! Poll responses, watch messages (see `src/server/discovery`) and the platform file use the same JSON format.
//! This module parses a single message; `src/server/engine/endpoint_list.rs` applies it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use simd_json::prelude::*;
use simd_json::tape::Value;

/// Field names of the endpoint list in JSON.
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
    /// Unix time in milliseconds.
    pub(super) const ENTRY_STARTED_AT_MS: &str = "started_ms";
}

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// State of a worker according to discovery. Serialized in handover frames, so the order of the variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts requests.
    Active,
    /// Finishes its current requests and accepts no new ones.
    Draining,
    /// No longer part of the deployment.
    Removed,
}

impl EndpointState {
    /// Returns the state with this name in the endpoint list, if there is one.
    fn from_wire_name(name: &str) -> Option<Self> {
        match name {
            "active" => Some(EndpointState::Active),
            "leaving" => Some(EndpointState::Draining),
            "left" => Some(EndpointState::Removed),
            _ => None,
        }
    }
}

/// A worker in the endpoint list. Serialized in handover frames, so the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Name of the worker: the same at every scheduler and across restarts.
    pub name: String,
    /// Address at which this scheduler reaches the worker; may be missing for a removed worker.
    pub address: Option<SocketAddr>,
    /// Name of the worker's zone.
    pub zone: String,
    /// Name of the worker's kind.
    pub kind: String,
    /// The worker's cell; `None` if the entry has none, or no valid number.
    pub cell: Option<u16>,
    /// Whether the worker accepts requests.
    pub state: EndpointState,
    /// Unix time of the worker's last start in seconds; 0 for a start long ago.
    pub started_at_s: f64,
    /// The worker's weight; 0 if discovery provides none.
    pub weight: f64,
}

/// A message from discovery: either the complete list or only the entries that changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointListUpdate {
    /// Version of the list after this update.
    pub version: u64,
    /// Whether this is a complete snapshot: a worker without an entry has been removed.
    pub complete_snapshot: bool,
    /// The entries that could be parsed.
    pub entries: Vec<EndpointEntry>,
    /// Number of entries that could not be parsed. In a snapshot with such entries, a missing worker is not
    /// necessarily removed.
    pub unreadable_entries: usize,
}

impl EndpointListUpdate {
    /// Parses a message; `None` if the version or the list of entries is missing. Invalid entries are counted and
    /// skipped, so that one of them does not invalidate the others.
    pub fn parse(value: &Value) -> Option<Self> {
        let version = value.get_u64(fields::VERSION)?;
        // Not `get_array`: in simd-json 0.15 its slice of the tape is one node short, so that reading the last
        // entry panics.
        let listed = value.get(fields::ENTRIES)?.as_array()?;
        let entries: Vec<_> = listed.iter().filter_map(|entry| parse_entry(&entry)).collect();
        let unreadable_entries = listed.len() - entries.len();
        let complete_snapshot = value.get_bool(fields::COMPLETE_SNAPSHOT).unwrap_or(false);
        Some(EndpointListUpdate { version, complete_snapshot, entries, unreadable_entries })
    }
}

/// Parses an entry; `None` if the name, the state or a required address is missing or invalid.
fn parse_entry(entry: &Value) -> Option<EndpointEntry> {
    let state = EndpointState::from_wire_name(entry.get_str(fields::ENTRY_STATE)?)?;
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
        cell,
        state,
        started_at_s: number(fields::ENTRY_STARTED_AT_MS) / MILLISECONDS_PER_SECOND,
        weight: number(fields::ENTRY_WEIGHT),
    })
}
