//! `measure gateway-price`: CPU time and latency of a scheduler with the gateway disabled, and of one with the gateway
//! enabled but idle. Both receive the same traffic at the same time.

use std::io;
use std::ops::RangeInclusive;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::program::{build_scheduler, TempDirectory};
use chutesaddle_test_doubles::{ClientRequest, ClientResult, FaultyProxy, Journal, TestSite};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use crate::sites::{metrics, operator_file, wait_for_metric, SITE_LINK_LOG_PREFIX};

/// Work of each request, short enough that a site with few workers never reaches its capacity.
const WORK: Duration = Duration::from_millis(4);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(7);
const DELAY: RangeInclusive<Duration> = Duration::from_micros(5600)..=Duration::from_millis(10);
const WARM_UP: Duration = Duration::from_secs(2);
/// Maximum increase in CPU time, as a fraction of one core, and in median latency, as a fraction of the latency without
/// the gateway.
const MAX_INCREASE: f64 = 0.02;

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// Seed of the traffic
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the traffic in seconds
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    /// Requests per second at each of the two sites
    #[arg(long, default_value_t = 250, value_parser = clap::value_parser!(u64).range(1..=1000))]
    rate: u64,
}

/// The last line of the output. Scripts read its JSON keys, so they must not change.
#[derive(Serialize)]
struct OverheadFigures {
    measure: &'static str,
    seed: u64,
    ok: bool,
    #[serde(rename = "jobs")]
    requests: usize,
    #[serde(rename = "cpu_us_a_job_off")]
    cpu_us_per_request_off: f64,
    #[serde(rename = "cpu_us_a_job_idle")]
    cpu_us_per_request_idle: f64,
    /// Increase in CPU time as a fraction of the CPU time without the gateway.
    #[serde(rename = "cpu_more")]
    cpu_increase: f64,
    /// Increase in CPU time as a fraction of one core.
    #[serde(rename = "core_more")]
    core_increase: f64,
    p50_us_off: u64,
    p50_us_idle: u64,
    /// Increase in median latency as a fraction of the latency without the gateway.
    #[serde(rename = "latency_more")]
    latency_increase: f64,
    #[serde(rename = "crossings")]
    forwarded: u64,
}

/// The two sites that are compared, and the peer of the one with the gateway.
struct Sites {
    off: TestSite,
    idle: TestSite,
    /// Owned so that the peer keeps running.
    _peer: TestSite,
}

/// Latencies and CPU time of one site.
struct SiteMeasurement {
    latencies: Vec<Duration>,
    cpu: Duration,
}

impl SiteMeasurement {
    fn median_us(&self) -> u64 {
        let mut latencies = self.latencies.clone();
        latencies.sort();
        latencies.get(latencies.len() / 2).copied().unwrap_or_default().as_micros() as u64
    }

    fn cpu_us(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6
    }
}

/// Runs the benchmark and prints the results. Returns whether all requirements were met.
///
/// # Errors
/// Returns an error if the sites cannot be started or queried, or the CPU time of a process is not available.
pub(crate) async fn run(arguments: &Arguments) -> io::Result<bool> {
    let program = build_scheduler()?;
    let directory = TempDirectory::new("price")?;
    let sites = start_sites(&program, &directory.0).await?;
    run_traffic(&sites, arguments, WARM_UP, "w").await?;
    let length = Duration::from_secs(arguments.seconds);
    let [off, idle] = measure(&sites, arguments, length).await?;
    let figures = compare(arguments, &off, &idle, forwarded(&sites.idle).await?);
    println!("{:<16}{:>14}{:>12}", "gateway", "CPU us/request", "median us");
    println!("{:<16}{:>14.1}{:>12}", "off", figures.cpu_us_per_request_off, figures.p50_us_off);
    println!("{:<16}{:>14.1}{:>12}", "on and idle", figures.cpu_us_per_request_idle, figures.p50_us_idle);
    println!("{}", serde_json::to_string(&figures).map_err(io::Error::other)?);
    Ok(figures.ok)
}

