//! Writes a trace file. Output is append-only, so it can go to a pipe.

use std::collections::BTreeMap;
use std::io::Write;

use crate::block::EncodedBlock;
use crate::block_builder::BlockBuilder;
use crate::index::{encode_index, BlockEntry};
use crate::{Header, Record, TraceError};

/// Source number of the scheduler that writes the file.
const OWN_SOURCE: u16 = 0;

/// Writes the records of a trace file.
#[derive(Debug)]
pub struct Writer<W> {
    file: W,
    bytes_written: u64,
    /// One open block per source, so that records of different sources can be interleaved.
    builders: BTreeMap<u16, BlockBuilder>,
    entries: Vec<BlockEntry>,
}

impl<W: Write> Writer<W> {
    /// Creates a writer and writes the file header.
    ///
    /// # Errors
    /// If an I/O error occurs.
    pub fn new(mut file: W, header: &Header) -> Result<Self, TraceError> {
        let bytes_written = header.write(&mut file)?;
        Ok(Writer { file, bytes_written, builders: BTreeMap::new(), entries: Vec::new() })
    }

    /// Number of bytes written so far.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// Adds a record of the scheduler that writes the file.
    ///
    /// # Errors
    /// If the record is too long, or writing a full block fails.
    pub fn push(&mut self, at: u64, record: &Record) -> Result<(), TraceError> {
        self.push_from_source(OWN_SOURCE, at, record)
    }

    /// Adds a record of any source, for merged files.
    ///
    /// # Errors
    /// If the record is too long, or writing a full block fails.
    pub fn push_from_source(&mut self, source: u16, at: u64, record: &Record) -> Result<(), TraceError> {
        let builder = self.builders.entry(source).or_insert_with(|| BlockBuilder::new(source));
        builder.push(at, record)?;
        if builder.is_full() {
            let block = builder.finish();
            self.write(block)?;
        }
        Ok(())
    }

    /// Adds a gap: `count` records between two times were dropped.
    ///
    /// # Errors
    /// If an I/O error occurs.
    pub fn push_gap(
        &mut self,
        source: u16,
        count: u32,
        min_time: u64,
        max_time: u64,
    ) -> Result<(), TraceError> {
        self.flush()?;
        self.write(EncodedBlock::gap(source, count, min_time, max_time.max(min_time)))
    }

    /// Writes all open blocks. The records added so far survive a crash once the file is synced to disk.
    ///
    /// # Errors
    /// If an I/O error occurs.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        let open = self.builders.values_mut().filter(|builder| !builder.is_empty());
        let blocks: Vec<EncodedBlock> = open.map(BlockBuilder::finish).collect();
        for block in blocks {
            self.write(block)?;
        }
        self.file.flush()?;
        Ok(())
    }

    fn write(&mut self, block: EncodedBlock) -> Result<(), TraceError> {
        self.file.write_all(&block.bytes)?;
        self.entries.push(BlockEntry::new(self.bytes_written, &block.header));
        self.bytes_written += block.bytes.len() as u64;
        Ok(())
    }

    /// Writes the open blocks, the index and the trailer, and returns the underlying writer.
    ///
    /// # Errors
    /// If an I/O error occurs.
    pub fn finish(mut self) -> Result<W, TraceError> {
        self.flush()?;
        self.file.write_all(&encode_index(&self.entries, self.bytes_written)?)?;
        self.file.flush()?;
        Ok(self.file)
    }
}
