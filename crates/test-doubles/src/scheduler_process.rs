//! A scheduler in a process of its own, and its log.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// How long a scheduler may take to log something that it must log.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);

/// A scheduler process and its log.
pub struct SchedulerProcess {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl SchedulerProcess {
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
        Ok(SchedulerProcess { child, log })
    }

    /// Its process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The lines that it has logged.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// The address that follows this text in its log, once it is there.
    ///
    /// # Errors
    /// If it does not come in time.
    pub async fn address(&self, text: &str) -> io::Result<SocketAddr> {
        let until = Instant::now() + LOG_TIMEOUT;
        loop {
            let found = self.log().iter().rev().find_map(|line| {
                let (_, rest) = line.split_once(text)?;
                rest.split_whitespace().next()?.parse().ok()
            });
            if let Some(address) = found {
                return Ok(address);
            }
            if Instant::now() >= until {
                let log = self.log().join("\n");
                return Err(io::Error::other(format!("the scheduler does not say {text:?}:\n{log}")));
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Kills it, as a crash would.
    pub fn kill(&mut self) {
        // Both fail only if it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// CPU time that its one thread has used so far; `None` where the system does not say.
    pub fn cpu_time(&self) -> Option<Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{0}/task/{0}/schedstat", self.id())).ok()?;
        stat.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
