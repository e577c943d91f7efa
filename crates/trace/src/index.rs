//! Where the blocks of a file are: read from its end, or found by a scan where the end is missing.
//!
//! A scan follows the blocks from the first one. Behind a damaged block it goes on at the next mark whose block is
//! sound.

use std::io::{Read, Seek, SeekFrom};

use serde::{Deserialize, Serialize};

use crate::block::{read_records, BlockHead, BLOCK_MARK, HEAD_BYTES};
use crate::little_endian::{u32_at, u64_at};
use crate::TraceError;

const INDEX_MARK: [u8; 4] = *b"CIDX";
const END_MARK: [u8; 4] = *b"CEND";
/// The tail: mark, length and checksum of the index, its offset, mark.
const TAIL_BYTES: usize = 4 + 4 + 4 + 8 + 4;
/// Read at a time by a scan.
const CHUNK_BYTES: usize = 64 * 1024;

/// A block of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockEntry {
    /// Its first byte.
    pub offset: u64,
    /// The least time in it.
    pub first: u64,
    /// The largest.
    pub last: u64,
    /// Records in it, or dropped.
    pub count: u32,
    /// Whose records.
    pub source: u16,
    /// The records were dropped.
    pub gap: bool,
}

impl BlockEntry {
    pub(crate) fn new(offset: u64, head: &BlockHead) -> Self {
        let BlockHead { first, last, count, source, .. } = *head;
        BlockEntry { offset, first, last, count, source, gap: head.is_gap() }
    }
}

/// All blocks of a file, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Index {
    /// The blocks.
    pub entries: Vec<BlockEntry>,
    /// It stood at the end of the file: the file is complete.
    pub complete: bool,
    /// Bytes that a scan had to pass over.
    pub damaged: u64,
}

/// The bytes that end a file whose index begins at `offset`.
pub(crate) fn tail(entries: &[BlockEntry], offset: u64) -> Result<Vec<u8>, TraceError> {
    let mut bytes = postcard::to_allocvec(entries).map_err(|e| std::io::Error::other(e.to_string()))?;
    let (length, crc) = (bytes.len() as u32, crc32fast::hash(&bytes));
    bytes.extend(INDEX_MARK);
    bytes.extend(length.to_le_bytes());
    bytes.extend(crc.to_le_bytes());
    bytes.extend(offset.to_le_bytes());
    bytes.extend(END_MARK);
    Ok(bytes)
}

/// A sound block and the place behind it.
struct SoundBlock {
    entry: BlockEntry,
    end: u64,
}

impl Index {
    /// Reads the index of a file whose blocks begin at `from`.
    pub(crate) fn read<R: Read + Seek>(file: &mut R, from: u64) -> Result<Self, TraceError> {
        match Self::read_tail(file, from)? {
            Some(entries) => Ok(Index { entries, complete: true, damaged: 0 }),
            None => Self::scan(file, from),
        }
    }

    /// Reads the index at the end of the file; `None` if there is none or it is damaged.
    fn read_tail<R: Read + Seek>(file: &mut R, from: u64) -> Result<Option<Vec<BlockEntry>>, TraceError> {
        let file_length = file.seek(SeekFrom::End(0))?;
        if file_length < from + TAIL_BYTES as u64 {
            return Ok(None);
        }
        let mut tail = [0; TAIL_BYTES];
        file.seek(SeekFrom::Start(file_length - TAIL_BYTES as u64))?;
        file.read_exact(&mut tail)?;
        let has_marks = tail[..4] == INDEX_MARK && tail[20..] == END_MARK;
        let (length, crc, offset) = (u64::from(u32_at(&tail, 4)), u32_at(&tail, 8), u64_at(&tail, 12));
        let ends_at_tail = offset.checked_add(length + TAIL_BYTES as u64) == Some(file_length);
        if !has_marks || offset < from || !ends_at_tail {
            return Ok(None);
        }
        let mut index = vec![0; length as usize]; // within the file, so no more than is there
        file.seek(SeekFrom::Start(offset))?;
        file.read_exact(&mut index)?;
        if crc32fast::hash(&index) != crc {
            return Ok(None);
        }
        let entries: Option<Vec<BlockEntry>> = postcard::from_bytes(&index).ok();
        // An index with offsets outside of the blocks is not this file's.
        let is_inside = |entry: &BlockEntry| entry.offset >= from && entry.offset < offset;
        Ok(entries.filter(|entries| entries.iter().all(is_inside)))
    }

    /// Finds the sound blocks one after the other.
    fn scan<R: Read + Seek>(file: &mut R, from: u64) -> Result<Self, TraceError> {
        let length = file.seek(SeekFrom::End(0))?;
        let mut index = Index::default();
        let mut at = index.take_sound_blocks(file, from)?;
        while at < length {
            let Some(next) = Self::find_mark(file, at + 1, length)? else { break };
            index.damaged += next - at;
            at = index.take_sound_blocks(file, next)?;
        }
        index.damaged += length.saturating_sub(at);
        Ok(index)
    }

    /// Adds the sound blocks that follow each other from a place on, and gives the place behind them.
    fn take_sound_blocks<R: Read + Seek>(&mut self, file: &mut R, from: u64) -> Result<u64, TraceError> {
        let mut at = from;
        while let Some(block) = Self::sound_block_at(file, at)? {
            self.entries.push(block.entry);
            at = block.end;
        }
        Ok(at)
    }

    /// The block at a place, if it is sound.
    fn sound_block_at<R: Read + Seek>(file: &mut R, at: u64) -> Result<Option<SoundBlock>, TraceError> {
        file.seek(SeekFrom::Start(at))?;
        let mut bytes = [0; HEAD_BYTES];
        if file.read_exact(&mut bytes).is_err() {
            return Ok(None); // too close to the end of the file for a block
        }
        let Some(head) = BlockHead::parse(&bytes) else { return Ok(None) };
        if read_records(file, at, &head, &mut Vec::new()).is_err() {
            return Ok(None); // damaged, and passed over
        }
        let end = at + HEAD_BYTES as u64 + u64::from(head.stored_bytes);
        Ok(Some(SoundBlock { entry: BlockEntry::new(at, &head), end }))
    }

    /// The next place that looks like the beginning of a block.
    fn find_mark<R: Read + Seek>(file: &mut R, from: u64, length: u64) -> Result<Option<u64>, TraceError> {
        let mut at = from;
        let mut chunk = vec![0; CHUNK_BYTES];
        while at < length {
            file.seek(SeekFrom::Start(at))?;
            let read = read_up_to(file, &mut chunk)?;
            let mark = chunk[..read].windows(BLOCK_MARK.len()).position(|window| window == BLOCK_MARK);
            if let Some(found) = mark {
                return Ok(Some(at + found as u64));
            }
            if read < CHUNK_BYTES {
                return Ok(None);
            }
            at += (CHUNK_BYTES - BLOCK_MARK.len() + 1) as u64; // a mark may lie across two chunks
        }
        Ok(None)
    }
}

/// Fills a chunk as far as the file goes, and gives how many bytes were read.
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
