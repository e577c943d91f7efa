//! Parts that all cases share: the record, HTTP, the scheduler's process, discovery, clients and callbacks.
//! Only the standard library is used.

#![allow(dead_code)] // not each case uses all of it

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

/// Writes lines with the time since the start to `record.txt`.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|error| give_up(&format!("record: {error}")));
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {}", self.start.elapsed().as_secs_f64(), text.as_ref());
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Ends the case with the code for "could not run". Called only while no process is started.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case cannot run: {reason}");
    std::process::exit(CANNOT_RUN);
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn spawn(task: impl FnOnce() + Send + 'static) {
    let spawned = thread::Builder::new().stack_size(128 * 1024).spawn(task);
    drop(spawned.expect("a thread"));
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&format!("listen: {error}")))
}

/// A loopback address that is free, outside the range from which the kernel takes the ports of connections.
pub fn free_address() -> SocketAddr {
    static TRIED: AtomicU64 = AtomicU64::new(0);
    for _ in 0..1000 {
        let number =
            TRIED.fetch_add(1, Ordering::Relaxed) + unix_ms() * 1000 + (u64::from(std::process::id()) << 44);
        let port = 10_000 + (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    give_up("no free port")
}

/// An HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn id(&self) -> String {
        self.header("x-request-id").unwrap_or_default().to_owned()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message. `None` if the peer closed the connection before it.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            if head.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let mut message =
        Message { first_line: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A request of a client.
#[derive(Clone)]
pub struct Job {
    pub class: &'static str,
    pub id: String,
    pub tenant: &'static str,
    pub key: Option<String>,
    pub deadline_ms: u64,
    pub hint_us: u64,
    pub body: String,
}

impl Job {
    pub fn bytes(&self) -> Vec<u8> {
        let key = self.key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        format!(
            "POST /{}/{} HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {}\r\nX-Tenant: {}\r\nX-Deadline-Ms: {}\r\n\
             X-Cost-Hint: {}\r\n{key}Content-Length: {}\r\n\r\n{}",
            self.class, self.id, self.id, self.tenant, self.deadline_ms, self.hint_us, self.body.len(), self.body
        )
        .into_bytes()
    }
}

/// A request id in the form that the protocol page shows.
pub fn fresh_id(number: u64) -> String {
    let salt = unix_ms() ^ (u64::from(std::process::id()) << 40);
    format!("{:016x}", salt.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ number.wrapping_mul(0xD6E8_FEB8_6659_FD93))
}

/// Sends a request on a connection and waits for its answer, for at most `wait`.
pub fn exchange(stream: &mut TcpStream, bytes: &[u8], wait: Duration) -> Result<Message, String> {
    stream.write_all(bytes).map_err(|error| format!("write: {error}"))?;
    stream.set_read_timeout(Some(wait)).map_err(|error| error.to_string())?;
    match read_message(stream) {
        Ok(Some(answer)) => Ok(answer),
        Ok(None) => Err("closed without an answer".to_owned()),
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            Err("no answer".to_owned())
        }
        Err(error) => Err(format!("broken: {error}")),
    }
}

/// Sends one callback, once. Returns whether it was answered with 200 or 204.
pub fn callback_once(address: SocketAddr, body: &str, wait: Duration) -> bool {
    let Ok(mut stream) = connect(address) else { return false };
    let head = format!("POST /callback HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n", body.len());
    let answer = exchange(&mut stream, format!("{head}{body}").as_bytes(), wait);
    answer.is_ok_and(|answer| matches!(answer.status(), 200 | 204))
}

/// Sends a callback and repeats it until it is answered, ten times at most (protocol page).
pub fn callback(record: &Record, address: SocketAddr, body: &str) {
    for call in 1..=10 {
        let answered = callback_once(address, body, Duration::from_secs(1));
        record.line(format!(
            "worker   callback {body} call {call}: {}",
            if answered { "answered" } else { "no answer" }
        ));
        if answered {
            return;
        }
        sleep_ms(100);
    }
}

/// Reads a key of the deploy file.
pub fn deploy(root: &Path, key: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(&format!("{key} = ")));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.unwrap_or_else(|| give_up(&format!("no {key} in the deploy file"))).to_owned()
}

/// The processes that the case has started and that have not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn signal_process(id: u32, name: &str) {
    let _ =
        Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id}")]).stderr(Stdio::null()).status();
}

/// Ends the case before its 120 s are over, and all processes that it started.
fn watch_the_time() {
    spawn(|| {
        thread::sleep(Duration::from_secs(114));
        for process in PROCESSES.lock().unwrap().iter() {
            signal_process(*process, "KILL");
        }
        give_up("it takes too long");
    });
}

/// What a case needs to know of its surroundings.
pub struct Place {
    pub root: PathBuf,
    pub tmp: PathBuf,
    pub record: Arc<Record>,
}

