//! The workers and schedulers of a test deployment, and the faults injected into them.

use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::discovery::Endpoint;
use chutesaddle_test_doubles::site::{WorkerShape, WORKERS};
use chutesaddle_test_doubles::worker::WorkerListener;
use chutesaddle_test_doubles::{
    config, CallbackFaultRates, Client, Discovery, Journal, SchedulerProcess, TestWorker, WorkerSpec,
};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use tokio::time::{sleep_until, Instant};

use crate::gossip_network::GossipNetwork;
use crate::plan::{Degradation, FaultKind, FaultPlan};

/// Time during which workers drop repeated requests with the same idempotency key.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(40);

/// Period during which a scheduler was killed or paused.
#[derive(Clone, Copy, Debug)]
struct Outage {
    started_at: Instant,
    /// `None` while the outage continues.
    ended_at: Option<Instant>,
}

/// A scheduler, which may run as several processes one after the other.
pub struct Node {
    process: RefCell<Option<SchedulerProcess>>,
    config_file: PathBuf,
    dir: PathBuf,
    listeners: Vec<WorkerListener>,
    /// Whether gossip is enabled.
    gossip_enabled: bool,
    client: RefCell<Option<Rc<Client>>>,
    paused: Cell<bool>,
    outages: RefCell<Vec<Outage>>,
}

impl Node {
    /// Returns a client connected to the scheduler; `None` while the scheduler is killed or paused.
    pub fn client(&self) -> Option<Rc<Client>> {
        self.client.borrow().clone().filter(|_| !self.paused.get())
    }

    /// Returns whether the scheduler was killed or paused at any time between `from` and `to`.
    pub fn had_outage(&self, from: Instant, to: Instant) -> bool {
        let overlaps = |outage: &Outage| {
            outage.started_at <= to && outage.ended_at.is_none_or(|ended_at| ended_at >= from)
        };
        self.outages.borrow().iter().any(overlaps)
    }
}

/// Start or end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Start,
    End,
}

/// Scheduled start or end of a fault.
struct FaultTransition<'a> {
    at: Duration,
    phase: Phase,
    kind: &'a FaultKind,
}

/// A test deployment.
pub struct Fleet {
    program: PathBuf,
    /// Schedulers, by number.
    pub nodes: Vec<Node>,
    /// Workers. The journal records each one as a separate site.
    pub workers: Vec<Rc<TestWorker>>,
    /// Log lines of killed processes.
    killed_process_logs: RefCell<Vec<String>>,
    /// Runs and free slots at the workers.
    pub journal: Journal,
    /// Gossip network between the schedulers.
    pub network: Rc<GossipNetwork>,
}

