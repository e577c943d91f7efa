//! `chutesaddle demo`: one site on loopback, for a first minute. The scheduler runs as a process of its own, as in
//! service; boxes, discovery and clients are the stand-ins.

use std::collections::BTreeMap;
use std::io::{self, IsTerminal, Write};
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::{client, ClientRequest, ClientResult, Journal, TestSite};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

/// Jobs of both classes, one after the other after this gap.
const JOBS: usize = 60;
const GAP: Duration = Duration::from_millis(80);
/// Class, work, and how long its client waits.
const CLASSES: [(&str, Duration, Duration); 2] = [
    ("draw-map", Duration::from_millis(300), Duration::from_millis(7500)),
    ("publish-map", Duration::from_millis(1200), Duration::from_secs(25)),
];

/// Plays the demo.
pub(super) fn run() -> ExitCode {
    let folder = std::env::temp_dir().join(format!("chutesaddle-demo-{}", std::process::id()));
    let played = std::fs::create_dir_all(&folder).and_then(|()| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, play(&folder))
    });
    let _ = std::fs::remove_dir_all(&folder);
    match played {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: the demo cannot run: {error}");
            ExitCode::FAILURE
        }
    }
}

/// What became of a class's jobs.
#[derive(Default)]
struct Row {
    served: usize,
    rejected: usize,
    failed: usize,
    took: Duration,
    longest: Duration,
}

async fn play(folder: &Path) -> io::Result<()> {
    eprintln!("one site on loopback: four boxes of three kinds, a discovery, and the scheduler");
    let journal = Journal::default();
    let site = TestSite::start(&std::env::current_exe()?, folder, 0, None, &journal).await?;
    let slots: usize = chutesaddle_test_doubles::site::WORKERS.iter().map(|worker| worker.slots).sum();
    eprintln!("{JOBS} jobs of two classes for {slots} slots; operators call at {}", site.operator_address);
    let mut tasks = Vec::new();
    let (began, done) = (Instant::now(), Rc::new(std::cell::Cell::new(0)));
    for n in 0..JOBS {
        let (class, work, patience) = CLASSES[usize::from(n % 3 == 2)];
        let id = format!("demo-{n}");
        let tenant = ["barfani-heights", "chinar-slopes"][n % 2];
        let key = (class == "publish-map").then(|| format!("key-{n}"));
        let job = ClientRequest { id, class, tenant, work, hint: work, key, timeout: patience };
        let (client, counted) = (Rc::clone(&site.client), Rc::clone(&done));
        tasks.push(spawn_local(async move {
            let told = client.submit(&job).await;
            counted.set(counted.get() + 1);
            (job.class, told)
        }));
        progress(n + 1, done.get());
        sleep(GAP).await;
    }
    while tasks.iter().any(|task| !task.is_finished()) {
        progress(JOBS, done.get());
        sleep(GAP).await;
    }
    progress(JOBS, done.get());
    if io::stderr().is_terminal() {
        eprintln!();
    }
    let mut rows: BTreeMap<&str, Row> = BTreeMap::new();
    for task in tasks {
        let (class, told) = task.await.map_err(io::Error::other)?;
        let row = rows.entry(class).or_default();
        match told {
            ClientResult::Served(after) => {
                row.served += 1;
                row.took += after;
                row.longest = row.longest.max(after);
            }
            ClientResult::Rejected => row.rejected += 1,
            ClientResult::Failed | ClientResult::NoAnswer => row.failed += 1,
        }
    }
    println!(
        "{:<14}{:>8}{:>10}{:>8}{:>10}{:>13}",
        "class", "served", "rejected", "failed", "mean ms", "longest ms"
    );
    for (class, row) in &rows {
        let mean = row.took.as_millis() / row.served.max(1) as u128;
        let longest = row.longest.as_millis();
        println!("{class:<14}{:>8}{:>10}{:>8}{mean:>10}{longest:>13}", row.served, row.rejected, row.failed);
    }
    let metrics = client::operator_command(site.operator_address, "METRICS").await?;
    let tries = metrics.lines().filter(|line| line.starts_with("svc.tries")).collect::<Vec<_>>().join(", ");
    println!("{} runs on the boxes in {:.1} s; {tries}", journal.runs().len(), began.elapsed().as_secs_f64());
    Ok(())
}

fn progress(sent: usize, answered: usize) {
    if io::stderr().is_terminal() {
        eprint!("\r{sent} sent, {answered} answered ");
        let _ = io::stderr().flush();
    }
}
