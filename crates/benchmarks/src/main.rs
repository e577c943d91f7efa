//! Benchmarks with real processes on loopback, run with `cargo measure`. Each benchmark prints its progress to standard
//! error, then a table and a last line of JSON. The exit status is 1 if a requirement is not met and 2 if the benchmark
//! could not be run.

mod gateway;
mod gateway_price;
mod link;
mod sites;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tokio::task::LocalSet;

/// Run benchmarks of the scheduler and check their requirements.
#[derive(Parser)]
#[command(name = "measure", version, after_help = "Example:\n  cargo measure gateway --seed 3 --seconds 20")]
struct Arguments {
    #[command(subcommand)]
    benchmark: Benchmark,
}

#[derive(Subcommand)]
enum Benchmark {
    /// Two sites, one of them overloaded, over an unreliable network: with and without the gateway
    Gateway(gateway::Arguments),
    /// CPU and latency overhead of an idle gateway, compared with a disabled one
    GatewayPrice(gateway_price::Arguments),
    /// Throughput of a link between two sites on loopback
    Link(link::Arguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&error),
    };
    let passed = LocalSet::new().block_on(&runtime, async {
        match arguments.benchmark {
            Benchmark::Gateway(arguments) => gateway::run(&arguments).await,
            Benchmark::GatewayPrice(arguments) => gateway_price::run(&arguments).await,
            Benchmark::Link(arguments) => link::run(&arguments).await,
        }
    });
    match passed {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => report_failure(&error),
    }
}

/// Exit status when a benchmark could not be run.
const EXIT_NOT_RUN: u8 = 2;

fn report_failure(error: &std::io::Error) -> ExitCode {
    eprintln!("error: cannot run the benchmark: {error}");
    ExitCode::from(EXIT_NOT_RUN)
}
