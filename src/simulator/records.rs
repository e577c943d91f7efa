//! The records of the simulator's wire: their codes and names, and the one place where each field of the page
//! becomes a field of ours.
//!
//! Numbers are little-endian and stand without padding in the order of the page; a field that the decisions do not
//! use is read and dropped. [`incoming`] reads events, [`outgoing`] writes actions.

pub(super) mod incoming;
pub(super) mod outgoing;

/// The records that the simulator sends. The page has a second set of codes for the records sent to it.
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

/// Each incoming record: its code and its name on the wire page.
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
    /// The record of this code, if the page has one.
    pub(super) fn of_code(code: u8) -> Option<Self> {
        INCOMING.iter().find(|row| row.0 == code).map(|row| row.2)
    }
}

/// The name that errors give to a record of this code.
pub(super) fn record_name(code: u8) -> &'static str {
    if code == 0 {
        return "record 0";
    }
    INCOMING.iter().find(|row| row.0 == code).map_or("unknown record", |row| row.1)
}

/// The records that this program sends, with their codes; the comment gives the name on the wire page.
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
