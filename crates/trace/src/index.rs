//! The positions of the blocks in a file, read from its trailer, or rebuilt by a scan if the trailer is missing.
//!
//! A scan reads the blocks in order, starting at the first. After a damaged block it resumes at the next intact one,
//! which it finds by the magic bytes.

use std::io::{Read, Seek, SeekFrom};

use serde::{Deserialize, Serialize};

use crate::block::{read_records, BlockHeader, BLOCK_HEADER_BYTES, BLOCK_MAGIC};
use crate::little_endian::{u32_at, u64_at};
use crate::TraceError;

const INDEX_MAGIC: [u8; 4] = *b"CIDX";
const END_MAGIC: [u8; 4] = *b"CEND";
/// Size of the trailer: magic bytes, length, checksum and offset of the index, magic bytes.
const TRAILER_BYTES: usize = 4 + 4 + 4 + 8 + 4;
/// Read size of a scan.
const CHUNK_BYTES: usize = 64 * 1024;

/// Position, time range and contents of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockEntry {
    /// Byte offset of the block in the file.
    pub offset: u64,
    /// Earliest time in the block, in microseconds since the anchor.
    pub min_time: u64,
    /// Latest time in the block, in microseconds since the anchor.
    pub max_time: u64,
    /// Number of records in the block, or of dropped records if it is a gap.
    pub count: u32,
    /// Source of the records.
    pub source: u16,
    /// Whether the block marks dropped records instead of holding records.
    pub gap: bool,
}

impl BlockEntry {
    pub(crate) fn new(offset: u64, header: &BlockHeader) -> Self {
        let BlockHeader { min_time, max_time, count, source, .. } = *header;
        BlockEntry { offset, min_time, max_time, count, source, gap: header.is_gap() }
    }
}

/// All blocks of a file, in file order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Index {
    /// The blocks.
    pub entries: Vec<BlockEntry>,
    /// Whether the index was read from the trailer, which means that the file is complete.
    pub complete: bool,
    /// Bytes that a scan skipped because they belong to no intact block.
    pub damaged_bytes: u64,
}

/// Encodes the index and the trailer of a file whose index starts at `offset`.
pub(crate) fn encode_index(entries: &[BlockEntry], offset: u64) -> Result<Vec<u8>, TraceError> {
    let mut bytes = postcard::to_allocvec(entries).map_err(|e| std::io::Error::other(e.to_string()))?;
    let (length, crc) = (bytes.len() as u32, crc32fast::hash(&bytes));
    bytes.extend(INDEX_MAGIC);
    bytes.extend(length.to_le_bytes());
    bytes.extend(crc.to_le_bytes());
    bytes.extend(offset.to_le_bytes());
    bytes.extend(END_MAGIC);
    Ok(bytes)
}

/// An intact block found by a scan, and the offset of its end.
struct IntactBlock {
    entry: BlockEntry,
    end: u64,
}

impl Index {
    /// Reads the index of a file whose first block starts at `first_block`.
    pub(crate) fn read<R: Read + Seek>(file: &mut R, first_block: u64) -> Result<Self, TraceError> {
        match Self::read_at_end(file, first_block)? {
            Some(entries) => Ok(Index { entries, complete: true, damaged_bytes: 0 }),
            None => Self::scan(file, first_block),
        }
    }

