//! Writes one file. What is written is never read or changed again, so a pipe would do.

use std::collections::BTreeMap;
use std::io::Write;

use crate::block::EncodedBlock;
use crate::block_builder::BlockBuilder;
use crate::index::{tail, BlockEntry};
use crate::{Header, Record, TraceError};

/// The number of the file's own scheduler.
const OWN_SOURCE: u16 = 0;

/// A file that is being written.
#[derive(Debug)]
pub struct Writer<W> {
    file: W,
    written: u64,
    /// A block for each source, so that records of several come in any order.
    builders: BTreeMap<u16, BlockBuilder>,
    entries: Vec<BlockEntry>,
}

impl<W: Write> Writer<W> {
    /// Begins a file.
    ///
    /// # Errors
    /// If the file system fails.
    pub fn new(mut file: W, header: &Header) -> Result<Self, TraceError> {
        let written = header.write(&mut file)?;
        Ok(Writer { file, written, builders: BTreeMap::new(), entries: Vec::new() })
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Adds a record of the file's own scheduler.
    ///
    /// # Errors
    /// If the file system fails, also for a block before.
    pub fn push(&mut self, at: u64, record: &Record) -> Result<(), TraceError> {
        self.push_of(OWN_SOURCE, at, record)
    }

    /// Adds a record of another source, in a merged file.
    ///
    /// # Errors
    /// If the file system fails, also for a block before.
    pub fn push_of(&mut self, source: u16, at: u64, record: &Record) -> Result<(), TraceError> {
        let builder = self.builders.entry(source).or_insert_with(|| BlockBuilder::new(source));
        builder.push(at, record)?;
        if builder.is_full() {
            let block = builder.finish();
            self.write(block)?;
        }
        Ok(())
    }

    /// Records that this many records between two times were dropped.
    ///
    /// # Errors
    /// If the file system fails.
    pub fn gap(&mut self, source: u16, count: u32, first: u64, last: u64) -> Result<(), TraceError> {
        self.flush()?;
        self.write(EncodedBlock::gap(source, count, first, last.max(first)))
    }

    /// Ends the blocks that are being filled: what was added until now survives a crash, once it is on the disk.
    ///
    /// # Errors
    /// If the file system fails.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        let begun = self.builders.values_mut().filter(|builder| !builder.is_empty());
        let blocks: Vec<EncodedBlock> = begun.map(BlockBuilder::finish).collect();
        for block in blocks {
            self.write(block)?;
        }
        self.file.flush()?;
        Ok(())
    }

    fn write(&mut self, block: EncodedBlock) -> Result<(), TraceError> {
        self.file.write_all(&block.bytes)?;
        self.entries.push(BlockEntry::new(self.written, &block.head));
        self.written += block.bytes.len() as u64;
        Ok(())
    }

    /// Ends the file with its index, and gives back what it was written to.
    ///
    /// # Errors
    /// If the file system fails.
    pub fn finish(mut self) -> Result<W, TraceError> {
        self.flush()?;
        self.file.write_all(&tail(&self.entries, self.written)?)?;
        self.file.flush()?;
        Ok(self.file)
    }
}
