//! `trace info`: shows which scheduler wrote a file, when, and whether the file is complete.

use std::io::{self, Write};
use std::path::Path;

use chutesaddle_trace::Index;

use super::{open, TraceCommandError, TraceStatus};

const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

pub(super) fn print(file: &Path) -> Result<TraceStatus, TraceCommandError> {
    let reader = open(file)?;
    let (header, index) = (reader.header(), reader.index());
    let begin = index.entries.iter().map(|entry| entry.first).min();
    let end = index.entries.iter().map(|entry| entry.last).max();
    let classes: Vec<&str> = header.classes.iter().map(|class| class.name.as_str()).collect();
    let mut out = io::stdout().lock();
    writeln!(out, "{}", file.display())?;
    writeln!(out, "  scheduler {} of site {}", header.scheduler, header.site)?;
    let (seconds, rest) = (header.anchor / MICROSECONDS_PER_SECOND, header.anchor % MICROSECONDS_PER_SECOND);
    writeln!(out, "  time 0 is {seconds}.{rest:06} (Unix time)")?;
    if let (Some(begin), Some(end)) = (begin, end) {
        if begin <= end {
            writeln!(out, "  from {:.3} s to {:.3} s", to_seconds(begin), to_seconds(end))?;
        }
    }
    let (records, dropped) = (record_count(index, false), record_count(index, true));
    writeln!(out, "  {records} records in {} blocks, {dropped} dropped", index.entries.len())?;
    writeln!(out, "  classes {}; tenants {}", classes.join(", "), header.tenants.join(", "))?;
    if let Some(previous) = &header.continues {
        writeln!(out, "  goes on from {previous}")?;
    }
    if !index.complete {
        let damaged = index.damaged;
        writeln!(out, "  its end is missing: the index was found by a scan, {damaged} bytes are damaged")?;
    }
    Ok(TraceStatus::from_intact(index.complete))
}

/// Number of records in the file or, with `dropped`, of those that its writer dropped.
fn record_count(index: &Index, dropped: bool) -> u64 {
    index.entries.iter().filter(|entry| entry.gap == dropped).map(|entry| u64::from(entry.count)).sum()
}

fn to_seconds(microseconds: u64) -> f64 {
    microseconds as f64 / MICROSECONDS_PER_SECOND as f64
}
