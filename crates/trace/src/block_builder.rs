//! Encodes records into blocks.

use std::io;

use crate::block::{BlockHeader, BlockKind, Codec, EncodedBlock, MAX_RECORD_BYTES, TARGET_BLOCK_BYTES};
use crate::record::{decode, encode, DecodedRecord};
use crate::{Record, TraceError};

/// Collects the records of one source until a block is full.
#[derive(Debug, Default)]
pub(crate) struct BlockBuilder {
    source: u16,
    raw: Vec<u8>,
    count: u32,
    /// Time of the record that was added first.
    first_added_at: u64,
    /// Time of the record that was added last.
    last_added_at: u64,
    /// Earliest time in the block. Records can be added out of order.
    min_time: u64,
    /// Latest time in the block.
    max_time: u64,
}

impl BlockBuilder {
    pub(crate) fn new(source: u16) -> Self {
        BlockBuilder { source, ..BlockBuilder::default() }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub(crate) fn is_full(&self) -> bool {
        self.raw.len() >= TARGET_BLOCK_BYTES - MAX_RECORD_BYTES
    }

    /// Adds a record.
    ///
    /// # Errors
    /// If the encoded record is larger than [`MAX_RECORD_BYTES`]. Records written by a scheduler never are.
    pub(crate) fn push(&mut self, at: u64, record: &Record) -> Result<(), TraceError> {
        if self.count == 0 {
            self.first_added_at = at;
            self.last_added_at = at;
            self.min_time = at;
            self.max_time = at;
        }
        let length_before = self.raw.len();
        let time_delta_us = at.wrapping_sub(self.last_added_at) as i64;
        encode(&mut self.raw, time_delta_us, record).map_err(|e| io::Error::other(e.to_string()))?;
        let record_bytes = self.raw.len() - length_before;
        if record_bytes > MAX_RECORD_BYTES {
            self.raw.truncate(length_before);
            let message =
                format!("record of {record_bytes} bytes is too long: at most {MAX_RECORD_BYTES} allowed");
            return Err(io::Error::other(message).into());
        }
        self.last_added_at = at;
        self.min_time = self.min_time.min(at);
        self.max_time = self.max_time.max(at);
        self.count += 1;
        Ok(())
    }

    /// Finishes the block and leaves the builder empty.
    pub(crate) fn finish(&mut self) -> EncodedBlock {
        let raw = self.take_raw();
        let compressed = lz4_flex::block::compress(&raw);
        let (codec, stored) =
            if compressed.len() < raw.len() { (Codec::Lz4, &compressed) } else { (Codec::Plain, &raw) };
        let header = BlockHeader {
            stored_bytes: stored.len() as u32,
            raw_bytes: raw.len() as u32,
            count: std::mem::take(&mut self.count),
            min_time: self.min_time,
            max_time: self.max_time,
            source: self.source,
            codec,
            kind: BlockKind::Records,
            crc: 0,
        };
        EncodedBlock { header, bytes: header.to_bytes(stored) }
    }

    /// Takes the encoded records. Re-encodes the first one if its time is not `min_time`: readers count the first time
    /// difference from `min_time`, but a later record can be earlier than the first.
    fn take_raw(&mut self) -> Vec<u8> {
        let encoded = std::mem::take(&mut self.raw);
        let shift = self.first_added_at.wrapping_sub(self.min_time);
        if shift == 0 {
            return encoded;
        }
        let mut raw = Vec::with_capacity(encoded.len() + 9);
        let mut rest = encoded.as_slice();
        if let Some(DecodedRecord { time_delta_us, record: Some(record) }) = decode(&mut rest) {
            // Encoding cannot fail: the same record has been encoded before.
            let _ = encode(&mut raw, time_delta_us.wrapping_add(shift as i64), &record);
        }
        raw.extend_from_slice(rest);
        raw
    }
}
