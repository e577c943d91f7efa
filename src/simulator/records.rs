//! The records of the simulator's protocol: their codes and names, and the only mapping between their fields and this
//! crate's types.
//!
//! Numbers are little-endian, without padding, in the order of the protocol specification. Fields that scheduling does
//! not use are read and discarded. [`incoming`] reads events, [`outgoing`] writes actions.

pub(super) mod incoming;
pub(super) mod outgoing;

/// Records sent by the simulator. Records sent to it have their own set of codes, [`OutgoingRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IncomingRecord {
    AttemptNotice,
    ClientDisconnected,
    SelectInstance,
    ResponseStarted,
    AttemptEnded,
    GossipReceived,
    StopInstance,
    StartInstance,
    RequestReceived,
    EndpointList,
    DefineList,
    TimerExpired,
    ProbeEnded,
}

/// The code and the protocol name of each incoming record.
const INCOMING: [(u8, &str, IncomingRecord); 13] = [
    (1, "HEARTBEAT", IncomingRecord::AttemptNotice),
    (2, "LEFT", IncomingRecord::ClientDisconnected),
    (3, "ON", IncomingRecord::SelectInstance),
    (4, "HEAD_RECEIVED", IncomingRecord::ResponseStarted),
    (5, "COMPLETED", IncomingRecord::AttemptEnded),
    (6, "NOTE_FROM", IncomingRecord::GossipReceived),
    (7, "DESTROY", IncomingRecord::StopInstance),
    (8, "ENLIST", IncomingRecord::StartInstance),
    (9, "ACCEPT", IncomingRecord::RequestReceived),
    (10, "VIEW", IncomingRecord::EndpointList),
    (11, "DEFINE_LIST", IncomingRecord::DefineList),
    (12, "TICK_DUE", IncomingRecord::TimerExpired),
    (13, "CHECK_RESULT", IncomingRecord::ProbeEnded),
];

impl IncomingRecord {
    /// The record with this code, if the protocol defines one.
    pub(super) fn from_code(code: u8) -> Option<Self> {
        INCOMING.iter().find(|row| row.0 == code).map(|row| row.2)
    }
}

/// The name of an incoming record in error messages.
pub(super) fn record_name(code: u8) -> &'static str {
    if code == 0 {
        return "record 0";
    }
    INCOMING.iter().find(|row| row.0 == code).map_or("unknown record", |row| row.1)
}

/// Records sent to the simulator, with their codes. The comment on each gives its protocol name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum OutgoingRecord {
    /// `ROUTE`
    Dispatch = 1,
    /// `TURN_AWAY`
    Reject = 2,
    /// `LOSE`
    Fail = 3,
    /// `DROP_ATTEMPT`
    Cancel = 4,
    /// `DEFER`
    SetTimer = 5,
    /// `TEST`
    Probe = 6,
    /// `MEMO_TO`
    BroadcastGossip = 8,
    /// `TAIL`
    WatchEndpointList = 11,
    /// `AT`
    SelectInstance = 13,
}

#[cfg(test)]
mod tests;
