//! Types shared by the network modules: a request, its final answer, a worker's callback, and a request that
//! migrates to another process.
//!
//! They depend on no protocol, socket or engine. The messages to the engine are in
//! [`crate::server::engine_queue`], the ends of attempts in [`crate::server::attempt_end`], and the events of site
//! links in [`crate::server::peers`].
//!
//! [`RequestPayload`], [`MigratedRequest`], [`WorkerCallback`] and the types that they contain are sent between the
//! processes of an upgrade, which may run different builds. Their fields are serialized by position: none may be
//! added, removed or reordered without a new frame version ([`crate::server::lifecycle::handover_frames`]).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chutesaddle_gateway::Origin;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::scheduling::RequestRecord;
use crate::server::attempt_end::AttemptEnd;
use crate::server::memory_budget::HeldMemory;

/// Hashes a name. The hash is the same in all schedulers and builds, so that they make the same choices from it.
pub fn stable_hash(name: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name)
}

/// Returns the affinity key for a request target. Requests with the same key use the same cached data.
///
/// The key is the hash of the last path segment, without percent-decoding. The first segment is the class; a path
/// with no further segment has no key.
pub fn affinity_key_of(target: &[u8]) -> Option<u64> {
    let path = target.split(|byte| b"?#".contains(byte)).next().unwrap_or_default();
    let mut segments = path.strip_prefix(b"/").unwrap_or(path).split(|byte| *byte == b'/');
    segments.next(); // the class
    segments.next_back().filter(|segment| !segment.is_empty()).map(stable_hash)
}

/// The part of a request that is sent to a worker, unchanged from the client.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestPayload {
    /// `X-Request-Id`, which identifies the request in the worker's callbacks.
    pub name: Bytes,
    /// The target of the request line.
    pub target: Bytes,
    /// `Idempotency-Key`.
    pub key: Option<Bytes>,
    /// `Content-Type`.
    pub content_type: Option<Bytes>,
    /// The body.
    pub body: Bytes,
    /// The memory of all of it, in this process.
    #[serde(skip)]
    pub held: HeldMemory,
}

impl RequestPayload {
    /// Size of all parts, in bytes.
    pub fn size(&self) -> usize {
        let optional = |part: &Option<Bytes>| part.as_ref().map_or(0, Bytes::len);
        let required = self.name.len() + self.target.len() + self.body.len();
        required + optional(&self.key) + optional(&self.content_type)
    }
}

/// A request as submitted by the frontend, or received from another site.
#[derive(Debug)]
pub struct ClientRequest {
    /// Index into [`Settings::classes`](crate::scheduling::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenants`](crate::scheduling::Settings::tenants).
    pub tenant: usize,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Number of slots that the request occupies on a worker.
    pub slots: f64,
    /// Amount of memory that the request occupies on a worker.
    pub memory: f64,
    /// Estimated work in seconds, if the client sent a hint.
    pub estimated_work_s: Option<f64>,
    /// See [`affinity_key_of`].
    pub affinity_key: Option<u64>,
    /// The part of the request that is sent to the worker.
    pub payload: RequestPayload,
    /// Set if another site forwarded the request.
    pub origin: Option<Origin>,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// The result from a worker.
    Served(Bytes),
    /// Rejected; the client can safely retry.
    Rejected {
        /// Seconds after which the client should retry; 0 for no advice.
        retry_after_s: f64,
    },
    /// A request from another site is rejected and has not run, so its own site can still run it.
    RejectedUnstarted,
    /// Failed; the request may have run.
    Failed,
    /// Not accepted, because an open request has the same ID.
    DuplicateId,
    /// Not accepted, because a request with the same ID may have run and must not run again.
    RepeatedId,
    /// Migrated to the successor process, which answers the client. The client is still waiting.
    Migrated(Box<MigratedRequest>),
}

impl FinalAnswer {
    /// Returns the name used in the log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "rejected",
            FinalAnswer::RejectedUnstarted => "rejected_unstarted",
            FinalAnswer::Failed => "failed",
            FinalAnswer::DuplicateId => "duplicate_id",
            FinalAnswer::RepeatedId => "repeated_id",
            FinalAnswer::Migrated(_) => "migrated",
        }
    }
}

/// The event reported by a callback.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CallbackEvent {
    /// The worker has started the request.
    Started,
    /// Fraction of the request that is complete.
    Progress(f64),
    /// The request is complete, with this result.
    Completed(Bytes),
    /// The attempt has ended in another way.
    Ended(AttemptEnd),
}

impl CallbackEvent {
    /// Returns the name used in the log.
    pub fn name(&self) -> &'static str {
        match self {
            CallbackEvent::Started => "started",
            CallbackEvent::Progress(_) => "progress",
            CallbackEvent::Completed(_) => AttemptEnd::Completed.name(),
            CallbackEvent::Ended(end) => end.name(),
        }
    }
}

/// A callback from a worker. It identifies the request and the worker by name.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerCallback {
    /// `X-Request-Id` of the request.
    pub request_name: Bytes,
    /// Name of the worker that sent the callback.
    pub worker_name: String,
    /// The reported event.
    pub event: CallbackEvent,
    /// Load values by their names in the settings.
    pub load_report: Vec<(String, f64)>,
}

/// How a callback was relayed by another process of an upgrade.
#[derive(Clone, Copy, Debug)]
pub struct CallbackRelay {
    /// The process that relayed the callback to this one.
    pub from: PeerProcessId,
    /// Number of times that the callback has been relayed. The engine limits it.
    pub relays: u8,
}

/// A command from the engine to the task of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCommand {
    /// The attempt has ended: finish the exchange if that is quick.
    Finish,
    /// Cancel the attempt at the worker.
    Cancel,
    /// Stop without cancelling the attempt: another process takes it over.
    Detach,
}

/// The role of another process of an upgrade, relative to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// This process replaces the other one.
    Predecessor,
    /// The other process replaces this one.
    Successor,
}

/// A request that migrates to another process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MigratedRequest {
    /// Index into the settings' classes, which both processes share.
    pub(super) class: usize,
    /// Estimated work in seconds, if the client sent a hint.
    pub(super) estimated_work_s: Option<f64>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Attempts, in the order in which they were dispatched.
    pub(super) attempts: Vec<MigratedAttempt>,
    /// The dispatcher's record of the request.
    pub(super) record: RequestRecord,
    /// The part of the request that is sent to workers.
    pub payload: RequestPayload,
}

/// An attempt of a migrated request. It has either ended or been accepted by its worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct MigratedAttempt {
    pub(super) worker_name: String,
    /// Address of the worker, or `None` if it is no longer on the endpoint list.
    pub(super) address: Option<SocketAddr>,
    /// True if the attempt has not ended.
    pub(super) open: bool,
}

/// Identifies another process of an upgrade while the link to it is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProcessId(pub(super) u64);

#[cfg(test)]
mod tests;
