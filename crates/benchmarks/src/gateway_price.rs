//! `measure gateway-price`: the CPU that a scheduler needs and the latency of its answers, with the gateway off and with
//! it on and idle, side by side on the same traffic.

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

use crate::sites::{metrics, operator_file, wait_for_metric, SITE_LINK_ADDRESS};

/// Work of each request: so short that a site of a few workers is never full.
const WORK: Duration = Duration::from_millis(4);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(7);
const DELAY: RangeInclusive<Duration> = Duration::from_micros(5600)..=Duration::from_millis(10);
const WARM_UP: Duration = Duration::from_secs(2);
/// What is promised: at most this much more of its core, and this much more latency at the median.
const MOST_MORE: f64 = 0.02;

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// For the traffic
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long both are given the same traffic
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    /// Requests a second for each of the two
    #[arg(long, default_value_t = 250, value_parser = clap::value_parser!(u64).range(1..=1000))]
    rate: u64,
}

/// The last line. Its keys are printed, and keep their names.
#[derive(Serialize)]
struct Figures {
    measure: &'static str,
    seed: u64,
    ok: bool,
    #[serde(rename = "jobs")]
    requests: usize,
    #[serde(rename = "cpu_us_a_job_off")]
    cpu_us_a_request_off: f64,
    #[serde(rename = "cpu_us_a_job_idle")]
    cpu_us_a_request_idle: f64,
    /// As a fraction of the CPU without the gateway.
    cpu_more: f64,
    /// As a fraction of the one core.
    core_more: f64,
    p50_us_off: u64,
    p50_us_idle: u64,
    latency_more: f64,
    #[serde(rename = "crossings")]
    forwarded: u64,
}

/// The two sites that are compared, and the peer of the second.
struct Sites {
    off: TestSite,
    idle: TestSite,
    /// Kept so that it runs.
    _peer: TestSite,
}

/// What one of the two sites did with the traffic.
struct Measured {
    latencies: Vec<Duration>,
    cpu: Duration,
}

impl Measured {
    fn median_us(&self) -> u64 {
        let mut latencies = self.latencies.clone();
        latencies.sort();
        latencies.get(latencies.len() / 2).copied().unwrap_or_default().as_micros() as u64
    }

    fn cpu_us(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6
    }
}

/// Plays and prints; whether the promises were kept.
///
/// # Errors
/// If the sites cannot be started or asked, or the system tells no CPU time.
pub(crate) async fn run(arguments: &Arguments) -> io::Result<bool> {
    let program = build_scheduler()?;
    let directory = TempDirectory::new("price")?;
    let sites = start_sites(&program, &directory.0).await?;
    play(&sites, arguments, WARM_UP, "w").await?;
    let length = Duration::from_secs(arguments.seconds);
    let [off, idle] = measure(&sites, arguments, length).await?;
    let figures = figures(arguments, &off, &idle, forwarded(&sites.idle).await?);
    println!("{:<16}{:>14}{:>12}", "gateway", "CPU us a job", "median us");
    println!("{:<16}{:>14.1}{:>12}", "off", figures.cpu_us_a_request_off, figures.p50_us_off);
    println!("{:<16}{:>14.1}{:>12}", "on and idle", figures.cpu_us_a_request_idle, figures.p50_us_idle);
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
    proxies[0].set_target(peer.scheduler.address(SITE_LINK_ADDRESS).await?);
    proxies[1].set_target(idle.scheduler.address(SITE_LINK_ADDRESS).await?);
    wait_for_metric(&idle, "svc.gateway.out.up", 1).await?;
    Ok(Sites { off, idle, _peer: peer })
}

async fn measure(sites: &Sites, arguments: &Arguments, length: Duration) -> io::Result<[Measured; 2]> {
    let before = [cpu_time(&sites.off)?, cpu_time(&sites.idle)?];
    let [off, idle] = play(sites, arguments, length, "m").await?;
    let after = [cpu_time(&sites.off)?, cpu_time(&sites.idle)?];
    let off = Measured { latencies: off, cpu: after[0] - before[0] };
    let idle = Measured { latencies: idle, cpu: after[1] - before[1] };
    Ok([off, idle])
}

fn cpu_time(site: &TestSite) -> io::Result<Duration> {
    site.scheduler.cpu_time().ok_or_else(|| io::Error::other("no CPU time is told here"))
}

fn figures(arguments: &Arguments, off: &Measured, idle: &Measured, forwarded: u64) -> Figures {
    let requests = off.latencies.len();
    let (p50_us_off, p50_us_idle) = (off.median_us(), idle.median_us());
    let cpu_more = idle.cpu_us() / off.cpu_us() - 1.0;
    let core_more = (idle.cpu_us() - off.cpu_us()) / 1e6 / arguments.seconds as f64;
    let latency_more = p50_us_idle as f64 / p50_us_off as f64 - 1.0;
    Figures {
        measure: "gateway-price",
        seed: arguments.seed,
        ok: requests > 0 && forwarded == 0 && core_more < MOST_MORE && latency_more < MOST_MORE,
        requests,
        cpu_us_a_request_off: off.cpu_us() / requests.max(1) as f64,
        cpu_us_a_request_idle: idle.cpu_us() / requests.max(1) as f64,
        cpu_more,
        core_more,
        p50_us_off,
        p50_us_idle,
        latency_more,
        forwarded,
    }
}

async fn forwarded(site: &TestSite) -> io::Result<u64> {
    let metrics = metrics(site.operator_address).await?;
    let found = metrics.iter().find(|metric| metric.name == "svc.gateway.crossed");
    Ok(found.map_or(0, |metric| metric.value))
}

/// Plays the same requests at the same times at both sites; the latencies of those that both served.
async fn play(
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
