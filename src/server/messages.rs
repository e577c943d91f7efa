//! The types that the modules of the network code pass to each other: a request, its final answer, a worker's
//! callback, and a request that migrates to another process.
//!
//! They lie below all of these modules and know no protocol, no socket and no engine. What reaches the engine is
//! listed in [`crate::server::engine_queue`], how an attempt ends in [`crate::server::attempt_end`], and what site
//! links report in [`crate::server::peers`].
//!
//! [`RequestPayload`], [`MigratedRequest`], [`WorkerCallback`] and what they hold are sent between the processes of
//! an upgrade, which may be of different builds. Their fields are stored by position: none may be added, dropped or
//! reordered without a new form of the frames ([`crate::server::lifecycle::handover_frames`]).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chutesaddle_gateway::Origin;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::scheduling::RequestRecord;
use crate::server::attempt_end::AttemptEnd;

/// A number for a name, the same in every scheduler of whatever build, so that all of them choose alike by it.
pub fn stable_number(name: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name)
}

/// The affinity key of a request for this target: requests with the same key need the same cached data.
///
/// It is the hash of the last segment of the path, as it is written. The first segment is the class; a path
/// without another one has no key.
pub fn affinity_key_of(target: &[u8]) -> Option<u64> {
    let path = target.split(|byte| b"?#".contains(byte)).next().unwrap_or_default();
    let mut parts = path.strip_prefix(b"/").unwrap_or(path).split(|byte| *byte == b'/');
    parts.next(); // the class
    parts.next_back().filter(|part| !part.is_empty()).map(stable_number)
}

/// What an attempt sends to its worker, as the client wrote it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestPayload {
    /// `X-Request-Id`, the name of the request in the worker's callbacks.
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

/// A client's request, as the frontend submits it.
#[derive(Debug)]
pub struct ClientRequest {
    /// Index into [`Settings::classes`](crate::scheduling::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenants`](crate::scheduling::Settings::tenants).
    pub tenant: usize,
    /// When its client stops waiting.
    pub deadline: Instant,
    /// Slots that it takes at a worker.
    pub slots: f64,
    /// Memory that it takes at a worker.
    pub memory: f64,
    /// Its expected work in seconds, if the client gave a hint.
    pub estimated_work_s: Option<f64>,
    /// See [`affinity_key_of`].
    pub affinity_key: Option<u64>,
    /// What goes to the worker.
    pub payload: RequestPayload,
    /// Where it came from, if another site forwarded it.
    pub origin: Option<Origin>,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// The result of a worker.
    Served(Bytes),
    /// Rejected: a retry is harmless.
    Rejected {
        /// When the client should retry, in seconds; 0 for no advice.
        retry_after_s: f64,
    },
    /// A request of another site is rejected, and nothing of it has run: its own site may still run it.
    RejectedUnstarted,
    /// Failed; it may have run.
    Failed,
    /// Not accepted: its id is in use by a request that is still open.
    DuplicateId,
    /// Not answered here: the client goes on waiting, and the process that replaces this one answers it.
    Migrated(Box<MigratedRequest>),
}

impl FinalAnswer {
    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "rejected",
            FinalAnswer::RejectedUnstarted => "rejected_unstarted",
            FinalAnswer::Failed => "failed",
            FinalAnswer::DuplicateId => "duplicate_id",
            FinalAnswer::Migrated(_) => "migrated",
        }
    }
}

/// What a worker notifies of a request that it has accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CallbackEvent {
    /// It has begun.
    Started,
    /// This fraction of it is done.
    Progress(f64),
    /// It is done, with this result.
    Completed(Bytes),
    /// It has ended in another way.
    Ended(AttemptEnd),
}

/// A worker's notification of a request, with the names that the worker knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerCallback {
    /// The request, by its `X-Request-Id`.
    pub request_name: Bytes,
    /// The worker that sent it.
    pub worker_name: String,
    /// What has happened.
    pub event: CallbackEvent,
    /// The worker's load, by the names that the settings give its values.
    pub load_report: Vec<(String, f64)>,
}

/// How a callback came from another process of an upgrade.
#[derive(Clone, Copy, Debug)]
pub struct CallbackRelay {
    /// The process that it came from.
    pub from: PeerProcessId,
    /// How often it has been passed on, which is bounded.
    pub relays: u8,
}

/// What the engine commands the task of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCommand {
    /// The attempt has ended: finish the exchange, if that goes quickly.
    Finish,
    /// Cancel the attempt at the worker.
    Cancel,
    /// Leave the attempt alone: another process sees to it from now on.
    Detach,
}

/// What another process of an upgrade is to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// This process replaces it.
    Predecessor,
    /// It replaces this process.
    Successor,
}

/// A request on its way to another process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MigratedRequest {
    /// Index into the settings' classes, which both processes share.
    pub(super) class: usize,
    /// Its expected work in seconds, if its client gave a hint.
    pub(super) estimated_work_s: Option<f64>,
    /// Time to its deadline.
    pub time_left: Duration,
    /// In the order of their numbers.
    pub(super) attempts: Vec<MigratedAttempt>,
    /// What the dispatcher knows of it.
    pub(super) record: RequestRecord,
    /// What goes to workers.
    pub payload: RequestPayload,
}

/// An attempt of a migrated request. It has ended, or its worker has accepted the request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct MigratedAttempt {
    pub(super) worker_name: String,
    /// Where the worker was, while it was on the endpoint list.
    pub(super) address: Option<SocketAddr>,
    /// Its end is still to come.
    pub(super) open: bool,
}

/// Another process of an upgrade, for as long as the link to it is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProcessId(pub(super) u64);

#[cfg(test)]
mod tests;
