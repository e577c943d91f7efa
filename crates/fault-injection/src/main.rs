//! `cargo trial NAME`: plays a trial and judges it. The last line is JSON. Exit 1 if a promise is broken, and then the
//! smallest plan found that breaks it is printed, with the line that plays it; 2 if it could not be played.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use chutesaddle_fault_injection::agreement;
use chutesaddle_fault_injection::gossip::{self, Report, Scenario};
use chutesaddle_fault_injection::plan::Plan;
use chutesaddle_test_doubles::program::{build_scheduler, TempDirectory};
use clap::{Parser, Subcommand};
use serde::Serialize;
use tokio::task::LocalSet;

/// Plans tried at the most while a failing one is made smaller.
const MOST_SMALLER_PLANS: usize = 20;
/// The trial could not be played.
const EXIT_NOT_PLAYED: u8 = 2;

/// Several schedulers together, with faults between them, judged from outside.
#[derive(Parser)]
#[command(
    name = "trial",
    version,
    after_help = "Example:\n  cargo trial notes --seed 3 --nodes 4 --seconds 20"
)]
struct Arguments {
    #[command(subcommand)]
    trial: Trial,
}

#[derive(Subcommand)]
enum Trial {
    /// Schedulers that gossip: with faults, without any, and without gossip
    #[command(name = "notes")]
    Gossip(GossipArguments),
    /// The protocol of agreed settings on a virtual network, many seeds in a row
    AgreementNetwork(Seeds),
}

#[derive(clap::Args)]
struct Seeds {
    /// The first seed
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// How many
    #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seeds: u64,
}

#[derive(clap::Args)]
struct GossipArguments {
    /// For the traffic, the network and, without --plan, the faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many schedulers
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(2..=20))]
    nodes: u64,
    /// How long clients keep coming; answers are waited for after that
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=600))]
    seconds: u64,
    /// What is asked for, in percent of the workers' capacity
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=200))]
    load: u64,
    /// The faults, as KDL
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Play only with the faults, nothing to compare with: for many seeds in a row
    #[arg(long)]
    alone: bool,
}

impl GossipArguments {
    fn scenario(&self) -> Scenario {
        Scenario {
            seed: self.seed,
            nodes: self.nodes as usize,
            seconds: self.seconds,
            load: self.load as f64 / 100.0,
            gossip: true,
        }
    }

    /// The plan of the file, or one drawn from the seed.
    fn plan(&self) -> io::Result<Plan> {
        let nodes = self.nodes as usize;
        let Some(path) = &self.plan else {
            return Ok(Plan::draw(self.seed, nodes, Duration::from_secs(self.seconds)));
        };
        let text = std::fs::read_to_string(path)
            .map_err(|error| io::Error::other(format!("cannot read {}: {error}", path.display())))?;
        Plan::read(&path.display().to_string(), &text, nodes).map_err(io::Error::other)
    }
}

/// The last line. Its keys are printed, and keep their names.
#[derive(Serialize)]
struct Summary {
    trial: &'static str,
    seed: u64,
    nodes: usize,
    with_faults: Report,
    /// The same traffic without faults.
    without_faults: Option<Report>,
    /// The same traffic without faults and without gossip.
    #[serde(rename = "without_notes")]
    without_gossip: Option<Report>,
    broken: Vec<String>,
}

fn main() -> ExitCode {
    match Arguments::parse().trial {
        Trial::Gossip(arguments) => play_gossip(&arguments),
        Trial::AgreementNetwork(seeds) => play_agreement(&seeds),
    }
}

fn play_agreement(seeds: &Seeds) -> ExitCode {
    let report = agreement::play(seeds.seed, seeds.seeds);
    match serde_json::to_string(&report) {
        Ok(line) => {
            println!("{line}");
            ExitCode::from(u8::from(!report.broken.is_empty()))
        }
        Err(_) => ExitCode::from(EXIT_NOT_PLAYED),
    }
}

fn play_gossip(arguments: &GossipArguments) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let played = runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, run_gossip(arguments)));
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: the trial could not be played: {error}");
            ExitCode::from(EXIT_NOT_PLAYED)
        }
    }
}

/// Plays the trial; whether all promises were kept.
async fn run_gossip(arguments: &GossipArguments) -> io::Result<bool> {
    let plan = arguments.plan()?;
    let (program, directory) = (build_scheduler()?, TempDirectory::new("trial")?);
    let dir = &directory.0;
    let scenario = arguments.scenario();
    eprint!("{} faults:\n{plan}", plan.0.len());
    let with_faults = play_once(&program, dir, &scenario, &plan, "with faults").await?;
    let (mut without_faults, mut without_gossip) = (None, None);
    if !arguments.alone {
        let no_faults = Plan::default();
        let report = play_once(&program, dir, &scenario, &no_faults, "without faults").await?;
        without_faults = Some(report);
        let silent = Scenario { gossip: false, ..scenario };
        without_gossip = Some(play_once(&program, dir, &silent, &no_faults, "without notes").await?);
    }
    let broken = with_faults.broken();
    let kept = broken.is_empty();
    if !kept {
        let smallest = smallest_failing(&program, dir, &scenario, plan).await?;
        print_reproduction(arguments, &smallest);
    }
    let (seed, nodes) = (scenario.seed, scenario.nodes);
    let summary =
        Summary { trial: "notes", seed, nodes, with_faults, without_faults, without_gossip, broken };
    println!("{}", serde_json::to_string(&summary)?);
    Ok(kept)
}

fn print_reproduction(arguments: &GossipArguments, plan: &Plan) {
    let GossipArguments { seed, nodes, seconds, load, .. } = arguments;
    println!("the smallest plan found that breaks it ({} faults):\n{plan}", plan.0.len());
    println!(
        "to play it again, save it as plan.kdl: cargo trial notes --seed {seed} --nodes {nodes} --seconds {seconds} \
         --load {load} --alone --plan plan.kdl"
    );
}

async fn play_once(
    program: &Path,
    dir: &Path,
    scenario: &Scenario,
    plan: &Plan,
    name: &str,
) -> io::Result<Report> {
    let report = gossip::play(program, dir, scenario, plan).await?;
    let Report { requests, served, rejected, lost, lost_with_scheduler, .. } = &report;
    let Report { duplicate_runs, misplaced, runs, .. } = &report;
    println!(
        "{name:15} {requests} jobs: {served} served, {rejected} rejected, {lost} lost, {lost_with_scheduler} lost with \
         their scheduler; of {runs} runs {misplaced} misplaced, {duplicate_runs} too many; median {} ms",
        report.latency_ms[0]
    );
    Ok(report)
}

/// Leaves out one fault after the other, as long as what is left still breaks a promise.
async fn smallest_failing(
    program: &Path,
    dir: &Path,
    scenario: &Scenario,
    mut plan: Plan,
) -> io::Result<Plan> {
    let mut tried = 0;
    'smaller: while tried < MOST_SMALLER_PLANS {
        for fewer in plan.clone().without_one().take(MOST_SMALLER_PLANS - tried) {
            tried += 1;
            if !gossip::play(program, dir, scenario, &fewer).await?.broken().is_empty() {
                plan = fewer;
                continue 'smaller;
            }
        }
        break;
    }
    Ok(plan)
}
