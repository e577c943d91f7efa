//! Boxes and schedulers of one deployment, and what a plan does to them.

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

use crate::datagrams::Wires;
use crate::plan::{Plan, Rough, What};

/// Repeats of a key are dropped by the boxes for so long.
pub const WINDOW: Duration = Duration::from_secs(40);

/// One scheduler, whatever process it is at the time.
pub struct Node {
    process: RefCell<Option<SchedulerProcess>>,
    file: PathBuf,
    dir: PathBuf,
    doors: Vec<WorkerListener>,
    /// It may tell the others something, and has a socket for that.
    tells: bool,
    client: RefCell<Option<Rc<Client>>>,
    /// Told to be halted at present.
    halted: Cell<bool>,
    /// When each process of it was killed or halted, and until when it did not serve.
    gaps: RefCell<Vec<(Instant, Option<Instant>)>>,
}

impl Node {
    /// Clients of it; `None` while it is not there.
    pub fn client(&self) -> Option<Rc<Client>> {
        self.client.borrow().clone().filter(|_| !self.halted.get())
    }

    /// Whether it was killed or halted at any time from `began` to `ended`.
    pub fn was_away(&self, began: Instant, ended: Instant) -> bool {
        self.gaps.borrow().iter().any(|gap| gap.0 <= ended && gap.1.is_none_or(|until| until >= began))
    }
}

/// A deployment.
pub struct Fleet {
    program: PathBuf,
    /// Its schedulers.
    pub nodes: Vec<Node>,
    /// Its boxes. Each is a site of its own in the journal.
    pub boxes: Vec<Rc<TestWorker>>,
    /// What processes that were killed had logged.
    past: RefCell<Vec<String>>,
    /// What happened at the boxes.
    pub journal: Journal,
    /// The wires between the schedulers.
    pub wires: Rc<Wires>,
}

impl Fleet {
    /// Starts the boxes and `nodes` schedulers, with files in `dir`. `shape` changes each one's configuration.
    ///
    /// # Errors
    /// If something does not come up.
    pub async fn start(
        program: &Path,
        dir: &Path,
        nodes: usize,
        seed: u64,
        shape: impl Fn(&mut Value),
    ) -> io::Result<Rc<Self>> {
        let (journal, wires) = (Journal::default(), Wires::start(nodes, seed).await?);
        let mut boxes = Vec::new();
        for (site, WorkerShape { slots, speed, .. }) in WORKERS.into_iter().enumerate() {
            let name = format!("s-{site}");
            let spec = WorkerSpec {
                name,
                site,
                slots,
                queue: slots,
                speed,
                deduplication_window: WINDOW,
                warm_up: None,
            };
            boxes.push(TestWorker::start(spec, journal.clone()).await?);
        }
        let mut all = Vec::new();
        for number in 0..nodes {
            let discovery = Discovery::start().await?;
            let mut doors = Vec::new();
            for (worker, WorkerShape { kind, .. }) in boxes.iter().zip(WORKERS) {
                let door = worker.add_listener().await?;
                let (name, address) = (worker.name().to_owned(), door.address);
                discovery.publish(Endpoint { name, address, kind, state: "active", started_ms: 0 });
                doors.push(door);
            }
            let text = config(&format!("n{number}"), discovery.address, seed + number as u64);
            let mut value: Value = serde_json::from_str(&text)?;
            let (to_all, peers) = wires.addresses(number)?;
            value["settings"]["balancers"] = json!(nodes);
            value["settings"]["index"] = json!(number);
            value["peer_listen"] = json!("127.0.0.1:0");
            value["peers_all"] = json!(to_all);
            value["peers"] = json!(peers);
            shape(&mut value);
            let dir = dir.join(format!("n{number}"));
            std::fs::create_dir_all(&dir)?;
            let file = dir.join("config.json");
            std::fs::write(&file, value.to_string())?;
            all.push(Node {
                process: RefCell::default(),
                file,
                dir,
                doors,
                tells: value["settings"]["allowed"]["peer_messages"] == json!(true),
                client: RefCell::default(),
                halted: Cell::default(),
                gaps: RefCell::default(),
            });
        }
        let fleet = Rc::new(Fleet {
            program: program.to_owned(),
            nodes: all,
            boxes,
            past: RefCell::default(),
            journal,
            wires,
        });
        for number in 0..nodes {
            fleet.begin(number).await?;
        }
        Ok(fleet)
    }

