//! A test site: workers and a discovery service in this process, and a scheduler in its own process.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use crate::callback_faults::CallbackFaultRates;
use crate::discovery::Endpoint;
use crate::scheduler_process::SchedulerProcess;
use crate::worker::{TestWorker, WorkerSpec};
use crate::{config, Client, Discovery, Journal};

const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(40);

/// The properties of a worker of a site.
#[derive(Clone, Copy, Debug)]
pub struct WorkerShape {
    /// Maximum number of running requests.
    pub slots: usize,
    /// Seconds of work that a slot does per second.
    pub speed: f64,
    /// Kind in the endpoint list.
    pub kind: &'static str,
}

/// The workers of each site.
pub const WORKERS: [WorkerShape; 4] = [
    WorkerShape { slots: 3, speed: 2.0, kind: "fast-3" },
    WorkerShape { slots: 5, speed: 1.2, kind: "wide-5" },
    WorkerShape { slots: 5, speed: 1.1, kind: "wide-5" },
    WorkerShape { slots: 2, speed: 0.8, kind: "small-2" },
];

/// Seconds of work per second that a site with [`WORKERS`] can do.
pub fn capacity() -> f64 {
    WORKERS.iter().map(|worker| worker.slots as f64 * worker.speed).sum()
}

/// A running site.
pub struct TestSite {
    /// The workers of the site.
    pub workers: Vec<Rc<TestWorker>>,
    /// The discovery service of the site.
    pub discovery: Rc<Discovery>,
    /// The scheduler of the site.
    pub scheduler: SchedulerProcess,
    /// The address of the scheduler's operator interface.
    pub operator_address: SocketAddr,
    /// The client of the scheduler.
    pub client: Rc<Client>,
}

impl TestSite {
    /// Starts site `number` with its files in a subdirectory of `dir`, and waits until its scheduler accepts clients.
    ///
    /// # Errors
    /// If a part of the site fails to start.
    pub async fn start(
        program: &Path,
        dir: &Path,
        number: usize,
        operator: Option<&str>,
        journal: &Journal,
    ) -> io::Result<Self> {
        let dir: PathBuf = dir.join(format!("site{number}"));
        std::fs::create_dir_all(&dir)?;
        let discovery = Discovery::start().await?;
        let workers = start_workers(number, &discovery, journal).await?;
        let config_file = dir.join("config.json");
        std::fs::write(&config_file, config(&format!("n{number}"), discovery.address, 1 + number as u64))?;
        let operator_file = match operator {
            Some(text) => {
                let file = dir.join("operator.kdl");
                std::fs::write(&file, text)?;
                Some(file)
            }
            None => None,
        };
        let scheduler = SchedulerProcess::start(program, &config_file, operator_file.as_deref(), &dir)?;
        let operator_address = scheduler.address("listening for operators address=").await?;
        let address = scheduler.address("serving clients address=").await?;
        for worker in &workers {
            worker.send_callbacks_to(address);
        }
        let client = Rc::new(Client::new(address));
        Ok(TestSite { workers, discovery, scheduler, operator_address, client })
    }
}

async fn start_workers(
    site: usize,
    discovery: &Discovery,
    journal: &Journal,
) -> io::Result<Vec<Rc<TestWorker>>> {
    let mut workers = Vec::new();
    for (number, WorkerShape { slots, speed, kind }) in WORKERS.into_iter().enumerate() {
        let name = format!("s-{site}{number}");
        let spec = WorkerSpec {
            name: name.clone(),
            site,
            slots,
            queue: slots,
            speed,
            deduplication_window: DEDUPLICATION_WINDOW,
            warm_up: None,
            callback_faults: CallbackFaultRates::default(),
            seed: 0,
        };
        let worker = TestWorker::start(spec, journal.clone()).await?;
        discovery.publish(Endpoint { name, address: worker.address, kind, state: "active", started_ms: 0 });
        workers.push(worker);
    }
    Ok(workers)
}
