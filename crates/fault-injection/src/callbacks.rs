//! The trial `callbacks`: one scheduler, whose workers hand requests back, lose some halfway, and repeat callbacks because
//! the answers to them are lost.
//!
//! Invariants: every request gets its answer in time, no request runs beside another run of it, and a non-idempotent
//! request runs at most once and is not rejected once it has run.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::discovery::Endpoint;
use chutesaddle_test_doubles::traffic::{draw, Arrival};
use chutesaddle_test_doubles::{
    config, CallbackFaultRates, Client, ClientRequest, ClientResult, Discovery, Journal, SchedulerProcess,
    TestWorker, WorkerSpec,
};
use serde::Serialize;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// The class whose requests may run only once.
const NON_IDEMPOTENT_CLASS: &str = "publish-map";
/// Delay between the start of the scheduler and the start of the traffic.
const STARTUP_DELAY: Duration = Duration::from_millis(300);
/// How long clients wait for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// A later answer than this after the timeout counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Slots and queue places of each worker.
const WORKER_SLOTS: usize = 3;
/// Seconds of work that a slot does per second.
const WORKER_SPEED: f64 = 2.0;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Seed of the traffic and the faults.
    pub seed: u64,
    /// Number of workers. With one, each retry goes to the worker of the attempt before.
    pub workers: usize,
    /// Duration of the traffic in seconds.
    pub seconds: u64,
    /// Offered load as a fraction of the workers' capacity.
    pub load: f64,
    /// Faults of the workers' callbacks.
    pub faults: CallbackFaultRates,
}

/// Results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallbackReport {
    /// Number of requests.
    pub requests: usize,
    /// Requests that received a result.
    pub served: usize,
    /// Requests rejected with 429 or 503.
    pub rejected: usize,
    /// Requests that received any other response.
    pub failed: usize,
    /// Number of runs at the workers.
    pub runs: usize,
    /// Callbacks with an end that the scheduler could not attribute to one attempt.
    pub ambiguous: u64,
    /// Requests without an answer in time. Must be 0.
    pub lost: usize,
    /// Runs that started while another run of the same request was under way. Must be 0.
    pub overlapping_runs: usize,
    /// Non-idempotent requests that ran more than once. Must be 0.
    pub repeated: usize,
    /// Non-idempotent requests that were rejected although they ran. Must be 0.
    pub rejected_after_run: usize,
}

impl CallbackReport {
    /// Returns a description of each violated invariant.
    pub fn violations(&self) -> Vec<String> {
        let violations = [
            (self.lost, "requests without an answer in time"),
            (self.overlapping_runs, "runs beside another run of the same request"),
            (self.repeated, "non-idempotent requests that ran more than once"),
            (self.rejected_after_run, "non-idempotent requests that were rejected after they ran"),
        ];
        violations
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, description)| format!("{count} {description}"))
            .collect()
    }

    fn add_result(&mut self, request: &ClientRequest, result: ClientResult, runs: usize) {
        self.requests += 1;
        match result {
            ClientResult::Served(_) => self.served += 1,
            ClientResult::Rejected => self.rejected += 1,
            ClientResult::Failed => self.failed += 1,
            ClientResult::NoAnswer => self.lost += 1,
        }
        if request.class == NON_IDEMPOTENT_CLASS {
            self.repeated += usize::from(runs > 1);
            self.rejected_after_run += usize::from(runs > 0 && result == ClientResult::Rejected);
        }
    }
}

/// Runs the scenario with the scheduler at `program`. Files are written to `dir`.
///
/// # Errors
/// Returns an error if the scheduler or a worker cannot be started, or the scheduler's counters cannot be read.
pub async fn run(program: &Path, dir: &Path, scenario: &Scenario) -> io::Result<CallbackReport> {
    let journal = Journal::default();
    let discovery = Discovery::start().await?;
    let workers = start_workers(scenario, &discovery, &journal).await?;
    let config_file = dir.join("callbacks.json");
    std::fs::write(&config_file, scheduler_config(&discovery, scenario.seed)?.to_string())?;
    let process = SchedulerProcess::start(program, &config_file, None, dir)?;
    let address = process.address("serving clients address=").await?;
    for worker in &workers {
        worker.send_callbacks_to(address);
    }
    let client = Rc::new(Client::new(address));
    let results = submit_all(&client, arrivals(scenario)).await;
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in journal.runs() {
        *runs.entry(run.request_id).or_default() += 1;
    }
    let mut report = CallbackReport {
        runs: runs.values().sum(),
        // Repeats of a key count only while the earlier run lasts.
        overlapping_runs: journal.duplicates(Duration::ZERO),
        ambiguous: read_counter(address, "callbacks_ambiguous").await?.unwrap_or(0),
        ..CallbackReport::default()
    };
    for (request, result) in &results {
        report.add_result(request, *result, runs.get(&request.id).copied().unwrap_or(0));
    }
    Ok(report)
}

fn scheduler_config(discovery: &Discovery, seed: u64) -> io::Result<Value> {
    let mut value: Value = serde_json::from_str(&config("n0", discovery.address, seed))?;
    let class = &mut value["settings"]["grades"][1];
    debug_assert_eq!(class["name"], json!(NON_IDEMPOTENT_CLASS));
    class["effect"] = json!("once");
    Ok(value)
}

async fn start_workers(
    scenario: &Scenario,
    discovery: &Discovery,
    journal: &Journal,
) -> io::Result<Vec<Rc<TestWorker>>> {
    let mut workers = Vec::new();
    for site in 0..scenario.workers {
        let name = format!("s-{site}");
        let spec = WorkerSpec {
            name: name.clone(),
            site,
            slots: WORKER_SLOTS,
            queue: WORKER_SLOTS,
            speed: WORKER_SPEED,
            deduplication_window: Duration::ZERO,
            warm_up: None,
            callback_faults: scenario.faults,
            seed: scenario.seed + site as u64,
        };
        let worker = TestWorker::start(spec, journal.clone()).await?;
        let address = worker.address;
        discovery.publish(Endpoint { name, address, kind: "fast-3", state: "active", started_ms: 0 });
        workers.push(worker);
    }
    Ok(workers)
}

/// Draws the traffic. No request has a key, so that workers do not hide a repeated run.
fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let capacity = scenario.workers as f64 * WORKER_SLOTS as f64 * WORKER_SPEED;
    let length = Duration::from_secs(scenario.seconds);
    let mut arrivals = draw("c", scenario.seed, scenario.load * capacity, length);
    for arrival in &mut arrivals {
        arrival.request.key = None;
        arrival.request.timeout = REQUEST_TIMEOUT;
    }
    arrivals
}

async fn submit_all(client: &Rc<Client>, arrivals: Vec<Arrival>) -> Vec<(ClientRequest, ClientResult)> {
    let start = Instant::now() + STARTUP_DELAY;
    let mut tasks = Vec::new();
    for Arrival { at, request } in arrivals {
        let client = Rc::clone(client);
        tasks.push(spawn_local(async move {
            sleep_until(start + at).await;
            let result = client.submit_with_slack(&request, ANSWER_SLACK).await;
            (request, result)
        }));
    }
    let mut results = Vec::new();
    for task in tasks {
        results.extend(task.await); // a task fails only if it panics, which its own message reports
    }
    results
}

/// Reads a counter of the scheduler; `None` if it has no counter of this name.
async fn read_counter(scheduler: std::net::SocketAddr, name: &str) -> io::Result<Option<u64>> {
    let mut stream = TcpStream::connect(scheduler).await?;
    stream.write_all(b"GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n").await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
    Ok(value)
}
