//! The one helper of the network tests: starts the scheduler, plays the parties around it, and reads
//! scenarios in a small language. A line is `ACTOR VERB TEXT`; the verbs are send, expect, close, wait.
//!
//! Actors: `c1`, `c2` .. are connections to the scheduler, of clients and of members that call back; `m1`,
//! `m2` .. are members, `d` and `d2` are discovery, each with the connection it accepted last; `o1`, `o2` ..
//! are operators at their door, whose answer reaches to the end; `s` is the scheduler itself. `s2` and `s3`
//! are further processes of it, which `s2 send START` starts beside it; `p1`, `p2` .. and `q1`, `q2` .. are
//! operators at their doors.
//!
//! - `send TEXT`: a message; `|` ends a line of the head, `||` the head. `raw TEXT` is sent as it stands,
//!   with `\r` and `\n`. Short forms: `job ID CLASS MS HEADERS`, `call ID FROM STATE RESULT`, `202 HEADERS`,
//!   and of discovery `line TEXT`, `full m1:active` and `some m1:leaving:-5` (started 5 s ago). `s send TERM`
//!   signals the scheduler, `s send config OLD => NEW` changes its file; `{d2}` stands for an address.
//!
//! In [`NOTES`] the scheduler is number 0 of two that send each other notes. `n1` is the other one and `x` a stranger;
//! `send datagram N` sends so many zero bytes, `n1 expect note` waits for what the scheduler
//! tells all, and `n1 expect silence` until it tells nothing any more.
//!
//! `v` is a process of another build that replaces the scheduler, as far as frames that last go: `v send serving`,
//! `v send call ID FROM`, `v send other`, and `v expect KIND` of a frame.
//!
//! In [`SITES`] the scheduler is the site `a`, and `t` is that of the site `b` (`t2`: one that replaces it), with
//! the discovery `e`, the member `m2`, clients `f1` .. and operators `r1` .. (of `t2`: `u1` ..). `w` is the wire on
//! which `a` dials `b`: `w send cut`, `back` (nothing comes back), `reset`, `sound`. `g1` .. call at the gateway of
//! `b`. `s send operator OLD => NEW` (or `t`) changes the operator's file.
//!
//! - `expect TEXT`: the next message holds each part, parts set apart by ` & ` (`not PART`: does not hold it); `expect new TEXT`: on a new
//!   connection. Also `eof`, `fin` (the same, without a reset), `silence` (nothing has come), and for the scheduler `exit 0`, `exit killed` and `log TEXT`.
//! - `close`: the connection; `close door`: the listener as well.
//! - `wait COUNTER N`: until the scheduler has counted that far; of an operator, `wait CALL => PART`: until an
//!   answer to that call holds the part.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::build::OtherBuild;

/// No verdict depends on it: what is expected comes at once, or the test fails after this.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a scenario starts with.
pub(crate) struct World {
    /// The members known at the start, in the words of `d send full`.
    pub known: &'static str,
    /// Descriptors that the scheduler is told of.
    pub sockets: usize,
    /// Descriptors that it has in truth.
    pub descriptors: u32,
    /// When members close idle connections.
    pub conn_idle_s: f64,
    /// Lists are pushed: discovery is an agent on the scheduler's machine, which is asked often while it is silent.
    pub agent: bool,
    /// There is a second scheduler, as far as notes go.
    pub notes: bool,
    /// There is a second site, and a gateway between the two.
    pub sites: bool,
}

/// Two members, of which the first takes work.
pub(crate) const PLAIN: World = World {
    known: "m1:active",
    sockets: 1024,
    descriptors: 1024,
    conn_idle_s: 60.0,
    agent: false,
    notes: false,
    sites: false,
};

/// One of two schedulers that send each other notes.
pub(crate) const NOTES: World = World { notes: true, ..PLAIN };

/// Two sites, each with a member.
pub(crate) const SITES: World = World { sites: true, ..PLAIN };

