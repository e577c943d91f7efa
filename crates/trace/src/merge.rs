//! Merges several trace files into one.
//!
//! Records are ordered by wall clock: the anchor of their file plus a correction passed by the caller. Classes,
//! tenants, workers and sources are renumbered.

use std::collections::HashMap;
use std::io::{Read, Seek, Write};

use crate::header::ClassObjective;
use crate::{Header, Reader, Record, TraceError, TraceItem, Writer};

/// An input file of a merge.
pub struct MergeInput<R> {
    /// Reader of the file.
    pub reader: Reader<R>,
    /// Correction added to the file's clock, in microseconds.
    pub clock_correction_us: i64,
}

impl<R: Read + Seek> MergeInput<R> {
    /// The corrected anchor of the file.
    fn anchor(&self) -> u64 {
        self.reader.header().anchor.saturating_add_signed(self.clock_correction_us)
    }
}

/// The state of one input file during a merge.
struct Input<'a, R> {
    reader: &'a mut Reader<R>,
    /// Offset of the file's anchor from the anchor of the merged file.
    time_shift_us: u64,
    header_indexes: HeaderIndexes,
    /// Source numbers in the merged file, by number in this file.
    sources: HashMap<u16, u16>,
    /// Worker numbers in the merged file, by number in this file.
    workers: HashMap<WorkerKey, u16>,
    next: Option<TraceItem>,
}

impl<R> Input<'_, R> {
    /// Time of the next item, relative to the anchor of the merged file.
    fn next_time(&self) -> Option<u64> {
        match self.next.as_ref()? {
            TraceItem::Record(timed) => Some(timed.at + self.time_shift_us),
            TraceItem::Gap(entry) | TraceItem::Damaged(entry) => Some(entry.min_time + self.time_shift_us),
        }
    }
}

/// Identifies a worker within one input file.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct WorkerKey {
    source: u16,
    worker: u16,
}

/// Maps the class and tenant indexes of an input file to those of the merged file.
struct HeaderIndexes {
    classes: Vec<u16>,
    tenants: Vec<u16>,
}

/// Merges files by wall clock into `output`, and returns the number of records written.
///
/// # Errors
/// If the files define a class differently, weight requests over quota differently or were anonymised with different
/// secrets, or if a file cannot be read or written.
pub fn merge<R: Read + Seek, W: Write>(files: &mut [MergeInput<R>], output: W) -> Result<u64, TraceError> {
    let anchors: Vec<u64> = files.iter().map(MergeInput::anchor).collect();
    let anchor = anchors.iter().copied().min().unwrap_or_default();
    let headers: Vec<&Header> = files.iter().map(|file| file.reader.header()).collect();
    let mut merged_header = MergedHeader::default();
    let header_indexes =
        headers.iter().map(|header| merged_header.add(header)).collect::<Result<Vec<_>, TraceError>>()?;
    let secret_fingerprint = common_secret(&headers)?;
    let mut writer = Writer::new(output, &merged_header.finish(anchor, secret_fingerprint))?;
    let mut merger = Merger::default();
    let mut inputs = Vec::new();
    for ((file, file_anchor), header_indexes) in files.iter_mut().zip(anchors).zip(header_indexes) {
        inputs.push(merger.add_input(file, file_anchor - anchor, header_indexes, &mut writer)?);
    }
    while let Some(earliest) = earliest_input(&inputs) {
        merger.write_next_item(&mut inputs[earliest], &mut writer)?;
    }
    writer.finish()?;
    Ok(merger.records_written)
}

