//! `measure gateway`: one site at 1.5 times its capacity and one at 0.3, connected by a network with delays and faults.
//! The same traffic is run without and with the gateway.
//!
//! `scenario` runs the sites and the traffic, `network_faults` injects faults into the proxies between the sites, and
//! `figures` computes and prints the results.

mod figures;
mod network_faults;
mod scenario;

use std::io;
use std::ops::RangeInclusive;
use std::time::Duration;

use chutesaddle_test_doubles::program::{build_scheduler, TempDirectory};

use figures::{print_table, GatewayFigures};
use scenario::{run_scenario, Mode};

/// One-way delay between the sites.
const DELAY: RangeInclusive<Duration> = Duration::from_micros(5600)..=Duration::from_millis(10);

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// Seed of the traffic, the network delays and the network faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the traffic in seconds; outstanding responses are awaited afterwards
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    /// Number of faults in each direction: two-way partitions, one-way partitions and connection resets
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(0..=100))]
    cuts: u64,
    /// Run only with the gateway and do not check the gain in service; useful for trying many seeds
    #[arg(long)]
    no_alone: bool,
    /// Print the logs of the schedulers
    #[arg(long)]
    logs: bool,
}

/// Runs the benchmark and prints the results. Returns whether all requirements were met.
///
/// # Errors
/// Returns an error if the sites cannot be started or queried.
pub(crate) async fn run(arguments: &Arguments) -> io::Result<bool> {
    let program = build_scheduler()?;
    let directory = TempDirectory::new("gateway")?;
    let without_gateway = match arguments.no_alone {
        true => None,
        false => {
            Some(run_scenario(&program, &directory.0.join("alone"), arguments, Mode::WithoutGateway).await?)
        }
    };
    let with_gateway =
        run_scenario(&program, &directory.0.join("with"), arguments, Mode::WithGateway).await?;
    if arguments.logs {
        eprintln!("{}", with_gateway.logs);
    }
    let figures = GatewayFigures::new(arguments, without_gateway.as_ref(), &with_gateway);
    print_table(without_gateway.as_ref(), &with_gateway);
    println!("{}", serde_json::to_string(&figures).map_err(io::Error::other)?);
    Ok(figures.ok)
}
