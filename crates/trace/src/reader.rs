//! Reads a trace file block by block. Memory use is bounded by the index and one block, whatever the file size.

use std::collections::VecDeque;
use std::io::{Read, Seek, SeekFrom};

use crate::block::{read_records, BlockHeader, BLOCK_HEADER_BYTES};
use crate::{BlockEntry, Header, Index, TimedRecord, TraceError};

/// An element of a trace file, as returned by [`Reader::next_item`].
#[derive(Clone, Debug, PartialEq)]
pub enum TraceItem {
    /// A record.
    Record(TimedRecord),
    /// Records that the writer dropped.
    Gap(BlockEntry),
    /// A block that is listed in the index but damaged.
    Damaged(BlockEntry),
}

/// The half-open time range from `from` to `to`, in microseconds since the anchor.
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
        entry.max_time >= self.from && entry.min_time < self.to
    }
}

/// Reads the records of a trace file.
#[derive(Debug)]
pub struct Reader<R> {
    file: R,
    header: Header,
    index: Index,
    next_entry: usize,
    /// Items decoded but not yet returned.
    items: VecDeque<TraceItem>,
    unknown_records: u64,
    blocks_read: usize,
    range: TimeRange,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a trace file. If the trailer is missing, scans the whole file to rebuild the index.
    ///
    /// # Errors
    /// If the file is not a trace file of a supported version, its header is damaged, or an I/O error occurs.
    pub fn open(mut file: R) -> Result<Self, TraceError> {
        file.seek(SeekFrom::Start(0))?;
        let (header, first_block) = Header::read(&mut file)?;
        let index = Index::read(&mut file, first_block)?;
        Ok(Reader {
            file,
            header,
            index,
            next_entry: 0,
            items: VecDeque::new(),
            unknown_records: 0,
            blocks_read: 0,
            range: TimeRange::ALL,
        })
    }

    /// Returns the file header.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Returns the index of the blocks.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Number of records skipped so far because this version does not know their kind.
    pub fn unknown_records(&self) -> u64 {
        self.unknown_records
    }

    /// Number of blocks read so far.
    pub fn blocks_read(&self) -> usize {
        self.blocks_read
    }

    /// Restarts at the first block and limits reading to times from `from` up to, but not including, `to`. Blocks
    /// outside the range are not read.
    pub fn set_time_range(&mut self, from: u64, to: u64) {
        self.range = TimeRange { from, to };
        self.next_entry = 0;
        self.items.clear();
    }

    /// Returns the next item, or `None` at the end of the file.
    ///
    /// # Errors
    /// If an I/O error occurs. A damaged block is returned as an item, not as an error.
    pub fn next_item(&mut self) -> Result<Option<TraceItem>, TraceError> {
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
                return Ok(Some(TraceItem::Gap(entry)));
            }
            match self.read_block(entry) {
                Ok(records) => {
                    let range = self.range;
                    let in_range = records.into_iter().filter(|record| range.contains(record.at));
                    self.items.extend(in_range.map(TraceItem::Record));
                }
                Err(TraceError::DamagedBlock(_)) => return Ok(Some(TraceItem::Damaged(entry))),
                Err(error) => return Err(error),
            }
        }
    }

    fn read_block(&mut self, entry: BlockEntry) -> Result<Vec<TimedRecord>, TraceError> {
        let damaged = || TraceError::DamagedBlock(entry.offset);
        self.file.seek(SeekFrom::Start(entry.offset))?;
        let mut bytes = [0; BLOCK_HEADER_BYTES];
        self.file.read_exact(&mut bytes).map_err(|_| damaged())?;
        let header = BlockHeader::parse(&bytes).ok_or_else(damaged)?;
        // Cap the allocation: a damaged count can be arbitrarily large.
        let mut records = Vec::with_capacity(header.count.min(65_536) as usize);
        let unknown = read_records(&mut self.file, entry.offset, &header, &mut records)?;
        self.unknown_records += u64::from(unknown);
        self.blocks_read += 1;
        Ok(records)
    }
}
