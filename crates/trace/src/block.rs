//! Blocks of records, each compressed and checksummed independently: block headers and decoding.

use std::io::Read;

use crate::little_endian::{u16_at, u32_at, u64_at};
use crate::record::{decode, DecodedRecord};
use crate::{TimedRecord, TraceError};

/// Target size of a block before compression. A block is closed when one more record could exceed it.
pub(crate) const TARGET_BLOCK_BYTES: usize = 64 * 1024;
/// Maximum size of an encoded record. Even the largest records, which hold worker names, are far smaller.
pub(crate) const MAX_RECORD_BYTES: usize = 4 * 1024;
pub(crate) const BLOCK_MAGIC: [u8; 4] = *b"CBLK";
/// Size of a block header: magic bytes, fields, checksum.
pub(crate) const BLOCK_HEADER_BYTES: usize = 4 + FIELD_BYTES + 4;
const FIELD_BYTES: usize = 4 + 4 + 4 + 8 + 8 + 2 + 1 + 1;

/// Compression of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Codec {
    Plain,
    Lz4,
}

impl Codec {
    fn code(self) -> u8 {
        match self {
            Codec::Plain => 0,
            Codec::Lz4 => 1,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        match code {
            0 => Some(Codec::Plain),
            1 => Some(Codec::Lz4),
            _ => None,
        }
    }
}

/// Whether a block holds records or stands for dropped ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockKind {
    Records,
    /// The writer dropped records here; the block has no body.
    Gap,
}

impl BlockKind {
    fn code(self) -> u8 {
        match self {
            BlockKind::Records => 0,
            BlockKind::Gap => 1,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        match code {
            0 => Some(BlockKind::Records),
            1 => Some(BlockKind::Gap),
            _ => None,
        }
    }
}

/// The header of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BlockHeader {
    pub(crate) stored_bytes: u32,
    pub(crate) raw_bytes: u32,
    pub(crate) count: u32,
    /// Earliest time in the block.
    pub(crate) min_time: u64,
    /// Latest time in the block.
    pub(crate) max_time: u64,
    pub(crate) source: u16,
    pub(crate) codec: Codec,
    pub(crate) kind: BlockKind,
    pub(crate) crc: u32,
}

impl BlockHeader {
    fn fields(&self) -> [u8; FIELD_BYTES] {
        let mut bytes = [0; FIELD_BYTES];
        let fields: [&[u8]; 8] = [
            &self.stored_bytes.to_le_bytes(),
            &self.raw_bytes.to_le_bytes(),
            &self.count.to_le_bytes(),
            &self.min_time.to_le_bytes(),
            &self.max_time.to_le_bytes(),
            &self.source.to_le_bytes(),
            &[self.codec.code()],
            &[self.kind.code()],
        ];
        let mut offset = 0;
        for field in fields {
            bytes[offset..offset + field.len()].copy_from_slice(field);
            offset += field.len();
        }
        bytes
    }

    /// Decodes a block header. Returns `None` if the bytes are not a valid one.
    pub(crate) fn parse(bytes: &[u8; BLOCK_HEADER_BYTES]) -> Option<Self> {
        if bytes[..4] != BLOCK_MAGIC {
            return None;
        }
        let header = BlockHeader {
            stored_bytes: u32_at(bytes, 4),
            raw_bytes: u32_at(bytes, 8),
            count: u32_at(bytes, 12),
            min_time: u64_at(bytes, 16),
            max_time: u64_at(bytes, 24),
            source: u16_at(bytes, 32),
            codec: Codec::from_code(bytes[34])?,
            kind: BlockKind::from_code(bytes[35])?,
            crc: u32_at(bytes, 36),
        };
        let max_bytes = TARGET_BLOCK_BYTES + MAX_RECORD_BYTES;
        let fits = header.raw_bytes as usize <= max_bytes && header.stored_bytes as usize <= max_bytes;
        (fits && header.min_time <= header.max_time).then_some(header)
    }

    pub(crate) fn is_gap(&self) -> bool {
        self.kind == BlockKind::Gap
    }

    /// Computes the checksum over the header fields and the stored bytes.
    fn checksum(&self, stored: &[u8]) -> u32 {
        let mut crc = crc32fast::Hasher::new();
        crc.update(&self.fields());
        crc.update(stored);
        crc.finalize()
    }

    /// Encodes the whole block.
    pub(crate) fn to_bytes(self, stored: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::from(BLOCK_MAGIC);
        bytes.extend(self.fields());
        bytes.extend(self.checksum(stored).to_le_bytes());
        bytes.extend_from_slice(stored);
        bytes
    }
}

/// A complete block, ready to be written to a file.
pub(crate) struct EncodedBlock {
    pub(crate) header: BlockHeader,
    pub(crate) bytes: Vec<u8>,
}

impl EncodedBlock {
    /// Creates a block that marks `count` records between two times as dropped.
    pub(crate) fn gap(source: u16, count: u32, min_time: u64, max_time: u64) -> Self {
        let header = BlockHeader {
            stored_bytes: 0,
            raw_bytes: 0,
            count,
            min_time,
            max_time,
            source,
            codec: Codec::Plain,
            kind: BlockKind::Gap,
            crc: 0,
        };
        EncodedBlock { header, bytes: header.to_bytes(&[]) }
    }
}

/// Reads the body of a block and appends its records. Returns the number of records of unknown kinds.
///
/// # Errors
/// [`TraceError::DamagedBlock`] if the block at `offset` is truncated, fails its checksum or cannot be decoded.
pub(crate) fn read_records(
    file: &mut impl Read,
    offset: u64,
    header: &BlockHeader,
    records: &mut Vec<TimedRecord>,
) -> Result<u32, TraceError> {
    let damaged = || TraceError::DamagedBlock(offset);
    let mut stored = vec![0; header.stored_bytes as usize];
    // Any read error counts as a damaged block.
    file.read_exact(&mut stored).map_err(|_| damaged())?;
    if header.checksum(&stored) != header.crc {
        return Err(damaged());
    }
    let raw = match header.codec {
        Codec::Plain => stored,
        Codec::Lz4 => {
            lz4_flex::block::decompress(&stored, header.raw_bytes as usize).map_err(|_| damaged())?
        }
    };
    let mut rest = raw.as_slice();
    let mut at = header.min_time;
    let mut unknown = 0;
    while !rest.is_empty() {
        let DecodedRecord { time_delta_us, record } = decode(&mut rest).ok_or_else(damaged)?;
        at = at.wrapping_add(time_delta_us as u64);
        match record {
            Some(record) => records.push(TimedRecord { at, source: header.source, record }),
            None => unknown += 1,
        }
    }
    Ok(unknown)
}
