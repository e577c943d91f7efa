//! Reads one file, block by block: memory is bounded by a block and the index, however long the file is.

use std::collections::VecDeque;
use std::io::{Read, Seek, SeekFrom};

use crate::block::{read_records, BlockHead, HEAD_BYTES};
use crate::{BlockEntry, Header, Index, TimedRecord, TraceError};

/// What a file holds, in its order.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A record.
    Record(TimedRecord),
    /// Records that were dropped.
    Gap(BlockEntry),
    /// A block that cannot be read any more, though the index knows it.
    Damaged(BlockEntry),
}

/// Times from `from` on and before `to`, in microseconds since the anchor.
#[derive(Clone, Copy, Debug)]
struct TimeRange {
    from: u64,
    to: u64,
}

impl TimeRange {
    const ALL: Self = TimeRange { from: 0, to: u64::MAX };

    fn contains(self, at: u64) -> bool {
        at >= self.from && at < self.to
    }

    fn overlaps(self, entry: &BlockEntry) -> bool {
        entry.last >= self.from && entry.first < self.to
    }
}

/// A file that is being read.
#[derive(Debug)]
pub struct Reader<R> {
    file: R,
    header: Header,
    index: Index,
    next_entry: usize,
    /// Read and not yet given out.
    items: VecDeque<Item>,
    unknown: u64,
    blocks_read: usize,
    range: TimeRange,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a file; where its end is missing, it is scanned once.
    ///
    /// # Errors
    /// If it is no trace file of this version, its header is damaged, or the file system fails.
    pub fn open(mut file: R) -> Result<Self, TraceError> {
        file.seek(SeekFrom::Start(0))?;
        let (header, from) = Header::read(&mut file)?;
        let index = Index::read(&mut file, from)?;
        Ok(Reader {
            file,
            header,
            index,
            next_entry: 0,
            items: VecDeque::new(),
            unknown: 0,
            blocks_read: 0,
            range: TimeRange::ALL,
        })
    }

    /// Who wrote it.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Where its blocks are.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Records of kinds that are not known here, so far.
    pub fn unknown(&self) -> u64 {
        self.unknown
    }

    /// Blocks that were read so far.
    pub fn blocks_read(&self) -> usize {
        self.blocks_read
    }

    /// Starts over and reads only what happened from the first time on and before the second. Blocks outside of that
    /// are not touched.
    pub fn between(&mut self, from: u64, to: u64) {
        self.range = TimeRange { from, to };
        self.next_entry = 0;
        self.items.clear();
    }

    /// What comes next; `None` at the end.
    ///
    /// # Errors
    /// If the file system fails. A damaged block is an item, not an error.
    pub fn next_item(&mut self) -> Result<Option<Item>, TraceError> {
        loop {
            if let Some(item) = self.items.pop_front() {
                return Ok(Some(item));
            }
            let Some(&entry) = self.index.entries.get(self.next_entry) else { return Ok(None) };
            self.next_entry += 1;
            if !self.range.overlaps(&entry) {
                continue;
            }
            if entry.gap {
                return Ok(Some(Item::Gap(entry)));
            }
            match self.read_block(entry) {
                Ok(records) => {
                    let range = self.range;
                    let inside = records.into_iter().filter(|record| range.contains(record.at));
                    self.items.extend(inside.map(Item::Record));
                }
                Err(TraceError::DamagedBlock(_)) => return Ok(Some(Item::Damaged(entry))),
                Err(error) => return Err(error),
            }
        }
    }

    fn read_block(&mut self, entry: BlockEntry) -> Result<Vec<TimedRecord>, TraceError> {
        let damaged = || TraceError::DamagedBlock(entry.offset);
        self.file.seek(SeekFrom::Start(entry.offset))?;
        let mut bytes = [0; HEAD_BYTES];
        self.file.read_exact(&mut bytes).map_err(|_| damaged())?;
        let head = BlockHead::parse(&bytes).ok_or_else(damaged)?;
        // A damaged count must not make this ask for much memory.
        let mut records = Vec::with_capacity(head.count.min(65_536) as usize);
        let unknown = read_records(&mut self.file, entry.offset, &head, &mut records)?;
        self.unknown += u64::from(unknown);
        self.blocks_read += 1;
        Ok(records)
    }
}
