//! The command line: arguments, subcommands and exit codes. Each subcommand is a file.
//!
//! | module | subcommand |
//! | --- | --- |
//! | `serve` | serve clients: start-up, signals and exit |
//! | `check` | look for mistakes in configuration files |
//! | `demo` | run one site on loopback |
//! | `trace` | read trace files |
//! | `logs` | (none) the form of the log on standard error |

mod check;
mod demo;
mod logs;
mod serve;
mod trace;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// A job scheduler on sockets. Without a subcommand it serves.
#[derive(Parser)]
#[command(name = "chutesaddle", version, after_help = EXAMPLES)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: Serve,
}

const EXAMPLES: &str = "\
Examples:
  NODE_CONFIG=config.json chutesaddle                serve, as the platform starts it
  chutesaddle serve --config config.json --operator gateway.kdl --log json
  chutesaddle check deploy/gateway.kdl config.json   look for mistakes, change nothing
  chutesaddle demo                                   one site on loopback, for a first look
  chutesaddle completions bash                       a script for the shell

Exit codes: 0 done, 1 failed, 2 not understood.";

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM
    #[command(
        after_help = "Example:\n  chutesaddle serve --config config.json --operator deploy/gateway.kdl"
    )]
    Serve(Serve),
    /// Look for mistakes in configuration files, KDL or JSON, and change nothing
    #[command(after_help = "Example:\n  chutesaddle check deploy/gateway.kdl")]
    Check {
        /// The files; those that end in .json are the platform's, all others the operator's
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Run one site on loopback with test workers and clients, and show what became of their requests
    Demo,
    /// Read trace files: what schedulers received, decided, sent and answered
    #[command(subcommand)]
    Trace(trace::Tool),
    /// Write a completion script for a shell to standard output
    Completions {
        /// Which shell
        shell: Shell,
    },
}

/// How to serve. The platform's environment variables count where no option is given.
#[derive(clap::Args, Clone)]
struct Serve {
    /// The platform's configuration, in JSON
    #[arg(long, env = "NODE_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator's own settings, in KDL; without it all that they switch on is off
    #[arg(long, env = "NODE_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The address of the operator interface; the configuration's `ops` goes before it
    #[arg(long, env = "NODE_OPS", value_name = "ADDRESS", value_parser = address)]
    ops: Option<SocketAddr>,
    /// The form of the log on standard error
    #[arg(long, value_enum, default_value_t = Form::Text)]
    log: Form,
    /// The least level that is written
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log_level: tracing::Level,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Form {
    /// For people
    Text,
    /// One object to a line
    Json,
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|error| format!("no address: {error}"))
}

/// Runs the subcommand that the command line names; without one it serves.
pub(crate) fn run() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.command {
        None => serve::run(arguments.serve),
        Some(Command::Serve(serve)) => serve::run(serve),
        Some(Command::Check { files }) => check::run(&files),
        Some(Command::Demo) => demo::run(),
        Some(Command::Trace(tool)) => trace::run(tool),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Arguments::command(), "chutesaddle", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}
