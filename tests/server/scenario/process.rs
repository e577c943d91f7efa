//! A scheduler process and its log.

use std::io::Read;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};

use super::{error_text, expect_equal, poll_until, StepResult};

/// A running scheduler. It is killed on drop.
pub(super) struct Scheduler {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Scheduler {
    /// Starts a process. Processes with the same configuration file share a `$TMPDIR`, so that a successor finds the
    /// handover socket.
    pub(super) fn start(config: &str, descriptor_limit: u32) -> Self {
        let directory = format!("{config}.d");
        std::fs::create_dir_all(&directory).unwrap();
        let shell_command =
            format!("ulimit -n {descriptor_limit}; exec {}", env!("CARGO_BIN_EXE_chutesaddle"));
        let mut command = Command::new("sh");
        command.args(["-c", &shell_command]).env("NODE_CONFIG", config).env("TMPDIR", directory);
        let operator_file = format!("{config}.kdl");
        if Path::new(&operator_file).exists() {
            command.env("NODE_OPERATOR", operator_file);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = Arc::default();
        let (stderr, log_writer) = (child.stderr.take().unwrap(), Arc::clone(&log));
        std::thread::spawn(move || collect_log(stderr, &log_writer));
        Scheduler { child, log }
    }

    /// Waits for a complete log line that contains the text, and returns the word after it.
    pub(super) fn wait_for_logged(&self, before: &str) -> String {
        let word = || {
            let log = self.log.lock().unwrap();
            let (line, _) = log.split_once(before)?.1.split_once('\n')?;
            line.split(' ').next().map(str::to_owned)
        };
        poll_until(word).unwrap_or_else(|| panic!("no {before:?} in the log of the scheduler"))
    }

    /// Everything logged so far.
    pub(super) fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Sends a signal, for example `TERM`.
    pub(super) fn signal(&self, name: &str) -> StepResult {
        let kill = format!("kill -s {name} {}", self.child.id());
        Command::new("sh").args(["-c", &kill]).status().map_err(error_text)?;
        Ok(())
    }

    /// `exit CODE`, `exit killed`, `log TEXT` or `memory-below MB`.
    pub(super) fn expect(&mut self, text: &str) -> StepResult {
        match text.split_once(' ') {
            Some(("exit", code)) => {
                let status = poll_until(|| self.child.try_wait().ok().flatten())
                    .ok_or("the process is still running")?;
                expect_equal(&status.code().map_or("killed".to_owned(), |code| code.to_string()), code)
            }
            Some(("log", part)) => {
                let logged = || self.log.lock().unwrap().contains(part).then_some(());
                poll_until(logged).ok_or("the text is not in the log".into())
            }
            Some(("memory-below", limit)) => {
                let limit: usize = limit.parse().map_err(error_text)?;
                let peak = self.peak_memory_mb()?;
                if peak < limit {
                    return Ok(());
                }
                Err(format!("the process has had {peak} MB"))
            }
            _ => Err("expected `exit CODE`, `exit killed`, `log TEXT` or `memory-below MB`".into()),
        }
    }

    /// The largest resident memory of the process so far, in mebibytes.
    fn peak_memory_mb(&self) -> Result<usize, String> {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).map_err(error_text)?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).ok_or("no VmHWM")?;
        let kilobytes = line.split_whitespace().next().ok_or("no value of VmHWM")?;
        Ok(kilobytes.parse::<usize>().map_err(error_text)? / 1024)
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect_log(mut stderr: ChildStderr, log: &Mutex<String>) {
    let mut bytes = [0; 4096];
    while let Some(read) = stderr.read(&mut bytes).ok().filter(|&read| read > 0) {
        log.lock().unwrap().push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
}
