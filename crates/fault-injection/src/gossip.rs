//! The trial `notes`: schedulers gossip about their reservations at workers while processes are killed and paused and
//! gossip messages are lost, delayed, duplicated, reordered or blocked by partitions.
//!
//! Invariants: gossip faults lose no request, and no request runs twice.

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
use crate::plan::FaultPlan;

/// A request is misplaced if it waited at its worker for longer than this while another worker had a free slot.
const MISPLACED_WAIT: Duration = Duration::from_millis(25);
/// A slot counts as free for a request if it was free for this long before the request arrived.
const MIN_FREE_TIME: Duration = Duration::from_millis(60);
/// Delay between the start of the processes and the start of the traffic.
const STARTUP_DELAY: Duration = Duration::from_millis(300);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Seed of the traffic and the network.
    pub seed: u64,
    /// Number of schedulers.
    pub nodes: usize,
    /// Duration of the traffic in seconds.
    pub seconds: u64,
    /// Offered load as a fraction of the workers' capacity.
    pub load: f64,
    /// Whether the schedulers gossip.
    pub gossip: bool,
}

/// Results of a run. Scripts read the JSON keys, so they must not change.
#[derive(Clone, Debug, Serialize)]
pub struct GossipReport {
    /// Number of requests.
    #[serde(rename = "jobs")]
    pub requests: usize,
    /// Requests that received a result.
    pub served: usize,
    /// Requests rejected with 429 or 503.
    pub rejected: usize,
    /// Requests that received any other response.
    pub failed: usize,
    /// Requests without a response whose scheduler was killed or paused in the meantime.
    #[serde(rename = "lost_with_theirs")]
    pub lost_with_scheduler: usize,
    /// Requests without a response whose scheduler ran throughout. Must be 0.
    pub lost: usize,
    /// Runs beyond the first for a request or idempotency key. Must be 0.
    #[serde(rename = "doubled")]
    pub duplicate_runs: usize,
    /// Runs whose request waited at its worker while another worker had a free slot.
    pub misplaced: usize,
    /// Number of runs at the workers.
    pub runs: usize,
    /// Median and 99th percentile of the latency in milliseconds.
    pub latency_ms: [u64; 2],
    /// Gossip datagrams by outcome.
    pub datagrams: DatagramCounts,
    /// Number of faults by name.
    pub faults: BTreeMap<&'static str, usize>,
    /// Failures in the schedulers' logs. Must be empty.
    #[serde(rename = "complaints")]
    pub logged_failures: Vec<String>,
}

impl GossipReport {
    /// Returns a description of each violated invariant.
    pub fn violations(&self) -> Vec<String> {
        let violations = [
            (self.lost, "jobs lost by a scheduler that was there"),
            (self.duplicate_runs, "runs too many"),
            (self.failed, "jobs failed"),
            (self.datagrams.too_long as usize, "datagrams over 256 bytes"),
            (self.logged_failures.len(), "complaints in the logs"),
        ];
        violations
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, description)| format!("{count} {description}"))
            .collect()
    }
}

/// A request and its result.
struct SubmittedRequest {
    node: usize,
    sent_at: Instant,
    finished_at: Instant,
    result: ClientResult,
}

/// Runs the scenario's traffic while injecting the faults of `plan`. Files are written to `dir`.
///
/// # Errors
/// Returns an error if the schedulers, the workers or the network cannot be started, or a fault cannot be applied.
pub async fn run(
    program: &Path,
    dir: &Path,
    scenario: &Scenario,
    plan: &FaultPlan,
) -> io::Result<GossipReport> {
    let gossip = scenario.gossip;
    let configure_gossip = |config: &mut serde_json::Value| {
        config["settings"]["allowed"]["peer_messages"] = json!(gossip);
    };
    let fleet = Fleet::start(program, dir, scenario.nodes, scenario.seed, configure_gossip).await?;
    let length = Duration::from_secs(scenario.seconds);
    let arrivals = draw("job", scenario.seed, scenario.load * capacity(), length);
    let start = Instant::now() + STARTUP_DELAY;
    let mut tasks = Vec::new();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        tasks.push(spawn_local(submit(Rc::clone(&fleet), number, arrival, start)));
    }
    fleet.apply_plan(plan, start).await?;
    let mut submitted = Vec::new();
    let mut unsubmitted = 0;
    for task in tasks {
        match task.await {
            Ok(Some(request)) => submitted.push(request),
            Ok(None) | Err(_) => unsubmitted += 1,
        }
    }
    Ok(build_report(&fleet, &submitted, unsubmitted, plan))
}

/// Submits a request to an available scheduler, as a load balancer in front of the schedulers would. Returns `None` if
/// no scheduler is available.
async fn submit(
    fleet: Rc<Fleet>,
    number: usize,
    arrival: Arrival,
    start: Instant,
) -> Option<SubmittedRequest> {
    sleep_until(start + arrival.at).await;
    let nodes = fleet.nodes.len();
    let available = |step: usize| {
        let node = (number + step) % nodes;
        Some((node, fleet.nodes[node].client()?))
    };
    let (node, client) = (0..nodes).find_map(available)?;
    let sent_at = Instant::now();
    let result = client.submit(&arrival.request).await;
    Some(SubmittedRequest { node, sent_at, finished_at: Instant::now(), result })
}

fn build_report(
    fleet: &Fleet,
    submitted: &[SubmittedRequest],
    unsubmitted: usize,
    plan: &FaultPlan,
) -> GossipReport {
    let count = |matches: fn(&ClientResult) -> bool| submitted.iter().filter(|s| matches(&s.result)).count();
    let unanswered = submitted.iter().filter(|request| request.result == ClientResult::NoAnswer);
    let (lost_with_scheduler, lost): (Vec<_>, Vec<_>) = unanswered
        .partition(|request| fleet.nodes[request.node].had_outage(request.sent_at, request.finished_at));
    let runs = fleet.journal.runs();
    let mut faults = BTreeMap::new();
    for fault in &plan.0 {
        *faults.entry(fault.kind.name()).or_default() += 1;
    }
    GossipReport {
        requests: submitted.len() + unsubmitted,
        served: count(|result| matches!(result, ClientResult::Served(_))),
        rejected: count(|result| *result == ClientResult::Rejected),
        failed: count(|result| *result == ClientResult::Failed),
        lost_with_scheduler: lost_with_scheduler.len() + unsubmitted,
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

/// Returns whether a request waited at its worker while another worker had a free slot.
fn is_misplaced(fleet: &Fleet, run: &Run) -> bool {
    let has_waited = run.started_at.duration_since(run.received_at) > MISPLACED_WAIT;
    let mut others = (0..fleet.workers.len()).filter(|worker| *worker != run.site);
    has_waited && others.any(|other| fleet.journal.had_free_slot(other, run.received_at, MIN_FREE_TIME))
}

/// Returns the median and 99th percentile of the latency of served requests, in milliseconds.
fn latency_percentiles(submitted: &[SubmittedRequest]) -> [u64; 2] {
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
