//! `chutesaddle demo`: runs one site on loopback to demonstrate the scheduler.
//!
//! The scheduler is a separate process, as in production. Workers, discovery and clients are test doubles from the
//! crate `chutesaddle-test-doubles` and run in this process.

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

/// Total number of requests, of both classes.
const REQUEST_COUNT: usize = 60;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);
const TENANTS: [&str; 2] = ["barfani-heights", "chinar-slopes"];

/// Properties of the requests of a class.
struct DemoClass {
    name: &'static str,
    work: Duration,
    /// Time that a client waits for an answer.
    client_timeout: Duration,
    /// Whether requests have an idempotency key.
    keyed: bool,
}

/// Class of two out of three requests.
const DRAW_MAP: DemoClass = DemoClass {
    name: "draw-map",
    work: Duration::from_millis(300),
    client_timeout: Duration::from_millis(7500),
    keyed: false,
};
/// Class of every third request.
const PUBLISH_MAP: DemoClass = DemoClass {
    name: "publish-map",
    work: Duration::from_millis(1200),
    client_timeout: Duration::from_secs(25),
    keyed: true,
};

/// Runs the demo.
pub(super) fn run() -> ExitCode {
    let directory = std::env::temp_dir().join(format!("chutesaddle-demo-{}", std::process::id()));
    let result = run_in(&directory);
    // Leftover files do no harm.
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
    eprintln!("one site on loopback: four workers of three kinds, a discovery service and the scheduler");
    let journal = Journal::default();
    let site = TestSite::start(&std::env::current_exe()?, directory, 0, None, &journal).await?;
    let slots: usize = site::WORKERS.iter().map(|worker| worker.slots).sum();
    eprintln!(
        "{REQUEST_COUNT} requests of two classes for {slots} slots; operator interface on {}",
        site.operator_address
    );
    let started_at = Instant::now();
    let answers = send_requests(&site).await;
    print_table(answers).await?;
    let metrics = client::operator_command(site.operator_address, "METRICS").await?;
    let attempts: Vec<&str> = metrics.lines().filter(|line| line.starts_with("svc.tries")).collect();
    let (runs, seconds) = (journal.runs().len(), started_at.elapsed().as_secs_f64());
    println!("{runs} runs on the workers in {seconds:.1} s; {}", attempts.join(", "));
    Ok(())
}

/// Outcome of a client's request.
struct ClientAnswer {
    class: &'static str,
    answer: ClientResult,
}

/// Sends all requests and waits until each one is answered.
async fn send_requests(site: &TestSite) -> Vec<JoinHandle<ClientAnswer>> {
    let answered = Rc::new(Cell::new(0));
    let mut clients = Vec::new();
    for number in 0..REQUEST_COUNT {
        let request = demo_request(number);
        let (client, answer_count) = (Rc::clone(&site.client), Rc::clone(&answered));
        clients.push(spawn_local(async move {
            let answer = client.submit(&request).await;
            answer_count.set(answer_count.get() + 1);
            ClientAnswer { class: request.class, answer }
        }));
        show_progress(number + 1, answered.get());
        sleep(REQUEST_INTERVAL).await;
    }
    while clients.iter().any(|client| !client.is_finished()) {
        show_progress(REQUEST_COUNT, answered.get());
        sleep(REQUEST_INTERVAL).await;
    }
    show_progress(REQUEST_COUNT, answered.get());
    if io::stderr().is_terminal() {
        eprintln!();
    }
    clients
}

fn demo_request(number: usize) -> ClientRequest {
    let class = if number % 3 == 2 { PUBLISH_MAP } else { DRAW_MAP };
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

/// Totals over the answers to the requests of a class.
#[derive(Default)]
struct ClassTotals {
    served: usize,
    rejected: usize,
    failed: usize,
    total_latency: Duration,
    max_latency: Duration,
}

impl ClassTotals {
    fn add(&mut self, answer: ClientResult) {
        match answer {
            ClientResult::Served(latency) => {
                self.served += 1;
                self.total_latency += latency;
                self.max_latency = self.max_latency.max(latency);
            }
            ClientResult::Rejected => self.rejected += 1,
            ClientResult::Failed | ClientResult::NoAnswer => self.failed += 1,
        }
    }
}

async fn print_table(clients: Vec<JoinHandle<ClientAnswer>>) -> io::Result<()> {
    let mut totals_by_class: BTreeMap<&str, ClassTotals> = BTreeMap::new();
    for client in clients {
        let ClientAnswer { class, answer } = client.await.map_err(io::Error::other)?;
        totals_by_class.entry(class).or_default().add(answer);
    }
    println!(
        "{:<14}{:>8}{:>10}{:>8}{:>10}{:>13}",
        "class", "served", "rejected", "failed", "mean ms", "longest ms"
    );
    for (class, totals) in &totals_by_class {
        let ClassTotals { served, rejected, failed, .. } = totals;
        let mean = totals.total_latency.as_millis() / totals.served.max(1) as u128;
        let longest = totals.max_latency.as_millis();
        println!("{class:<14}{served:>8}{rejected:>10}{failed:>8}{mean:>10}{longest:>13}");
    }
    Ok(())
}

fn show_progress(sent: usize, answered: usize) {
    if io::stderr().is_terminal() {
        eprint!("\r{sent} sent, {answered} answered ");
        // An error is harmless: the progress is printed again soon.
        let _ = io::stderr().flush();
    }
}