async fn start_sites(program: &Path, dir: &Path) -> io::Result<Sites> {
    let secret = dir.join("secret");
    std::fs::write(&secret, "a secret for two sites on loopback\n")?;
    let journal = Journal::default();
    let proxies = [FaultyProxy::start(DELAY, 1).await?, FaultyProxy::start(DELAY, 2).await?];
    let idle_file = operator_file("a", "b", proxies[0].address, &secret);
    let peer_file = operator_file("b", "a", proxies[1].address, &secret);
    let off = TestSite::start(program, dir, 0, None, &journal).await?;
    let idle = TestSite::start(program, dir, 1, Some(&idle_file), &journal).await?;
    let peer = TestSite::start(program, dir, 2, Some(&peer_file), &journal).await?;
    proxies[0].set_target(peer.scheduler.address(SITE_LINK_LOG_PREFIX).await?);
    proxies[1].set_target(idle.scheduler.address(SITE_LINK_LOG_PREFIX).await?);
    wait_for_metric(&idle, "svc.gateway.out.up", 1).await?;
    Ok(Sites { off, idle, _peer: peer })
}

async fn measure(sites: &Sites, arguments: &Arguments, length: Duration) -> io::Result<[SiteMeasurement; 2]> {
    let before = [cpu_time(&sites.off)?, cpu_time(&sites.idle)?];
    let [off, idle] = run_traffic(sites, arguments, length, "m").await?;
    let after = [cpu_time(&sites.off)?, cpu_time(&sites.idle)?];
    let off = SiteMeasurement { latencies: off, cpu: after[0] - before[0] };
    let idle = SiteMeasurement { latencies: idle, cpu: after[1] - before[1] };
    Ok([off, idle])
}

fn cpu_time(site: &TestSite) -> io::Result<Duration> {
    site.scheduler
        .cpu_time()
        .ok_or_else(|| io::Error::other("the CPU time of the scheduler process is not available"))
}

fn compare(
    arguments: &Arguments,
    off: &SiteMeasurement,
    idle: &SiteMeasurement,
    forwarded: u64,
) -> OverheadFigures {
    let requests = off.latencies.len();
    let (p50_us_off, p50_us_idle) = (off.median_us(), idle.median_us());
    let cpu_increase = idle.cpu_us() / off.cpu_us() - 1.0;
    let core_increase = (idle.cpu_us() - off.cpu_us()) / 1e6 / arguments.seconds as f64;
    let latency_increase = p50_us_idle as f64 / p50_us_off as f64 - 1.0;
    OverheadFigures {
        measure: "gateway-price",
        seed: arguments.seed,
        ok: requests > 0 && forwarded == 0 && core_increase < MAX_INCREASE && latency_increase < MAX_INCREASE,
        requests,
        cpu_us_per_request_off: off.cpu_us() / requests.max(1) as f64,
        cpu_us_per_request_idle: idle.cpu_us() / requests.max(1) as f64,
        cpu_increase,
        core_increase,
        p50_us_off,
        p50_us_idle,
        latency_increase,
        forwarded,
    }
}

async fn forwarded(site: &TestSite) -> io::Result<u64> {
    let metrics = metrics(site.operator_address).await?;
    let found = metrics.iter().find(|metric| metric.name == "svc.gateway.crossed");
    Ok(found.map_or(0, |metric| metric.value))
}

/// Sends the same requests to both sites at the same times. Returns the latencies of the requests that both served.
async fn run_traffic(
    sites: &Sites,
    arguments: &Arguments,
    length: Duration,
    prefix: &str,
) -> io::Result<[Vec<Duration>; 2]> {
    let mut random = StdRng::seed_from_u64(arguments.seed);
    let start = Instant::now();
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        at += Duration::from_secs_f64(random.random_range(0.0..2.0) / arguments.rate as f64);
        let request = request(format!("{prefix}-{}", tasks.len()));
        let (off, idle) = (Rc::clone(&sites.off.client), Rc::clone(&sites.idle.client));
        tasks.push(spawn_local(async move {
            sleep_until(start + at).await;
            tokio::join!(off.submit(&request), idle.submit(&request))
        }));
    }
    let mut latencies = [Vec::new(), Vec::new()];
    for task in tasks {
        let results = task.await.map_err(io::Error::other)?;
        if let (ClientResult::Served(off), ClientResult::Served(idle)) = results {
            latencies[0].push(off);
            latencies[1].push(idle);
        }
    }
    Ok(latencies)
}

fn request(id: String) -> ClientRequest {
    ClientRequest {
        id,
        class: "draw-map",
        tenant: "barfani-heights",
        work: WORK,
        hint: WORK,
        key: None,
        timeout: REQUEST_TIMEOUT,
    }
}

#[cfg(test)]
mod tests;
