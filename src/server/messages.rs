//! The words that the network code shares. They lie below all of its modules: nothing here knows a protocol,
//! a socket or the engine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chutesaddle_gateway::Origin;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::scheduling::RequestRecord;
use crate::server::attempt_end::AttemptEnd;

/// A number for a name that is the same in every scheduler, whatever its build: what all choose by it, they
/// choose alike.
pub fn stable_number(name: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name)
}

/// The number of what a request for this target concerns: the last part of the path, as it is written. The class
/// alone, which is the first part, names nothing.
pub fn object_of(target: &[u8]) -> Option<u64> {
    let path = target.split(|byte| b"?#".contains(byte)).next().unwrap_or_default();
    let mut parts = path.strip_prefix(b"/").unwrap_or(path).split(|byte| *byte == b'/');
    parts.next(); // the class
    parts.next_back().filter(|part| !part.is_empty()).map(stable_number)
}

/// What a flow sends: passed on as the client wrote it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestPayload {
    /// `X-Request-Id`, by which the member's call-backs name the transaction.
    pub name: Bytes,
    /// The target of the request line.
    pub target: Bytes,
    /// `Idempotency-Key`.
    pub key: Option<Bytes>,
    /// `Content-Type`.
    pub content_type: Option<Bytes>,
    /// The body.
    pub body: Bytes,
}

/// A job that a client wants done, as a front hands it over.
#[derive(Debug)]
pub struct ClientRequest {
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: usize,
    /// When its client stops waiting.
    pub deadline: Instant,
    /// Slots it needs.
    pub slots: f64,
    /// Memory it needs.
    pub memory: f64,
    /// Its expected work in seconds, if the client gave a hint.
    pub estimated_work_s: Option<f64>,
    /// The number of what it concerns, if the path names that.
    pub affinity_key: Option<u64>,
    /// What goes to the member.
    pub payload: RequestPayload,
    /// Where it came from, if it crossed from another site.
    pub origin: Option<Origin>,
}

/// The one final answer to a transaction.
#[derive(Debug)]
pub enum FinalAnswer {
    /// The result that a member gave.
    Served(Bytes),
    /// Rejected: trying again is harmless, best after this many seconds.
    Rejected {
        /// 0 for no advice.
        retry_after_s: f64,
    },
    /// Rejected, and nothing of it has run: said to the site that it came from, and to nobody else.
    RejectedUnstarted,
    /// Failed; it may have run.
    Failed,
    /// Not taken: its id is in use by a transaction that is still open.
    DuplicateId,
    /// Its client waits on: the process that has taken over is to answer.
    Migrated(Box<MigratedRequest>),
}

impl FinalAnswer {
    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "rejected",
            FinalAnswer::RejectedUnstarted => "returned",
            FinalAnswer::Failed => "failed",
            FinalAnswer::DuplicateId => "duplicate",
            FinalAnswer::Migrated(_) => "moved",
        }
    }
}

/// What a member tells of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CallbackEvent {
    /// It has begun.
    Started,
    /// So much of it is done.
    Progress(f64),
    /// It is done, with this result.
    Completed(Bytes),
    /// It has ended in another way.
    Ended(AttemptEnd),
}

/// News of a job, with the names that the member knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerCallback {
    /// The transaction's name.
    pub request_name: Bytes,
    /// The member's name.
    pub worker_name: String,
    /// What it tells.
    pub event: CallbackEvent,
    /// Its load report, by name.
    pub load_report: Vec<(String, f64)>,
}

/// How a call-back came here from another process.
#[derive(Clone, Copy, Debug)]
pub struct CallbackRelay {
    /// The process that it came from.
    pub from: PeerProcessId,
    /// How often it has been passed on.
    pub relays: u8,
}

/// What the engine tells a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCommand {
    /// The job has ended: finish the exchange, if it goes quickly.
    Finish,
    /// Give the job up.
    Cancel,
    /// Leave the job alone: another process sees to it from now on.
    Detach,
}

/// On which side of an upgrade another process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// It is replaced by this one.
    Predecessor,
    /// It replaces this one.
    Successor,
}

/// A transaction on its way to another process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MigratedRequest {
    pub(super) class: usize,
    pub(super) estimated_work_s: Option<f64>,
    /// Time to its deadline.
    pub time_left: Duration,
    pub(super) attempts: Vec<MigratedAttempt>,
    /// What the decision module knows of it.
    pub(super) record: RequestRecord,
    /// What goes to members.
    pub payload: RequestPayload,
}

/// An attempt of it, which is over or has been taken by the member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct MigratedAttempt {
    pub(super) worker_name: String,
    pub(super) address: Option<SocketAddr>,
    pub(super) open: bool,
}

/// Names a link for as long as it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProcessId(pub(super) u64);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_last_part_of_the_path_names_the_object_and_nothing_else_does() {
        let same = object_of(b"/cotizar/7f3a9c21e0b4d655");
        assert!(same.is_some() && same == object_of(b"/cotizar/x/7f3a9c21e0b4d655?again=1#part"));
        assert_eq!(same, object_of(b"/cesion/7f3a9c21e0b4d655"), "whatever the class");
        assert_ne!(same, object_of(b"/cotizar/7f3a9c21e0b4d65%35"), "as it is written");
        let long = [b"/cotizar/".as_slice(), &[b'x'; 300]].concat();
        assert!(object_of(&long).is_some());
        for none in ["/cotizar", "/cotizar/", "/", "", "?", "cotizar"] {
            assert_eq!(object_of(none.as_bytes()), None, "{none}");
        }
    }
}
