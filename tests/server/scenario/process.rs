//! A process of the scheduler, with its log.

use std::io::Read;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};

use super::{same, text_of, until, Step};

pub(super) struct Scheduler {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Scheduler {
    /// Starts one with this configuration; those with the same one share a `$TMPDIR` of their own.
    pub(super) fn start(config: &str, descriptors: u32) -> Self {
        let directory = format!("{config}.d");
        std::fs::create_dir_all(&directory).unwrap();
        let limit = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_chutesaddle"));
        let mut command = Command::new("sh");
        command.args(["-c", &limit]).env("NODE_CONFIG", config).env("TMPDIR", directory);
        let operator = format!("{config}.kdl");
        if Path::new(&operator).exists() {
            command.env("NODE_OPERATOR", operator);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log = Arc::default();
        let (stderr, written) = (child.stderr.take().unwrap(), Arc::clone(&log));
        std::thread::spawn(move || collect(stderr, &written));
        Scheduler { child, log }
    }

    /// The word after this text in the log, once its line is complete.
    pub(super) fn logged(&self, before: &str) -> String {
        let word = || {
            let log = self.log.lock().unwrap();
            let (line, _) = log.split_once(before)?.1.split_once('\n')?;
            line.split(' ').next().map(str::to_owned)
        };
        until(word).expect("the scheduler starts")
    }

    pub(super) fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    pub(super) fn signal(&self, name: &str) -> Step {
        let kill = format!("kill -s {name} {}", self.child.id());
        Command::new("sh").args(["-c", &kill]).status().map_err(text_of)?;
        Ok(())
    }

    /// `exit CODE`, `exit killed` or `log PART`.
    pub(super) fn expect(&mut self, text: &str) -> Step {
        match text.split_once(' ') {
            Some(("exit", code)) => {
                let status = until(|| self.child.try_wait().ok().flatten()).ok_or("still runs")?;
                same(&status.code().map_or("killed".to_owned(), |code| code.to_string()), code)
            }
            Some(("log", part)) => {
                let logged = || self.log.lock().unwrap().contains(part).then_some(());
                until(logged).ok_or("not in the log".into())
            }
            _ => Err("no such expectation".into()),
        }
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect(mut stderr: ChildStderr, log: &Mutex<String>) {
    let mut bytes = [0; 4096];
    while let Some(read) = stderr.read(&mut bytes).ok().filter(|&read| read > 0) {
        log.lock().unwrap().push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
}
