//! `trace cut` and `trace merge`: write a part of a file, or several files as one.

use std::fs::File;
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::time::Duration;

use chutesaddle_trace::{merge, MergeInput, TraceItem, Writer};

use super::{for_each_item, open, ToolError, Verdict};

/// Copies what happened between two times, counted from the beginning of the file.
pub(super) fn cut(
    file: &Path,
    from: Duration,
    to: Option<Duration>,
    output: &Path,
) -> Result<Verdict, ToolError> {
    let mut reader = open(file)?;
    let header = reader.header().clone();
    let begin = reader.index().entries.iter().map(|entry| entry.min_time).min().unwrap_or_default();
    let time = |since_begin: Duration| begin.saturating_add(since_begin.as_micros() as u64);
    reader.set_time_range(time(from), to.map_or(u64::MAX, time));
    let in_output = |error| ToolError::File(output.into(), error);
    let mut writer = Writer::new(create(output, &[file])?, &header).map_err(in_output)?;
    let mut written = Ok(());
    for_each_item(file, &mut reader, |item| {
        if written.is_ok() {
            written = match item {
                TraceItem::Record(timed) => writer.push_from_source(timed.source, timed.at, &timed.record),
                TraceItem::Gap(gap) | TraceItem::Damaged(gap) => {
                    writer.push_gap(gap.source, gap.count, gap.min_time, gap.max_time)
                }
            };
        }
    })?;
    written.map_err(in_output)?;
    writer.finish().map_err(in_output)?;
    Ok(Verdict::Sound)
}

/// Merges files by the clocks of their schedulers.
pub(super) fn merge_files(files: &[PathBuf], output: &Path) -> Result<Verdict, ToolError> {
    let mut readers = Vec::new();
    for file in files {
        readers.push(MergeInput { reader: open(file)?, clock_correction_us: 0 });
    }
    let inputs: Vec<&Path> = files.iter().map(PathBuf::as_path).collect();
    let count = merge(&mut readers, create(output, &inputs)?)
        .map_err(|error| ToolError::File(output.into(), error))?;
    eprintln!("{count} records of {} files in {}", files.len(), output.display());
    Ok(Verdict::Sound)
}

/// Creates the output, which must be none of the inputs.
fn create(output: &Path, inputs: &[&Path]) -> Result<BufWriter<File>, ToolError> {
    for input in inputs {
        if is_same_file(input, output) {
            return Err(ToolError::SameFile(input.to_path_buf()));
        }
    }
    Ok(BufWriter::new(File::create(output)?))
}

/// Whether both paths lead to one file; an output that is not there yet is no input.
fn is_same_file(input: &Path, output: &Path) -> bool {
    match (input.canonicalize(), output.canonicalize()) {
        (Ok(input), Ok(output)) => input == output,
        (Err(_), _) | (_, Err(_)) => false,
    }
}