/// Plays a scenario and fails where it does not come out as written.
pub(crate) fn play(world: &World, scenario: &str) {
    let mut stage = Stage::new(world);
    for (number, line) in scenario.lines().map(str::trim).enumerate().filter(|(_, l)| !l.is_empty()) {
        let mut words = line.splitn(3, ' ');
        let mut word = || words.next().unwrap_or_default();
        let (actor, verb, text) = (word(), word(), word());
        stage
            .step(actor, verb, text)
            .unwrap_or_else(|why| panic!("line {}, {line:?}: {why}\nlog:\n{}", number + 1, stage.logs()));
    }
    let log = stage.logs();
    assert!(!log.contains("panicked"), "{log}");
}

struct Stage {
    processes: HashMap<String, Scheduler>,
    address: String,
    file: String,
    descriptors: u32,
    doors: HashMap<String, TcpListener>,
    addresses: HashMap<String, String>,
    wires: HashMap<String, Wire>,
    silent: Vec<Wire>,
    version: u64,
    between: Option<Between>,
    datagrams: HashMap<String, UdpSocket>,
    other_build: Option<OtherBuild>,
}

struct Wire {
    stream: TcpStream,
    read: Vec<u8>,
}

type Step = Result<(), String>;

impl Stage {
    fn new(world: &World) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let door = || TcpListener::bind("127.0.0.1:0").unwrap();
        let doors: HashMap<_, _> = ["d", "d2", "e", "m1", "m2"].map(|name| (name.to_owned(), door())).into();
        let at = |door: &TcpListener| door.local_addr().unwrap().to_string();
        let addresses: HashMap<_, _> = doors.iter().map(|(name, door)| (name.clone(), at(door))).collect();
        let config = format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","ops":"127.0.0.1:0","discovery":"{}","seed":"1f","limits":{{"sockets":{}}},
            "known":{},"settings":{{"membership_mode":"{}","areas":["a","b"],"kinds":["k"],"balancers":1,"tick_s":0.005,
            "grades":[{{"name":"draw-map","effect":"repeatable","slo_s":3,"deadline_s":8,"worth":2}},
            {{"name":"publish-map","effect":"by_key","group":"all","slo_s":3,"deadline_s":8,"window_s":40}}],
            "parties":[{{"name":"acme","quota_per_s":100}}],
            "allowed":{{"may_cancel":true,"send_cap":3,"retry_after":true,"max_retry_after_s":2,
            "connect_timeout_s":0.5,"conn_idle_s":{}}},"report":{{"fields":["queue","x0"]}},
            "contract":{{"cold_share":0.13,"warm_within_s":24,"fall_multiple":3,"overload_for_s":3}},
            "specifics":{{"tells_start":true,"progress_s":1,"report_x0":"free_slots"}}}}}}"#,
            addresses["d"],
            world.sockets,
            list(41, true, world.known, &addresses),
            if world.agent { "pushed" } else { "on_request" },
            world.conn_idle_s,
        );
        let udp = |name: &str| (name.to_owned(), UdpSocket::bind("127.0.0.1:0").unwrap());
        let datagrams: HashMap<_, _> = ["n1", "x"].map(udp).into();
        let config = if world.notes {
            let at = datagrams["n1"].local_addr().unwrap();
            let ways = format!(
                r#""peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1","{at}"],"peers_all":"{at}","known""#
            );
            let allowed = r#""peer_messages":true,"may_cancel""#;
            config
                .replace(r#""known""#, &ways)
                .replace(r#""may_cancel""#, allowed)
                .replace(r#""balancers":1"#, r#""balancers":2"#)
        } else {
            config
        };
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("{}/{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        std::fs::write(&name, &config).unwrap();
        let between = world.sites.then(Between::new);
        if let Some(between) = &between {
            // Notes of progress are no matter here: without them, no job is moved.
            let config = config.replace(r#""progress_s":1"#, r#""progress_s":30"#);
            std::fs::write(&name, &config).unwrap();
            operator(&name, "a", "b", &between.address);
            let other = format!("{name}.b.json");
            let there = config.replacen("n1", "n2", 1).replace(&addresses["d"], &addresses["e"]);
            let there =
                there.replace(r#""id":"m1""#, r#""id":"m2""#).replace(&addresses["m1"], &addresses["m2"]);
            std::fs::write(&other, there).unwrap();
            // Nobody is behind the wire on which it would dial.
            operator(&other, "b", "a", "127.0.0.1:1");
        }
        let mut processes = HashMap::new();
        if let Some(between) = &between {
            let other = Scheduler::start(&format!("{name}.b.json"), world.descriptors);
            between.lead(other.logged("listening for site links address="));
            other.logged("serves on ");
            processes.insert("t".to_owned(), other);
        }
        let scheduler = Scheduler::start(&name, world.descriptors);
        let address = scheduler.logged("serves on ");
        let (wires, silent) = (HashMap::new(), Vec::new());
        processes.insert("s".to_owned(), scheduler);
        let descriptors = world.descriptors;
        Stage {
            processes,
            address,
            file: name,
            descriptors,
            doors,
            addresses,
            wires,
            silent,
            version: 41,
            between,
            datagrams,
            other_build: None,
        }
    }

    fn step(&mut self, actor: &str, verb: &str, text: &str) -> Step {
        match (actor, verb) {
            ("s", "send") if text.starts_with("config ") => {
                let (old, new) = text[7..].split_once(" => ").ok_or("an old and a new text")?;
                let (old, new) = (self.addressed(old), self.addressed(new));
                let config = std::fs::read_to_string(&self.file).map_err(|e| e.to_string())?;
                assert!(config.contains(&old), "no {old:?} in the configuration");
                std::fs::write(&self.file, config.replace(&old, &new)).map_err(|e| e.to_string())
            }
            ("s" | "t", "send") if text.starts_with("operator ") => {
                let (old, new) = text[9..].split_once(" => ").ok_or("an old and a new text")?;
                let site = if actor == "s" { "" } else { ".b.json" };
                let file = format!("{}{site}.kdl", self.file);
                let operator = std::fs::read_to_string(&file).map_err(|e| e.to_string())?;
                assert!(operator.contains(old), "no {old:?} in the operator's file");
                std::fs::write(&file, operator.replace(old, new)).map_err(|e| e.to_string())
            }
            ("v", "close") => {
                self.other_build = None;
                Ok(())
            }
            ("v", verb) => {
                if self.other_build.is_none() {
                    self.other_build = Some(OtherBuild::call(&self.file, PATIENCE)?);
                }
                let Some(other) = &mut self.other_build else {
                    return Err("no other build".into());
                };
                if verb == "send" {
                    return other.say(text);
                }
                other.hear(text.parse().map_err(|_| "a kind")?)
            }
            ("n1" | "x", "send") => {
                let length = text.strip_prefix("datagram ").and_then(|n| n.parse().ok()).ok_or("a length")?;
                let to = self.process("s")?.logged("listening for gossip address=");
                let sent = self.datagrams[actor].send_to(&vec![0; length], to);
                sent.map(|_| ()).map_err(|e| e.to_string())
            }
            ("n1", "expect") => {
                let socket = &self.datagrams[actor];
                if text == "silence" {
                    // Longer than the longest gap between two notes.
                    socket.set_read_timeout(Some(Duration::from_millis(700))).unwrap();
                    return until(|| socket.recv(&mut [0; 300]).is_err().then_some(()))
                        .ok_or("it goes on".into());
                }
                socket.set_read_timeout(Some(PATIENCE)).unwrap();
                let length = socket.recv(&mut [0; 300]).map_err(|e| e.to_string())?;
                same(if length <= 256 { text } else { "more than 256 bytes" }, "note")
            }
            ("w", "send") => self.between.as_ref().ok_or("one site only")?.set(text),
            ("t2", "send") if text == "START" => {
                let process = Scheduler::start(&format!("{}.b.json", self.file), self.descriptors);
                self.processes.insert(actor.to_owned(), process);
                Ok(())
            }
            ("s2" | "s3", "send") if text == "START" => {
                let process = Scheduler::start(&self.file, self.descriptors);
                self.processes.insert(actor.to_owned(), process);
                Ok(())
            }
            ("s" | "s2" | "s3" | "t" | "t2", "send") => {
                let kill = format!("kill -s {text} {}", self.process(actor)?.child.id());
                Command::new("sh").args(["-c", &kill]).status().map_err(|e| e.to_string())?;
                Ok(())
            }
            ("s" | "s2" | "s3" | "t" | "t2", "expect") => match text.split_once(' ') {
                Some(("exit", code)) => {
                    let child = &mut self.process(actor)?.child;
                    let status = until(|| child.try_wait().ok().flatten()).ok_or("still runs")?;
                    same(&status.code().map_or("killed".to_owned(), |code| code.to_string()), code)
                }
                Some(("log", part)) => {
                    let log = &self.process(actor)?.log;
                    until(|| log.lock().unwrap().contains(part).then_some(())).ok_or("not in the log".into())
                }
                _ => Err("no such expectation".into()),
            },
            ("s", "wait") => {
                let (counter, least) = text.split_once(' ').ok_or("a counter and a figure")?;
                let least: u64 = least.parse().map_err(|_| "a figure")?;
                until(|| (self.counter(counter)? >= least).then_some(())).ok_or("not counted so far".into())
            }
            (_, "wait") => {
                let (call, part) = text.split_once(" => ").ok_or("a call and a part")?;
                let ops = self.door(actor)?;
                let answered = || self::call(&ops, call).is_some_and(|a| a.contains(part)).then_some(());
                until(answered).ok_or_else(|| format!("no such answer, at last {:?}", self::call(&ops, call)))
            }
            (_, "send") => {
                let message = self.message(text);
                let wire = self.wire(actor, false)?;
                wire.stream.write_all(&message).map_err(|e| e.to_string())
            }
            (_, "expect") => self.expect(actor, text),
            (_, "close") => {
                self.wires.remove(actor);
                if text == "door" {
                    self.doors.remove(actor);
                }
                Ok(())
            }
            _ => Err("no such verb".into()),
        }
    }

    fn expect(&mut self, actor: &str, text: &str) -> Step {
        if text == "silence" {
            // An early look may miss a fault, but never invents one.
            let door = self.doors.get(actor).is_some_and(|door| {
                door.set_nonblocking(true).unwrap();
                let called = door.accept().is_ok();
                door.set_nonblocking(false).unwrap();
                called
            });
            let spoke = self.wires.get_mut(actor).is_some_and(Wire::has_input);
            let mut said = || self.wires.get_mut(actor).map(|wire| (wire.more(), wire.read.clone()));
            return match (door, spoke) {
                (false, false) => Ok(()),
                (true, _) => Err("somebody connects".into()),
                _ => {
                    Err(format!("there is {:?}", said().map(|s| String::from_utf8_lossy(&s.1).into_owned())))
                }
            };
        }
        let (fresh, text) = text.strip_prefix("new ").map_or((false, text), |text| (true, text));
        let wire = self.wire(actor, fresh)?;
        if text == "fin" {
            return match wire.more() {
                Ok(0) if wire.read.is_empty() => Ok(()),
                Ok(_) => Err("there is something".into()),
                Err(error) => Err(format!("it was reset: {error}")),
            };
        }
        if text == "eof" {
            let closed = wire.more().map(|read| read == 0 && wire.read.is_empty());
            return if closed.unwrap_or(true) { Ok(()) } else { Err("there is something".into()) };
        }
        let message = if actor.starts_with(OPERATORS) { wire.rest()? } else { wire.message()? };
        let holds = |part: &str| match part.strip_prefix("not ") {
            Some(unwanted) => !message.contains(unwanted),
            None => message.contains(part),
        };
        let missing = text.split(" & ").find(|part| !holds(part));
        missing.map_or(Ok(()), |part| Err(format!("no {part:?} in {message:?}")))
    }

    /// The actor's connection: clients connect, others accept.
    fn wire(&mut self, actor: &str, fresh: bool) -> Result<&mut Wire, String> {
        if fresh || !self.wires.contains_key(actor) {
            let address = match actor.as_bytes()[0] {
                _ if actor.starts_with(OPERATORS) => self.door(actor)?,
                b'f' => self.process("t")?.logged("serves on "),
                b'g' => self.process("t")?.logged("listening for site links address="),
                _ => self.address.clone(),
            };
            let stream = match self.doors.get(actor) {
                None => TcpStream::connect(&address).map_err(|e| e.to_string())?,
                Some(door) => {
                    door.set_nonblocking(true).unwrap();
                    let stream = until(|| door.accept().ok()).ok_or("nobody connects")?.0;
                    door.set_nonblocking(false).unwrap();
                    stream.set_nonblocking(false).unwrap();
                    stream
                }
            };
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            let old = self.wires.insert(actor.to_owned(), Wire { stream, read: Vec::new() });
            self.silent.extend(old); // open and silent from here on
        }
        Ok(self.wires.get_mut(actor).unwrap())
    }

    fn counter(&self, name: &str) -> Option<u64> {
        let mut stream = TcpStream::connect(&self.address).ok()?;
        stream.write_all(b"GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
        line.parse().ok()
    }

    fn logs(&self) -> String {
        let logs = self.processes.iter().map(|(name, p)| format!("{name}:\n{}", p.log.lock().unwrap()));
        logs.collect()
    }

    fn process(&mut self, actor: &str) -> Result<&mut Scheduler, String> {
        self.processes.get_mut(actor).ok_or("no such process".into())
    }

    /// Where an operator calls.
    fn door(&mut self, actor: &str) -> Result<String, String> {
        let process = match actor.as_bytes()[0] {
            b'o' => "s",
            b'p' => "s2",
            b'r' => "t",
            b'u' => "t2",
            _ => "s3",
        };
        Ok(self.process(process)?.logged("operators call at "))
    }

    fn addressed(&self, text: &str) -> String {
        let addresses = self.addresses.iter();
        addresses.fold(text.to_owned(), |text, (name, at)| text.replace(&format!("{{{name}}}"), at))
    }

    /// The bytes that a text stands for.
    fn message(&mut self, text: &str) -> Vec<u8> {
        let words: Vec<&str> = text.splitn(5, ' ').collect();
        let word = |i: usize, default| words.get(i).copied().filter(|w| !w.is_empty()).unwrap_or(default);
        match words[0] {
            "raw" => text.get(4..).unwrap_or_default().replace("\\r", "\r").replace("\\n", "\n").into_bytes(),
            "job" => head_and_body(&format!(
                "POST /{}/o1?v=2 HTTP/1.1|X-Request-Id: {}|X-Tenant: acme|X-Deadline-Ms: {}|X-Cost-Hint: 10000|Idempotency-Key: k{}||map of {1}",
                word(2, "draw-map"), word(1, ""), word(3, "8000"), word(4, "1"),
            )),
            "call" => head_and_body(&format!(
                r#"POST /callback HTTP/1.1||{{"id":"{}","from":"{}","state":"{}",{}}}"#,
                word(1, ""), word(2, ""), word(3, ""), word(4, r#""result":"drawn""#),
            )),
            "full" | "some" => {
                self.version += 1;
                chunk(&list(self.version, words[0] == "full", &text[5..], &self.addresses))
            }
            "line" => chunk(&self.addressed(&text[5..])),
            status if status.len() == 3 && status.parse::<u16>().is_ok() => {
                head_and_body(&format!("HTTP/1.1 {status} X|{}||", text[3..].trim()))
            }
            _ => head_and_body(text),
        }
    }
}

/// Whose answers reach to the end.
const OPERATORS: [char; 5] = ['o', 'p', 'q', 'r', 'u'];

/// Writes an operator's file beside a configuration: work crosses as soon as no slot is free.
fn operator(config: &str, site: &str, peer: &str, connect: &str) {
    let secret = format!("{config}.secret");
    std::fs::write(&secret, "a secret for two sites\n").unwrap();
    let text = format!(
        "gateway {{\n site {site:?}\n listen \"127.0.0.1:0\"\n secret-file {secret:?}\n peer {peer:?} {{ connect \"{connect}\"; }}
 room {{ settle \"20ms\"; reserve \"0%\"; }}\n crossing {{ lead \"10s\"; starve \"10ms\"; }}\n}}\n"
    );
    std::fs::write(format!("{config}.kdl"), text).unwrap();
}

/// The wire between two sites, by threads of its own.
struct Between {
    address: String,
    target: Arc<Mutex<Option<String>>>,
    state: Arc<Mutex<String>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Between {
    fn new() -> Self {
        let door = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = door.local_addr().unwrap().to_string();
        let (target, open) = (Arc::new(Mutex::new(None::<String>)), Arc::new(Mutex::new(Vec::new())));
        let state = Arc::new(Mutex::new("sound".to_owned()));
        let (to, now, streams) = (Arc::clone(&target), Arc::clone(&state), Arc::clone(&open));
        std::thread::spawn(move || {
            for near in door.incoming().map_while(Result::ok) {
                // While it is cut, a new connection says nothing.
                if *now.lock().unwrap() != "sound" {
                    streams.lock().unwrap().push(near);
                    continue;
                }
                let Some(target) = to.lock().unwrap().clone() else { continue };
                let Ok(far) = TcpStream::connect(target) else { continue };
                streams.lock().unwrap().extend([near.try_clone().unwrap(), far.try_clone().unwrap()]);
                let (near_in, far_in) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                let (there, back) = (Arc::clone(&now), Arc::clone(&now));
                std::thread::spawn(move || carry(near_in, far, || *there.lock().unwrap() != "cut"));
                std::thread::spawn(move || carry(far_in, near, || *back.lock().unwrap() == "sound"));
            }
        });
        Between { address, target, state, open }
    }

    fn lead(&self, target: String) {
        *self.target.lock().unwrap() = Some(target);
    }

    fn set(&self, state: &str) -> Step {
        if !["sound", "cut", "back", "reset"].contains(&state) {
            return Err("no such state".into());
        }
        if state == "reset" {
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        } else {
            state.clone_into(&mut self.state.lock().unwrap());
        }
        Ok(())
    }
}

/// Passes on what comes, in pieces; what comes while the wire does not carry is lost, and with it the connection.
fn carry(mut from: TcpStream, mut to: TcpStream, carries: impl Fn() -> bool) {
    let (mut bytes, mut sound) = ([0; 4096], true);
    while let Some(n) = from.read(&mut bytes).ok().filter(|&n| n > 0) {
        sound &= carries();
        if sound && to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// A process, and what it has written.
struct Scheduler {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Scheduler {
    /// Starts one with this configuration; those with the same one share a `$TMPDIR` of their own.
    fn start(config: &str, descriptors: u32) -> Self {
        let place = format!("{config}.d");
        std::fs::create_dir_all(&place).unwrap();
        let limit = format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_chutesaddle"));
        let mut command = Command::new("sh");
        command.args(["-c", &limit]).env("NODE_CONFIG", config).env("TMPDIR", place);
        let operator = format!("{config}.kdl");
        if std::path::Path::new(&operator).exists() {
            command.env("NODE_OPERATOR", operator);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let (log, mut stderr) = (Arc::new(Mutex::new(String::new())), child.stderr.take().unwrap());
        let written = Arc::clone(&log);
        std::thread::spawn(move || {
            let mut bytes = [0; 4096];
            while let Some(n) = stderr.read(&mut bytes).ok().filter(|&n| n > 0) {
                written.lock().unwrap().push_str(&String::from_utf8_lossy(&bytes[..n]));
            }
        });
        Scheduler { child, log }
    }

    /// The rest of the line that it has written, or writes, with these words.
    fn logged(&self, before: &str) -> String {
        let told = || Some(self.log.lock().unwrap().split_once(before)?.1.split_once('\n')?.0.to_owned());
        until(told).expect("the scheduler starts")
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An operator's call.
fn call(ops: &str, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(ops).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

impl Wire {
    fn more(&mut self) -> Result<usize, String> {
        let mut bytes = [0; 4096];
        let read = self.stream.read(&mut bytes).map_err(|e| e.to_string())?;
        self.read.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// All that comes until the other side's end.
    fn rest(&mut self) -> Result<String, String> {
        while self.more()? > 0 {}
        Ok(String::from_utf8_lossy(&std::mem::take(&mut self.read)).into_owned())
    }

    fn has_input(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let read = self.stream.peek(&mut [0; 1]);
        self.stream.set_nonblocking(false).unwrap();
        !self.read.is_empty() || !read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// The next message, head and body.
    fn message(&mut self) -> Result<String, String> {
        loop {
            let text = String::from_utf8_lossy(&self.read).into_owned();
            if let Some((head, rest)) = text.split_once("\r\n\r\n") {
                let length =
                    head.split("Content-Length: ").nth(1).and_then(|l| l.lines().next()?.parse().ok());
                let length: usize = length.unwrap_or(0);
                if rest.len() >= length {
                    let end = head.len() + 4 + length;
                    return Ok(
                        String::from_utf8_lossy(&self.read.drain(..end).collect::<Vec<_>>()).into_owned()
                    );
                }
            }
            if self.more()? == 0 {
                return Err(format!("the connection ends after {text:?}"));
            }
        }
    }
}

fn head_and_body(text: &str) -> Vec<u8> {
    let (head, body) = text.split_once("||").unwrap_or((text, ""));
    let lines: Vec<&str> = head.split('|').filter(|line| !line.is_empty()).collect();
    let length = format!("\r\nContent-Length: {}", body.len());
    let length = if head.contains("chunked") { "" } else { &length };
    format!("{}{length}\r\n\r\n{body}", lines.join("\r\n")).into_bytes()
}

fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// A message of discovery: members as `NAME:STATE` or `NAME:STATE:STARTED`, in seconds from now.
fn list(version: u64, full: bool, members: &str, addresses: &HashMap<String, String>) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    let entry = |text: &str| {
        let parts: Vec<&str> = text.split(':').collect();
        let started = parts.get(2).and_then(|s| s.parse::<i64>().ok()).map_or(0, |s| now + 1000 * s);
        // `m1@m2`: the member m1, now at the address of m2.
        let (name, at) = parts[0].split_once('@').unwrap_or((parts[0], parts[0]));
        format!(
            r#"{{"id":"{name}","addr":"{}","zone":"a","kind":"k","cell":0,"state":"{}","weight":1.0,"started_ms":{started}}}"#,
            addresses[at], parts[1],
        )
    };
    let entries: Vec<String> = members.split_whitespace().map(entry).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

fn until<T>(mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + PATIENCE;
    loop {
        match look() {
            None if Instant::now() < end => std::thread::sleep(Duration::from_millis(5)),
            found => return found,
        }
    }
}

fn same(got: &str, wanted: &str) -> Step {
    if got == wanted {
        Ok(())
    } else {
        Err(format!("got {got:?}"))
    }
}
