//! `measure gateway`: one site at 1.5 times its capacity, one at 0.3, over a network that delays and fails; played
//! without the gateway and with it, on the same traffic.
//!
//! `play` starts the sites and the traffic, `network_faults` breaks the proxies between them, and `figures` turns what
//! happened into the printed result.

mod figures;
mod network_faults;
mod play;

use std::io;
use std::ops::RangeInclusive;
use std::time::Duration;

use chutesaddle_test_doubles::program::{build_scheduler, TempDirectory};

use figures::{print_table, Figures};
use play::{play, Mode};

/// Delay in one direction between the sites.
const DELAY: RangeInclusive<Duration> = Duration::from_micros(5600)..=Duration::from_millis(10);

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// For the traffic, the delays and the failures of the network
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long clients keep coming; answers are waited for after that
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    /// Failures of each direction of the network: partitions both ways or one, and resets
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(0..=100))]
    cuts: u64,
    /// Play only with the gateway, and promise no gain: for many seeds in a row
    #[arg(long)]
    no_alone: bool,
    /// Print what the schedulers have logged
    #[arg(long)]
    logs: bool,
}

/// Plays and prints; whether the promises were kept.
///
/// # Errors
/// If the sites cannot be started or asked.
pub(crate) async fn run(arguments: &Arguments) -> io::Result<bool> {
    let program = build_scheduler()?;
    let directory = TempDirectory::new("gateway")?;
    let alone = match arguments.no_alone {
        true => None,
        false => Some(play(&program, &directory.0.join("alone"), arguments, Mode::Alone).await?),
    };
    let with_gateway = play(&program, &directory.0.join("with"), arguments, Mode::WithGateway).await?;
    if arguments.logs {
        eprintln!("{}", with_gateway.logs);
    }
    let figures = Figures::new(arguments, alone.as_ref(), &with_gateway);
    print_table(alone.as_ref(), &with_gateway);
    println!("{}", serde_json::to_string(&figures).map_err(io::Error::other)?);
    Ok(figures.ok)
}