    /// Starts a scheduler's process.
    async fn begin(&self, number: usize) -> io::Result<()> {
        let node = &self.nodes[number];
        let process = SchedulerProcess::start(&self.program, &node.file, None, &node.dir)?;
        let address = process.address("serving clients address=").await?;
        if node.tells {
            self.wires.listens(number, Some(process.address("listening for gossip address=").await?));
        }
        node.doors.iter().for_each(|door| door.send_callbacks_to(address));
        *node.process.borrow_mut() = Some(process);
        *node.client.borrow_mut() = Some(Rc::new(Client::new(address)));
        if let Some(gap) = node.gaps.borrow_mut().last_mut() {
            gap.1.get_or_insert(Instant::now());
        }
        Ok(())
    }

    /// Does what the plan says, and returns when its last fault is over.
    ///
    /// # Errors
    /// If a process cannot be started anew or told to halt.
    pub async fn suffer(&self, plan: &Plan, start: Instant) -> io::Result<()> {
        let mut steps: Vec<(Duration, bool, &What)> = Vec::new();
        for fault in &plan.0 {
            steps.push((fault.at, true, &fault.what));
            steps.push((fault.until(), false, &fault.what));
        }
        steps.sort_by_key(|step| step.0);
        for (at, begins, what) in steps {
            sleep_until(start + at).await;
            self.step(what, begins).await?;
        }
        Ok(())
    }

    async fn step(&self, what: &What, begins: bool) -> io::Result<()> {
        match what {
            What::Kill(number) if begins => {
                let node = &self.nodes[*number];
                node.gaps.borrow_mut().push((Instant::now(), None));
                *node.client.borrow_mut() = None;
                self.wires.listens(*number, None);
                if let Some(mut process) = node.process.borrow_mut().take() {
                    process.kill();
                    self.past.borrow_mut().extend(process.log());
                }
            }
            What::Kill(number) => self.begin(*number).await?,
            What::Stop(number) => {
                let node = &self.nodes[*number];
                let id = node.process.borrow().as_ref().map(SchedulerProcess::id);
                let pid = id.and_then(|id| Pid::from_raw(id.try_into().ok()?));
                let pid = pid.ok_or_else(|| io::Error::other("no process to halt"))?;
                kill_process(pid, if begins { Signal::STOP } else { Signal::CONT })?;
                node.halted.set(begins);
                let now = Instant::now();
                match node.gaps.borrow_mut().last_mut() {
                    Some(gap) if !begins => gap.1 = Some(now),
                    _ => {}
                }
                if begins {
                    node.gaps.borrow_mut().push((now, None));
                }
            }
            What::Cut(from, to) => self.wires.cut(*from, *to, begins),
            What::Split(some) => {
                for from in 0..self.nodes.len() {
                    for to in (0..self.nodes.len()).filter(|to| some.contains(&from) != some.contains(to)) {
                        self.wires.cut(from, to, begins);
                    }
                }
            }
            What::Rough(number, rough) => {
                self.wires.roughen(*number, if begins { *rough } else { Rough::default() });
            }
        }
        Ok(())
    }

    /// What the logs of all processes say of wrong things.
    pub fn complaints(&self) -> Vec<String> {
        let of = |node: &Node| node.process.borrow().as_ref().map(SchedulerProcess::log).unwrap_or_default();
        let lines = self.nodes.iter().flat_map(of).chain(self.past.borrow().clone());
        lines.filter(|line| line.contains("panicked") || line.contains("has stopped")).collect()
    }
}
