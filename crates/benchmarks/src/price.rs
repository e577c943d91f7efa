//! `measure gateway-price`: the CPU that a scheduler needs and the time that its answers take, with the gateway off
//! and with it on and idle, side by side on the same traffic.

use std::io;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::{ClientRequest, ClientResult, FaultyProxy, Journal, TestSite};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use crate::gateway::{metric_is, operator};
use chutesaddle_test_doubles::program::{build_scheduler, TempDirectory};

/// Work of each job: so short that a site of a few boxes is never full.
const WORK: Duration = Duration::from_millis(4);
const DELAY: RangeInclusive<Duration> = Duration::from_micros(5600)..=Duration::from_millis(10);
/// What is promised: so much more of its core at the most, and so much more time at the median.
const MOST: f64 = 0.02;

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// For the traffic
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long both are given the same traffic
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    /// Jobs a second for each of the two
    #[arg(long, default_value_t = 250, value_parser = clap::value_parser!(u64).range(1..=1000))]
    rate: u64,
}

#[derive(Serialize)]
struct Figures {
    measure: &'static str,
    seed: u64,
    ok: bool,
    jobs: usize,
    cpu_us_a_job_off: f64,
    cpu_us_a_job_idle: f64,
    cpu_more: f64,
    /// The same as a share of the one core.
    core_more: f64,
    p50_us_off: u64,
    p50_us_idle: u64,
    latency_more: f64,
    crossings: u64,
}

pub(crate) async fn run(arguments: &Arguments) -> io::Result<bool> {
    let program = build_scheduler()?;
    let folder = TempDirectory::new("price")?;
    let secret = folder.0.join("secret");
    std::fs::write(&secret, "a secret for two sites on loopback\n")?;
    let journal = Journal::default();
    let wires = [FaultyProxy::start(DELAY, 1).await?, FaultyProxy::start(DELAY, 2).await?];
    let files =
        [operator("a", "b", wires[0].address, &secret), operator("b", "a", wires[1].address, &secret)];
    let off = TestSite::start(&program, &folder.0, 0, None, &journal).await?;
    let idle = TestSite::start(&program, &folder.0, 1, Some(&files[0]), &journal).await?;
    let peer = TestSite::start(&program, &folder.0, 2, Some(&files[1]), &journal).await?;
    wires[0].set_target(peer.scheduler.address("listening for site links address=").await?);
    wires[1].set_target(idle.scheduler.address("listening for site links address=").await?);
    metric_is(&idle, "svc.gateway.out.up", 1).await?;
    // One round to warm up, which counts for nothing.
    round(&off, &idle, arguments, Duration::from_secs(2), "w").await?;
    let used = |site: &TestSite| {
        site.scheduler.cpu_time().ok_or_else(|| io::Error::other("no CPU time is told here"))
    };
    let before = [used(&off)?, used(&idle)?];
    let length = Duration::from_secs(arguments.seconds);
    let [mut at_off, mut at_idle] = round(&off, &idle, arguments, length, "m").await?;
    let cpu = [used(&off)? - before[0], used(&idle)? - before[1]].map(|cpu| cpu.as_secs_f64() * 1e6);
    let jobs = at_off.len();
    let median = |times: &mut Vec<Duration>| {
        times.sort();
        times.get(times.len() / 2).copied().unwrap_or_default().as_micros() as u64
    };
    let p50 = [median(&mut at_off), median(&mut at_idle)];
    let (cpu_more, latency_more) = (cpu[1] / cpu[0] - 1.0, p50[1] as f64 / p50[0] as f64 - 1.0);
    let core_more = (cpu[1] - cpu[0]) / 1e6 / length.as_secs_f64();
    let crossings = crossings(&idle).await?;
    let figures = Figures {
        measure: "gateway-price",
        seed: arguments.seed,
        ok: jobs > 0 && crossings == 0 && core_more < MOST && latency_more < MOST,
        jobs,
        cpu_us_a_job_off: cpu[0] / jobs.max(1) as f64,
        cpu_us_a_job_idle: cpu[1] / jobs.max(1) as f64,
        cpu_more,
        core_more,
        p50_us_off: p50[0],
        p50_us_idle: p50[1],
        latency_more,
        crossings,
    };
    println!("{:<16}{:>14}{:>12}", "gateway", "CPU us a job", "median us");
    println!("{:<16}{:>14.1}{:>12}", "off", figures.cpu_us_a_job_off, p50[0]);
    println!("{:<16}{:>14.1}{:>12}", "on and idle", figures.cpu_us_a_job_idle, p50[1]);
    println!("{}", serde_json::to_string(&figures).map_err(io::Error::other)?);
    Ok(figures.ok)
}

async fn crossings(site: &TestSite) -> io::Result<u64> {
    let text = chutesaddle_test_doubles::client::operator_command(site.operator_address, "METRICS").await?;
    let line = text.lines().find_map(|line| line.strip_prefix("svc.gateway.crossed="));
    Ok(line.and_then(|n| n.parse().ok()).unwrap_or_default())
}

/// The same jobs at the same moments for both; how long those took that both served.
async fn round(
    off: &TestSite,
    idle: &TestSite,
    arguments: &Arguments,
    length: Duration,
    name: &str,
) -> io::Result<[Vec<Duration>; 2]> {
    let mut draws = StdRng::seed_from_u64(arguments.seed);
    let start = Instant::now();
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        at += Duration::from_secs_f64(draws.random_range(0.0..2.0) / arguments.rate as f64);
        let id = format!("{name}-{}", tasks.len());
        let job = ClientRequest {
            id,
            class: "draw-map",
            tenant: "barfani-heights",
            work: WORK,
            hint: WORK,
            key: None,
            timeout: Duration::from_secs(7),
        };
        let clients = [Rc::clone(&off.client), Rc::clone(&idle.client)];
        tasks.push(spawn_local(async move {
            sleep_until(start + at).await;
            tokio::join!(clients[0].submit(&job), clients[1].submit(&job))
        }));
    }
    let mut times = [Vec::new(), Vec::new()];
    for task in tasks {
        if let (ClientResult::Served(off), ClientResult::Served(idle)) =
            task.await.map_err(io::Error::other)?
        {
            times[0].push(off);
            times[1].push(idle);
        }
    }
    Ok(times)
}
