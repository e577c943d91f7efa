//! `trace verify`: checks every block, and that each arrival has one answer.

use std::io::{self, Write};
use std::path::Path;

use chutesaddle_trace::{Checker, RecordCounts, TraceItem, Violation};

use super::{for_each_item, open, ToolError, Verdict};

/// Violations of a file that are printed one by one.
const MAX_SHOWN: usize = 20;

/// The violations of a file: all counted, the first kept.
#[derive(Default)]
struct ViolationList {
    shown: Vec<Violation>,
    count: usize,
    /// What the checker found in its last step.
    found: Vec<Violation>,
}

impl ViolationList {
    fn collect(&mut self) {
        self.count += self.found.len();
        let places = MAX_SHOWN.saturating_sub(self.shown.len());
        self.shown.extend(self.found.drain(..).take(places));
    }
}

pub(super) fn print(file: &Path) -> Result<Verdict, ToolError> {
    let mut reader = open(file)?;
    let (mut checker, mut violations, mut damaged) = (Checker::default(), ViolationList::default(), 0);
    for_each_item(file, &mut reader, |item| {
        damaged += u64::from(matches!(item, TraceItem::Damaged(_)));
        checker.check(item, &mut violations.found);
        violations.collect();
    })?;
    let complete = reader.index().complete;
    if complete {
        checker.finish(&mut violations.found);
        violations.collect();
    }
    let RecordCounts { records, missing } = checker.counts();
    let end = if complete { "complete" } else { "cut off" };
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{}: {end}, {records} records, {missing} missing, {damaged} blocks damaged, {} faults",
        file.display(),
        violations.count
    )?;
    for violation in violations.shown {
        let excuse = if checker.has_gaps(violation.source) { " (records of it are missing)" } else { "" };
        writeln!(out, "  {violation}{excuse}")?;
    }
    Ok(Verdict::from_sound(complete && damaged == 0 && violations.count == 0))
}
