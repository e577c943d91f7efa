//! The command line: arguments, subcommands and exit codes. Each subcommand has its own module.
//!
//! | module | subcommand |
//! | --- | --- |
//! | `serve` | serve clients: startup, signals and shutdown |
//! | `check` | check configuration files for errors |
//! | `demo` | run one site on loopback |
//! | `trace` | read trace files |
//! | `logs` | (none) log output on standard error |

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

/// A job scheduler and load balancer. Without a subcommand, it serves clients.
#[derive(Parser)]
#[command(name = "chutesaddle", version, after_help = EXAMPLES)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: ServeArguments,
}

const EXAMPLES: &str = "\
Examples:
  NODE_CONFIG=config.json chutesaddle                serve, as started by the platform
  chutesaddle serve --config config.json --operator gateway.kdl --log json
  chutesaddle check deploy/gateway.kdl config.json   check files, change nothing
  chutesaddle demo                                   run one site on loopback
  chutesaddle completions bash                       print a completion script for the shell

Exit codes: 0 success, 1 failure, 2 invalid arguments.";

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM
    #[command(
        after_help = "Example:\n  chutesaddle serve --config config.json --operator deploy/gateway.kdl"
    )]
    Serve(ServeArguments),
    /// Check configuration files in KDL or JSON for errors, without changing anything
    #[command(after_help = "Example:\n  chutesaddle check deploy/gateway.kdl")]
    Check {
        /// Files to check; those ending in .json are read as platform files, all others as operator files
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Run one site on loopback with test workers and clients, and show the outcome of their requests
    Demo,
    /// Read trace files, which record what schedulers received, decided, sent and answered
    #[command(subcommand)]
    Trace(trace::TraceCommand),
    /// Print a completion script for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Options for serving. Without an option, the environment variable set by the platform applies.
#[derive(clap::Args, Clone)]
struct ServeArguments {
    /// The platform file, in JSON
    #[arg(long, env = "NODE_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator file, in KDL; without it, all features that it enables are disabled
    #[arg(long, env = "NODE_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Listen address of the operator interface; `ops` in the platform file takes precedence
    #[arg(long, env = "NODE_OPS", value_name = "ADDRESS", value_parser = parse_address)]
    ops: Option<SocketAddr>,
    /// Format of the log on standard error
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
    /// Lowest level that is logged
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log_level: tracing::Level,
}

/// Format of the log.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum LogFormat {
    /// Human-readable text
    Text,
    /// One JSON object per line
    Json,
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|error| format!("expected an address such as 127.0.0.1:8080: {error}"))
}

/// Runs the subcommand given on the command line; without one, serves clients.
pub(crate) fn run() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.command {
        None => serve::run(arguments.serve),
        Some(Command::Serve(serve)) => serve::run(serve),
        Some(Command::Check { files }) => check::run(&files),
        Some(Command::Demo) => demo::run(),
        Some(Command::Trace(command)) => trace::run(command),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Arguments::command(), "chutesaddle", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}
