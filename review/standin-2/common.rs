//! What all cases share: the record, HTTP messages, the process of a scheduler, discovery's agent, workers and clients.
//! Only the standard library is used. Everything listens on loopback, on ports that the system chooses.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub type Error = Box<dyn std::error::Error>;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Starts a thread with a small stack, since some cases have hundreds of workers.
pub fn spawn(work: impl FnOnce() + Send + 'static) {
    thread::Builder::new().stack_size(128 * 1024).spawn(work).expect("a thread can be started");
}

// ---- the record ----

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Arc::new(Record { file, started: Instant::now() }))
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let _ = writeln!(lock(&self.file), "{:>7} ms  {}", self.now_ms(), text.as_ref());
    }
}

// ---- HTTP ----

#[derive(Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads one message. `None` if the peer closed the connection before the first byte.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16 * 1024];
    let head = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            if buffer.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&chunk[..read]);
    };
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    let mut lines = text.lines();
    let mut message = Message { start: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < head + length {
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
    message.body = buffer[head..head + length].to_vec();
    buffer.drain(..head + length);
    Ok(Some(message))
}

// ---- the scheduler's process ----

/// The process IDs of the schedulers that have not ended.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends the case with 2, and all processes that it started, if it takes too long.
pub fn start_watchdog(limit: Duration) {
    spawn(move || {
        thread::sleep(limit);
        for id in lock(&RUNNING).iter() {
            // SAFETY: the process is a child that has not been waited for, so its ID is not reused.
            unsafe { kill(*id, SIGKILL) };
        }
        std::process::exit(2);
    });
}

/// A process started with the `run` of the deploy file. It is killed when this value is dropped.
pub struct Scheduler {
    child: Child,
    pub log: PathBuf,
}

impl Scheduler {
    pub fn start(root: &Path, temporary: &Path, config: &Path, label: &str) -> Result<Self, Error> {
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("no run line")?;
        let run = run.split('"').next().unwrap_or_default();
        let log = temporary.join(format!("{label}.log"));
        let shared = temporary.join("tmpdir");
        fs::create_dir_all(&shared)?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run)
            .current_dir(root)
            .env("NODE_CONFIG", config)
            .env("TMPDIR", &shared)
            .env_remove("NODE_OPS")
            .env_remove("NODE_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        lock(&RUNNING).push(child.id() as i32);
        Ok(Scheduler { child, log })
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: i32) {
        if !self.has_ended() {
            // SAFETY: the process is a child that has not been waited for, so its ID is not reused.
            unsafe { kill(self.child.id() as i32, signal) };
        }
    }

    pub fn has_ended(&mut self) -> bool {
        let mut running = lock(&RUNNING);
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            running.retain(|id| *id != self.child.id() as i32);
        }
        ended
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// A free port of a loopback address that nothing else in a case binds, so that it stays free until it is used.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.2:0")?.local_addr()
}

/// Waits until `GET /ready` answers 200.
pub fn wait_ready(address: SocketAddr) -> Result<(), Error> {
    for _ in 0..500 {
        if let Ok(mut stream) = TcpStream::connect(address) {
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            if stream.write_all(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n").is_ok() {
                if let Ok(Some(answer)) = read_message(&mut stream, &mut Vec::new()) {
                    if answer.word(1) == "200" {
                        return Ok(());
                    }
                }
            }
        }
        pause(20);
    }
    Err("the scheduler is not ready after 10 s".into())
}

/// Returns whether STATUS on the second address answers +OK.
pub fn says_yes(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut answer = [0; 64];
    let read = stream.write_all(b"STATUS\n").and_then(|()| stream.read(&mut answer)).unwrap_or(0);
    answer[..read].starts_with(b"+OK")
}

/// Waits until STATUS on the second address answers +OK.
pub fn wait_status(address: SocketAddr) -> Result<(), Error> {
    for _ in 0..1500 {
        if says_yes(address) {
            return Ok(());
        }
        pause(20);
    }
    Err("the new process does not say yes within 30 s".into())
}

// ---- discovery's agent ----

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        let Entry { id, address, zone, state } = self;
        format!(
            r#"{{"id":"{id}","addr":"{address}","zone":"{zone}","kind":"wide-5","cell":1,"state":"{state}","weight":1.0,"started_ms":0}}"#
        )
    }
}

