//! Frames: a length, a header, then records. A frame is a batch of events that happen at the same time.

use std::io::{self, Read};

use bytes::Buf;

use super::error::{too_short, RecordError, WireError};
use super::records::record_name;

/// Length of the frame header: the number of records (4) and the time (8).
const FRAME_HEADER_BYTES: usize = 12;
/// Length of the record header: the code (1) and the length of the fields (4).
const RECORD_HEADER_BYTES: usize = 5;

/// An error in a frame, without the number of the frame.
pub(super) struct FrameError {
    /// Offset of the malformed part.
    pub(super) offset: usize,
    /// The record's name, or the malformed part of the frame.
    pub(super) record: &'static str,
    pub(super) source: RecordError,
}

impl FrameError {
    /// Adds the number of the frame.
    pub(super) fn in_frame(self, frame: u64) -> WireError {
        WireError::Malformed { frame, offset: self.offset, record: self.record, source: self.source }
    }
}

/// A record whose fields have not been decoded.
pub(super) struct RawRecord<'a> {
    pub(super) code: u8,
    pub(super) fields: &'a [u8],
    offset: usize,
}

impl RawRecord<'_> {
    /// Adds the offset and the name of this record to an error.
    pub(super) fn error(&self, source: RecordError) -> FrameError {
        FrameError { offset: self.offset, record: record_name(self.code), source }
    }
}

/// The records of one frame, in order.
pub(super) struct FrameReader<'a> {
    rest: &'a [u8],
    length: usize,
    records_left: u32,
    /// Time of all events in the frame, in seconds on the simulator's clock.
    pub(super) now_s: f64,
}

impl<'a> FrameReader<'a> {
    /// Reads the header of `frame`. The length prefix must already be removed.
    pub(super) fn new(frame: &'a [u8]) -> Result<Self, FrameError> {
        let mut rest = frame;
        if rest.len() < FRAME_HEADER_BYTES {
            let source = too_short(FRAME_HEADER_BYTES, rest.len());
            return Err(FrameError { offset: 0, record: "header", source });
        }
        let records_left = rest.get_u32_le();
        let now_s = rest.get_f64_le();
        Ok(FrameReader { rest, length: frame.len(), records_left, now_s })
    }

    /// Returns the next record, or `None` after the last one. Bytes after the last record are an error.
    pub(super) fn next_record(&mut self) -> Result<Option<RawRecord<'a>>, FrameError> {
        let offset = self.length - self.rest.len();
        if self.records_left == 0 {
            return self.check_end(offset).map(|()| None);
        }
        self.records_left -= 1;
        if self.rest.len() < RECORD_HEADER_BYTES {
            let source = too_short(RECORD_HEADER_BYTES, self.rest.len());
            return Err(FrameError { offset, record: "record header", source });
        }
        let code = self.rest.get_u8();
        let length = self.rest.get_u32_le() as usize;
        if length > self.rest.len() {
            let source = too_short(length, self.rest.len());
            return Err(FrameError { offset, record: record_name(code), source });
        }
        let (fields, rest) = self.rest.split_at(length);
        self.rest = rest;
        Ok(Some(RawRecord { code, fields, offset }))
    }

    fn check_end(&self, offset: usize) -> Result<(), FrameError> {
        if self.rest.is_empty() {
            return Ok(());
        }
        Err(FrameError { offset, record: "end of the frame", source: RecordError::TooLong(self.rest.len()) })
    }
}

/// Reads the next frame into `frame`, without its length prefix. Returns false if the input has ended.
pub(super) fn read_frame(
    input: &mut impl Read,
    frame: &mut Vec<u8>,
    frame_number: u64,
) -> Result<bool, WireError> {
    let mut length = [0; 4];
    let mut received = 0;
    while received < length.len() {
        match input.read(&mut length[received..]) {
            Ok(0) if received == 0 => return Ok(false),
            Ok(0) => return Err(WireError::Truncated { frame: frame_number }),
            Ok(count) => received += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    let length = u32::from_le_bytes(length);
    frame.clear();
    if input.by_ref().take(length.into()).read_to_end(frame)? < length as usize {
        return Err(WireError::Truncated { frame: frame_number });
    }
    Ok(true)
}
