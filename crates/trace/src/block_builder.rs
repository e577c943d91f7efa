//! A block that is being filled with records.

use std::io;

use crate::block::{BlockHead, BlockKind, Codec, EncodedBlock, FULL_BYTES, MOST_RECORD_BYTES};
use crate::record::{decode, encode, DecodedRecord};
use crate::{Record, TraceError};

/// Collects the records of one source until a block is full.
#[derive(Debug, Default)]
pub(crate) struct BlockBuilder {
    source: u16,
    raw: Vec<u8>,
    count: u32,
    /// The time of the first record that was added, and of the last.
    first_added_at: u64,
    last_added_at: u64,
    /// The least and the largest time.
    first: u64,
    last: u64,
}

impl BlockBuilder {
    pub(crate) fn new(source: u16) -> Self {
        BlockBuilder { source, ..BlockBuilder::default() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub(crate) fn is_full(&self) -> bool {
        self.raw.len() >= FULL_BYTES - MOST_RECORD_BYTES
    }

    /// Adds a record.
    ///
    /// # Errors
    /// If it is longer than [`MOST_RECORD_BYTES`], which no record of this program is.
    pub(crate) fn push(&mut self, at: u64, record: &Record) -> Result<(), TraceError> {
        if self.count == 0 {
            self.first_added_at = at;
            self.last_added_at = at;
            self.first = at;
            self.last = at;
        }
        let length_before = self.raw.len();
        let since_previous = at.wrapping_sub(self.last_added_at) as i64;
        encode(&mut self.raw, since_previous, record).map_err(|e| io::Error::other(e.to_string()))?;
        if self.raw.len() - length_before > MOST_RECORD_BYTES {
            self.raw.truncate(length_before);
            return Err(io::Error::other("a record is too long").into());
        }
        self.last_added_at = at;
        self.first = self.first.min(at);
        self.last = self.last.max(at);
        self.count += 1;
        Ok(())
    }

    /// Ends the block; the builder is empty from then on.
    pub(crate) fn finish(&mut self) -> EncodedBlock {
        let raw = self.take_raw();
        let compressed = lz4_flex::block::compress(&raw);
        let (codec, stored) =
            if compressed.len() < raw.len() { (Codec::Lz4, &compressed) } else { (Codec::Plain, &raw) };
        let head = BlockHead {
            stored_bytes: stored.len() as u32,
            raw_bytes: raw.len() as u32,
            count: std::mem::take(&mut self.count),
            first: self.first,
            last: self.last,
            source: self.source,
            codec,
            kind: BlockKind::Records,
            crc: 0,
        };
        EncodedBlock { head, bytes: head.to_bytes(stored) }
    }

    /// Takes the records. The first one's time is counted from `first`, which a later record may have lowered.
    fn take_raw(&mut self) -> Vec<u8> {
        let recorded = std::mem::take(&mut self.raw);
        let shift = self.first_added_at.wrapping_sub(self.first);
        if shift == 0 {
            return recorded;
        }
        let mut raw = Vec::with_capacity(recorded.len() + 9);
        let mut rest = recorded.as_slice();
        if let Some(DecodedRecord { since_previous, record: Some(record) }) = decode(&mut rest) {
            // It was encoded before, so it can be encoded again.
            let _ = encode(&mut raw, since_previous.wrapping_add(shift as i64), &record);
        }
        raw.extend_from_slice(rest);
        raw
    }
}