impl Place {
    /// `folder` is the case's folder.
    pub fn new(folder: &Path) -> Place {
        let root = folder.join("../..").canonicalize().unwrap_or_else(|error| give_up(&error.to_string()));
        let tmp = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&tmp).unwrap_or_else(|error| give_up(&error.to_string()));
        let record = Record::create(&folder.join("record.txt"));
        record.line(if trouble() { "with the disruption" } else { "without the disruption" });
        watch_the_time();
        Place { root, tmp, record }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.tmp);
    }
}

/// A process that `run` of the deploy file started.
pub struct Scheduler {
    pub child: Child,
    pub label: String,
    record: Arc<Record>,
    log: PathBuf,
}

/// What a scheduler is told.
pub struct Told {
    pub label: String,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
    pub discovery: SocketAddr,
    pub config: String,
    /// `$TMPDIR`, which the two processes of an upgrade share.
    pub tmpdir: PathBuf,
}

impl Scheduler {
    pub fn start(place: &Place, told: &Told) -> Scheduler {
        std::fs::create_dir_all(&told.tmpdir).unwrap();
        let config = place.tmp.join(format!("config-{}.json", told.label));
        std::fs::write(&config, &told.config).unwrap();
        let log = place.tmp.join(format!("log-{}.txt", told.label));
        let out = File::create(&log).unwrap();
        let error = out.try_clone().unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy(&place.root, "run")])
            .current_dir(&place.root)
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", told.listen.to_string())
            .env("NODE_OPS", told.ops.to_string())
            .env("NODE_DISCOVERY", told.discovery.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", &told.tmpdir)
            .stdin(Stdio::null())
            .stdout(Stdio::from(out))
            .stderr(Stdio::from(error))
            .spawn()
            .unwrap_or_else(|error| give_up(&format!("run: {error}")));
        PROCESSES.lock().unwrap().push(child.id());
        place.record.line(format!("platform starts {} (process {})", told.label, child.id()));
        Scheduler { child, label: told.label.clone(), record: Arc::clone(&place.record), log }
    }

    pub fn signal(&self, name: &str) {
        self.record.line(format!("platform sends SIG{name} to {}", self.label));
        signal_process(self.child.id(), name);
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        PROCESSES.lock().unwrap().retain(|process| *process != self.child.id());
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        for line in log.lines() {
            self.record.line(format!("log of {}: {line}", self.label));
        }
    }
}

/// Asks the door for operators. `None` if nobody answers.
pub fn status(ops: SocketAddr) -> Option<String> {
    let mut stream = connect(ops).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(b"STATUS\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

/// Waits until the process says that it is ready to serve.
pub fn wait_until_ready(ops: SocketAddr, most: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < most {
        if status(ops).is_some_and(|text| text.starts_with("+OK")) {
            return true;
        }
        sleep_ms(20);
    }
    false
}

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub state: &'static str,
    pub started_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":0,"state":"{}","weight":1.0,"started_ms":{}}}"#,
            self.id, self.address, self.zone, self.kind, self.state, self.started_ms
        )
    }
}

pub fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

struct AgentState {
    version: u64,
    entries: Vec<Entry>,
    /// Changes since the start, each with its version.
    changes: Vec<(u64, Entry)>,
    silent: bool,
}

