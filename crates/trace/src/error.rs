//! Errors of reading, writing and merging trace files.

use std::io;

/// An error while reading, writing or merging trace files.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// Reading or writing the underlying file failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file does not start with the magic bytes. The text says what was found instead.
    #[error("not a trace file: {0}")]
    NotATrace(String),
    /// The file has an unsupported format version.
    #[error("trace format version {0} is not supported; this program reads version 1")]
    UnsupportedVersion(u16),
    /// The header is damaged. Records cannot be interpreted without it: it holds the start time and all names.
    #[error("the file header is damaged: its length, checksum or encoding is invalid")]
    DamagedHeader,
    /// The block at this byte offset is damaged.
    #[error("the block at byte offset {0} is damaged")]
    DamagedBlock(u64),
    /// The input files cannot be merged. The text says why.
    #[error("cannot merge the trace files: {0}")]
    Merge(String),
}
