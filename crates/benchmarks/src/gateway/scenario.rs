//! Starts two sites, runs their traffic and collects the results.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::site::capacity;
use chutesaddle_test_doubles::traffic::{self, Arrival, TrafficResult};
use chutesaddle_test_doubles::{FaultyProxy, Journal, TestSite};
use indicatif::{ProgressBar, ProgressStyle};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};

use crate::sites::{metrics, operator_file, wait_for_metric, SITE_LINK_LOG_PREFIX};

use super::network_faults::{inject_faults, FaultSchedule, NetworkFaults};
use super::{Arguments, DELAY};

/// Offered load of the two sites as a fraction of their capacity.
const OFFERED_LOADS: [f64; 2] = [1.5, 0.3];
/// Number of bursts before the measured traffic.
const WARM_UP_BURSTS: usize = 4;
const WARM_UP_BURST_REQUESTS: usize = 10;
const WARM_UP_BURST_INTERVAL: Duration = Duration::from_millis(1800);
/// Delay between the end of the bursts and the start of the traffic.
const TRAFFIC_START_DELAY: Duration = Duration::from_millis(300);
/// Interval at which sites are polled for their number of ejected workers.
const EJECTED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Whether the gateway is enabled at the sites.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    WithoutGateway,
    WithGateway,
}

/// Number of workers that a site had ejected at a point in time.
struct EjectedSample {
    at: Instant,
    workers: u64,
}

/// Ejected workers of both sites over time.
#[derive(Clone, Default)]
pub(super) struct EjectedWorkers(Rc<RefCell<[Vec<EjectedSample>; 2]>>);

impl EjectedWorkers {
    /// Returns whether a site had an ejected worker around this time.
    pub(super) fn any(&self, site: usize, at: Instant) -> bool {
        let is_near = |sampled_at: Instant| {
            sampled_at + 2 * EJECTED_POLL_INTERVAL > at && sampled_at < at + 2 * EJECTED_POLL_INTERVAL
        };
        self.0.borrow()[site].iter().any(|sample| is_near(sample.at) && sample.workers > 0)
    }
}

/// Results of a run.
pub(super) struct ScenarioResult {
    pub(super) ejected: EjectedWorkers,
    pub(super) sites: [TrafficResult; 2],
    pub(super) faults: NetworkFaults,
    pub(super) journal: Journal,
    /// Sums of the metrics of both schedulers.
    pub(super) metrics: HashMap<String, u64>,
    pub(super) logs: String,
}

/// Runs the traffic of both sites once. Files are written to `dir`.
///
/// # Errors
/// Returns an error if the sites cannot be started or queried.
pub(super) async fn run_scenario(
    program: &Path,
    dir: &Path,
    arguments: &Arguments,
    mode: Mode,
) -> io::Result<ScenarioResult> {
    std::fs::create_dir_all(dir)?;
    let (journal, seed) = (Journal::default(), arguments.seed);
    let proxies = [FaultyProxy::start(DELAY, seed).await?, FaultyProxy::start(DELAY, seed + 1000).await?];
    let sites = start_sites(program, dir, &proxies, mode, &journal).await?;
    warm_up(&sites, seed).await?;
    let length = Duration::from_secs(arguments.seconds);
    let start = Instant::now() + TRAFFIC_START_DELAY;
    let mut traffic = Vec::new();
    for (number, site) in sites.iter().enumerate() {
        let prefix = ["a", "b"][number];
        let work_per_s = OFFERED_LOADS[number] * capacity();
        let arrivals = traffic::draw(prefix, 2 * seed + number as u64, work_per_s, length);
        traffic.push(spawn_local(traffic::play(Rc::clone(&site.client), arrivals, start)));
    }
    let faults = NetworkFaults::default();
    if mode == Mode::WithGateway {
        for (number, proxy) in proxies.iter().enumerate() {
            let seed = 7 * seed + number as u64;
            let schedule = FaultSchedule { seed, faults: arguments.cuts, start, length };
            spawn_local(inject_faults(Rc::clone(proxy), schedule, faults.clone()));
        }
    }
    let ejected = EjectedWorkers::default();
    let addresses = [sites[0].operator_address, sites[1].operator_address];
    let ejected_poller = spawn_local(poll_ejected(addresses, ejected.clone()));
    let traffic_results = wait_with_progress(traffic, arguments.seconds, mode).await?;
    ejected_poller.abort();
    let site_results =
        traffic_results.try_into().map_err(|_| io::Error::other("expected traffic results of two sites"))?;
    let metrics = sum_metrics(&sites).await?;
    let logs = sites.iter().map(|site| format!("{}\n", site.scheduler.log().join("\n"))).collect();
    Ok(ScenarioResult { ejected, sites: site_results, faults, journal, metrics, logs })
}

