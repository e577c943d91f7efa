//! Several files into one.
//!
//! Times go by the wall clocks that the files' anchors name, plus the caller's correction of each clock. The numbers
//! of classes, tenants, workers and sources are made to fit.

use std::collections::HashMap;
use std::io::{Read, Seek, Write};

use crate::header::ClassObjective;
use crate::{Header, Item, Reader, Record, TraceError, Writer};

/// A file to merge.
pub struct MergeInput<R> {
    /// The file.
    pub reader: Reader<R>,
    /// What is to be added to its clock, in microseconds.
    pub clock_correction_us: i64,
}

impl<R: Read + Seek> MergeInput<R> {
    /// Time 0 of the file, corrected.
    fn anchor(&self) -> u64 {
        self.reader.header().anchor.saturating_add_signed(self.clock_correction_us)
    }
}

/// One file on its way into another.
struct Part<'a, R> {
    reader: &'a mut Reader<R>,
    /// Added to each time.
    shift: u64,
    numbers: HeaderNumbers,
    sources: HashMap<u16, u16>,
    workers: HashMap<WorkerKey, u16>,
    next: Option<Item>,
}

impl<R> Part<'_, R> {
    /// When the next item happened, on the clock of the merged file.
    fn next_time(&self) -> Option<u64> {
        match self.next.as_ref()? {
            Item::Record(timed) => Some(timed.at + self.shift),
            Item::Gap(entry) | Item::Damaged(entry) => Some(entry.first + self.shift),
        }
    }
}

/// A worker, as numbered in one file.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct WorkerKey {
    source: u16,
    worker: u16,
}

/// The numbers in the merged file of the classes and tenants of one file.
struct HeaderNumbers {
    classes: Vec<u16>,
    tenants: Vec<u16>,
}

/// Merges files into one, in the order of their clocks, and gives how many records it holds.
///
/// # Errors
/// If the same class has other objectives in two of them, their names were replaced under different secrets, or a
/// file cannot be read or written.
pub fn merge<R: Read + Seek, W: Write>(files: &mut [MergeInput<R>], to: W) -> Result<u64, TraceError> {
    let anchors: Vec<u64> = files.iter().map(MergeInput::anchor).collect();
    let anchor = anchors.iter().copied().min().unwrap_or_default();
    let headers: Vec<&Header> = files.iter().map(|file| file.reader.header()).collect();
    let mut merged_header = MergedHeader::default();
    let numbers =
        headers.iter().map(|header| merged_header.add(header)).collect::<Result<Vec<_>, TraceError>>()?;
    let secret_mark = common_secret(&headers)?;
    let mut writer = Writer::new(to, &merged_header.finish(anchor, secret_mark))?;
    let mut merger = Merger::default();
    let mut parts = Vec::new();
    for ((file, file_anchor), numbers) in files.iter_mut().zip(anchors).zip(numbers) {
        parts.push(merger.begin(file, file_anchor - anchor, numbers, &mut writer)?);
    }
    while let Some(earliest) = earliest(&parts) {
        merger.take_next(&mut parts[earliest], &mut writer)?;
    }
    writer.finish()?;
    Ok(merger.written)
}

