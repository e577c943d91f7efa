//! The records of a trace and their encoding inside a block.
//!
//! Variants and fields are encoded by position. Add new variants at the end of [`Record`] and new fields at the end of
//! their variant; never remove or reorder any. `tests/stored_data.rs` checks that an old file can still be read.

use serde::{Deserialize, Serialize};

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerKind {
    /// With a worker's result.
    Served,
    /// Rejected without having run, so the client can safely retry.
    Rejected,
    /// Failed, possibly after having run.
    Failed,
    /// Not answered: the client disconnected first.
    ClientDisconnected,
    /// Migrated to the successor process, which sends the answer.
    Migrated,
}

/// Progress of an attempt, as reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptStage {
    /// The worker has started to run it.
    Started,
    /// The completed fraction, in thousandths.
    Progress(u16),
}

/// A change of the scheduler's lifecycle state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifecycleChange {
    /// It accepts requests.
    Serving,
    /// An operator sent PAUSE.
    Paused,
    /// An operator sent RESUME.
    Resumed,
    /// The configuration was reloaded.
    Reloaded,
    /// A successor process has taken over.
    Replaced,
    /// SIGTERM was received.
    Stopping,
}

/// A step in the forwarding of a request between sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardingStep {
    /// It was forwarded to another site.
    Forwarded,
    /// It was returned to the forwarding site without having started.
    Returned,
    /// It was received from another site.
    Received,
}

/// A recorded event. Requests and workers are numbered by [`Arrival`](Record::Arrival) and
/// [`Worker`](Record::Worker) records; classes and tenants are indexes into the header's lists. Durations are in
/// microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Identifies a source of a merged file.
    Source {
        /// Number of the source in the headers of its blocks.
        number: u16,
        /// Name of the scheduler that wrote the records.
        scheduler: String,
        /// Site of the scheduler.
        site: String,
    },
    /// A request has arrived.
    Arrival {
        /// Number of the request in this trace.
        id: u64,
        /// Keyed hash of the request ID, equal at all sites that share the secret.
        request_id_hash: u64,
        /// Index into the header's classes.
        class: u16,
        /// Index into the header's tenants.
        tenant: u16,
        /// Estimated work, if the client sent a cost hint.
        hint_us: Option<u64>,
        /// Time until the deadline.
        time_left_us: u64,
        /// Keyed hash of the idempotency key, if there is one.
        key_hash: Option<u64>,
        /// Whether the request was within its tenant's quota.
        within_quota: bool,
    },
    /// Assigns a number to a worker.
    Worker {
        /// Number of the worker in this trace.
        worker: u16,
        /// Name of the worker, or a keyed hash of it in an anonymised file.
        name: String,
    },
    /// The endpoint list changed the state of a worker.
    EndpointState {
        /// The worker.
        worker: u16,
        /// 0: removed; 1: active; 2: draining.
        state: u8,
    },
    /// An attempt was sent to a worker.
    AttemptSent {
        /// The request.
        id: u64,
        /// Number of the attempt: 0 is the first, higher ones are retries.
        attempt: u8,
        /// The worker.
        worker: u16,
    },
    /// An attempt has made progress.
    AttemptProgressed {
        /// The request.
        id: u64,
        /// The attempt.
        attempt: u8,
        /// The reported progress.
        stage: AttemptStage,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: u64,
        /// The attempt.
        attempt: u8,
        /// Number of the attempt outcome, in the order of the outcome counters.
        outcome: u8,
        /// Free slots of the worker, if its load report included them.
        free_slots: Option<u32>,
        /// Requests queued at the worker, if its load report included them.
        queued: Option<u32>,
    },
    /// The scheduler rejected a request.
    Rejected {
        /// The request.
        id: u64,
        /// Time after which the client may retry.
        retry_after_us: u64,
    },
    /// A step of a forwarded request.
    Forwarding {
        /// The request.
        id: u64,
        /// The step.
        step: ForwardingStep,
        /// Number of the request at the forwarding site.
        origin_id: u64,
        /// Incarnation of the process that forwarded it.
        incarnation: u64,
    },
    /// A request was answered.
    Answered {
        /// The request.
        id: u64,
        /// How it was answered.
        kind: AnswerKind,
        /// Time from arrival to answer.
        latency_us: u64,
    },
    /// The lifecycle state of the scheduler changed.
    Lifecycle(LifecycleChange),
}

impl Record {
    /// Returns the request that the record refers to, if any.
    pub fn request_id(&self) -> Option<u64> {
        match self {
            Record::Arrival { id, .. }
            | Record::AttemptSent { id, .. }
            | Record::AttemptProgressed { id, .. }
            | Record::AttemptEnded { id, .. }
            | Record::Rejected { id, .. }
            | Record::Forwarding { id, .. }
            | Record::Answered { id, .. } => Some(*id),
            Record::Source { .. }
            | Record::Worker { .. }
            | Record::EndpointState { .. }
            | Record::Lifecycle(_) => None,
        }
    }
}

/// A record with its time and source.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedRecord {
    /// Microseconds since the file's anchor.
    pub at: u64,
    /// 0 is the scheduler that wrote the file; in merged files, [`Record::Source`] identifies the others.
    pub source: u16,
    /// The record.
    pub record: Record,
}

/// A record decoded from a block.
pub(crate) struct DecodedRecord {
    /// Microseconds since the previous record.
    pub(crate) time_delta_us: i64,
    /// `None` if this version does not know the kind of record.
    pub(crate) record: Option<Record>,
}

/// Appends a record to a block, encoded as length, time since the previous record, and body.
pub(crate) fn encode(
    block: &mut Vec<u8>,
    time_delta_us: i64,
    record: &Record,
) -> Result<(), postcard::Error> {
    let body = postcard::to_extend(record, postcard::to_allocvec(&time_delta_us)?)?;
    block.extend(postcard::to_allocvec(&(body.len() as u64))?);
    block.extend(body);
    Ok(())
}

/// Decodes the record at the start of `bytes` and advances past it. Returns `None` if there is no valid record.
pub(crate) fn decode(bytes: &mut &[u8]) -> Option<DecodedRecord> {
    let (length, rest) = postcard::take_from_bytes::<u64>(bytes).ok()?;
    let length = usize::try_from(length).ok().filter(|length| *length <= rest.len())?;
    let (body, rest) = rest.split_at(length);
    *bytes = rest;
    let (time_delta_us, body) = postcard::take_from_bytes::<i64>(body).ok()?;
    // Ignore bytes after the known fields: a later version has added them.
    let record = postcard::take_from_bytes::<Record>(body).ok().map(|(record, _)| record);
    Some(DecodedRecord { time_delta_us, record })
}
