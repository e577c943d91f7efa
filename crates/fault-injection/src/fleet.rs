//! The workers and schedulers of one deployment, and what a plan does to them.

use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::discovery::Endpoint;
use chutesaddle_test_doubles::site::{WorkerShape, WORKERS};
use chutesaddle_test_doubles::worker::WorkerListener;
use chutesaddle_test_doubles::{
    config, Client, Discovery, Journal, SchedulerProcess, TestWorker, WorkerSpec,
};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use tokio::time::{sleep_until, Instant};

use crate::gossip_network::GossipNetwork;
use crate::plan::{Degradation, FaultKind, Plan};

/// Repeats of a key are dropped by the workers for this long.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(40);

/// A time in which a scheduler did not serve.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Instant,
    /// `None` while it lasts.
    until: Option<Instant>,
}

/// One scheduler, whatever process it is at the time.
pub struct Node {
    process: RefCell<Option<SchedulerProcess>>,
    config_file: PathBuf,
    dir: PathBuf,
    listeners: Vec<WorkerListener>,
    /// It may gossip, and has a socket for that.
    gossips: bool,
    client: RefCell<Option<Rc<Client>>>,
    paused: Cell<bool>,
    outages: RefCell<Vec<Outage>>,
}

impl Node {
    /// Its clients; `None` while it does not serve.
    pub fn client(&self) -> Option<Rc<Client>> {
        self.client.borrow().clone().filter(|_| !self.paused.get())
    }

    /// Whether it was killed or paused at any time from `began` to `ended`.
    pub fn had_outage(&self, began: Instant, ended: Instant) -> bool {
        let overlaps =
            |outage: &Outage| outage.from <= ended && outage.until.is_none_or(|until| until >= began);
        self.outages.borrow().iter().any(overlaps)
    }
}

/// Whether a fault begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Begins,
    Ends,
}

/// The beginning or the end of a fault.
struct Step<'a> {
    at: Duration,
    phase: Phase,
    kind: &'a FaultKind,
}

/// A deployment.
pub struct Fleet {
    program: PathBuf,
    /// Its schedulers.
    pub nodes: Vec<Node>,
    /// Its workers. Each is a site of its own in the journal.
    pub workers: Vec<Rc<TestWorker>>,
    /// What processes that were killed had logged.
    past_logs: RefCell<Vec<String>>,
    /// What happened at the workers.
    pub journal: Journal,
    /// The network between the schedulers.
    pub network: Rc<GossipNetwork>,
}

impl Fleet {
    /// Starts the workers and `nodes` schedulers, with files in `dir`. `adjust` changes each one's configuration.
    ///
    /// # Errors
    /// If something does not come up.
    pub async fn start(
        program: &Path,
        dir: &Path,
        nodes: usize,
        seed: u64,
        adjust: impl Fn(&mut Value),
    ) -> io::Result<Rc<Self>> {
        let (journal, network) = (Journal::default(), GossipNetwork::start(nodes, seed).await?);
        let workers = start_workers(&journal).await?;
        let mut all = Vec::new();
        for number in 0..nodes {
            let discovery = Discovery::start().await?;
            let listeners = publish_workers(&workers, &discovery).await?;
            let text = config(&format!("n{number}"), discovery.address, seed + number as u64);
            let mut value: Value = serde_json::from_str(&text)?;
            configure_peers(&mut value, number, nodes, &network)?;
            adjust(&mut value);
            let dir = dir.join(format!("n{number}"));
            std::fs::create_dir_all(&dir)?;
            let config_file = dir.join("config.json");
            std::fs::write(&config_file, value.to_string())?;
            all.push(Node {
                process: RefCell::default(),
                config_file,
                dir,
                listeners,
                gossips: value["settings"]["allowed"]["peer_messages"] == json!(true),
                client: RefCell::default(),
                paused: Cell::default(),
                outages: RefCell::default(),
            });
        }
        let (program, past_logs) = (program.to_owned(), RefCell::default());
        let fleet = Rc::new(Fleet { program, nodes: all, workers, past_logs, journal, network });
        for number in 0..nodes {
            fleet.start_process(number).await?;
        }
        Ok(fleet)
    }

    async fn start_process(&self, number: usize) -> io::Result<()> {
        let node = &self.nodes[number];
        let process = SchedulerProcess::start(&self.program, &node.config_file, None, &node.dir)?;
        let address = process.address("serving clients address=").await?;
        if node.gossips {
            let gossip_address = process.address("listening for gossip address=").await?;
            self.network.set_receiver(number, Some(gossip_address));
        }
        for listener in &node.listeners {
            listener.send_callbacks_to(address);
        }
        *node.process.borrow_mut() = Some(process);
        *node.client.borrow_mut() = Some(Rc::new(Client::new(address)));
        if let Some(outage) = node.outages.borrow_mut().last_mut() {
            outage.until.get_or_insert(Instant::now());
        }
        Ok(())
    }

