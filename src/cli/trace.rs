//! `chutesaddle trace`: looks into trace files. Each tool streams: memory is bounded by a block and what is open.

use std::fs::File;
use std::io::{self, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use chutesaddle_trace::{
    merge, Checker, Header, Item, MergeInput, Reader, RecordCounts, ServiceRow, Summary, TraceError,
    WorstStretch, Writer,
};
use clap::{Subcommand, ValueEnum};
use simd_json::prelude::Writable;

/// Faults of a file that are printed one by one.
const SHOWN: usize = 20;

#[derive(Subcommand)]
pub(super) enum Tool {
    /// Tell who wrote files, when, and whether they are whole
    Info {
        /// The files
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Check every block, and that each arrival has one answer
    Verify {
        /// The files
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Copy what happened between two times, reading only the blocks that hold it
    #[command(
        after_help = "Example:\n  chutesaddle trace cut night.trace --from 90s --to 2min -o burst.trace"
    )]
    Cut {
        /// The file
        file: PathBuf,
        /// From this long after the file's beginning
        #[arg(long, value_parser = time, default_value = "0s")]
        from: Duration,
        /// Until this long after the file's beginning
        #[arg(long, value_parser = time)]
        to: Option<Duration>,
        /// Where to
        #[arg(short, long, value_name = "FILE")]
        output: PathBuf,
    },
    /// Merge the files of several schedulers by their clocks
    #[command(after_help = "Example:\n  chutesaddle trace merge n1.trace n2.trace -o site.trace")]
    Merge {
        /// The files
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Where to
        #[arg(short, long, value_name = "FILE")]
        output: PathBuf,
    },
    /// Service by class and tenant, as the operators count it
    #[command(after_help = "Example:\n  chutesaddle trace summary *.trace --form csv > service.csv")]
    Summary {
        /// The files; their sums are added
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// How to write it
        #[arg(long, value_enum, default_value_t = Form::Table)]
        form: Form,
    },
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub(super) enum Form {
    /// For people
    Table,
    /// For spreadsheets
    Csv,
    /// One object to a line
    Json,
}

fn time(text: &str) -> Result<Duration, String> {
    chutesaddle_operator_config::duration(text)
        .ok_or_else(|| "a duration such as \"90s\" or \"2min\"".to_owned())
}

#[derive(Debug, thiserror::Error)]
enum ToolError {
    #[error("{0}: {1}")]
    File(PathBuf, TraceError),
    #[error("{0} is to be read and to be written")]
    Same(PathBuf),
    #[error("cannot write: {0}")]
    Output(#[from] io::Error),
}

type Open = Reader<BufReader<File>>;

/// Runs a tool: 0 if all is well, 1 if a file is not what it should be.
pub(super) fn run(tool: Tool) -> ExitCode {
    let done = match tool {
        Tool::Info { files } => files.iter().try_fold(true, |well, file| Ok(info(file)? && well)),
        Tool::Verify { files } => files.iter().try_fold(true, |well, file| Ok(verify(file)? && well)),
        Tool::Cut { file, from, to, output } => cut(&file, from, to, &output),
        Tool::Merge { files, output } => merged(&files, &output),
        Tool::Summary { files, form } => summary(&files, form),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        // Whoever reads only the beginning has what he wants.
        Err(ToolError::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn open(file: &Path) -> Result<Open, ToolError> {
    let opened = File::open(file).map_err(TraceError::from).and_then(|f| Reader::open(BufReader::new(f)));
    opened.map_err(|error| ToolError::File(file.into(), error))
}

fn each(file: &Path, reader: &mut Open, mut take: impl FnMut(&Item)) -> Result<(), ToolError> {
    while let Some(item) = reader.next_item().map_err(|error| ToolError::File(file.into(), error))? {
        take(&item);
    }
    Ok(())
}

fn info(file: &Path) -> Result<bool, ToolError> {
    let reader = open(file)?;
    let (header, index) = (reader.header(), reader.index());
    let (first, last) = index.entries.iter().fold((u64::MAX, 0), |r, e| (r.0.min(e.first), r.1.max(e.last)));
    let count = |gap| index.entries.iter().filter(|e| e.gap == gap).map(|e| u64::from(e.count)).sum::<u64>();
    let classes: Vec<&str> = header.classes.iter().map(|class| class.name.as_str()).collect();
    let mut out = io::stdout().lock();
    writeln!(out, "{}", file.display())?;
    writeln!(out, "  scheduler {} of site {}", header.scheduler, header.site)?;
    writeln!(out, "  time 0 is {}.{:06} (Unix time)", header.anchor / 1_000_000, header.anchor % 1_000_000)?;
    if first <= last {
        writeln!(out, "  from {:.3} s to {:.3} s", first as f64 / 1e6, last as f64 / 1e6)?;
    }
    writeln!(out, "  {} records in {} blocks, {} dropped", count(false), index.entries.len(), count(true))?;
    writeln!(out, "  classes {}; tenants {}", classes.join(", "), header.tenants.join(", "))?;
    if let Some(before) = &header.continues {
        writeln!(out, "  goes on from {before}")?;
    }
    if !index.complete {
        writeln!(
            out,
            "  its end is missing: the index was found by a scan, {} bytes are damaged",
            index.damaged
        )?;
    }
    Ok(index.complete)
}

fn verify(file: &Path) -> Result<bool, ToolError> {
    let mut reader = open(file)?;
    let (mut checker, mut faults, mut damaged) = (Checker::default(), Vec::new(), 0);
    let (mut shown, mut count) = (Vec::new(), 0);
    each(file, &mut reader, |item| {
        damaged += u64::from(matches!(item, Item::Damaged(_)));
        checker.check(item, &mut faults);
        count += faults.len();
        shown.extend(faults.drain(..).take(SHOWN.saturating_sub(shown.len())));
    })?;
    let complete = reader.index().complete;
    if complete {
        checker.finish(&mut faults);
        count += faults.len();
        shown.extend(faults.drain(..).take(SHOWN.saturating_sub(shown.len())));
    }
    let RecordCounts { records, missing } = checker.counts();
    let mut out = io::stdout().lock();
    let whole = if complete { "complete" } else { "cut off" };
    writeln!(
        out,
        "{}: {whole}, {records} records, {missing} missing, {damaged} blocks damaged, {count} faults",
        file.display()
    )?;
    for fault in shown {
        let excuse = if checker.has_gaps(fault.source) { " (records of it are missing)" } else { "" };
        writeln!(out, "  {fault}{excuse}")?;
    }
    Ok(complete && damaged == 0 && count == 0)
}

/// A file to write, which is none of those that are read.
fn create(output: &Path, read: &[&Path]) -> Result<BufWriter<File>, ToolError> {
    let same =
        |file: &&&Path| file.canonicalize().ok().is_some_and(|f| output.canonicalize().ok() == Some(f));
    if let Some(file) = read.iter().find(same) {
        return Err(ToolError::Same(file.to_path_buf()));
    }
    Ok(BufWriter::new(File::create(output)?))
}

fn cut(file: &Path, from: Duration, to: Option<Duration>, output: &Path) -> Result<bool, ToolError> {
    let mut reader = open(file)?;
    let header: Header = reader.header().clone();
    let begin = reader.index().entries.iter().map(|entry| entry.first).min().unwrap_or_default();
    let after = |time: Duration| begin.saturating_add(time.as_micros() as u64);
    reader.between(after(from), to.map_or(u64::MAX, after));
    let wrong = |error| ToolError::File(output.into(), error);
    let mut writer = Writer::new(create(output, &[file])?, &header).map_err(wrong)?;
    let mut written = Ok(());
    each(file, &mut reader, |item| {
        if written.is_ok() {
            written = match item {
                Item::Record(timed) => writer.push_of(timed.source, timed.at, &timed.record),
                Item::Gap(e) | Item::Damaged(e) => writer.gap(e.source, e.count, e.first, e.last),
            };
        }
    })?;
    written.map_err(wrong)?;
    writer.finish().map_err(wrong)?;
    Ok(true)
}

fn merged(files: &[PathBuf], output: &Path) -> Result<bool, ToolError> {
    let mut readers = files
        .iter()
        .map(|file| Ok(MergeInput { reader: open(file)?, clock_correction_us: 0 }))
        .collect::<Result<Vec<_>, ToolError>>()?;
    let read: Vec<&Path> = files.iter().map(PathBuf::as_path).collect();
    let count = merge(&mut readers, create(output, &read)?);
    let count = count.map_err(|error| ToolError::File(output.into(), error))?;
    eprintln!("{count} records of {} files in {}", files.len(), output.display());
    Ok(true)
}

fn summary(files: &[PathBuf], form: Form) -> Result<bool, ToolError> {
    let mut sums = Summary::default();
    for file in files {
        let mut reader = open(file)?;
        let (mut part, header) = (Summary::default(), reader.header().clone());
        each(file, &mut reader, |item| part.add_item(&header, item))?;
        sums.add(&part);
    }
    let mut out = io::stdout().lock();
    match form {
        Form::Table => writeln!(
            out,
            "{:<16}{:<18}{:>8}{:>8}{:>9}{:>10}{:>8}{:>6}{:>9}{:>9}{:>9}{:>9}{:>9}",
            "class",
            "tenant",
            "asked",
            "served",
            "in time",
            "rejected",
            "failed",
            "left",
            "attempts",
            "crossed",
            "service",
            "p50 ms",
            "p95 ms"
        )?,
        Form::Csv => writeln!(
            out,
            "class,tenant,asked,served,in_time,rejected,failed,left,attempts,crossed,service,p50_ms,p95_ms"
        )?,
        Form::Json => {}
    }
    for (class, tenant, row) in sums.rows() {
        write_row(&mut out, form, class, tenant, row)?;
    }
    write_row(&mut out, form, "all", "all", &sums.total())?;
    if let (Some(WorstStretch { from, service }), Form::Table) = (sums.worst(), form) {
        let RecordCounts { records, missing } = sums.counts();
        writeln!(
            out,
            "worst 10 s: service {service:.3}, from {from} (Unix time); {records} records, {missing} missing"
        )?;
    }
    Ok(true)
}

fn write_row(
    out: &mut impl Write,
    form: Form,
    class: &str,
    tenant: &str,
    row: &ServiceRow,
) -> io::Result<()> {
    let ServiceRow { asked, served, in_time, rejected, failed, attempts, .. } = row;
    let (left, crossed) = (row.client_disconnected, row.forwarded);
    let [p50, p95] = [0.5, 0.95].map(|q| row.latency.value_at_quantile(q) / 1000);
    let service = row.service();
    match form {
        Form::Table => {
            let service = service.map_or("-".to_owned(), |service| format!("{service:.3}"));
            writeln!(out, "{class:<16}{tenant:<18}{asked:>8}{served:>8}{in_time:>9}{rejected:>10}{failed:>8}{left:>6}{attempts:>9}{crossed:>9}{service:>9}{p50:>9}{p95:>9}")
        }
        Form::Csv => {
            let service = service.map_or(String::new(), |service| format!("{service:.6}"));
            let quoted = |text: &str| format!("\"{}\"", text.replace('"', "\"\""));
            writeln!(out, "{},{},{asked},{served},{in_time},{rejected},{failed},{left},{attempts},{crossed},{service},{p50},{p95}", quoted(class), quoted(tenant))
        }
        Form::Json => {
            let service = service.map_or("null".to_owned(), |service| format!("{service:.6}"));
            let text = |text: &str| simd_json::OwnedValue::from(text).encode();
            let (class, tenant) = (text(class), text(tenant));
            writeln!(out, "{{\"class\":{class},\"tenant\":{tenant},\"asked\":{asked},\"served\":{served},\"in_time\":{in_time},\"rejected\":{rejected},\"failed\":{failed},\"left\":{left},\"attempts\":{attempts},\"crossed\":{crossed},\"service\":{service},\"p50_ms\":{p50},\"p95_ms\":{p95}}}")
        }
    }
}