pub fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

struct DiscoveryState {
    version: u64,
    entries: Vec<Entry>,
    changes: Vec<(u64, Entry)>,
}

/// The agent on the scheduler's machine. While it is down it accepts connections and says nothing.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<DiscoveryState>,
    down: AtomicBool,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Arc::new(Discovery {
            address: listener.local_addr()?,
            state: Mutex::new(DiscoveryState { version: 1, entries, changes: Vec::new() }),
            down: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let server = Arc::clone(&discovery);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                spawn(move || drop(server.serve(stream)));
            }
        });
        Ok(discovery)
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.record.line(if down { "discovery is down" } else { "discovery is back" });
    }

    pub fn change(&self, id: &str, to: &'static str) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        if let Some(entry) = state.entries.iter_mut().find(|entry| entry.id == id) {
            entry.state = to;
            let changed = entry.clone();
            state.changes.push((version, changed));
        }
        self.record.line(format!("discovery: {id} is {to}, version {version}"));
    }

    pub fn full(&self) -> (u64, String) {
        let state = lock(&self.state);
        (state.version, list_json(state.version, true, &state.entries))
    }

    fn changes_after(&self, since: u64) -> Option<(u64, String)> {
        let state = lock(&self.state);
        let changed: Vec<Entry> =
            state.changes.iter().filter(|(version, _)| *version > since).map(|(_, entry)| entry.clone()).collect();
        (!changed.is_empty()).then(|| (state.version, list_json(state.version, false, &changed)))
    }

    fn wait_up(&self) {
        while self.down.load(Ordering::SeqCst) {
            pause(10);
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer)? {
            self.wait_up();
            let (mut told, list) = self.full();
            if !request.word(1).contains("follow=1") {
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
                continue;
            }
            write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            write_chunk(&mut stream, &format!("{list}\n"))?;
            let mut last_line = Instant::now();
            loop {
                pause(10);
                self.wait_up();
                if let Some((version, list)) = self.changes_after(told) {
                    told = version;
                    write_chunk(&mut stream, &format!("{list}\n"))?;
                    self.record.line(format!("discovery has told version {version}"));
                    last_line = Instant::now();
                } else if last_line.elapsed() >= Duration::from_secs(2) {
                    write_chunk(&mut stream, "\n")?;
                    last_line = Instant::now();
                }
            }
        }
        Ok(())
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---- workers ----

/// What became of an attempt, as its worker sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    Held,
    Ended(&'static str),
    GivenUp,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: String,
    pub key: String,
    pub worker: usize,
    pub at_ms: u64,
    pub stage: Stage,
}

/// How a worker treats a request that has arrived whole.
pub enum Treatment {
    /// Answers 202, runs for this long and says `done`.
    Run(Duration),
    /// Answers 202, and after this time hands it back unstarted.
    HandBack(Duration),
    /// Answers 500 to it, and once more after this time if there is one.
    Fail(Option<Duration>),
}

type Treat = dyn Fn(&Attempt, &Message) -> Treatment + Send + Sync;

/// All workers of a case.
pub struct Workers {
    pub names: Vec<String>,
    pub addresses: Vec<SocketAddr>,
    pub attempts: Mutex<Vec<Attempt>>,
    pub slots: usize,
    /// Attempts that arrived while an earlier one of the same request had neither ended nor been given up.
    pub second_copies: AtomicU64,
    callback_to: SocketAddr,
    treat: Box<Treat>,
    record: Arc<Record>,
    dead: Vec<AtomicBool>,
    /// The open connections of each worker, which break when it dies.
    connections: Mutex<Vec<(usize, TcpStream)>>,
}

impl Workers {
    pub fn start(
        count: usize,
        slots: usize,
        callback_to: SocketAddr,
        record: &Arc<Record>,
        treat: impl Fn(&Attempt, &Message) -> Treatment + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let mut listeners = Vec::new();
        for _ in 0..count {
            listeners.push(TcpListener::bind("127.0.0.1:0")?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let workers = Arc::new(Workers {
            names: (0..count).map(|number| format!("s-{number:08x}")).collect(),
            addresses,
            attempts: Mutex::default(),
            slots,
            second_copies: AtomicU64::new(0),
            callback_to,
            treat: Box::new(treat),
            record: Arc::clone(record),
            dead: (0..count).map(|_| AtomicBool::new(false)).collect(),
            connections: Mutex::default(),
        });
        for (number, listener) in listeners.into_iter().enumerate() {
            let workers = Arc::clone(&workers);
            spawn(move || {
                for stream in listener.incoming().flatten() {
                    if workers.dead[number].load(Ordering::SeqCst) {
                        return; // closes the listener: new connections are refused from now on
                    }
                    if let Ok(copy) = stream.try_clone() {
                        lock(&workers.connections).push((number, copy));
                    }
                    let workers = Arc::clone(&workers);
                    spawn(move || drop(workers.serve(number, stream)));
                }
            });
        }
        Ok(workers)
    }

    /// Kills a worker's process. Its connections end, new ones are refused, and the machine's agent reports its jobs as
    /// lost.
    pub fn crash(self: &Arc<Self>, worker: usize) {
        self.record.line(format!("{}: its process is killed", self.names[worker]));
        self.dead[worker].store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addresses[worker]); // wakes the accepting thread
        for (_, stream) in lock(&self.connections).iter().filter(|(number, _)| *number == worker) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let held: Vec<usize> = {
            let attempts = lock(&self.attempts);
            (0..attempts.len()).filter(|&i| attempts[i].worker == worker && attempts[i].stage == Stage::Held).collect()
        };
        for index in held {
            self.end(index, "lost");
            self.tell_in_background(index, "\"state\":\"lost\"".to_owned());
        }
    }

    pub fn entries(&self, zone_of: impl Fn(usize) -> String) -> Vec<Entry> {
        let numbers = 0..self.names.len();
        let entry = |number: usize| Entry {
            id: self.names[number].clone(),
            address: self.addresses[number],
            zone: zone_of(number),
            state: "active",
        };
        numbers.map(entry).collect()
    }

    pub fn held(&self, worker: usize) -> usize {
        lock(&self.attempts).iter().filter(|a| a.worker == worker && a.stage == Stage::Held).count()
    }

    fn serve(self: &Arc<Self>, number: usize, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer)? {
            if message.word(0) == "DELETE" {
                let id = message.word(1).rsplit('/').next().unwrap_or_default().to_owned();
                self.give_up(number, &id);
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            let Some(id) = message.header("x-request-id") else {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            let attempt = Attempt {
                request: id.to_owned(),
                key: message.header("idempotency-key").unwrap_or_default().to_owned(),
                worker: number,
                at_ms: self.record.now_ms(),
                stage: Stage::Held,
            };
            self.record.line(format!("{}: attempt of {id} has arrived", self.names[number]));
            let treatment = (self.treat)(&attempt, &message);
            let index = {
                let mut attempts = lock(&self.attempts);
                for held in attempts.iter().filter(|a| a.request == attempt.request && a.stage == Stage::Held) {
                    self.second_copies.fetch_add(1, Ordering::SeqCst);
                    self.record.line(format!(
                        "{}: SECOND COPY of {id}, which {} has held since {} ms",
                        self.names[number], self.names[held.worker], held.at_ms
                    ));
                }
                attempts.push(attempt);
                attempts.len() - 1
            };
            match treatment {
                Treatment::Run(time) => {
                    stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")?;
                    let workers = Arc::clone(self);
                    spawn(move || workers.run(index, time));
                }
                Treatment::HandBack(time) => {
                    stream.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")?;
                    let workers = Arc::clone(self);
                    spawn(move || {
                        thread::sleep(time);
                        if workers.is_held(index) {
                            workers.end(index, "handed back");
                            workers.tell(index, "\"state\":\"returned\"");
                        }
                    });
                }
                Treatment::Fail(again_after) => {
                    let answer = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
                    self.end(index, "answered with 500");
                    stream.write_all(answer)?;
                    if let Some(after) = again_after {
                        thread::sleep(after);
                        self.record.line(format!("{}: the same 500 once more", self.names[number]));
                        stream.write_all(answer)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn give_up(&self, worker: usize, id: &str) {
        self.record.line(format!("{}: DELETE of {id}", self.names[worker]));
        for attempt in lock(&self.attempts).iter_mut() {
            if attempt.worker == worker && attempt.request == id && attempt.stage == Stage::Held {
                attempt.stage = Stage::GivenUp;
            }
        }
    }

    fn end(&self, index: usize, how: &'static str) {
        let mut attempts = lock(&self.attempts);
        if attempts[index].stage == Stage::Held {
            attempts[index].stage = Stage::Ended(how);
        }
        self.record.line(format!("{}: {} {how}", self.names[attempts[index].worker], attempts[index].request));
    }

    fn is_held(&self, index: usize) -> bool {
        lock(&self.attempts)[index].stage == Stage::Held
    }

    /// Runs a job: tells its start, its progress every second, and its end.
    fn run(self: Arc<Self>, index: usize, time: Duration) {
        let started = Instant::now();
        self.tell_in_background(index, "\"state\":\"started\"".to_owned());
        while started.elapsed() + Duration::from_secs(1) < time {
            pause(1000);
            if !self.is_held(index) {
                return;
            }
            let share = started.elapsed().as_secs_f64() / time.as_secs_f64();
            self.tell_in_background(index, format!("\"state\":\"running\",\"share\":{share:.3}"));
        }
        thread::sleep(time.saturating_sub(started.elapsed()));
        if !self.is_held(index) {
            return;
        }
        self.end(index, "done");
        let (request, worker) = {
            let attempt = &lock(&self.attempts)[index];
            (attempt.request.clone(), attempt.worker)
        };
        let free = self.slots.saturating_sub(self.held(worker));
        self.tell(
            index,
            &format!(
                "\"state\":\"done\",\"result\":\"map of {request}\",\"load\":{{\"eps\":0,\"latency_ms\":0,\"queue\":0,\"x0\":{free}}}"
            ),
        );
    }

    fn tell_in_background(self: &Arc<Self>, index: usize, what: String) {
        let workers = Arc::clone(self);
        spawn(move || workers.tell(index, &what));
    }

    /// Repeats a call until it is answered, ten times at most.
    fn tell(&self, index: usize, what: &str) {
        let (request, worker) = {
            let attempt = &lock(&self.attempts)[index];
            (attempt.request.clone(), attempt.worker)
        };
        let body = format!(r#"{{"id":"{request}","from":"{}",{what}}}"#, self.names[worker]);
        for _ in 0..10 {
            if post_callback(self.callback_to, &body).is_ok() {
                return;
            }
            pause(300);
        }
        self.record.line(format!("{}: a call about {request} was never answered", self.names[worker]));
    }
}

fn post_callback(address: SocketAddr, body: &str) -> Result<(), Error> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let head = "POST /callback HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\nContent-Type: application/json";
    write!(stream, "{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    let answer = read_message(&mut stream, &mut Vec::new())?.ok_or("closed")?;
    match answer.word(1) {
        "200" | "204" => Ok(()),
        other => Err(format!("callback answered {other}").into()),
    }
}

// ---- clients ----

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The status of the answer.
    Answered(u16),
    /// Closed or reset by the scheduler before a whole answer.
    Closed,
    /// Nothing within the deadline and half a second.
    Nothing,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub class: &'static str,
    pub id: String,
    pub key: Option<String>,
    pub deadline_ms: u64,
    pub work_ms: u64,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Job {
    pub fn new(class: &'static str, deadline_ms: u64, work_ms: u64) -> Self {
        let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
        Job { class, id: format!("{number:016x}"), key: None, deadline_ms, work_ms }
    }

    pub fn with_key(mut self) -> Self {
        self.key = Some(format!("0badc0de{}", self.id));
        self
    }
}

/// The outcomes of all jobs, by request ID.
pub struct Clients {
    pub scheduler: SocketAddr,
    pub outcomes: Mutex<HashMap<String, (Job, Outcome, u64)>>,
    pub waiting: AtomicU64,
    record: Arc<Record>,
}

impl Clients {
    pub fn new(scheduler: SocketAddr, record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Clients {
            scheduler,
            outcomes: Mutex::default(),
            waiting: AtomicU64::new(0),
            record: Arc::clone(record),
        })
    }

    /// Sends a job on a connection of its own and waits for its answer in the background.
    pub fn send(self: &Arc<Self>, job: Job) {
        let clients = Arc::clone(self);
        clients.waiting.fetch_add(1, Ordering::SeqCst);
        spawn(move || {
            let sent = Instant::now();
            let outcome = clients.exchange(&job);
            let took_ms = sent.elapsed().as_millis() as u64;
            clients.record.line(format!("client: {} {} {outcome:?} after {took_ms} ms", job.class, job.id));
            lock(&clients.outcomes).insert(job.id.clone(), (job, outcome, took_ms));
            clients.waiting.fetch_sub(1, Ordering::SeqCst);
        });
    }

    fn exchange(&self, job: &Job) -> Outcome {
        let patience = Duration::from_millis(job.deadline_ms + 550);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.scheduler, patience) else {
            self.record.line(format!("client: no connection for {}", job.id));
            return Outcome::Closed;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(patience));
        let body = format!("{{\"work_ms\":{}}}", job.work_ms);
        let key = job.key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        let head = format!(
            "POST /{}/{} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {}\r\nX-Tenant: barfani-heights\r\nX-Deadline-Ms: {}\r\nX-Cost-Hint: {}\r\n{key}Content-Length: {}\r\n\r\n{body}",
            job.class, job.id, job.id, job.deadline_ms, job.work_ms * 1000, body.len()
        );
        self.record.line(format!("client: sends {} {} with {} ms", job.class, job.id, job.deadline_ms));
        if stream.write_all(head.as_bytes()).is_err() {
            return Outcome::Closed;
        }
        match read_message(&mut stream, &mut Vec::new()) {
            Ok(Some(answer)) => Outcome::Answered(answer.word(1).parse().unwrap_or(0)),
            Ok(None) => Outcome::Closed,
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Outcome::Nothing,
                _ => Outcome::Closed,
            },
        }
    }

    /// Waits until all clients have an answer or have given up.
    pub fn wait(&self) {
        while self.waiting.load(Ordering::SeqCst) > 0 {
            pause(20);
        }
    }

    /// The jobs that got no whole answer in time.
    pub fn unanswered(&self) -> Vec<(Job, Outcome, u64)> {
        let outcomes = lock(&self.outcomes);
        let lost = |entry: &&(Job, Outcome, u64)| !matches!(entry.1, Outcome::Answered(_));
        outcomes.values().filter(lost).cloned().collect()
    }

    pub fn summary(&self) -> String {
        let mut counts: HashMap<String, usize> = HashMap::new();
        for (job, outcome, _) in lock(&self.outcomes).values() {
            *counts.entry(format!("{} {outcome:?}", job.class)).or_default() += 1;
        }
        let mut lines: Vec<String> = counts.iter().map(|(what, count)| format!("{what}: {count}")).collect();
        lines.sort();
        lines.join(", ")
    }
}

/// The time that a job takes, from its body.
pub fn work_of(message: &Message) -> Duration {
    let text = String::from_utf8_lossy(&message.body).into_owned();
    let digits: String = text.chars().filter(char::is_ascii_digit).collect();
    Duration::from_millis(digits.parse().unwrap_or(50))
}

// ---- a small deployment ----

/// The settings in which the cases differ.
pub struct Deployment {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub areas: &'static str,
    pub draw_deadline_s: f64,
    pub publish_effect: &'static str,
    pub publish_group: &'static str,
    pub known: String,
}

impl Deployment {
    pub fn write(&self, path: &Path, ops: SocketAddr) -> io::Result<()> {
        let Deployment { listen, discovery, sockets, areas, draw_deadline_s, publish_effect, publish_group, known } =
            self;
        fs::write(
            path,
            format!(
                r#"{{"name":"n1","listen":"{listen}","ops":"{ops}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},
"settings":{{"areas":[{areas}],"zone":0,"kinds":["fast-3","wide-5","small-2"],"balancers":1,"index":0,"tier":0,
"tiers":["render-boxes"],"tick_s":0.005,"kind_of_service":"jobs","membership_mode":"pushed","weights":"none",
"worth_by":"work","over_share_worth":0.05,
"grades":[{{"name":"draw-map","effect":"repeatable","group":"all","slo_s":0.25,"deadline_s":{draw_deadline_s},"worth":2.0,"window_s":5.0,"late_worth":0.5,"streamed":false}},
{{"name":"publish-map","effect":"{publish_effect}","group":"{publish_group}","slo_s":0.8,"deadline_s":25.0,"worth":5.0,"window_s":40.0,"late_worth":0.5,"streamed":false}}],
"parties":[{{"name":"barfani-heights","share":0.5,"quota_per_s":500.0}},{{"name":"chinar-slopes","share":0.5,"quota_per_s":500.0}}],
"allowed":{{"may_cancel":true,"send_cap":3,"retry_after":true,"max_retry_after_s":2.0,"connect_timeout_s":0.25,"conn_idle_s":60.0,
"probes":false,"peer_messages":false,"second_copies":false,"streams_per_conn":1,"open_cap":20000,"cpu_us_per_s":15000,"cpu_us_per_request":0.0}},
"client_habits":{{"marks_retry":false}},
"report":{{"how":"answers","fields":["eps","latency_ms","queue","x0"]}},
"contract":{{"answer_slack_s":0.02,"ask_within_s":10.0,"cold_share":0.13,"drain_grace_s":0.5,"fall_multiple":3.0,"overload_for_s":3.0,"warm_within_s":24.0}},
"specifics":{{"class_kind":[-1,-1],"class_priority":[0,1],"class_stretch":[2.5,2.0],"notes":"1 it has started, 2 share done","progress_s":1.0,"queue_order":"fifo","report_x0":"free_slots","tells_start":true}}}}}}"#
            ),
        )
    }
}

/// The folders of a case.
pub struct Place {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub record: Arc<Record>,
    /// False with `TROUBLE=0`.
    pub trouble: bool,
}

impl Place {
    /// Writes the end of a scheduler's log into the record.
    pub fn keep_log(&self, scheduler: &Scheduler, label: &str) {
        let log = fs::read_to_string(&scheduler.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        for line in lines.iter().take(12).chain(lines.iter().skip(12.max(lines.len().saturating_sub(12)))) {
            let shown: String = line.chars().take(300).collect();
            self.record.line(format!("log of {label}: {shown}"));
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.temporary);
    }
}