async fn start_sites(
    program: &Path,
    dir: &Path,
    proxies: &[Rc<FaultyProxy>; 2],
    mode: Mode,
    journal: &Journal,
) -> io::Result<Vec<TestSite>> {
    let secret = dir.join("secret");
    std::fs::write(&secret, "a secret for two sites on loopback\n")?;
    let mut sites = Vec::new();
    for (number, [name, peer]) in [["a", "b"], ["b", "a"]].into_iter().enumerate() {
        let operator = operator_file(name, peer, proxies[number].address, &secret);
        let operator = (mode == Mode::WithGateway).then_some(operator);
        sites.push(TestSite::start(program, dir, number, operator.as_deref(), journal).await?);
    }
    if mode == Mode::WithGateway {
        proxies[0].set_target(sites[1].scheduler.address(SITE_LINK_LOG_PREFIX).await?);
        proxies[1].set_target(sites[0].scheduler.address(SITE_LINK_LOG_PREFIX).await?);
        for site in &sites {
            wait_for_metric(site, "svc.gateway.out.up", 1).await?;
        }
    }
    Ok(sites)
}

/// Runs bursts that each end with idle workers. Schedulers learn the capacity of a worker from its load reports while
/// it is idle. Capacity that a scheduler does not know of must not count as free.
async fn warm_up(sites: &[TestSite], seed: u64) -> io::Result<()> {
    let mut bursts = Vec::new();
    for (number, site) in sites.iter().enumerate() {
        let arrivals = warm_up_arrivals(["aq", "bq"][number], seed);
        bursts.push(spawn_local(traffic::play(Rc::clone(&site.client), arrivals, Instant::now())));
    }
    for burst in bursts {
        burst.await.map_err(io::Error::other)?;
    }
    Ok(())
}

fn warm_up_arrivals(prefix: &str, seed: u64) -> Vec<Arrival> {
    let mut arrivals = traffic::draw(prefix, seed + 50, capacity(), Duration::from_secs(30));
    arrivals.retain(|arrival| arrival.request.class == "draw-map");
    arrivals.truncate(WARM_UP_BURST_REQUESTS * WARM_UP_BURSTS);
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.at = WARM_UP_BURST_INTERVAL * (index / WARM_UP_BURST_REQUESTS) as u32;
    }
    arrivals
}

/// Polls both sites for their number of ejected workers.
async fn poll_ejected(operator_addresses: [SocketAddr; 2], ejected: EjectedWorkers) {
    loop {
        for (site, address) in operator_addresses.into_iter().enumerate() {
            // A failed query is repeated at the next interval.
            let metrics = metrics(address).await.unwrap_or_default();
            let found = metrics.iter().find(|metric| metric.name == "svc.pool_ejected");
            if let Some(metric) = found {
                let sample = EjectedSample { at: Instant::now(), workers: metric.value };
                ejected.0.borrow_mut()[site].push(sample);
            }
        }
        sleep(EJECTED_POLL_INTERVAL).await;
    }
}

/// Waits for the traffic to complete and shows a progress bar.
async fn wait_with_progress(
    traffic: Vec<JoinHandle<TrafficResult>>,
    seconds: u64,
    mode: Mode,
) -> io::Result<Vec<TrafficResult>> {
    let bar = progress_bar(mode, seconds);
    let ticker = spawn_local({
        let bar = bar.clone();
        async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                bar.inc(1);
            }
        }
    });
    let mut results = Vec::new();
    for site in traffic {
        results.push(site.await.map_err(io::Error::other)?);
    }
    ticker.abort();
    bar.finish_and_clear();
    Ok(results)
}

fn progress_bar(mode: Mode, seconds: u64) -> ProgressBar {
    let bar = ProgressBar::new(seconds);
    if let Ok(style) =
        ProgressStyle::with_template("{msg} [{bar:40}] {pos} of {len} s, then outstanding responses")
    {
        bar.set_style(style);
    }
    bar.set_message(match mode {
        Mode::WithoutGateway => "alone",
        Mode::WithGateway => "with the gateway",
    });
    bar
}

async fn sum_metrics(sites: &[TestSite]) -> io::Result<HashMap<String, u64>> {
    let mut sums = HashMap::new();
    for site in sites {
        for metric in metrics(site.operator_address).await? {
            *sums.entry(metric.name).or_default() += metric.value;
        }
    }
    Ok(sums)
}
