//! `cargo trial NAME`: runs a fault-injection test. The last line of the output is JSON. The exit status is 1 if an
//! invariant is violated; the smallest failing plan found and the command that reproduces it are then printed. The exit
//! status is 2 if the test could not be run.

use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use chutesaddle_fault_injection::agreement;
use chutesaddle_fault_injection::callbacks;
use chutesaddle_fault_injection::gossip::{self, GossipReport, Scenario};
use chutesaddle_fault_injection::plan::FaultPlan;
use chutesaddle_test_doubles::program::{build_scheduler, TempDirectory};
use chutesaddle_test_doubles::CallbackFaultRates;
use clap::{Parser, Subcommand};
use serde::Serialize;
use tokio::task::LocalSet;

/// Maximum number of plans tried while shrinking a failing plan.
const MAX_SHRINK_ATTEMPTS: usize = 20;
/// Exit status when a test could not be run.
const EXIT_NOT_RUN: u8 = 2;

/// Run several schedulers, inject faults and check invariants from the outside.
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
    /// Schedulers that gossip: with faults, without faults, and without gossip
    #[command(name = "notes")]
    Gossip(GossipArguments),
    /// One scheduler whose workers hand requests back, lose some and repeat their callbacks
    Callbacks(CallbackArguments),
    /// The replicated register protocol on a virtual network, for a range of seeds
    AgreementNetwork(AgreementArguments),
}

#[derive(clap::Args)]
struct AgreementArguments {
    /// First seed
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Number of seeds
    #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seeds: u64,
}

#[derive(clap::Args)]
struct CallbackArguments {
    /// Seed of the traffic and the faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of workers
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=20))]
    workers: u64,
    /// Duration of the traffic in seconds; outstanding responses are awaited afterwards
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Offered load in percent of the workers' capacity
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=200))]
    load: u64,
    /// Accepted requests that are handed back unstarted, in percent
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(0..=100))]
    handed_back: u64,
    /// Runs that are lost halfway, in percent
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(0..=100))]
    lost: u64,
    /// Callbacks that are repeated because their answer is lost, in percent
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(0..=100))]
    answer_lost: u64,
}

impl CallbackArguments {
    fn scenario(&self) -> callbacks::Scenario {
        let fraction = |percent: u64| percent as f64 / 100.0;
        callbacks::Scenario {
            seed: self.seed,
            workers: self.workers as usize,
            seconds: self.seconds,
            load: fraction(self.load),
            faults: CallbackFaultRates {
                handed_back: fraction(self.handed_back),
                lost: fraction(self.lost),
                answer_lost: fraction(self.answer_lost),
            },
        }
    }
}

#[derive(clap::Args)]
struct GossipArguments {
    /// Seed of the traffic, the network and, without --plan, the faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of schedulers
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(2..=20))]
    nodes: u64,
    /// Duration of the traffic in seconds; outstanding responses are awaited afterwards
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=600))]
    seconds: u64,
    /// Offered load in percent of the workers' capacity
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=200))]
    load: u64,
    /// KDL file with the faults
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Run only with faults, without the runs for comparison; useful for trying many seeds
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

    /// Returns the plan read from the file, or a random plan generated from the seed.
    fn plan(&self) -> io::Result<FaultPlan> {
        let nodes = self.nodes as usize;
        let Some(path) = &self.plan else {
            return Ok(FaultPlan::random(self.seed, nodes, Duration::from_secs(self.seconds)));
        };
        let text = std::fs::read_to_string(path)
            .map_err(|error| io::Error::other(format!("cannot read {}: {error}", path.display())))?;
        FaultPlan::parse(&path.display().to_string(), &text, nodes).map_err(io::Error::other)
    }
}

/// The last line of the output. Scripts read its JSON keys, so they must not change.
#[derive(Serialize)]
struct TrialSummary {
    trial: &'static str,
    seed: u64,
    nodes: usize,
    with_faults: GossipReport,
    /// The same traffic without faults.
    without_faults: Option<GossipReport>,
    /// The same traffic without faults and without gossip.
    #[serde(rename = "without_notes")]
    without_gossip: Option<GossipReport>,
    #[serde(rename = "broken")]
    violations: Vec<String>,
}

fn main() -> ExitCode {
    match Arguments::parse().trial {
        Trial::Gossip(arguments) => exit_code(run_local(compare_gossip_runs(&arguments))),
        Trial::Callbacks(arguments) => exit_code(run_local(run_callback_trial(&arguments))),
        Trial::AgreementNetwork(arguments) => run_agreement_trial(&arguments),
    }
}