impl Fleet {
    /// Starts the workers and `nodes` schedulers. `adjust` modifies the configuration of each scheduler. Files are
    /// written to `dir`.
    ///
    /// # Errors
    /// Returns an error if a worker, a scheduler or the network cannot be started.
    pub async fn start(
        program: &Path,
        dir: &Path,
        nodes: usize,
        seed: u64,
        adjust: impl Fn(&mut Value),
    ) -> io::Result<Rc<Self>> {
        let (journal, network) = (Journal::default(), GossipNetwork::start(nodes, seed).await?);
        let workers = start_workers(&journal).await?;
        let mut schedulers = Vec::new();
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
            schedulers.push(Node {
                process: RefCell::default(),
                config_file,
                dir,
                listeners,
                gossip_enabled: value["settings"]["allowed"]["peer_messages"] == json!(true),
                client: RefCell::default(),
                paused: Cell::default(),
                outages: RefCell::default(),
            });
        }
        let (program, killed_process_logs) = (program.to_owned(), RefCell::default());
        let fleet =
            Rc::new(Fleet { program, nodes: schedulers, workers, killed_process_logs, journal, network });
        for number in 0..nodes {
            fleet.start_process(number).await?;
        }
        Ok(fleet)
    }

    async fn start_process(&self, number: usize) -> io::Result<()> {
        let node = &self.nodes[number];
        let process = SchedulerProcess::start(&self.program, &node.config_file, None, &node.dir)?;
        let address = process.address("serving clients address=").await?;
        if node.gossip_enabled {
            let gossip_address = process.address("listening for gossip address=").await?;
            self.network.set_receiver(number, Some(gossip_address));
        }
        for listener in &node.listeners {
            listener.send_callbacks_to(address);
        }
        *node.process.borrow_mut() = Some(process);
        *node.client.borrow_mut() = Some(Rc::new(Client::new(address)));
        if let Some(outage) = node.outages.borrow_mut().last_mut() {
            outage.ended_at.get_or_insert(Instant::now());
        }
        Ok(())
    }

    /// Injects the faults of the plan and returns when the last one has ended.
    ///
    /// # Errors
    /// Returns an error if a process cannot be restarted, paused or resumed.
    pub async fn apply_plan(&self, plan: &FaultPlan, start: Instant) -> io::Result<()> {
        let mut transitions: Vec<FaultTransition> = Vec::new();
        for fault in &plan.0 {
            transitions.push(FaultTransition { at: fault.starts_at, phase: Phase::Start, kind: &fault.kind });
            transitions.push(FaultTransition { at: fault.ends_at(), phase: Phase::End, kind: &fault.kind });
        }
        transitions.sort_by_key(|transition| transition.at);
        for transition in transitions {
            sleep_until(start + transition.at).await;
            self.apply(transition.kind, transition.phase).await?;
        }
        Ok(())
    }

    async fn apply(&self, kind: &FaultKind, phase: Phase) -> io::Result<()> {
        match (kind, phase) {
            (FaultKind::Kill(number), Phase::Start) => self.kill(*number),
            (FaultKind::Kill(number), Phase::End) => self.start_process(*number).await?,
            (FaultKind::Pause(number), phase) => self.set_paused(*number, phase)?,
            (FaultKind::PartitionOneWay { from, to }, phase) => self.set_partition(*from, *to, phase),
            (FaultKind::Partition(side), phase) => {
                for from in 0..self.nodes.len() {
                    for to in (0..self.nodes.len()).filter(|to| side.contains(&from) != side.contains(to)) {
                        self.set_partition(from, to, phase);
                    }
                }
            }
            (FaultKind::Degrade(number, degradation), Phase::Start) => {
                self.network.set_degradation(*number, *degradation);
            }
            (FaultKind::Degrade(number, _), Phase::End) => {
                self.network.set_degradation(*number, Degradation::default());
            }
        }
        Ok(())
    }

    fn kill(&self, number: usize) {
        let node = &self.nodes[number];
        node.outages.borrow_mut().push(Outage { started_at: Instant::now(), ended_at: None });
        *node.client.borrow_mut() = None;
        self.network.set_receiver(number, None);
        if let Some(mut process) = node.process.borrow_mut().take() {
            process.kill();
            self.killed_process_logs.borrow_mut().extend(process.log());
        }
    }

    fn set_paused(&self, number: usize, phase: Phase) -> io::Result<()> {
        let node = &self.nodes[number];
        let id = node.process.borrow().as_ref().map(SchedulerProcess::id);
        let pid = id.and_then(|id| Pid::from_raw(id.try_into().ok()?));
        let pid = pid.ok_or_else(|| io::Error::other(format!("scheduler {number} is not running")))?;
        let signal = match phase {
            Phase::Start => Signal::STOP,
            Phase::End => Signal::CONT,
        };
        kill_process(pid, signal)?;
        node.paused.set(phase == Phase::Start);
        let now = Instant::now();
        let mut outages = node.outages.borrow_mut();
        match phase {
            Phase::Start => outages.push(Outage { started_at: now, ended_at: None }),
            Phase::End => {
                if let Some(outage) = outages.last_mut() {
                    outage.ended_at = Some(now);
                }
            }
        }
        Ok(())
    }

    fn set_partition(&self, from: usize, to: usize, phase: Phase) {
        match phase {
            Phase::Start => self.network.begin_partition(from, to),
            Phase::End => self.network.end_partition(from, to),
        }
    }

    /// Returns the log lines of all processes that report a panic or a stopped component.
    pub fn logged_failures(&self) -> Vec<String> {
        let log = |node: &Node| node.process.borrow().as_ref().map(SchedulerProcess::log).unwrap_or_default();
        let lines = self.nodes.iter().flat_map(log).chain(self.killed_process_logs.borrow().clone());
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
            callback_faults: CallbackFaultRates::default(),
            seed: 0,
        };
        workers.push(TestWorker::start(spec, journal.clone()).await?);
    }
    Ok(workers)
}

/// Opens a listener at each worker for one scheduler and publishes it through that scheduler's discovery service.
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
    let (broadcast_address, peers) = network.addresses(number)?;
    value["settings"]["balancers"] = json!(nodes);
    value["settings"]["index"] = json!(number);
    value["peer_listen"] = json!("127.0.0.1:0");
    value["peers_all"] = json!(broadcast_address);
    value["peers"] = json!(peers);
    Ok(())
}