/// The part whose next item happened first.
fn earliest<R>(parts: &[Part<'_, R>]) -> Option<usize> {
    let times = parts.iter().enumerate().filter_map(|(index, part)| Some((part.next_time()?, index)));
    times.min().map(|(_, index)| index)
}

fn common_secret(headers: &[&Header]) -> Result<Option<u64>, TraceError> {
    let marks: Vec<Option<u64>> = headers.iter().map(|header| header.secret_mark).collect();
    if marks.windows(2).any(|pair| pair[0] != pair[1]) {
        return Err(TraceError::Merge("their names were replaced under different secrets".into()));
    }
    Ok(marks.first().copied().flatten())
}

/// The header of the merged file, as it is put together.
#[derive(Default)]
struct MergedHeader {
    classes: Vec<ClassObjective>,
    tenants: Vec<String>,
    over_quota_weight: Option<f64>,
}

impl MergedHeader {
    /// Adds the classes and tenants of a file, and gives their numbers.
    fn add(&mut self, header: &Header) -> Result<HeaderNumbers, TraceError> {
        if *self.over_quota_weight.get_or_insert(header.over_quota_weight) != header.over_quota_weight {
            return Err(TraceError::Merge("work beyond a share is worth more in one than in another".into()));
        }
        let mut classes = Vec::new();
        for class in &header.classes {
            if self.classes.iter().any(|known| known.name == class.name && known != class) {
                return Err(TraceError::Merge(format!("the class {:?} has other terms", class.name)));
            }
            classes.push(number(&mut self.classes, class.clone(), "classes")?);
        }
        let mut tenants = Vec::new();
        for tenant in &header.tenants {
            tenants.push(number(&mut self.tenants, tenant.clone(), "tenants")?);
        }
        Ok(HeaderNumbers { classes, tenants })
    }

    fn finish(self, anchor: u64, secret_mark: Option<u64>) -> Header {
        Header {
            scheduler: "merged".into(),
            anchor,
            classes: self.classes,
            tenants: self.tenants,
            over_quota_weight: self.over_quota_weight.unwrap_or_default(),
            secret_mark,
            ..Header::default()
        }
    }
}

/// Gives a number to each new thing, up to the most that a file can tell apart.
fn number<T: PartialEq>(known: &mut Vec<T>, item: T, what: &str) -> Result<u16, TraceError> {
    let index = known.iter().position(|other| *other == item).unwrap_or_else(|| {
        known.push(item);
        known.len() - 1
    });
    u16::try_from(index).map_err(|_| TraceError::Merge(format!("more {what} than a file can tell apart")))
}

/// The numbers given out so far.
#[derive(Default)]
struct Merger {
    last_source: u16,
    last_worker: u16,
    /// Records written.
    written: u64,
}

impl Merger {
    fn begin<'a, R: Read + Seek, W: Write>(
        &mut self,
        file: &'a mut MergeInput<R>,
        shift: u64,
        numbers: HeaderNumbers,
        writer: &mut Writer<W>,
    ) -> Result<Part<'a, R>, TraceError> {
        self.last_source += 1;
        let source = self.last_source;
        let Header { scheduler, site, .. } = file.reader.header().clone();
        writer.push_of(source, 0, &Record::Source { number: source, scheduler, site })?;
        let next = file.reader.next_item()?;
        let sources = HashMap::from([(0, source)]);
        Ok(Part { reader: &mut file.reader, shift, numbers, sources, workers: HashMap::new(), next })
    }

    /// Writes the next item of a file.
    fn take_next<R: Read + Seek, W: Write>(
        &mut self,
        part: &mut Part<'_, R>,
        writer: &mut Writer<W>,
    ) -> Result<(), TraceError> {
        let item = part.next.take();
        part.next = part.reader.next_item()?;
        match item {
            Some(Item::Record(timed)) => {
                let source = self.source(part, timed.source);
                let record = self.renumber(part, timed.source, timed.record)?;
                writer.push_of(source, timed.at + part.shift, &record)?;
                self.written += 1;
            }
            // What cannot be read any more is missing like what was dropped.
            Some(Item::Gap(entry) | Item::Damaged(entry)) => {
                let source = self.source(part, entry.source);
                writer.gap(source, entry.count, entry.first + part.shift, entry.last + part.shift)?;
            }
            None => {}
        }
        Ok(())
    }

    /// The number in the merged file of a source of one file.
    fn source<R>(&mut self, part: &mut Part<'_, R>, source: u16) -> u16 {
        *part.sources.entry(source).or_insert_with(|| {
            self.last_source = self.last_source.saturating_add(1);
            self.last_source
        })
    }

    /// The record with the numbers of the merged file.
    fn renumber<R>(
        &mut self,
        part: &mut Part<'_, R>,
        source: u16,
        mut record: Record,
    ) -> Result<Record, TraceError> {
        match &mut record {
            Record::Source { number, .. } => {
                *number = part.sources.get(&source).copied().unwrap_or_default();
            }
            Record::Arrival { class, tenant, .. } => {
                *class = known_number(&part.numbers.classes, *class)?;
                *tenant = known_number(&part.numbers.tenants, *tenant)?;
            }
            Record::Worker { worker, .. }
            | Record::EndpointState { worker, .. }
            | Record::AttemptSent { worker, .. } => {
                *worker = self.worker(part, WorkerKey { source, worker: *worker })?;
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

    /// The number in the merged file of a worker of one file.
    fn worker<R>(&mut self, part: &mut Part<'_, R>, key: WorkerKey) -> Result<u16, TraceError> {
        if let Some(known) = part.workers.get(&key) {
            return Ok(*known);
        }
        let Some(next) = self.last_worker.checked_add(1) else {
            return Err(TraceError::Merge("more members than a file can tell apart".into()));
        };
        self.last_worker = next;
        part.workers.insert(key, next);
        Ok(next)
    }
}

fn known_number(numbers: &[u16], number: u16) -> Result<u16, TraceError> {
    let known = numbers.get(usize::from(number)).copied();
    known.ok_or_else(|| TraceError::Merge("a record names a class or tenant that its header does not".into()))
}
