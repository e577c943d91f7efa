//! Frames: a length, a header, then records. One frame holds a batch of events that happen at one time.

use std::io::{self, Read};

use bytes::Buf;

use super::error::{too_short, RecordError, WireError};
use super::records::record_name;

/// Bytes of the number of records and the clock.
const FRAME_HEADER_BYTES: usize = 12;
/// Bytes of a record's code and its length.
const RECORD_HEADER_BYTES: usize = 5;

/// A fault in a frame whose number is not known here.
pub(super) struct FrameFault {
    /// Where the faulty part starts.
    pub(super) offset: usize,
    /// The record's name, or the part of the frame.
    pub(super) record: &'static str,
    pub(super) source: RecordError,
}

impl FrameFault {
    /// The same fault in the frame of this number.
    pub(super) fn in_frame(self, frame: u64) -> WireError {
        WireError::Malformed { frame, offset: self.offset, record: self.record, source: self.source }
    }
}

/// A record whose fields have not been read yet.
pub(super) struct RawRecord<'a> {
    pub(super) code: u8,
    pub(super) fields: &'a [u8],
    offset: usize,
}

impl RawRecord<'_> {
    /// This fault, at this record.
    pub(super) fn fault(&self, source: RecordError) -> FrameFault {
        FrameFault { offset: self.offset, record: record_name(self.code), source }
    }
}

/// The records of one frame, in order.
pub(super) struct FrameReader<'a> {
    rest: &'a [u8],
    length: usize,
    records_left: u32,
    /// The time of all events in the frame, in seconds on the simulator's clock.
    pub(super) now_s: f64,
}

impl<'a> FrameReader<'a> {
    /// Reads the header of `frame`, which is without its length.
    pub(super) fn new(frame: &'a [u8]) -> Result<Self, FrameFault> {
        let mut rest = frame;
        if rest.len() < FRAME_HEADER_BYTES {
            let source = too_short(FRAME_HEADER_BYTES, rest.len());
            return Err(FrameFault { offset: 0, record: "header", source });
        }
        let records_left = rest.get_u32_le();
        let now_s = rest.get_f64_le();
        Ok(FrameReader { rest, length: frame.len(), records_left, now_s })
    }

    /// The next record; `None` after the last one, which must also be the end of the frame.
    pub(super) fn next_record(&mut self) -> Result<Option<RawRecord<'a>>, FrameFault> {
        let offset = self.length - self.rest.len();
        if self.records_left == 0 {
            return self.check_end(offset).map(|()| None);
        }
        self.records_left -= 1;
        if self.rest.len() < RECORD_HEADER_BYTES {
            let source = too_short(RECORD_HEADER_BYTES, self.rest.len());
            return Err(FrameFault { offset, record: "record header", source });
        }
        let code = self.rest.get_u8();
        let length = self.rest.get_u32_le() as usize;
        if length > self.rest.len() {
            let source = too_short(length, self.rest.len());
            return Err(FrameFault { offset, record: record_name(code), source });
        }
        let (fields, rest) = self.rest.split_at(length);
        self.rest = rest;
        Ok(Some(RawRecord { code, fields, offset }))
    }

    fn check_end(&self, offset: usize) -> Result<(), FrameFault> {
        if self.rest.is_empty() {
            return Ok(());
        }
        Err(FrameFault { offset, record: "end of the frame", source: RecordError::TooLong(self.rest.len()) })
    }
}

/// Reads the next frame, without its length, into `frame`; false where the input ends before its first byte.
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
            Ok(read) => received += read,
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