/// Discovery's agent on the scheduler's machine.
pub struct Agent {
    pub address: SocketAddr,
    state: Mutex<AgentState>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Agent {
    pub fn start(record: &Arc<Record>, version: u64, entries: Vec<Entry>) -> Arc<Agent> {
        let listener = listen();
        let state = AgentState { version, entries, changes: Vec::new(), silent: false };
        let agent = Arc::new(Agent {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&agent);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = Arc::clone(&accepting);
                spawn(move || drop(agent.serve(stream)));
            }
        });
        agent
    }

    /// Publishes a changed entry.
    pub fn change(&self, entry: Entry) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        self.record.line(format!("discovery has version {version}: {} is {}", entry.id, entry.state));
        match state.entries.iter_mut().find(|known| known.id == entry.id) {
            Some(known) => *known = entry.clone(),
            None => state.entries.push(entry.clone()),
        }
        state.changes.push((version, entry));
        self.changed.notify_all();
    }

    /// While it is silent, the agent accepts connections and answers nothing; open watches say nothing.
    pub fn set_silent(&self, silent: bool) {
        self.record.line(if silent { "discovery falls silent" } else { "discovery is back" });
        self.state.lock().unwrap().silent = silent;
        self.changed.notify_all();
    }

    fn wait_while_silent(&self) {
        let mut state = self.state.lock().unwrap();
        while state.silent {
            state = self.changed.wait(state).unwrap();
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        while let Some(request) = read_message(&mut stream)? {
            self.wait_while_silent();
            let (mut sent, list) = {
                let state = self.state.lock().unwrap();
                (state.version, list_json(state.version, true, &state.entries))
            };
            if !request.target().contains("follow=1") {
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
                continue;
            }
            self.record.line(format!("discovery answers a watch with version {sent}"));
            write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            chunk(&mut stream, &format!("{list}\n"))?;
            loop {
                let (line, version) = {
                    let state = self.state.lock().unwrap();
                    let quiet = |state: &mut AgentState| state.version == sent || state.silent;
                    let (state, _) =
                        self.changed.wait_timeout_while(state, Duration::from_secs(2), quiet).unwrap();
                    if state.silent {
                        drop(state);
                        self.wait_while_silent();
                        return Ok(()); // the watch of before does not come back
                    }
                    let news: Vec<Entry> = state
                        .changes
                        .iter()
                        .filter(|(version, _)| *version > sent)
                        .map(|(_, entry)| entry.clone())
                        .collect();
                    let line =
                        if news.is_empty() { String::new() } else { list_json(state.version, false, &news) };
                    (line, state.version)
                };
                if !line.is_empty() {
                    self.record.line(format!("discovery writes version {version} to a watch"));
                }
                chunk(&mut stream, &format!("{line}\n"))?;
                sent = version;
            }
        }
        Ok(())
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// The settings of a small deployment, as in the example of the wire page. `classes` is the JSON of `grades`.
pub struct Settings {
    pub grades: String,
    /// For each class the kind that runs it, or -1.
    pub class_kind: &'static str,
    pub may_cancel: bool,
    pub second_copies: bool,
    pub balancers: usize,
}

pub const DRAW_MAP: &str = r#"{"name":"draw-map","deadline_s":7.5,"slo_s":0.25,"effect":"repeatable","group":"all","late_worth":0.0,"streamed":false,"window_s":5.0,"worth":2.0}"#;
pub const PUBLISH_MAP: &str = r#"{"name":"publish-map","deadline_s":25.0,"slo_s":0.8,"effect":"by_key","group":"all","late_worth":0.0,"streamed":false,"window_s":40.0,"worth":5.0}"#;

impl Default for Settings {
    fn default() -> Self {
        let grades = format!("[{DRAW_MAP},{PUBLISH_MAP}]");
        Settings { grades, class_kind: "-1,-1", may_cancel: true, second_copies: false, balancers: 4 }
    }
}

impl Settings {
    fn json(&self) -> String {
        let Settings { grades, class_kind: kind, may_cancel, second_copies, balancers } = self;
        format!(
            r#"{{"allowed":{{"conn_idle_s":60.0,"connect_timeout_s":0.25,"cpu_us_per_request":0.0,"cpu_us_per_s":15000,"max_retry_after_s":2.0,"may_cancel":{may_cancel},"open_cap":20000,"peer_messages":false,"probes":false,"retry_after":true,"second_copies":{second_copies},"send_cap":3,"streams_per_conn":1}},"areas":["isb-1","lhe-1","pew-1","khi-1"],"balancers":{balancers},"client_habits":{{"marks_retry":false}},"contract":{{"answer_slack_s":0.02,"ask_within_s":10.0,"cold_share":0.13,"drain_grace_s":0.5,"fall_multiple":3.0,"overload_for_s":3.0,"warm_within_s":24.0}},"grades":{grades},"index":0,"kind_of_service":"jobs","kinds":["fast-3","wide-5","small-2"],"membership_mode":"pushed","over_share_worth":0.05,"parties":[{{"name":"barfani-heights","quota_per_s":15.0,"share":0.5}},{{"name":"chinar-slopes","quota_per_s":15.0,"share":0.5}}],"report":{{"fields":["eps","latency_ms","queue","x0"],"how":"answers"}},"specifics":{{"class_kind":[{kind}],"class_priority":[0,1,1],"class_stretch":[2.5,2.0,2.0],"notes":"1_it_has_started__2_share_done","progress_s":1.0,"queue_order":"fifo","report_x0":"free_slots","report_x1":"free_memory","tells_start":true}},"tick_s":0.005,"tier":0,"tiers":["render-boxes"],"weights":"live","worth_by":"work","zone":0}}"#
        )
    }
}

/// The configuration file of a scheduler. `known` is a list in discovery's form.
pub fn config(
    listen: SocketAddr,
    ops: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    settings: &Settings,
) -> String {
    let seed = format!("{:016x}", unix_ms().wrapping_mul(0x9E37_79B9_7F4A_7C15));
    format!(
        r#"{{"name":"n1","listen":"{listen}","ops":"{ops}","discovery":"{discovery}","seed":"{seed}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{}}}"#,
        settings.json()
    )
}