fn run_agreement_trial(arguments: &AgreementArguments) -> ExitCode {
    let report = agreement::run(arguments.seed, arguments.seeds);
    match serde_json::to_string(&report) {
        Ok(line) => {
            println!("{line}");
            ExitCode::from(u8::from(!report.violations.is_empty()))
        }
        Err(_) => ExitCode::from(EXIT_NOT_RUN),
    }
}

/// Runs a test on one thread, as the test doubles require.
fn run_local(test: impl Future<Output = io::Result<bool>>) -> io::Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, test)
}

/// The exit code of a test that could be run, with whether all invariants held, or could not.
fn exit_code(passed: io::Result<bool>) -> ExitCode {
    match passed {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: cannot run the trial: {error}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

/// Runs the callback test and prints its report. Returns whether all invariants held.
async fn run_callback_trial(arguments: &CallbackArguments) -> io::Result<bool> {
    let (program, directory) = (build_scheduler()?, TempDirectory::new("trial")?);
    let report = callbacks::run(&program, &directory.0, &arguments.scenario()).await?;
    let violations = report.violations();
    for violation in &violations {
        println!("violated: {violation}");
    }
    println!("{}", serde_json::to_string(&report)?);
    Ok(violations.is_empty())
}

/// Runs the gossip test and prints the results. Returns whether all invariants held.
async fn compare_gossip_runs(arguments: &GossipArguments) -> io::Result<bool> {
    let plan = arguments.plan()?;
    let (program, directory) = (build_scheduler()?, TempDirectory::new("trial")?);
    let dir = &directory.0;
    let scenario = arguments.scenario();
    eprint!("{} faults:\n{plan}", plan.0.len());
    let with_faults = run_scenario(&program, dir, &scenario, &plan, "with faults").await?;
    let (mut without_faults, mut without_gossip) = (None, None);
    if !arguments.alone {
        let no_faults = FaultPlan::default();
        let report = run_scenario(&program, dir, &scenario, &no_faults, "without faults").await?;
        without_faults = Some(report);
        let no_gossip = Scenario { gossip: false, ..scenario };
        without_gossip = Some(run_scenario(&program, dir, &no_gossip, &no_faults, "without gossip").await?);
    }
    let violations = with_faults.violations();
    let passed = violations.is_empty();
    if !passed {
        let smallest = shrink_plan(&program, dir, &scenario, plan).await?;
        print_reproduction(arguments, &smallest);
    }
    let (seed, nodes) = (scenario.seed, scenario.nodes);
    let summary =
        TrialSummary { trial: "notes", seed, nodes, with_faults, without_faults, without_gossip, violations };
    println!("{}", serde_json::to_string(&summary)?);
    Ok(passed)
}

fn print_reproduction(arguments: &GossipArguments, plan: &FaultPlan) {
    let GossipArguments { seed, nodes, seconds, load, .. } = arguments;
    println!("smallest failing plan found ({} faults):\n{plan}", plan.0.len());
    println!(
        "to reproduce, save it as plan.kdl and run: cargo trial notes --seed {seed} --nodes {nodes} \
         --seconds {seconds} --load {load} --alone --plan plan.kdl"
    );
}

async fn run_scenario(
    program: &Path,
    dir: &Path,
    scenario: &Scenario,
    plan: &FaultPlan,
    name: &str,
) -> io::Result<GossipReport> {
    let report = gossip::run(program, dir, scenario, plan).await?;
    let GossipReport { requests, served, rejected, lost, lost_with_scheduler, .. } = &report;
    let GossipReport { duplicate_runs, misplaced, runs, .. } = &report;
    println!(
        "{name:15} {requests} requests: {served} served, {rejected} rejected, {lost} lost, {lost_with_scheduler} lost \
         in scheduler outages; {runs} runs: {misplaced} misplaced, {duplicate_runs} duplicate; median {} ms",
        report.latency_ms[0]
    );
    Ok(report)
}

/// Shrinks a failing plan by removing faults one at a time for as long as it still violates an invariant.
async fn shrink_plan(
    program: &Path,
    dir: &Path,
    scenario: &Scenario,
    mut plan: FaultPlan,
) -> io::Result<FaultPlan> {
    let mut attempts = 0;
    'shrink: while attempts < MAX_SHRINK_ATTEMPTS {
        for candidate in plan.clone().with_one_fault_removed().take(MAX_SHRINK_ATTEMPTS - attempts) {
            attempts += 1;
            if !gossip::run(program, dir, scenario, &candidate).await?.violations().is_empty() {
                plan = candidate;
                continue 'shrink;
            }
        }
        break;
    }
    Ok(plan)
}