    /// Reads the index at the end of the file. Returns `None` if it is missing or damaged.
    fn read_at_end<R: Read + Seek>(
        file: &mut R,
        first_block: u64,
    ) -> Result<Option<Vec<BlockEntry>>, TraceError> {
        let file_length = file.seek(SeekFrom::End(0))?;
        if file_length < first_block + TRAILER_BYTES as u64 {
            return Ok(None);
        }
        let mut trailer = [0; TRAILER_BYTES];
        file.seek(SeekFrom::Start(file_length - TRAILER_BYTES as u64))?;
        file.read_exact(&mut trailer)?;
        let has_magic = trailer[..4] == INDEX_MAGIC && trailer[20..] == END_MAGIC;
        let (length, crc, offset) =
            (u64::from(u32_at(&trailer, 4)), u32_at(&trailer, 8), u64_at(&trailer, 12));
        let ends_at_trailer = offset.checked_add(length + TRAILER_BYTES as u64) == Some(file_length);
        if !has_magic || offset < first_block || !ends_at_trailer {
            return Ok(None);
        }
        let mut index = vec![0; length as usize]; // at most the file size, as checked above
        file.seek(SeekFrom::Start(offset))?;
        file.read_exact(&mut index)?;
        if crc32fast::hash(&index) != crc {
            return Ok(None);
        }
        let entries: Option<Vec<BlockEntry>> = postcard::from_bytes(&index).ok();
        // Reject an index with offsets outside the block area: it does not describe this file.
        let is_inside = |entry: &BlockEntry| entry.offset >= first_block && entry.offset < offset;
        Ok(entries.filter(|entries| entries.iter().all(is_inside)))
    }

    /// Rebuilds the index from the intact blocks of the file.
    fn scan<R: Read + Seek>(file: &mut R, first_block: u64) -> Result<Self, TraceError> {
        let length = file.seek(SeekFrom::End(0))?;
        let mut index = Index::default();
        let mut at = index.add_consecutive_blocks(file, first_block)?;
        while at < length {
            let Some(next) = Self::find_block_magic(file, at + 1, length)? else { break };
            index.damaged_bytes += next - at;
            at = index.add_consecutive_blocks(file, next)?;
        }
        index.damaged_bytes += length.saturating_sub(at);
        Ok(index)
    }

    /// Adds the intact blocks that directly follow each other from `start` on. Returns the offset of the end of the
    /// last.
    fn add_consecutive_blocks<R: Read + Seek>(
        &mut self,
        file: &mut R,
        start: u64,
    ) -> Result<u64, TraceError> {
        let mut at = start;
        while let Some(block) = Self::read_intact_block(file, at)? {
            self.entries.push(block.entry);
            at = block.end;
        }
        Ok(at)
    }

    /// Reads the block at `at`. Returns `None` if there is no intact block.
    fn read_intact_block<R: Read + Seek>(file: &mut R, at: u64) -> Result<Option<IntactBlock>, TraceError> {
        file.seek(SeekFrom::Start(at))?;
        let mut bytes = [0; BLOCK_HEADER_BYTES];
        if file.read_exact(&mut bytes).is_err() {
            return Ok(None); // fewer bytes left than a block header
        }
        let Some(header) = BlockHeader::parse(&bytes) else { return Ok(None) };
        if read_records(file, at, &header, &mut Vec::new()).is_err() {
            return Ok(None); // damaged, or it could not be read
        }
        let end = at + BLOCK_HEADER_BYTES as u64 + u64::from(header.stored_bytes);
        Ok(Some(IntactBlock { entry: BlockEntry::new(at, &header), end }))
    }

    /// Finds the next occurrence of the block magic, at or after `start`.
    fn find_block_magic<R: Read + Seek>(
        file: &mut R,
        start: u64,
        length: u64,
    ) -> Result<Option<u64>, TraceError> {
        let mut at = start;
        let mut chunk = vec![0; CHUNK_BYTES];
        while at < length {
            file.seek(SeekFrom::Start(at))?;
            let read = read_up_to(file, &mut chunk)?;
            let magic = chunk[..read].windows(BLOCK_MAGIC.len()).position(|window| window == BLOCK_MAGIC);
            if let Some(found) = magic {
                return Ok(Some(at + found as u64));
            }
            if read < CHUNK_BYTES {
                return Ok(None);
            }
            at += (CHUNK_BYTES - BLOCK_MAGIC.len() + 1) as u64; // overlap: the magic can span two chunks
        }
        Ok(None)
    }
}

/// Reads until `chunk` is full or the file ends. Returns the number of bytes read.
fn read_up_to(file: &mut impl Read, chunk: &mut [u8]) -> Result<usize, TraceError> {
    let mut read = 0;
    while read < chunk.len() {
        match file.read(&mut chunk[read..])? {
            0 => break,
            more => read += more,
        }
    }
    Ok(read)
}