    /// Does what the plan says, and returns when its last fault is over.
    ///
    /// # Errors
    /// If a process cannot be started anew or paused.
    pub async fn apply_plan(&self, plan: &Plan, start: Instant) -> io::Result<()> {
        let mut steps: Vec<Step> = Vec::new();
        for fault in &plan.0 {
            steps.push(Step { at: fault.at, phase: Phase::Begins, kind: &fault.kind });
            steps.push(Step { at: fault.ends_at(), phase: Phase::Ends, kind: &fault.kind });
        }
        steps.sort_by_key(|step| step.at);
        for step in steps {
            sleep_until(start + step.at).await;
            self.apply(step.kind, step.phase).await?;
        }
        Ok(())
    }

    async fn apply(&self, kind: &FaultKind, phase: Phase) -> io::Result<()> {
        match (kind, phase) {
            (FaultKind::Kill(number), Phase::Begins) => self.kill(*number),
            (FaultKind::Kill(number), Phase::Ends) => self.start_process(*number).await?,
            (FaultKind::Pause(number), phase) => self.set_paused(*number, phase)?,
            (FaultKind::PartitionOneWay { from, to }, phase) => self.set_partition(*from, *to, phase),
            (FaultKind::Partition(side), phase) => {
                for from in 0..self.nodes.len() {
                    for to in (0..self.nodes.len()).filter(|to| side.contains(&from) != side.contains(to)) {
                        self.set_partition(from, to, phase);
                    }
                }
            }
            (FaultKind::Degrade(number, degradation), Phase::Begins) => {
                self.network.set_degradation(*number, *degradation);
            }
            (FaultKind::Degrade(number, _), Phase::Ends) => {
                self.network.set_degradation(*number, Degradation::default());
            }
        }
        Ok(())
    }

    fn kill(&self, number: usize) {
        let node = &self.nodes[number];
        node.outages.borrow_mut().push(Outage { from: Instant::now(), until: None });
        *node.client.borrow_mut() = None;
        self.network.set_receiver(number, None);
        if let Some(mut process) = node.process.borrow_mut().take() {
            process.kill();
            self.past_logs.borrow_mut().extend(process.log());
        }
    }

    fn set_paused(&self, number: usize, phase: Phase) -> io::Result<()> {
        let node = &self.nodes[number];
        let id = node.process.borrow().as_ref().map(SchedulerProcess::id);
        let pid = id.and_then(|id| Pid::from_raw(id.try_into().ok()?));
        let pid = pid.ok_or_else(|| io::Error::other("no process to halt"))?;
        let signal = match phase {
            Phase::Begins => Signal::STOP,
            Phase::Ends => Signal::CONT,
        };
        kill_process(pid, signal)?;
        node.paused.set(phase == Phase::Begins);
        let now = Instant::now();
        let mut outages = node.outages.borrow_mut();
        match phase {
            Phase::Begins => outages.push(Outage { from: now, until: None }),
            Phase::Ends => {
                if let Some(outage) = outages.last_mut() {
                    outage.until = Some(now);
                }
            }
        }
        Ok(())
    }

    fn set_partition(&self, from: usize, to: usize, phase: Phase) {
        match phase {
            Phase::Begins => self.network.begin_partition(from, to),
            Phase::Ends => self.network.end_partition(from, to),
        }
    }

    /// Log lines of all processes that tell of a panic or of a part that has stopped.
    pub fn logged_failures(&self) -> Vec<String> {
        let log = |node: &Node| node.process.borrow().as_ref().map(SchedulerProcess::log).unwrap_or_default();
        let lines = self.nodes.iter().flat_map(log).chain(self.past_logs.borrow().clone());
        lines.filter(|line| line.contains("panicked") || line.contains("has stopped")).collect()
    }
}

async fn start_workers(journal: &Journal) -> io::Result<Vec<Rc<TestWorker>>> {
    let mut workers = Vec::new();
    for (site, WorkerShape { slots, speed, .. }) in WORKERS.into_iter().enumerate() {
        let spec = WorkerSpec {
            name: format!("s-{site}"),
            site,
            slots,
            queue: slots,
            speed,
            deduplication_window: DEDUPLICATION_WINDOW,
            warm_up: None,
        };
        workers.push(TestWorker::start(spec, journal.clone()).await?);
    }
    Ok(workers)
}

/// Opens a listener of each worker for one scheduler, and publishes them to it.
async fn publish_workers(
    workers: &[Rc<TestWorker>],
    discovery: &Discovery,
) -> io::Result<Vec<WorkerListener>> {
    let mut listeners = Vec::new();
    for (worker, WorkerShape { kind, .. }) in workers.iter().zip(WORKERS) {
        let listener = worker.add_listener().await?;
        let (name, address) = (worker.name().to_owned(), listener.address);
        discovery.publish(Endpoint { name, address, kind, state: "active", started_ms: 0 });
        listeners.push(listener);
    }
    Ok(listeners)
}

fn configure_peers(
    value: &mut Value,
    number: usize,
    nodes: usize,
    network: &GossipNetwork,
) -> io::Result<()> {
    let (to_all, peers) = network.addresses(number)?;
    value["settings"]["balancers"] = json!(nodes);
    value["settings"]["index"] = json!(number);
    value["peer_listen"] = json!("127.0.0.1:0");
    value["peers_all"] = json!(to_all);
    value["peers"] = json!(peers);
    Ok(())
}
