//! Starts a scheduler in its own process and collects its log.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// Time limit for a scheduler to log an expected line.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);

/// A scheduler process and its log.
pub struct SchedulerProcess {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl SchedulerProcess {
    /// Starts `program serve` with `dir` as its `$TMPDIR`, which holds its handover socket.
    ///
    /// # Errors
    /// If the process cannot be started.
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

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the lines logged so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Waits until the scheduler logs this text, and returns the address that follows it.
    ///
    /// # Errors
    /// If the scheduler does not log the text and an address in time.
    pub async fn address(&self, text: &str) -> io::Result<SocketAddr> {
        let deadline = Instant::now() + LOG_TIMEOUT;
        loop {
            let found = self.log().iter().rev().find_map(|line| {
                let (_, rest) = line.split_once(text)?;
                rest.split_whitespace().next()?.parse().ok()
            });
            if let Some(address) = found {
                return Ok(address);
            }
            if Instant::now() >= deadline {
                let log = self.log().join("\n");
                return Err(io::Error::other(format!(
                    "the scheduler logged no address after {text:?} within {LOG_TIMEOUT:?}:\n{log}"
                )));
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Kills the process with SIGKILL, to simulate a crash.
    pub fn kill(&mut self) {
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the CPU time used so far by the process's only thread, or `None` if the system does not report it.
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
