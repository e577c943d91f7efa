//! One site for real: boxes and a discovery in this process, and a scheduler in one of its own.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::discovery::Line;
use crate::render::{RenderBox, Spec};
use crate::{config, Client, Discovery, Journal};

/// How long a scheduler may take to say something that it must say.
const PATIENCE: Duration = Duration::from_secs(10);

/// A scheduler process and its log.
pub struct Scheduler {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Scheduler {
    /// Starts `program serve`; `dir` is its `$TMPDIR`, where an upgrade of it is looked for.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn start(program: &Path, config: &Path, operator: Option<&Path>, dir: &Path) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(config).env("TMPDIR", dir);
        command.env_remove("NODE_OPS").env_remove("NODE_OPERATOR");
        if let Some(operator) = operator {
            command.arg("--operator").arg(operator);
        }
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            let log = Arc::clone(&log);
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    log.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(line);
                }
            });
        }
        Ok(Scheduler { child, log })
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has said.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// The address behind these words in its log, once they are there.
    ///
    /// # Errors
    /// If they do not come.
    pub async fn address(&self, words: &str) -> io::Result<SocketAddr> {
        let until = Instant::now() + PATIENCE;
        loop {
            let found = self.log().iter().rev().find_map(|line| {
                let (_, rest) = line.split_once(words)?;
                rest.split_whitespace().next()?.parse().ok()
            });
            if let Some(address) = found {
                return Ok(address);
            }
            if Instant::now() >= until {
                let log = self.log().join("\n");
                return Err(io::Error::other(format!("the scheduler does not say {words:?}:\n{log}")));
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Kills it, as a crash would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// CPU time that its one thread has used so far, where the system tells.
    pub fn cpu(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{0}/task/{0}/schedstat", self.id())).ok()?;
        stat.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A site that serves.
pub struct Site {
    /// Its boxes.
    pub boxes: Vec<Rc<RenderBox>>,
    /// Its discovery.
    pub discovery: Rc<Discovery>,
    /// Its scheduler.
    pub scheduler: Scheduler,
    /// Where operators call.
    pub door: SocketAddr,
    /// Its clients.
    pub client: Rc<Client>,
}

/// Slots and speed of each box of a site, with its kind.
pub const BOXES: [(usize, f64, &str); 4] =
    [(3, 2.0, "fast-3"), (5, 1.2, "wide-5"), (5, 1.1, "wide-5"), (2, 0.8, "small-2")];

/// Work that a site of [`BOXES`] can do in a second.
pub fn capacity() -> f64 {
    BOXES.iter().map(|(slots, speed, _)| *slots as f64 * speed).sum()
}

impl Site {
    /// Starts site `number` with its files in `dir`, which must be there.
    ///
    /// # Errors
    /// If something of it does not come up.
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
        let mut boxes = Vec::new();
        for (n, (slots, speed, kind)) in BOXES.into_iter().enumerate() {
            let name = format!("s-{number}{n}");
            let window = Duration::from_secs(40);
            let spec =
                Spec { name: name.clone(), site: number, slots, queue: slots, speed, window, cold: None };
            let render = RenderBox::start(spec, journal.clone()).await?;
            discovery.list(Line { name, address: render.address, kind, state: "active", started_ms: 0 });
            boxes.push(render);
        }
        let file = dir.join("config.json");
        std::fs::write(&file, config(&format!("n{number}"), discovery.address, 1 + number as u64))?;
        let operator = match operator {
            Some(text) => {
                let file = dir.join("operator.kdl");
                std::fs::write(&file, text)?;
                Some(file)
            }
            None => None,
        };
        let scheduler = Scheduler::start(program, &file, operator.as_deref(), &dir)?;
        let door = scheduler.address("listening for operators address=").await?;
        let address = scheduler.address("serving clients address=").await?;
        boxes.iter().for_each(|render| render.calls(address));
        Ok(Site { boxes, discovery, scheduler, door, client: Rc::new(Client::new(address)) })
    }
}
