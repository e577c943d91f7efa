//! Starts two sites, plays their traffic, and collects what became of it.

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

use crate::sites::{metrics, operator_file, wait_for_metric, SITE_LINK_ADDRESS};

use super::network_faults::{inject, NetworkFaults, Schedule};
use super::{Arguments, DELAY};

/// Load of the two sites, in capacities.
const LOADS: [f64; 2] = [1.5, 0.3];
/// Bursts before the traffic, which count for nothing.
const WARM_UP_BURSTS: usize = 4;
const WARM_UP_BURST_REQUESTS: usize = 10;
const WARM_UP_GAP: Duration = Duration::from_millis(1800);
/// Time between the end of the bursts and the traffic.
const HEAD_START: Duration = Duration::from_millis(300);
/// How often sites are asked how many workers they have ejected.
const EJECTED_POLL: Duration = Duration::from_millis(50);

/// Whether the sites have a gateway.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    Alone,
    WithGateway,
}

/// How many workers a site had ejected when it was asked.
struct EjectedSample {
    at: Instant,
    workers: u64,
}

/// The ejected workers of both sites over time.
#[derive(Clone, Default)]
pub(super) struct EjectedWorkers(Rc<RefCell<[Vec<EjectedSample>; 2]>>);

impl EjectedWorkers {
    /// Whether a site had ejected a worker around this time.
    pub(super) fn any(&self, site: usize, at: Instant) -> bool {
        let is_near = |asked: Instant| asked + 2 * EJECTED_POLL > at && asked < at + 2 * EJECTED_POLL;
        self.0.borrow()[site].iter().any(|sample| is_near(sample.at) && sample.workers > 0)
    }
}

/// What happened.
pub(super) struct Played {
    pub(super) ejected: EjectedWorkers,
    pub(super) sites: [TrafficResult; 2],
    pub(super) faults: NetworkFaults,
    pub(super) journal: Journal,
    /// The counters of both schedulers, added up.
    pub(super) metrics: HashMap<String, u64>,
    pub(super) logs: String,
}

/// Plays the traffic of both sites once, with files in `dir`.
///
/// # Errors
/// If the sites cannot be started or asked.
pub(super) async fn play(
    program: &Path,
    dir: &Path,
    arguments: &Arguments,
    mode: Mode,
) -> io::Result<Played> {
    std::fs::create_dir_all(dir)?;
    let (journal, seed) = (Journal::default(), arguments.seed);
    let proxies = [FaultyProxy::start(DELAY, seed).await?, FaultyProxy::start(DELAY, seed + 1000).await?];
    let sites = start_sites(program, dir, &proxies, mode, &journal).await?;
    warm_up(&sites, seed).await?;
    let length = Duration::from_secs(arguments.seconds);
    let start = Instant::now() + HEAD_START;
    let mut traffic = Vec::new();
    for (number, site) in sites.iter().enumerate() {
        let prefix = ["a", "b"][number];
        let work_per_s = LOADS[number] * capacity();
        let arrivals = traffic::draw(prefix, 2 * seed + number as u64, work_per_s, length);
        traffic.push(spawn_local(traffic::play(Rc::clone(&site.client), arrivals, start)));
    }
    let faults = NetworkFaults::default();
    if mode == Mode::WithGateway {
        for (number, proxy) in proxies.iter().enumerate() {
            let seed = 7 * seed + number as u64;
            let schedule = Schedule { seed, faults: arguments.cuts, start, length };
            spawn_local(inject(Rc::clone(proxy), schedule, faults.clone()));
        }
    }
    let ejected = EjectedWorkers::default();
    let addresses = [sites[0].operator_address, sites[1].operator_address];
    let watch = spawn_local(watch_ejected(addresses, ejected.clone()));
    let results = wait_with_progress(traffic, arguments.seconds, mode).await?;
    watch.abort();
    let sites_results = results.try_into().map_err(|_| io::Error::other("two sites"))?;
    let metrics = added_metrics(&sites).await?;
    let logs = sites.iter().map(|site| format!("{}\n", site.scheduler.log().join("\n"))).collect();
    Ok(Played { ejected, sites: sites_results, faults, journal, metrics, logs })
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
        proxies[0].set_target(sites[1].scheduler.address(SITE_LINK_ADDRESS).await?);
        proxies[1].set_target(sites[0].scheduler.address(SITE_LINK_ADDRESS).await?);
        for site in &sites {
            wait_for_metric(site, "svc.gateway.out.up", 1).await?;
        }
    }
    Ok(sites)
}

/// Plays some bursts, each of which ends with idle workers: schedulers learn the size of a worker from the load that it
/// reports then, and what they do not know of cannot be called free capacity.
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
        arrival.at = WARM_UP_GAP * (index / WARM_UP_BURST_REQUESTS) as u32;
    }
    arrivals
}

/// Asks both sites again and again how many workers they have ejected.
async fn watch_ejected(operator_addresses: [SocketAddr; 2], ejected: EjectedWorkers) {
    loop {
        for (site, address) in operator_addresses.into_iter().enumerate() {
            // A site that does not answer is asked again.
            let metrics = metrics(address).await.unwrap_or_default();
            let found = metrics.iter().find(|metric| metric.name == "svc.pool_ejected");
            if let Some(metric) = found {
                let sample = EjectedSample { at: Instant::now(), workers: metric.value };
                ejected.0.borrow_mut()[site].push(sample);
            }
        }
        sleep(EJECTED_POLL).await;
    }
}

/// Waits for the traffic and shows how far it is.
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
        ProgressStyle::with_template("{msg} [{bar:40}] {pos} of {len} s, then the last answers")
    {
        bar.set_style(style);
    }
    bar.set_message(match mode {
        Mode::Alone => "alone",
        Mode::WithGateway => "with the gateway",
    });
    bar
}

async fn added_metrics(sites: &[TestSite]) -> io::Result<HashMap<String, u64>> {
    let mut added = HashMap::new();
    for site in sites {
        for metric in metrics(site.operator_address).await? {
            *added.entry(metric.name).or_default() += metric.value;
        }
    }
    Ok(added)
}
