//! Trace files: the requests, decisions, attempts and answers of a scheduler, recorded for replay and comparison.
//!
//! `docs/trace-format.md` specifies the format in enough detail to write an independent reader. Start with [`Record`],
//! which lists all recorded events, then read [`Writer`] and [`Reader`]. Neither uses a socket or a clock: a writer
//! takes any `Write`, a reader any `Read + Seek`, and times are passed as arguments. The command line tools are in
//! `src/cli/trace.rs`.
//!
//! | module | contents |
//! | --- | --- |
//! | `record` | the recorded events and their encoding |
//! | `block`, `block_builder` | checksummed, compressed blocks of records: decoding and encoding |
//! | `header` | the file header: the scheduler that wrote the file, and its start time |
//! | `index` | the positions of the blocks, read from the trailer or rebuilt by a scan |
//! | `writer`, `reader` | writing and reading a whole file |
//! | `merge` | merging several files into one, ordered by wall clock |
//! | `checker` | consistency checks: every request gets exactly one answer |
//! | `summary` | service per class and tenant, computed in bounded memory |
#![warn(missing_docs)]

mod block;
mod block_builder;
mod checker;
mod error;
mod header;
mod index;
mod little_endian;
mod merge;
mod reader;
mod record;
mod summary;
mod writer;

pub use checker::{Checker, Violation, ViolationKind};
pub use error::TraceError;
pub use header::{ClassObjective, Header};
pub use index::{BlockEntry, Index};
pub use merge::{merge, MergeInput};
pub use reader::{Reader, TraceItem};
pub use record::{AnswerKind, AttemptStage, ForwardingStep, LifecycleChange, Record, TimedRecord};
pub use summary::{ServiceRow, Summary, WorstWindow};
pub use writer::Writer;

/// Number of records processed so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Records read.
    pub records: u64,
    /// Records dropped by the writer or lost in damaged blocks.
    pub missing: u64,
}
