//! `trace verify`: checks every block, and that each request has exactly one answer.

use std::io::{self, Write};
use std::path::Path;

use chutesaddle_trace::{Checker, Item, RecordCounts, Violation};

use super::{for_each_item, open, TraceCommandError, TraceStatus};

/// Maximum number of violations printed for a file.
const MAX_PRINTED: usize = 20;

/// The violations in a file. All are counted, but only the first [`MAX_PRINTED`] are retained.
#[derive(Default)]
struct ViolationList {
    retained: Vec<Violation>,
    count: usize,
    /// Violations found in the checker's last step, not yet counted.
    pending: Vec<Violation>,
}

impl ViolationList {
    fn count_pending(&mut self) {
        self.count += self.pending.len();
        let remaining = MAX_PRINTED.saturating_sub(self.retained.len());
        self.retained.extend(self.pending.drain(..).take(remaining));
    }
}

pub(super) fn print(file: &Path) -> Result<TraceStatus, TraceCommandError> {
    let mut reader = open(file)?;
    let (mut checker, mut violations, mut damaged) = (Checker::default(), ViolationList::default(), 0);
    for_each_item(file, &mut reader, |item| {
        damaged += u64::from(matches!(item, Item::Damaged(_)));
        checker.check(item, &mut violations.pending);
        violations.count_pending();
    })?;
    let complete = reader.index().complete;
    if complete {
        checker.finish(&mut violations.pending);
        violations.count_pending();
    }
    let RecordCounts { records, missing } = checker.counts();
    let state = if complete { "complete" } else { "cut off" };
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{}: {state}, {records} records, {missing} missing, {damaged} blocks damaged, {} faults",
        file.display(),
        violations.count
    )?;
    for violation in violations.retained {
        let note = if checker.has_gaps(violation.source) { " (records of it are missing)" } else { "" };
        writeln!(out, "  {violation}{note}")?;
    }
    Ok(TraceStatus::from_intact(complete && damaged == 0 && violations.count == 0))
}
