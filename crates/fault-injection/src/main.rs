//! `cargo trial NAME`: plays a trial and judges it. The last line is JSON. Exit 1 if a promise is broken, and then the
//! smallest plan found that breaks it is printed, with the line that plays it; 2 if it could not be played.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use chutesaddle_fault_injection::notes::{self, Report, Terms};
use chutesaddle_fault_injection::plan::Plan;
use chutesaddle_test_doubles::program::{build_scheduler, TempDirectory};
use clap::{Parser, Subcommand};
use serde::Serialize;
use tokio::task::LocalSet;

/// Plans tried at the most while a failing one is made smaller.
const SMALLER: usize = 20;

/// Several schedulers together, with faults between them, judged from outside.
#[derive(Parser)]
#[command(
    name = "trial",
    version,
    after_help = "Example:\n  cargo trial notes --seed 3 --nodes 4 --seconds 20"
)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Schedulers tell each other what they hold: with faults, without any, and without telling
    Notes(Common),
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
struct Common {
    /// For the traffic, the wires and, without --plan, the faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many schedulers
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(2..=20))]
    nodes: u64,
    /// How long clients keep coming; answers are waited for after that
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=600))]
    seconds: u64,
    /// What is asked for, in percent of what the boxes can do
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=200))]
    load: u64,
    /// The faults, as KDL
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Play only with the faults, nothing to compare with: for many seeds in a row
    #[arg(long)]
    alone: bool,
}

/// The last line.
#[derive(Serialize)]
struct Said {
    trial: &'static str,
    seed: u64,
    nodes: usize,
    with_faults: Report,
    /// The same traffic without faults, and without faults and notes.
    without_faults: Option<Report>,
    without_notes: Option<Report>,
    broken: Vec<String>,
}

fn main() -> ExitCode {
    let arguments = match Arguments::parse().what {
        What::Notes(arguments) => arguments,
        What::AgreementNetwork(Seeds { seed, seeds }) => {
            let report = chutesaddle_fault_injection::agreement::play(seed, seeds);
            return match serde_json::to_string(&report) {
                Ok(line) => {
                    println!("{line}");
                    ExitCode::from(u8::from(!report.broken.is_empty()))
                }
                Err(_) => ExitCode::from(2),
            };
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let played = runtime.and_then(|runtime| LocalSet::new().block_on(&runtime, notes(&arguments)));
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: the trial could not be played: {error}");
            ExitCode::from(2)
        }
    }
}

fn plan(arguments: &Common, nodes: usize) -> io::Result<Plan> {
    let length = Duration::from_secs(arguments.seconds);
    let Some(path) = &arguments.plan else { return Ok(Plan::draw(arguments.seed, nodes, length)) };
    let text = std::fs::read_to_string(path)
        .map_err(|error| io::Error::other(format!("cannot read {}: {error}", path.display())))?;
    Plan::read(&path.display().to_string(), &text, nodes).map_err(io::Error::other)
}

async fn notes(arguments: &Common) -> io::Result<bool> {
    let nodes = arguments.nodes as usize;
    let plan = plan(arguments, nodes)?;
    let (program, folder) = (build_scheduler()?, TempDirectory::new("trial")?);
    let load = arguments.load as f64 / 100.0;
    let terms = Terms { seed: arguments.seed, nodes, seconds: arguments.seconds, load, notes: true };
    eprint!("{} faults:\n{plan}", plan.0.len());
    let with_faults = one(&program, &folder.0, &terms, &plan, "with faults").await?;
    let mut compared = [None, None];
    if !arguments.alone {
        let none = Plan::default();
        compared[0] = Some(one(&program, &folder.0, &terms, &none, "without faults").await?);
        let silent = Terms { notes: false, ..terms };
        compared[1] = Some(one(&program, &folder.0, &silent, &none, "without notes").await?);
    }
    let broken = with_faults.broken();
    if !broken.is_empty() {
        let least = smaller(&program, &folder.0, &terms, plan).await?;
        println!("the smallest plan found that breaks it ({} faults):\n{least}", least.0.len());
        println!(
            "to play it again, save it as plan.kdl: cargo trial notes --seed {} --nodes {nodes} --seconds {} --load {} \
             --alone --plan plan.kdl",
            arguments.seed, arguments.seconds, arguments.load
        );
    }
    let kept = broken.is_empty();
    let [without_faults, without_notes] = compared;
    let seed = arguments.seed;
    let said = Said { trial: "notes", seed, nodes, with_faults, without_faults, without_notes, broken };
    println!("{}", serde_json::to_string(&said)?);
    Ok(kept)
}

async fn one(program: &Path, dir: &Path, terms: &Terms, plan: &Plan, what: &str) -> io::Result<Report> {
    let report = notes::play(program, dir, terms, plan).await?;
    let Report { jobs, served, rejected, lost, lost_with_theirs, doubled, misplaced, runs, .. } = &report;
    println!(
        "{what:15} {jobs} jobs: {served} served, {rejected} rejected, {lost} lost, {lost_with_theirs} lost with their \
         scheduler; of {runs} runs {misplaced} misplaced, {doubled} too many; median {} ms",
        report.latency_ms[0]
    );
    Ok(report)
}

/// Leaves out one fault after the other, as long as what is left still breaks a promise.
async fn smaller(program: &Path, dir: &Path, terms: &Terms, mut plan: Plan) -> io::Result<Plan> {
    let mut tried = 0;
    'smaller: while tried < SMALLER {
        for fewer in plan.clone().without().take(SMALLER - tried) {
            tried += 1;
            if !notes::play(program, dir, terms, &fewer).await?.broken().is_empty() {
                plan = fewer;
                continue 'smaller;
            }
        }
        break;
    }
    Ok(plan)
}
