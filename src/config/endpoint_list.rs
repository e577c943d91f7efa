//! The pool as discovery writes it.

use std::net::SocketAddr;

use simd_json::prelude::*;
use simd_json::tape::Value;

/// What the pool says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Active,
    /// Finishes what it holds.
    Draining,
    /// Is gone.
    Removed,
}

/// A member as the pool lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Its name, the same at every scheduler and after a restart.
    pub name: String,
    /// Where this scheduler reaches it; absent where it has left.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u16,
    /// Whether it takes work.
    pub state: EndpointState,
    /// Unix time of its last start in seconds; 0 for long ago.
    pub started_s: f64,
    /// What the pool makes of its size; 0 where it does not say.
    pub weight: f64,
}

/// One message of discovery: the whole pool or the members that changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointListUpdate {
    /// Its version.
    pub version: u64,
    /// What is not listed has left.
    pub complete_snapshot: bool,
    /// The members.
    pub entries: Vec<EndpointEntry>,
    /// Entries that could not be read. A full list with such entries proves nothing about absent ones.
    pub unreadable_entries: usize,
}

impl EndpointListUpdate {
    /// Reads a message; `None` if it is not one. Entries that make no sense are counted and passed over:
    /// one bad line must not hide the others.
    pub fn read(value: &Value) -> Option<Self> {
        let version = value.get_u64("version")?;
        // Not `get_array`: simd-json 0.15 cuts its slice of the tape one node short and panics on the last.
        let listed = value.get("servers")?.as_array()?;
        let members: Vec<_> = listed.iter().filter_map(|entry| member(&entry)).collect();
        let unreadable = listed.len() - members.len();
        Some(EndpointListUpdate {
            version,
            complete_snapshot: value.get_bool("full").unwrap_or(false),
            entries: members,
            unreadable_entries: unreadable,
        })
    }
}

fn member(entry: &Value) -> Option<EndpointEntry> {
    let state = match entry.get_str("state")? {
        "active" => EndpointState::Active,
        "leaving" => EndpointState::Draining,
        "left" => EndpointState::Removed,
        _ => return None,
    };
    let address = entry.get_str("addr").and_then(|address| address.parse().ok());
    if address.is_none() && state != EndpointState::Removed {
        return None;
    }
    let text = |key| entry.get_str(key).unwrap_or_default().to_owned();
    let cell = entry.get("cell").and_then(|cell| cell.as_u16()).unwrap_or_default();
    let started_ms = entry.get("started_ms").and_then(|ms| ms.cast_f64()).unwrap_or_default();
    let weight = entry.get("weight").and_then(|weight| weight.cast_f64()).unwrap_or_default();
    let name = entry.get_str("id")?.to_owned();
    Some(EndpointEntry {
        name,
        address,
        zone: text("zone"),
        kind: text("kind"),
        cell,
        state,
        started_s: started_ms / 1000.0,
        weight,
    })
}