/// Returns the index of the input whose next item is the earliest, or `None` if all inputs are exhausted.
fn earliest_input<R>(inputs: &[Input<'_, R>]) -> Option<usize> {
    let times = inputs.iter().enumerate().filter_map(|(index, input)| Some((input.next_time()?, index)));
    times.min().map(|(_, index)| index)
}

/// Returns the fingerprint of the secret that all files were anonymised with, or `None` if no file was anonymised.
fn common_secret(headers: &[&Header]) -> Result<Option<u64>, TraceError> {
    let fingerprints: Vec<Option<u64>> = headers.iter().map(|header| header.secret_fingerprint).collect();
    if fingerprints.windows(2).any(|pair| pair[0] != pair[1]) {
        return Err(TraceError::Merge("they were anonymised with different secrets".into()));
    }
    Ok(fingerprints.first().copied().flatten())
}

/// Builds the header of the merged file.
#[derive(Default)]
struct MergedHeader {
    classes: Vec<ClassObjective>,
    tenants: Vec<String>,
    over_quota_weight: Option<f64>,
}

impl MergedHeader {
    /// Adds the classes and tenants of an input file, and returns their indexes in the merged file.
    fn add(&mut self, header: &Header) -> Result<HeaderIndexes, TraceError> {
        let over_quota_weight = *self.over_quota_weight.get_or_insert(header.over_quota_weight);
        if over_quota_weight != header.over_quota_weight {
            let message = format!(
                "their weight factors for requests over quota differ: {over_quota_weight} and {}",
                header.over_quota_weight
            );
            return Err(TraceError::Merge(message));
        }
        let mut classes = Vec::new();
        for class in &header.classes {
            if self.classes.iter().any(|known| known.name == class.name && known != class) {
                return Err(TraceError::Merge(format!("they define the class {:?} differently", class.name)));
            }
            classes.push(find_or_insert(&mut self.classes, class.clone(), "classes")?);
        }
        let mut tenants = Vec::new();
        for tenant in &header.tenants {
            tenants.push(find_or_insert(&mut self.tenants, tenant.clone(), "tenants")?);
        }
        Ok(HeaderIndexes { classes, tenants })
    }

    fn finish(self, anchor: u64, secret_fingerprint: Option<u64>) -> Header {
        Header {
            scheduler: "merged".into(),
            anchor,
            classes: self.classes,
            tenants: self.tenants,
            over_quota_weight: self.over_quota_weight.unwrap_or_default(),
            secret_fingerprint,
            ..Header::default()
        }
    }
}

/// Returns the index of `value` in `values`, appending it if it is new. `plural` names the values in the error.
fn find_or_insert<T: PartialEq>(values: &mut Vec<T>, value: T, plural: &str) -> Result<u16, TraceError> {
    let index = values.iter().position(|known| *known == value).unwrap_or_else(|| {
        values.push(value);
        values.len() - 1
    });
    u16::try_from(index)
        .map_err(|_| TraceError::Merge(format!("too many {plural}: the largest index is {}", u16::MAX)))
}

/// Assigns source and worker numbers in the merged file.
#[derive(Default)]
struct Merger {
    last_source: u16,
    last_worker: u16,
    records_written: u64,
}

impl Merger {
    /// Writes the source record of an input file and reads its first item.
    fn add_input<'a, R: Read + Seek, W: Write>(
        &mut self,
        file: &'a mut MergeInput<R>,
        time_shift_us: u64,
        header_indexes: HeaderIndexes,
        writer: &mut Writer<W>,
    ) -> Result<Input<'a, R>, TraceError> {
        self.last_source += 1;
        let source = self.last_source;
        let Header { scheduler, site, .. } = file.reader.header().clone();
        writer.push_from_source(source, 0, &Record::Source { number: source, scheduler, site })?;
        let next = file.reader.next_item()?;
        let sources = HashMap::from([(0, source)]);
        Ok(Input {
            reader: &mut file.reader,
            time_shift_us,
            header_indexes,
            sources,
            workers: HashMap::new(),
            next,
        })
    }

    /// Writes the next item of an input file.
    fn write_next_item<R: Read + Seek, W: Write>(
        &mut self,
        input: &mut Input<'_, R>,
        writer: &mut Writer<W>,
    ) -> Result<(), TraceError> {
        let item = input.next.take();
        input.next = input.reader.next_item()?;
        match item {
            Some(TraceItem::Record(timed)) => {
                let source = self.merged_source(input, timed.source);
                let record = self.renumber(input, timed.source, timed.record)?;
                writer.push_from_source(source, timed.at + input.time_shift_us, &record)?;
                self.records_written += 1;
            }
            // The records of a damaged block are missing, like dropped ones.
            Some(TraceItem::Gap(entry) | TraceItem::Damaged(entry)) => {
                let source = self.merged_source(input, entry.source);
                writer.push_gap(
                    source,
                    entry.count,
                    entry.min_time + input.time_shift_us,
                    entry.max_time + input.time_shift_us,
                )?;
            }
            None => {}
        }
        Ok(())
    }

    /// Returns the merged file's number for a source of an input file, assigning one if it is new.
    fn merged_source<R>(&mut self, input: &mut Input<'_, R>, source: u16) -> u16 {
        *input.sources.entry(source).or_insert_with(|| {
            self.last_source = self.last_source.saturating_add(1);
            self.last_source
        })
    }

    /// Replaces the source, class, tenant and worker numbers in a record by those of the merged file.
    fn renumber<R>(
        &mut self,
        input: &mut Input<'_, R>,
        source: u16,
        mut record: Record,
    ) -> Result<Record, TraceError> {
        match &mut record {
            Record::Source { number, .. } => {
                *number = input.sources.get(&source).copied().unwrap_or_default();
            }
            Record::Arrival { class, tenant, .. } => {
                *class = merged_index(&input.header_indexes.classes, *class, "class")?;
                *tenant = merged_index(&input.header_indexes.tenants, *tenant, "tenant")?;
            }
            Record::Worker { worker, .. }
            | Record::EndpointState { worker, .. }
            | Record::AttemptSent { worker, .. } => {
                *worker = self.merged_worker(input, WorkerKey { source, worker: *worker })?;
            }
            Record::AttemptProgressed { .. }
            | Record::AttemptEnded { .. }
            | Record::Rejected { .. }
            | Record::Forwarding { .. }
            | Record::Answered { .. }
            | Record::Lifecycle(_) => {}
        }
        Ok(record)
    }

    /// Returns the merged file's number for a worker of an input file, assigning one if it is new.
    fn merged_worker<R>(&mut self, input: &mut Input<'_, R>, key: WorkerKey) -> Result<u16, TraceError> {
        if let Some(known) = input.workers.get(&key) {
            return Ok(*known);
        }
        let Some(next) = self.last_worker.checked_add(1) else {
            return Err(TraceError::Merge(format!("too many workers: at most {} are allowed", u16::MAX)));
        };
        self.last_worker = next;
        input.workers.insert(key, next);
        Ok(next)
    }
}

/// Maps a class or tenant index of an input file to the merged file. `kind` names the list in the error.
fn merged_index(indexes: &[u16], index: u16, kind: &str) -> Result<u16, TraceError> {
    let merged = indexes.get(usize::from(index)).copied();
    merged.ok_or_else(|| {
        let count = indexes.len();
        TraceError::Merge(format!(
            "a record has {kind} index {index}, but the header of its file lists {count}"
        ))
    })
}
