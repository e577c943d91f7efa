//! `trace verify`: checks every block, and that each arrival has one answer.

use std::io::{self, Write};
use std::path::Path;

use chutesaddle_trace::{Checker, Fault, Item};

use super::{for_each_item, open, ToolError, Verdict};

/// Faults of a file that are printed one by one.
const MAX_SHOWN: usize = 20;

/// The faults of a file: all counted, the first kept.
#[derive(Default)]
struct FaultList {
    shown: Vec<Fault>,
    count: usize,
    /// What the checker found in its last step.
    found: Vec<Fault>,
}

impl FaultList {
    fn collect(&mut self) {
        self.count += self.found.len();
        let places = MAX_SHOWN.saturating_sub(self.shown.len());
        self.shown.extend(self.found.drain(..).take(places));
    }
}

pub(super) fn print(file: &Path) -> Result<Verdict, ToolError> {
    let mut reader = open(file)?;
    let (mut checker, mut faults, mut damaged) = (Checker::default(), FaultList::default(), 0);
    for_each_item(file, &mut reader, |item| {
        damaged += u64::from(matches!(item, Item::Damaged(_)));
        checker.look(item, &mut faults.found);
        faults.collect();
    })?;
    let complete = reader.index().complete;
    if complete {
        checker.finish(&mut faults.found);
        faults.collect();
    }
    let (records, missing) = checker.counts();
    let end = if complete { "complete" } else { "cut off" };
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{}: {end}, {records} records, {missing} missing, {damaged} blocks damaged, {} faults",
        file.display(),
        faults.count
    )?;
    for fault in faults.shown {
        let excuse = if checker.lacks(source(&fault)) { " (records of it are missing)" } else { "" };
        writeln!(out, "  {fault}{excuse}")?;
    }
    Ok(Verdict::from_sound(complete && damaged == 0 && faults.count == 0))
}

/// The number of the scheduler whose records show the fault.
fn source(fault: &Fault) -> u16 {
    match *fault {
        Fault::ArrivedTwice(source, _)
        | Fault::NotOpen(source, _)
        | Fault::Unanswered(source, _)
        | Fault::TwoAttempts(source, _)
        | Fault::Backwards(source, _) => source,
    }
}
