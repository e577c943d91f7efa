//! `chutesaddle trace`: reads trace files. The commands stream their input: memory use is bounded by the size of a
//! block and the number of unanswered requests.
//!
//! This module contains the arguments, the exit codes and shared functions; each command has its own module. The
//! format is implemented in the crate `chutesaddle-trace` and described in `docs/trace-format.md`.

mod copy;
mod info;
mod summary;
mod verify;

use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use chutesaddle_trace::{Item, Reader, TraceError};
use clap::{Subcommand, ValueEnum};

#[derive(Subcommand)]
pub(super) enum TraceCommand {
    /// Show which scheduler wrote each file, when, and whether the file is complete
    Info {
        /// Input files
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Check every block, and that each request has exactly one answer
    Verify {
        /// Input files
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Copy the records between two times, reading only the blocks that contain them
    #[command(
        after_help = "Example:\n  chutesaddle trace cut night.trace --from 90s --to 2min -o burst.trace"
    )]
    Cut {
        /// Input file
        file: PathBuf,
        /// Start of the copied range, as a duration after the file's first record
        #[arg(long, value_parser = parse_duration, default_value = "0s")]
        from: Duration,
        /// End of the copied range, as a duration after the file's first record
        #[arg(long, value_parser = parse_duration)]
        to: Option<Duration>,
        /// Output file
        #[arg(short, long, value_name = "FILE")]
        output: PathBuf,
    },
    /// Merge the files of several schedulers, ordered by their clocks
    #[command(after_help = "Example:\n  chutesaddle trace merge n1.trace n2.trace -o site.trace")]
    Merge {
        /// Input files
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Output file
        #[arg(short, long, value_name = "FILE")]
        output: PathBuf,
    },
    /// Show service, as defined by the operators, by class and tenant
    #[command(after_help = "Example:\n  chutesaddle trace summary *.trace --form csv > service.csv")]
    Summary {
        /// Input files; their totals are added up
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Output format
        #[arg(long = "form", value_name = "FORM", value_enum, default_value_t = SummaryFormat::Table)]
        format: SummaryFormat,
    },
}

/// Output format of `trace summary`.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub(super) enum SummaryFormat {
    /// Human-readable table
    Table,
    /// Comma-separated values
    Csv,
    /// One JSON object per line
    Json,
}

/// Parses a duration given on the command line.
fn parse_duration(text: &str) -> Result<Duration, String> {
    chutesaddle_operator_config::duration(text)
        .ok_or_else(|| "expected a duration such as \"90s\" or \"2min\"".to_owned())
}

/// Why a command is aborted.
#[derive(Debug, thiserror::Error)]
enum TraceCommandError {
    #[error("{0}: {1}")]
    File(PathBuf, #[source] TraceError),
    #[error("{0} is both an input and the output")]
    SameFile(PathBuf),
    #[error("cannot write to standard output: {0}")]
    Output(#[from] io::Error),
}

/// Result of a command that was not aborted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TraceStatus {
    /// All files are intact.
    Intact,
    /// A file is damaged, truncated or violates an invariant.
    Faulty,
}

impl TraceStatus {
    fn from_intact(intact: bool) -> Self {
        match intact {
            true => TraceStatus::Intact,
            false => TraceStatus::Faulty,
        }
    }
}

/// Runs a command. The exit code is 0 if all files are intact and 1 otherwise.
pub(super) fn run(command: TraceCommand) -> ExitCode {
    let result = match command {
        TraceCommand::Info { files } => for_each_file(&files, info::print),
        TraceCommand::Verify { files } => for_each_file(&files, verify::print),
        TraceCommand::Cut { file, from, to, output } => copy::cut(&file, from, to, &output),
        TraceCommand::Merge { files, output } => copy::merge_files(&files, &output),
        TraceCommand::Summary { files, format } => summary::print(&files, format),
    };
    match result {
        Ok(TraceStatus::Intact) => ExitCode::SUCCESS,
        Ok(TraceStatus::Faulty) => ExitCode::FAILURE,
        // The reader of standard output may stop early, for example `head`.
        Err(TraceCommandError::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => {
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command on each file, even after a faulty one.
fn for_each_file(
    files: &[PathBuf],
    command: impl Fn(&Path) -> Result<TraceStatus, TraceCommandError>,
) -> Result<TraceStatus, TraceCommandError> {
    let mut status = TraceStatus::Intact;
    for file in files {
        if command(file)? == TraceStatus::Faulty {
            status = TraceStatus::Faulty;
        }
    }
    Ok(status)
}

type FileReader = Reader<BufReader<File>>;

fn open(file: &Path) -> Result<FileReader, TraceCommandError> {
    let file_error = |error| TraceCommandError::File(file.into(), error);
    let input = File::open(file).map_err(|error| file_error(error.into()))?;
    Reader::open(BufReader::new(input)).map_err(file_error)
}

fn for_each_item(
    file: &Path,
    reader: &mut FileReader,
    mut visit: impl FnMut(&Item),
) -> Result<(), TraceCommandError> {
    while let Some(item) = reader.next_item().map_err(|error| TraceCommandError::File(file.into(), error))? {
        visit(&item);
    }
    Ok(())
}
