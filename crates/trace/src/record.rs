//! The records of a trace, and their bytes inside a block.
//!
//! Records are encoded by the position of their kinds and fields. A new kind goes at the end of [`Record`], a new
//! field at the end of its kind; nothing is ever removed or reordered. `tests/stored_data.rs` reads an old file.

use serde::{Deserialize, Serialize};

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerKind {
    /// With a worker's result.
    Served,
    /// Rejected: the client may try again without harm.
    Rejected,
    /// Failed: it may have run.
    Failed,
    /// Its client had disconnected before.
    ClientDisconnected,
    /// It was migrated to the process that has taken over, which answers it.
    Migrated,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptStage {
    /// It has begun to run.
    Started,
    /// This much of it is done, in thousandths.
    Progress(u16),
}

/// A change in the lifecycle of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifecycleChange {
    /// It serves.
    Serving,
    /// An operator sent PAUSE.
    Paused,
    /// An operator sent RESUME.
    Resumed,
    /// The configuration was reloaded.
    Reloaded,
    /// Another process has taken over.
    Replaced,
    /// SIGTERM came.
    Stopping,
}

/// A step of a request that is forwarded between sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardingStep {
    /// It was forwarded to another site.
    Forwarded,
    /// It was returned unstarted.
    Returned,
    /// It was received from another site.
    Received,
}

/// One thing that happened. Requests, workers, classes and tenants go by numbers, which the records
/// [`Arrival`](Record::Arrival) and [`Worker`](Record::Worker) and the header explain. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Whose records those of a source are, in a merged file.
    Source {
        /// The source's number in the heads of its blocks.
        number: u16,
        /// The scheduler.
        scheduler: String,
        /// Its site.
        site: String,
    },
    /// A request has arrived.
    Arrival {
        /// Its number.
        id: u64,
        /// A keyed hash of its request ID, the same at every site with the same secret.
        name_hash: u64,
        /// Index into the header's classes.
        class: u16,
        /// Index into the header's tenants.
        tenant: u16,
        /// Its estimated work, if a hint came with it.
        hint_us: Option<u64>,
        /// Time until its client gives up.
        time_left_us: u64,
        /// A keyed hash of its idempotency key, if it has one.
        key_hash: Option<u64>,
        /// It is within its tenant's quota.
        within_quota: bool,
    },
    /// The name of a worker.
    Worker {
        /// Its number.
        worker: u16,
        /// Its name, or a keyed hash of it in an anonymised file.
        name: String,
    },
    /// The endpoint list has changed the state of a worker.
    EndpointState {
        /// The worker.
        worker: u16,
        /// 1: it takes requests; 2: it drains; 0: it is gone.
        state: u8,
    },
    /// An attempt is sent to a worker.
    AttemptSent {
        /// The request.
        id: u64,
        /// The attempt, from 0; above 0 it is a retry.
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
        /// How far it has come.
        stage: AttemptStage,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: u64,
        /// The attempt.
        attempt: u8,
        /// The number of its outcome, in the order of the counters.
        outcome: u8,
        /// Free slots of the worker, if its load report said so.
        free_slots: Option<u32>,
        /// Requests that wait at the worker, if its load report said so.
        queued: Option<u32>,
    },
    /// The scheduler rejects a request.
    Rejected {
        /// The request.
        id: u64,
        /// How long its client should wait before it tries again.
        retry_after_us: u64,
    },
    /// A step of a forwarded request.
    Forwarding {
        /// The request.
        id: u64,
        /// The step.
        step: ForwardingStep,
        /// Its number at the site that forwarded it.
        forwarded: u64,
        /// The incarnation of the process that forwarded it.
        incarnation: u64,
    },
    /// The final answer.
    Answered {
        /// The request.
        id: u64,
        /// How it was answered.
        kind: AnswerKind,
        /// Time since its arrival.
        latency_us: u64,
    },
    /// A change in the scheduler's lifecycle.
    Lifecycle(LifecycleChange),
}

impl Record {
    /// The request that it is about, if any.
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

/// A record, when it happened, and whose it is.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedRecord {
    /// Microseconds since the file's anchor.
    pub at: u64,
    /// 0: the file's own scheduler; else see [`Record::Source`].
    pub source: u16,
    /// The record.
    pub record: Record,
}

/// The next record of a block, as it is read.
pub(crate) struct DecodedRecord {
    /// Microseconds since the record before it.
    pub(crate) since_previous: i64,
    /// `None` if its kind is not known here.
    pub(crate) record: Option<Record>,
}

/// Appends a record: its length, then its time since the one before, then itself.
pub(crate) fn encode(
    block: &mut Vec<u8>,
    since_previous: i64,
    record: &Record,
) -> Result<(), postcard::Error> {
    let body = postcard::to_extend(record, postcard::to_allocvec(&since_previous)?)?;
    block.extend(postcard::to_allocvec(&(body.len() as u64))?);
    block.extend(body);
    Ok(())
}

/// Takes the next record off the front; `None` if what is left is no record.
pub(crate) fn decode(bytes: &mut &[u8]) -> Option<DecodedRecord> {
    let (length, rest) = postcard::take_from_bytes::<u64>(bytes).ok()?;
    let length = usize::try_from(length).ok().filter(|length| *length <= rest.len())?;
    let (body, rest) = rest.split_at(length);
    *bytes = rest;
    let (since_previous, body) = postcard::take_from_bytes::<i64>(body).ok()?;
    // What follows the fields that are known here was added later.
    let record = postcard::take_from_bytes::<Record>(body).ok().map(|(record, _)| record);
    Some(DecodedRecord { since_previous, record })
}
