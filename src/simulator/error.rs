//! What can be wrong with the simulator's input.

use std::io;

use crate::config::settings::SettingsError;

/// Why a frame cannot be read. Offsets count from the first byte after the frame's length.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("input or output: {0}")]
    Io(#[from] io::Error),
    /// The input ends inside a frame.
    #[error("frame {frame}: input ends inside the frame")]
    Truncated {
        /// Number of the frame, from 0.
        frame: u64,
    },
    /// A record, or the frame's header, is malformed.
    #[error("frame {frame}, offset {offset}, {record}: {source}")]
    Malformed {
        /// Number of the frame, from 0.
        frame: u64,
        /// Where the record starts.
        offset: usize,
        /// The record's name on the wire page, or the part of the frame.
        record: &'static str,
        /// What is wrong.
        source: RecordError,
    },
}

/// What is wrong with one record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// Its length says less than its fields need.
    #[error("the record is shorter than its fields")]
    TooShort(#[from] bytes::TryGetError),
    /// Bytes follow its last field.
    #[error("{0} bytes are left over")]
    TooLong(usize),
    /// A field has a value that the wire page does not list.
    #[error("{field} has no value {value}")]
    UnknownValue {
        /// The field's name on the wire page.
        field: &'static str,
        /// What it holds.
        value: u64,
    },
    /// A `VIEW` refers to a list that no `DEFINE_LIST` has defined.
    #[error("list {0} is not defined")]
    UndefinedList(u8),
    /// A list's number is out of range.
    #[error("list number {0} is over 15")]
    ListNumber(u8),
    /// No `ON` has said which instance the record is for.
    #[error("no instance is set")]
    NoInstance,
    /// The instance was never started, or has been stopped.
    #[error("instance {0} is not enlisted")]
    NotEnlisted(u16),
    /// The settings are not text.
    #[error("the options are not UTF-8")]
    SettingsNotUtf8(#[source] std::str::Utf8Error),
    /// A setting cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The record, or the frame, needs `requested` bytes where `available` are left.
pub(super) fn too_short(requested: usize, available: usize) -> RecordError {
    RecordError::TooShort(bytes::TryGetError { requested, available })
}
