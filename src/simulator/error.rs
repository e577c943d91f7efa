//! Errors in the simulator's input.

use std::io;

use crate::config::settings::SettingsError;

/// An error that ends the session with the simulator. Offsets count from the first byte after the frame's length.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("I/O error: {0}")]
    Io(#[from] io::Error),
    /// The input ends in the middle of a frame.
    #[error("frame {frame}: input ends in the middle of the frame")]
    Truncated {
        /// Number of the frame, counted from 0.
        frame: u64,
    },
    /// A record, or the frame's header, is malformed.
    #[error("frame {frame}, offset {offset}, {record}: {source}")]
    Malformed {
        /// Number of the frame, counted from 0.
        frame: u64,
        /// Offset of the record in the frame.
        offset: usize,
        /// The record's protocol name, or the malformed part of the frame.
        record: &'static str,
        /// The error in the record.
        source: RecordError,
    },
}

/// An error in one record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// Fewer bytes are left than the next field, record or header needs.
    #[error("{} bytes expected, {} left", .source.requested, .source.available)]
    TooShort {
        /// The numbers of bytes expected and left.
        #[from]
        source: bytes::TryGetError,
    },
    /// Bytes remain after the last field, or after the last record of a frame.
    #[error("{0} unexpected trailing bytes")]
    TooLong(usize),
    /// A field has a value that the protocol does not define.
    #[error("unknown value {value} of {field}")]
    UnknownValue {
        /// The field's protocol name.
        field: &'static str,
        /// The value received.
        value: u64,
    },
    /// A `VIEW` refers to a worker list that no `DEFINE_LIST` has defined.
    #[error("worker list {0} is not defined")]
    UndefinedList(u8),
    /// The number of a worker list is out of range.
    #[error("worker list number {0} exceeds the maximum of 15")]
    ListNumberTooLarge(u8),
    /// No `ON` record earlier in the frame has selected an instance.
    #[error("no instance selected by an earlier ON record")]
    NoInstanceSelected,
    /// The instance was never started, or has been stopped.
    #[error("instance {0} is not running")]
    InstanceNotRunning(u16),
    /// The settings of a new instance are not UTF-8.
    #[error("settings are not valid UTF-8: {0}")]
    SettingsNotUtf8(#[source] std::str::Utf8Error),
    /// A setting is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The error for a record or frame that needs `requested` bytes when only `available` are left.
pub(super) fn too_short(requested: usize, available: usize) -> RecordError {
    RecordError::TooShort { source: bytes::TryGetError { requested, available } }
}
