//! `trace info`: who wrote a file, when, and whether it is complete.

use std::io::{self, Write};
use std::path::Path;

use chutesaddle_trace::Index;

use super::{open, ToolError, Verdict};

const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

pub(super) fn print(file: &Path) -> Result<Verdict, ToolError> {
    let reader = open(file)?;
    let (header, index) = (reader.header(), reader.index());
    let begin = index.entries.iter().map(|entry| entry.min_time).min();
    let end = index.entries.iter().map(|entry| entry.max_time).max();
    let classes: Vec<&str> = header.classes.iter().map(|class| class.name.as_str()).collect();
    let mut out = io::stdout().lock();
    writeln!(out, "{}", file.display())?;
    writeln!(out, "  scheduler {} of site {}", header.scheduler, header.site)?;
    let (seconds, rest) = (header.anchor / MICROSECONDS_PER_SECOND, header.anchor % MICROSECONDS_PER_SECOND);
    writeln!(out, "  time 0 is {seconds}.{rest:06} (Unix time)")?;
    if let (Some(begin), Some(end)) = (begin, end) {
        if begin <= end {
            writeln!(out, "  from {:.3} s to {:.3} s", in_seconds(begin), in_seconds(end))?;
        }
    }
    let (records, dropped) = (count(index, false), count(index, true));
    writeln!(out, "  {records} records in {} blocks, {dropped} dropped", index.entries.len())?;
    writeln!(out, "  classes {}; tenants {}", classes.join(", "), header.tenants.join(", "))?;
    if let Some(before) = &header.previous_file {
        writeln!(out, "  goes on from {before}")?;
    }
    if !index.complete {
        let damaged = index.damaged_bytes;
        writeln!(out, "  its end is missing: the index was found by a scan, {damaged} bytes are damaged")?;
    }
    Ok(Verdict::from_sound(index.complete))
}

/// Records that the file holds, or (`gap`) that its writer dropped.
fn count(index: &Index, gap: bool) -> u64 {
    index.entries.iter().filter(|entry| entry.gap == gap).map(|entry| u64::from(entry.count)).sum()
}

fn in_seconds(microseconds: u64) -> f64 {
    microseconds as f64 / MICROSECONDS_PER_SECOND as f64
}
