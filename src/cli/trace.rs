//! `chutesaddle trace`: reads trace files. Each tool streams: memory is bounded by one block and by what is open.
//!
//! This file has the arguments, the exit codes and what the tools share; each tool is a file. The format is in the crate
//! `chutesaddle-trace` and in `docs/trace-format.md`.

mod copy;
mod info;
mod summary;
mod verify;

use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use chutesaddle_trace::{Reader, TraceError, TraceItem};
use clap::{Subcommand, ValueEnum};

#[derive(Subcommand)]
pub(super) enum Tool {
    /// Show who wrote files, when, and whether they are complete
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
        #[arg(long, value_parser = duration, default_value = "0s")]
        from: Duration,
        /// Until this long after the file's beginning
        #[arg(long, value_parser = duration)]
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

/// Reads a duration of the command line.
fn duration(text: &str) -> Result<Duration, String> {
    chutesaddle_operator_config::duration(text)
        .ok_or_else(|| "a duration such as \"90s\" or \"2min\"".to_owned())
}

/// Why a tool ends early.
#[derive(Debug, thiserror::Error)]
enum ToolError {
    #[error("{0}: {1}")]
    File(PathBuf, #[source] TraceError),
    #[error("{0} is to be read and to be written")]
    SameFile(PathBuf),
    #[error("cannot write: {0}")]
    Output(#[from] io::Error),
}

/// What a tool has found.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// Every file is as it should be.
    Sound,
    /// A file is damaged, cut off or has faults.
    Unsound,
}

impl Verdict {
    fn from_sound(sound: bool) -> Self {
        match sound {
            true => Verdict::Sound,
            false => Verdict::Unsound,
        }
    }
}

/// Runs a tool: exit code 0 if all is well, 1 if a file is not what it should be.
pub(super) fn run(tool: Tool) -> ExitCode {
    let result = match tool {
        Tool::Info { files } => for_each_file(&files, info::print),
        Tool::Verify { files } => for_each_file(&files, verify::print),
        Tool::Cut { file, from, to, output } => copy::cut(&file, from, to, &output),
        Tool::Merge { files, output } => copy::merge_files(&files, &output),
        Tool::Summary { files, form } => summary::print(&files, form),
    };
    match result {
        Ok(Verdict::Sound) => ExitCode::SUCCESS,
        Ok(Verdict::Unsound) => ExitCode::FAILURE,
        // Whoever reads only the beginning of the output has what he wants.
        Err(ToolError::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a tool on each file, also after one that is unsound.
fn for_each_file(
    files: &[PathBuf],
    tool: impl Fn(&Path) -> Result<Verdict, ToolError>,
) -> Result<Verdict, ToolError> {
    let mut verdict = Verdict::Sound;
    for file in files {
        if tool(file)? == Verdict::Unsound {
            verdict = Verdict::Unsound;
        }
    }
    Ok(verdict)
}

type FileReader = Reader<BufReader<File>>;

fn open(file: &Path) -> Result<FileReader, ToolError> {
    let in_this_file = |error| ToolError::File(file.into(), error);
    let bytes = File::open(file).map_err(|error| in_this_file(error.into()))?;
    Reader::open(BufReader::new(bytes)).map_err(in_this_file)
}

fn for_each_item(
    file: &Path,
    reader: &mut FileReader,
    mut take: impl FnMut(&TraceItem),
) -> Result<(), ToolError> {
    while let Some(item) = reader.next_item().map_err(|error| ToolError::File(file.into(), error))? {
        take(&item);
    }
    Ok(())
}
