//! Benchmarks with real processes on loopback, run by `cargo measure`. Each prints its progress on standard error, a table, and one last
//! line of JSON; it exits 1 if a promise is broken and 2 if it could not be made.

mod gateway;
mod gateway_price;
mod sites;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tokio::task::LocalSet;

/// Measure the scheduler against what is promised.
#[derive(Parser)]
#[command(name = "measure", version, after_help = "Example:\n  cargo measure gateway --seed 3 --seconds 20")]
struct Arguments {
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Subcommand)]
enum Measurement {
    /// Two sites, one with too much work, over a network that fails: with the gateway and without
    Gateway(gateway::Arguments),
    /// What the gateway costs in CPU and latency while it is on and idle, against one that is off
    GatewayPrice(gateway_price::Arguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error),
    };
    let measured = LocalSet::new().block_on(&runtime, async {
        match arguments.measurement {
            Measurement::Gateway(arguments) => gateway::run(&arguments).await,
            Measurement::GatewayPrice(arguments) => gateway_price::run(&arguments).await,
        }
    });
    match measured {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => failed(&error),
    }
}

/// The measurement could not be made.
const EXIT_NOT_MEASURED: u8 = 2;

fn failed(error: &std::io::Error) -> ExitCode {
    eprintln!("error: the measurement could not be made: {error}");
    ExitCode::from(EXIT_NOT_MEASURED)
}
