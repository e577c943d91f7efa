//! `chutesaddle demo`: one site on loopback, for a first look.
//!
//! The scheduler runs as a process of its own, as in service; workers, discovery and clients are the test doubles of the
//! crate `chutesaddle-test-doubles`, in this process.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{self, IsTerminal, Write};
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::{client, site, ClientRequest, ClientResult, Journal, TestSite};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};

/// Requests of both classes in all.
const REQUESTS: usize = 60;
/// Time from one request to the next.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
const TENANTS: [&str; 2] = ["barfani-heights", "chinar-slopes"];

/// What the requests of a class are like.
struct DemoClass {
    name: &'static str,
    work: Duration,
    /// How long a client waits.
    client_timeout: Duration,
    /// Whether requests carry an idempotency key.
    keyed: bool,
}

/// Two requests in three.
const DRAW: DemoClass = DemoClass {
    name: "draw-map",
    work: Duration::from_millis(300),
    client_timeout: Duration::from_millis(7500),
    keyed: false,
};
/// Every third request.
const PUBLISH: DemoClass = DemoClass {
    name: "publish-map",
    work: Duration::from_millis(1200),
    client_timeout: Duration::from_secs(25),
    keyed: true,
};

/// Runs the demo.
pub(super) fn run() -> ExitCode {
    let directory = std::env::temp_dir().join(format!("chutesaddle-demo-{}", std::process::id()));
    let result = run_in(&directory);
    // What is left there does no harm.
    let _ = std::fs::remove_dir_all(&directory);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: the demo cannot run: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_in(directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve_requests(directory))
}

async fn serve_requests(directory: &Path) -> io::Result<()> {
    eprintln!("one site on loopback: four workers of three kinds, a discovery, and the scheduler");
    let journal = Journal::default();
    let site = TestSite::start(&std::env::current_exe()?, directory, 0, None, &journal).await?;
    let slots: usize = site::WORKERS.iter().map(|worker| worker.slots).sum();
    eprintln!(
        "{REQUESTS} requests of two classes for {slots} slots; the operator interface is at {}",
        site.operator_address
    );
    let began = Instant::now();
    let answers = send_requests(&site).await;
    print_table(answers).await?;
    let metrics = client::operator_command(site.operator_address, "METRICS").await?;
    let attempts: Vec<&str> = metrics.lines().filter(|line| line.starts_with("svc.tries")).collect();
    let (runs, seconds) = (journal.runs().len(), began.elapsed().as_secs_f64());
    println!("{runs} runs on the workers in {seconds:.1} s; {}", attempts.join(", "));
    Ok(())
}

/// What a client was answered.
struct ClientAnswer {
    class: &'static str,
    answer: ClientResult,
}

/// Sends all requests and waits until each has its answer.
async fn send_requests(site: &TestSite) -> Vec<JoinHandle<ClientAnswer>> {
    let answered = Rc::new(Cell::new(0));
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let request = demo_request(number);
        let (client, counted) = (Rc::clone(&site.client), Rc::clone(&answered));
        clients.push(spawn_local(async move {
            let answer = client.submit(&request).await;
            counted.set(counted.get() + 1);
            ClientAnswer { class: request.class, answer }
        }));
        show_progress(number + 1, answered.get());
        sleep(REQUEST_INTERVAL).await;
    }
    while clients.iter().any(|client| !client.is_finished()) {
        show_progress(REQUESTS, answered.get());
        sleep(REQUEST_INTERVAL).await;
    }
    show_progress(REQUESTS, answered.get());
    if io::stderr().is_terminal() {
        eprintln!();
    }
    clients
}

fn demo_request(number: usize) -> ClientRequest {
    let class = if number % 3 == 2 { PUBLISH } else { DRAW };
    ClientRequest {
        id: format!("demo-{number}"),
        class: class.name,
        tenant: TENANTS[number % 2],
        work: class.work,
        hint: class.work,
        key: if class.keyed { Some(format!("key-{number}")) } else { None },
        timeout: class.client_timeout,
    }
}

/// The answers to the requests of a class.
#[derive(Default)]
struct Row {
    served: usize,
    rejected: usize,
    failed: usize,
    total_latency: Duration,
    longest_latency: Duration,
}

impl Row {
    fn count(&mut self, answer: ClientResult) {
        match answer {
            ClientResult::Served(latency) => {
                self.served += 1;
                self.total_latency += latency;
                self.longest_latency = self.longest_latency.max(latency);
            }
            ClientResult::Rejected => self.rejected += 1,
            ClientResult::Failed | ClientResult::NoAnswer => self.failed += 1,
        }
    }
}

async fn print_table(clients: Vec<JoinHandle<ClientAnswer>>) -> io::Result<()> {
    let mut rows: BTreeMap<&str, Row> = BTreeMap::new();
    for client in clients {
        let ClientAnswer { class, answer } = client.await.map_err(io::Error::other)?;
        rows.entry(class).or_default().count(answer);
    }
    println!(
        "{:<14}{:>8}{:>10}{:>8}{:>10}{:>13}",
        "class", "served", "rejected", "failed", "mean ms", "longest ms"
    );
    for (class, row) in &rows {
        let Row { served, rejected, failed, .. } = row;
        let mean = row.total_latency.as_millis() / row.served.max(1) as u128;
        let longest = row.longest_latency.as_millis();
        println!("{class:<14}{served:>8}{rejected:>10}{failed:>8}{mean:>10}{longest:>13}");
    }
    Ok(())
}

fn show_progress(sent: usize, answered: usize) {
    if io::stderr().is_terminal() {
        eprint!("\r{sent} sent, {answered} answered ");
        // It is shown again in a moment.
        let _ = io::stderr().flush();
    }
}
