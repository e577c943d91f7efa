//! Why a trace file cannot be read or written.

use std::io;

/// Why a file cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file system failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It does not begin like a trace file.
    #[error("no trace file")]
    NotATrace,
    /// It is written in another version.
    #[error("a trace file of version {0}; this program reads version 1")]
    UnsupportedVersion(u16),
    /// The header is damaged: without it no time or name means anything.
    #[error("the header is damaged")]
    DamagedHeader,
    /// A block is damaged.
    #[error("the block at byte {0} is damaged")]
    DamagedBlock(u64),
    /// Files cannot be merged.
    #[error("the files do not go together: {0}")]
    Merge(String),
}
