//! Blocks of records, each compressed and checked by itself: their heads, and how one is read.

use std::io::Read;

use crate::little_endian::{u16_at, u32_at, u64_at};
use crate::record::{decode, DecodedRecord};
use crate::{TimedRecord, TraceError};

/// Records of one block before compression, in bytes.
pub(crate) const FULL_BYTES: usize = 64 * 1024;
/// A record is far shorter; the longest hold names of workers.
pub(crate) const MOST_RECORD_BYTES: usize = 4 * 1024;
pub(crate) const BLOCK_MARK: [u8; 4] = *b"CBLK";
/// Bytes before the stored ones: the mark, the fields, the checksum.
pub(crate) const HEAD_BYTES: usize = 4 + FIELD_BYTES + 4;
const FIELD_BYTES: usize = 4 + 4 + 4 + 8 + 8 + 2 + 1 + 1;

/// How the records of a block are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Codec {
    Plain,
    Lz4,
}

impl Codec {
    fn number(self) -> u8 {
        match self {
            Codec::Plain => 0,
            Codec::Lz4 => 1,
        }
    }

    fn from_number(number: u8) -> Option<Self> {
        match number {
            0 => Some(Codec::Plain),
            1 => Some(Codec::Lz4),
            _ => None,
        }
    }
}

/// What a block is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockKind {
    Records,
    /// Records that were dropped; nothing is stored.
    Gap,
}

impl BlockKind {
    fn number(self) -> u8 {
        match self {
            BlockKind::Records => 0,
            BlockKind::Gap => 1,
        }
    }

    fn from_number(number: u8) -> Option<Self> {
        match number {
            0 => Some(BlockKind::Records),
            1 => Some(BlockKind::Gap),
            _ => None,
        }
    }
}

/// What is known of a block without reading its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BlockHead {
    pub(crate) stored_bytes: u32,
    pub(crate) raw_bytes: u32,
    pub(crate) count: u32,
    /// The least and the largest time in it.
    pub(crate) first: u64,
    pub(crate) last: u64,
    pub(crate) source: u16,
    pub(crate) codec: Codec,
    pub(crate) kind: BlockKind,
    pub(crate) crc: u32,
}

impl BlockHead {
    fn fields(&self) -> [u8; FIELD_BYTES] {
        let mut bytes = [0; FIELD_BYTES];
        let parts: [&[u8]; 8] = [
            &self.stored_bytes.to_le_bytes(),
            &self.raw_bytes.to_le_bytes(),
            &self.count.to_le_bytes(),
            &self.first.to_le_bytes(),
            &self.last.to_le_bytes(),
            &self.source.to_le_bytes(),
            &[self.codec.number()],
            &[self.kind.number()],
        ];
        let mut at = 0;
        for part in parts {
            bytes[at..at + part.len()].copy_from_slice(part);
            at += part.len();
        }
        bytes
    }

    /// Reads a head; `None` if these bytes are none.
    pub(crate) fn parse(bytes: &[u8; HEAD_BYTES]) -> Option<Self> {
        if bytes[..4] != BLOCK_MARK {
            return None;
        }
        let head = BlockHead {
            stored_bytes: u32_at(bytes, 4),
            raw_bytes: u32_at(bytes, 8),
            count: u32_at(bytes, 12),
            first: u64_at(bytes, 16),
            last: u64_at(bytes, 24),
            source: u16_at(bytes, 32),
            codec: Codec::from_number(bytes[34])?,
            kind: BlockKind::from_number(bytes[35])?,
            crc: u32_at(bytes, 36),
        };
        let most_bytes = FULL_BYTES + MOST_RECORD_BYTES;
        let fits = head.raw_bytes as usize <= most_bytes && head.stored_bytes as usize <= most_bytes;
        (fits && head.first <= head.last).then_some(head)
    }

    pub(crate) fn is_gap(&self) -> bool {
        self.kind == BlockKind::Gap
    }

    /// The checksum of the fields and the stored bytes.
    fn checksum(&self, stored: &[u8]) -> u32 {
        let mut crc = crc32fast::Hasher::new();
        crc.update(&self.fields());
        crc.update(stored);
        crc.finalize()
    }

    /// The bytes of the whole block.
    pub(crate) fn to_bytes(self, stored: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::from(BLOCK_MARK);
        bytes.extend(self.fields());
        bytes.extend(self.checksum(stored).to_le_bytes());
        bytes.extend_from_slice(stored);
        bytes
    }
}

/// A whole block, as it is written to a file.
pub(crate) struct EncodedBlock {
    pub(crate) head: BlockHead,
    pub(crate) bytes: Vec<u8>,
}

impl EncodedBlock {
    /// A block that says that this many records between two times were dropped.
    pub(crate) fn gap(source: u16, count: u32, first: u64, last: u64) -> Self {
        let head = BlockHead {
            stored_bytes: 0,
            raw_bytes: 0,
            count,
            first,
            last,
            source,
            codec: Codec::Plain,
            kind: BlockKind::Gap,
            crc: 0,
        };
        EncodedBlock { head, bytes: head.to_bytes(&[]) }
    }
}

/// Reads the stored bytes of a block, appends its records, and gives how many were of a kind that is not known here.
///
/// # Errors
/// [`TraceError::DamagedBlock`] if the block at `offset` is not whole or fails its checksum.
pub(crate) fn read_records(
    file: &mut impl Read,
    offset: u64,
    head: &BlockHead,
    records: &mut Vec<TimedRecord>,
) -> Result<u32, TraceError> {
    let damaged = || TraceError::DamagedBlock(offset);
    let mut stored = vec![0; head.stored_bytes as usize];
    // Whatever keeps the bytes from being read, the block is lost.
    file.read_exact(&mut stored).map_err(|_| damaged())?;
    if head.checksum(&stored) != head.crc {
        return Err(damaged());
    }
    let raw = match head.codec {
        Codec::Plain => stored,
        Codec::Lz4 => lz4_flex::block::decompress(&stored, head.raw_bytes as usize).map_err(|_| damaged())?,
    };
    let mut rest = raw.as_slice();
    let mut at = head.first;
    let mut unknown = 0;
    while !rest.is_empty() {
        let DecodedRecord { since_previous, record } = decode(&mut rest).ok_or_else(damaged)?;
        at = at.wrapping_add(since_previous as u64);
        match record {
            Some(record) => records.push(TimedRecord { at, source: head.source, record }),
            None => unknown += 1,
        }
    }
    Ok(unknown)
}
