//! The trial `notes`: schedulers gossip about what they reserve at workers, while processes die and pause and gossip
//! messages are lost, late, duplicated, reordered or cut off.
//!
//! Promised: a fault of the gossip costs no request, and no request runs twice.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::site::capacity;
use chutesaddle_test_doubles::traffic::{draw, Arrival};
use chutesaddle_test_doubles::{ClientResult, Run};
use serde::Serialize;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use crate::fleet::{Fleet, DEDUPLICATION_WINDOW};
use crate::gossip_network::DatagramCounts;
use crate::plan::Plan;

/// A request that waited longer than this at a worker ...
const WAITED: Duration = Duration::from_millis(25);
/// ... while another had a slot free all through this time before it came was sent to the wrong one.
const FREE_BEFORE: Duration = Duration::from_millis(60);
/// Time between the start of the processes and the first request.
const HEAD_START: Duration = Duration::from_millis(300);

/// What to play.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// For the traffic and the network.
    pub seed: u64,
    /// Schedulers.
    pub nodes: usize,
    /// How long clients keep coming.
    pub seconds: u64,
    /// Fraction of the workers' capacity that is asked for.
    pub load: f64,
    /// Whether the schedulers gossip.
    pub gossip: bool,
}

/// What came of it. The keys are printed, and keep their names.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests.
    #[serde(rename = "jobs")]
    pub requests: usize,
    /// Answered with a result.
    pub served: usize,
    /// Answered 429 or 503.
    pub rejected: usize,
    /// Answered otherwise.
    pub failed: usize,
    /// Not answered, by a scheduler that was killed or paused meanwhile.
    #[serde(rename = "lost_with_theirs")]
    pub lost_with_scheduler: usize,
    /// Not answered by one that ran all the time. Promised: 0.
    pub lost: usize,
    /// Runs beyond the first of a request or key. Promised: 0.
    #[serde(rename = "doubled")]
    pub duplicate_runs: usize,
    /// Runs whose request waited at its worker while another had a slot free.
    pub misplaced: usize,
    /// Runs at the workers.
    pub runs: usize,
    /// Milliseconds from the request to the result: median and 99th percentile.
    pub latency_ms: [u64; 2],
    /// What became of the gossip.
    pub datagrams: DatagramCounts,
    /// Faults, by their words.
    pub faults: BTreeMap<&'static str, usize>,
    /// Failures in the schedulers' logs. Promised: none.
    #[serde(rename = "complaints")]
    pub logged_failures: Vec<String>,
}

impl Report {
    /// Which promises are broken.
    pub fn broken(&self) -> Vec<String> {
        let promises = [
            (self.lost, "jobs lost by a scheduler that was there"),
            (self.duplicate_runs, "runs too many"),
            (self.failed, "jobs failed"),
            (self.datagrams.too_long as usize, "datagrams over 256 bytes"),
            (self.logged_failures.len(), "complaints in the logs"),
        ];
        promises
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, what)| format!("{count} {what}"))
            .collect()
    }
}

/// A client's request, and what became of it.
struct Submitted {
    node: usize,
    from: Instant,
    to: Instant,
    result: ClientResult,
}

/// Plays the scenario's traffic while `plan` happens, with files in `dir`.
///
/// # Errors
/// If the schedulers, the workers or the network cannot be started, or a fault cannot be applied.
pub async fn play(program: &Path, dir: &Path, scenario: &Scenario, plan: &Plan) -> io::Result<Report> {
    let gossip = scenario.gossip;
    let adjust = |config: &mut serde_json::Value| {
        config["settings"]["allowed"]["peer_messages"] = json!(gossip);
    };
    let fleet = Fleet::start(program, dir, scenario.nodes, scenario.seed, adjust).await?;
    let length = Duration::from_secs(scenario.seconds);
    let arrivals = draw("job", scenario.seed, scenario.load * capacity(), length);
    let start = Instant::now() + HEAD_START;
    let mut tasks = Vec::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        tasks.push(spawn_local(submit(Rc::clone(&fleet), number, arrival, start)));
    }
    fleet.apply_plan(plan, start).await?;
    let mut submitted = Vec::new();
    let mut without_scheduler = 0;
    for task in tasks {
        match task.await {
            Ok(Some(request)) => submitted.push(request),
            Ok(None) | Err(_) => without_scheduler += 1,
        }
    }
    Ok(report(&fleet, &submitted, without_scheduler, plan))
}

/// Submits a request to one of the schedulers that serve, as a front load balancer would choose; `None` if none does.
async fn submit(fleet: Rc<Fleet>, number: usize, arrival: Arrival, start: Instant) -> Option<Submitted> {
    sleep_until(start + arrival.at).await;
    let nodes = fleet.nodes.len();
    let serving = |step: usize| {
        let node = (number + step) % nodes;
        Some((node, fleet.nodes[node].client()?))
    };
    let (node, client) = (0..nodes).find_map(serving)?;
    let from = Instant::now();
    let result = client.submit(&arrival.request).await;
    Some(Submitted { node, from, to: Instant::now(), result })
}

fn report(fleet: &Fleet, submitted: &[Submitted], without_scheduler: usize, plan: &Plan) -> Report {
    let count = |wanted: fn(&ClientResult) -> bool| submitted.iter().filter(|s| wanted(&s.result)).count();
    let unanswered = submitted.iter().filter(|request| request.result == ClientResult::NoAnswer);
    let (lost_with_scheduler, lost): (Vec<_>, Vec<_>) =
        unanswered.partition(|request| fleet.nodes[request.node].had_outage(request.from, request.to));
    let runs = fleet.journal.runs();
    let mut faults = BTreeMap::new();
    for fault in &plan.0 {
        *faults.entry(fault.kind.name()).or_default() += 1;
    }
    Report {
        requests: submitted.len() + without_scheduler,
        served: count(|result| matches!(result, ClientResult::Served(_))),
        rejected: count(|result| *result == ClientResult::Rejected),
        failed: count(|result| *result == ClientResult::Failed),
        lost_with_scheduler: lost_with_scheduler.len() + without_scheduler,
        lost: lost.len(),
        duplicate_runs: fleet.journal.duplicates(DEDUPLICATION_WINDOW),
        misplaced: runs.iter().filter(|run| is_misplaced(fleet, run)).count(),
        runs: runs.len(),
        latency_ms: latency_percentiles(submitted),
        datagrams: fleet.network.counts(),
        faults,
        logged_failures: fleet.logged_failures(),
    }
}

/// Whether a request waited at its worker while another had a slot free.
fn is_misplaced(fleet: &Fleet, run: &Run) -> bool {
    let waited = run.started_at.duration_since(run.received_at) > WAITED;
    let mut others = (0..fleet.workers.len()).filter(|worker| *worker != run.site);
    waited && others.any(|other| fleet.journal.had_free_slot(other, run.received_at, FREE_BEFORE))
}

/// Median and 99th percentile of the latencies of those served, in milliseconds.
fn latency_percentiles(submitted: &[Submitted]) -> [u64; 2] {
    let mut latencies: Vec<u64> = Vec::new();
    for request in submitted {
        if let ClientResult::Served(latency) = request.result {
            latencies.push(latency.as_millis() as u64);
        }
    }
    latencies.sort_unstable();
    [0.5, 0.99].map(|quantile| {
        let index = (latencies.len() as f64 * quantile) as usize;
        latencies.get(index).copied().unwrap_or(0)
    })
}
