//! Trace files: what a scheduler received, decided, sent and answered, for replay and comparison after the fact.
//!
//! The format is specified in `docs/trace-format.md`, exactly enough for somebody else to write a reader. Begin with
//! [`Record`], which lists what can happen, then [`Writer`] and [`Reader`]. Neither knows a socket or a clock: they
//! work on anything that is `Write`, or `Read` and `Seek`, and times are arguments. The command line tools are in
//! `src/cli/trace.rs`.
//!
//! | file | question |
//! | --- | --- |
//! | `record` | what is recorded, and its bytes |
//! | `block`, `block_builder` | records in checked, compressed blocks: one that is read, one that is filled |
//! | `header` | who wrote a file, and when its time 0 was |
//! | `index` | where the blocks of a file are, from its end or by a scan |
//! | `writer`, `reader` | whole files |
//! | `merge` | several files into one, in the order of their wall clocks |
//! | `checker` | has each arrival one answer |
//! | `summary` | service as the operators count it, in bounded memory |
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
pub use reader::{Item, Reader};
pub use record::{AnswerKind, AttemptStage, ForwardingStep, LifecycleChange, Record, TimedRecord};
pub use summary::{ServiceRow, Summary, WorstStretch};
pub use writer::Writer;

/// How many records were taken up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Records read.
    pub records: u64,
    /// Records dropped by the writer or lost with a damaged block.
    pub missing: u64,
}
