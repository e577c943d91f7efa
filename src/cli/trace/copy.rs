//! `trace cut` and `trace merge`: copy a part of a file, or several files into one.

use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chutesaddle_trace::{merge, Item, MergeInput, Writer};

use super::{for_each_item, open, TraceCommandError, TraceStatus};

/// Copies the records between two times, given as durations after the file's first record.
pub(super) fn cut(
    file: &Path,
    from: Duration,
    to: Option<Duration>,
    output: &Path,
) -> Result<TraceStatus, TraceCommandError> {
    let mut reader = open(file)?;
    let header = reader.header().clone();
    let trace_start = reader.index().entries.iter().map(|entry| entry.first).min().unwrap_or_default();
    let timestamp = |offset: Duration| trace_start.saturating_add(offset.as_micros() as u64);
    reader.between(timestamp(from), to.map_or(u64::MAX, timestamp));
    let output_error = |error| TraceCommandError::File(output.into(), error);
    let mut writer = Writer::new(create_output(output, &[file])?, &header).map_err(output_error)?;
    let mut result = Ok(());
    for_each_item(file, &mut reader, |item| {
        if result.is_ok() {
            result = match item {
                Item::Record(timed) => writer.push_of(timed.source, timed.at, &timed.record),
                Item::Gap(gap) | Item::Damaged(gap) => writer.gap(gap.source, gap.count, gap.first, gap.last),
            };
        }
    })?;
    result.map_err(output_error)?;
    writer.finish().map_err(output_error)?;
    Ok(TraceStatus::Intact)
}

/// Merges files, ordered by the clocks of their schedulers.
pub(super) fn merge_files(files: &[PathBuf], output: &Path) -> Result<TraceStatus, TraceCommandError> {
    let mut readers = Vec::new();
    for file in files {
        readers.push(MergeInput { reader: open(file)?, clock_correction_us: 0 });
    }
    let inputs: Vec<&Path> = files.iter().map(PathBuf::as_path).collect();
    let count = merge(&mut readers, create_output(output, &inputs)?)
        .map_err(|error| TraceCommandError::File(output.into(), error))?;
    eprintln!("{count} records of {} files in {}", files.len(), output.display());
    Ok(TraceStatus::Intact)
}

/// Creates the output file, which must not be one of the inputs.
fn create_output(output: &Path, inputs: &[&Path]) -> Result<BufWriter<File>, TraceCommandError> {
    for input in inputs {
        if is_same_file(input, output) {
            return Err(TraceCommandError::SameFile(input.to_path_buf()));
        }
    }
    let file = File::create(output).map_err(|error| TraceCommandError::File(output.into(), error.into()))?;
    Ok(BufWriter::new(file))
}

/// Whether both paths refer to the same file. An output that does not exist yet is never an input.
fn is_same_file(input: &Path, output: &Path) -> bool {
    match (input.canonicalize(), output.canonicalize()) {
        (Ok(input), Ok(output)) => input == output,
        (Err(_), _) | (_, Err(_)) => false,
    }
}
