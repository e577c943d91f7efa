//! A scenario being played: its processes, listeners and connections, and what each step does.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::net::TcpSocket;

use super::connection::{head_and_body, Connection};
use super::operator::OPERATORS;
use super::process::Scheduler;
use super::site_wire::SiteWire;
use super::{config, discovery, gossip, operator, text_of, until, Step, World, PATIENCE};
use crate::build::OtherBuild;

pub(super) struct Stage {
    processes: HashMap<String, Scheduler>,
    /// Where clients of the scheduler connect.
    address: String,
    /// The configuration; the files of the site `b` and of operators stand beside it.
    config: String,
    descriptors: u32,
    /// The listeners of workers and discovery, by actor.
    listeners: HashMap<String, TcpListener>,
    addresses: HashMap<String, String>,
    /// The last connection of each actor.
    connections: HashMap<String, Connection>,
    /// Earlier ones, open and silent.
    silent: Vec<Connection>,
    /// The version of the endpoint list that was sent last.
    version: u64,
    site_wire: Option<SiteWire>,
    datagrams: HashMap<String, UdpSocket>,
    other_build: Option<OtherBuild>,
    /// Sockets that keep the listeners' ports bound once they are closed; they do not listen.
    _reserved_ports: Vec<TcpSocket>,
}

impl Stage {
    pub(super) fn new(world: &World) -> Self {
        let mut listeners = HashMap::new();
        let mut reserved_ports = Vec::new();
        for name in ["d", "d2", "e", "m1", "m2"] {
            let reserved = reserve_port();
            listeners.insert(name.to_owned(), TcpListener::bind(reserved.local_addr().unwrap()).unwrap());
            reserved_ports.push(reserved);
        }
        let addresses: HashMap<String, String> = listeners
            .iter()
            .map(|(name, listener)| (name.clone(), listener.local_addr().unwrap().to_string()))
            .collect();
        let datagrams =
            ["n1", "x"].map(|name| (name.to_owned(), UdpSocket::bind("127.0.0.1:0").unwrap())).into();
        let config = new_path();
        let text = config::of_scheduler(world, &addresses, &datagrams);
        std::fs::write(&config, &text).unwrap();
        let mut processes = HashMap::new();
        let site_wire = world.sites.then(SiteWire::new);
        if let Some(wire) = &site_wire {
            let other_site = config::of_other_site(&text, &addresses);
            processes.insert("t".to_owned(), start_other_site(&config, &other_site, wire, world.descriptors));
        }
        let scheduler = Scheduler::start(&config, world.descriptors);
        let address = scheduler.logged("serving clients address=");
        processes.insert("s".to_owned(), scheduler);
        Stage {
            processes,
            address,
            config,
            descriptors: world.descriptors,
            listeners,
            addresses,
            connections: HashMap::new(),
            silent: Vec::new(),
            version: config::KNOWN_VERSION,
            site_wire,
            datagrams,
            other_build: None,
            _reserved_ports: reserved_ports,
        }
    }

    pub(super) fn step(&mut self, actor: &str, verb: &str, text: &str) -> Step {
        match (actor, verb) {
            ("s", "send") if text.starts_with("config ") => self.change_config(&text[7..]),
            ("s" | "t", "send") if text.starts_with("operator ") => {
                self.change_operator_file(actor, &text[9..])
            }
            ("v", verb) => self.step_of_other_build(verb, text),
            ("n1" | "x", "send") => {
                let to = self.process("s")?.logged("listening for gossip address=");
                gossip::send(&self.datagrams[actor], text, to)
            }
            ("n1", "expect") => gossip::expect(&self.datagrams[actor], text),
            ("w", "send") => self.site_wire.as_ref().ok_or("one site only")?.set(text),
            ("s2" | "s3" | "t2", "send") if text == "START" => self.start(actor),
            ("s" | "s2" | "s3" | "t" | "t2", "send") => self.process(actor)?.signal(text),
            ("s" | "s2" | "s3" | "t" | "t2", "expect") => self.process(actor)?.expect(text),
            ("s", "wait") => self.wait_for_counter(text),
            (_, "wait") => self.wait_for_answer(actor, text),
            (_, "send") => {
                let message = self.message(text);
                self.connection(actor, false)?.send(&message)
            }
            (_, "expect") if text == "silence" => self.expect_silence(actor),
            (_, "expect") => self.expect(actor, text),
            (_, "close") => {
                self.connections.remove(actor);
                if text == "listener" {
                    self.listeners.remove(actor).ok_or("no listener")?;
                }
                Ok(())
            }
            _ => Err("no such verb".into()),
        }
    }

    pub(super) fn logs(&self) -> String {
        self.processes.iter().map(|(name, process)| format!("{name}:\n{}", process.log())).collect()
    }

    fn change_config(&self, change: &str) -> Step {
        let (old, new) = change.split_once(" => ").ok_or("an old and a new text")?;
        replace_in_file(&self.config, &self.addressed(old), &self.addressed(new))
    }

    fn change_operator_file(&self, actor: &str, change: &str) -> Step {
        let (old, new) = change.split_once(" => ").ok_or("an old and a new text")?;
        let site = if actor == "s" { "" } else { ".b.json" };
        replace_in_file(&format!("{}{site}.kdl", self.config), old, new)
    }

    fn step_of_other_build(&mut self, verb: &str, text: &str) -> Step {
        if verb == "close" {
            self.other_build = None;
            return Ok(());
        }
        let other_build = match &mut self.other_build {
            Some(other_build) => other_build,
            none => none.insert(OtherBuild::connect(&self.config, PATIENCE)?),
        };
        if verb == "send" {
            return other_build.send(text);
        }
        other_build.receive_until(text.parse().map_err(|_| "a kind")?)
    }

    fn start(&mut self, actor: &str) -> Step {
        let config = if actor == "t2" { format!("{}.b.json", self.config) } else { self.config.clone() };
        self.processes.insert(actor.to_owned(), Scheduler::start(&config, self.descriptors));
        Ok(())
    }

    fn wait_for_counter(&self, text: &str) -> Step {
        let (counter, least) = text.split_once(' ').ok_or("a counter and a figure")?;
        let least: u64 = least.parse().map_err(|_| "a figure")?;
        until(|| (self.counter(counter)? >= least).then_some(())).ok_or("not counted so far".into())
    }

    fn wait_for_answer(&mut self, actor: &str, text: &str) -> Step {
        let (command, part) = text.split_once(" => ").ok_or("a call and a part")?;
        let address = self.operator_address(actor)?;
        let answer = || operator::command(&address, command);
        until(|| answer().is_some_and(|answer| answer.contains(part)).then_some(()))
            .ok_or_else(|| format!("no such answer, at last {:?}", answer()))
    }

    /// Nothing has come. An early look may miss a fault, but never invents one.
    fn expect_silence(&mut self, actor: &str) -> Step {
        let called = self.listeners.get(actor).is_some_and(|listener| {
            listener.set_nonblocking(true).unwrap();
            let called = listener.accept().is_ok();
            listener.set_nonblocking(false).unwrap();
            called
        });
        if called {
            return Err("somebody connects".into());
        }
        let Some(connection) = self.connections.get_mut(actor) else { return Ok(()) };
        if !connection.has_input() {
            return Ok(());
        }
        let _ = connection.more(); // whatever it is, the step has failed
        Err(format!("there is {:?}", String::from_utf8_lossy(connection.unread())))
    }

    fn expect(&mut self, actor: &str, text: &str) -> Step {
        let (fresh, text) = text.strip_prefix("new ").map_or((false, text), |text| (true, text));
        let connection = self.connection(actor, fresh)?;
        match text {
            "fin" => return connection.expect_fin(),
            "eof" => return connection.expect_end(),
            _ => {}
        }
        let message = if actor.starts_with(OPERATORS) { connection.rest()? } else { connection.message()? };
        let holds = |part: &str| match part.strip_prefix("not ") {
            Some(unwanted) => !message.contains(unwanted),
            None => message.contains(part),
        };
        match text.split(" & ").find(|part| !holds(part)) {
            Some(part) => Err(format!("no {part:?} in {message:?}")),
            None => Ok(()),
        }
    }

    /// The actor's connection: clients connect, others accept.
    fn connection(&mut self, actor: &str, fresh: bool) -> Result<&mut Connection, String> {
        if fresh || !self.connections.contains_key(actor) {
            let address = self.address_for(actor)?;
            let connection = match self.listeners.get(actor) {
                None => Connection::connect(&address)?,
                Some(listener) => Connection::accept(listener)?,
            };
            self.silent.extend(self.connections.insert(actor.to_owned(), connection));
        }
        Ok(self.connections.get_mut(actor).unwrap())
    }

    /// Where an actor that has no listener connects.
    fn address_for(&mut self, actor: &str) -> Result<String, String> {
        match actor.as_bytes()[0] {
            _ if actor.starts_with(OPERATORS) => self.operator_address(actor),
            b'f' => Ok(self.process("t")?.logged("serving clients address=")),
            b'g' => Ok(self.process("t")?.logged("listening for site links address=")),
            _ => Ok(self.address.clone()),
        }
    }

    fn operator_address(&mut self, actor: &str) -> Result<String, String> {
        Ok(self.process(operator::process_of(actor))?.logged("listening for operators address="))
    }

    fn counter(&self, name: &str) -> Option<u64> {
        let mut stream = TcpStream::connect(&self.address).ok()?;
        stream.write_all(b"GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
        line.parse().ok()
    }

    fn process(&mut self, actor: &str) -> Result<&mut Scheduler, String> {
        self.processes.get_mut(actor).ok_or("no such process".into())
    }

    /// The text with each `{NAME}` replaced by the address of that listener.
    fn addressed(&self, text: &str) -> String {
        let addresses = self.addresses.iter();
        addresses.fold(text.to_owned(), |text, (name, at)| text.replace(&format!("{{{name}}}"), at))
    }

    /// The bytes that a text stands for.
    fn message(&mut self, text: &str) -> Vec<u8> {
        let words: Vec<&str> = text.splitn(5, ' ').collect();
        let word =
            |i: usize, default| words.get(i).copied().filter(|word| !word.is_empty()).unwrap_or(default);
        match words[0] {
            "raw" => text.get(4..).unwrap_or_default().replace("\\r", "\r").replace("\\n", "\n").into_bytes(),
            "request" => head_and_body(&format!(
                "POST /{}/o1?v=2 HTTP/1.1|X-Request-Id: {}|X-Tenant: acme|X-Deadline-Ms: {}|X-Cost-Hint: 10000|Idempotency-Key: k{}||map of {1}",
                word(2, "draw-map"), word(1, ""), word(3, "8000"), word(4, "1"),
            )),
            "callback" => head_and_body(&format!(
                r#"POST /callback HTTP/1.1||{{"id":"{}","from":"{}","state":"{}",{}}}"#,
                word(1, ""), word(2, ""), word(3, ""), word(4, r#""result":"drawn""#),
            )),
            "full" | "some" => {
                self.version += 1;
                let full = words[0] == "full";
                discovery::chunk(&discovery::list(self.version, full, &text[5..], &self.addresses))
            }
            "line" => discovery::chunk(&self.addressed(&text[5..])),
            status if status.len() == 3 && status.parse::<u16>().is_ok() => {
                head_and_body(&format!("HTTP/1.1 {status} X|{}||", text[3..].trim()))
            }
            _ => {
                assert!(text.contains("||"), "{text:?} is neither a short form nor a head");
                head_and_body(text)
            }
        }
    }
}

/// A path for a configuration, which no other test has.
fn new_path() -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("{}/{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id())
}

/// Starts the scheduler of the site `b`, and leads the wire of the site `a` to it.
fn start_other_site(config: &str, text: &str, wire: &SiteWire, descriptors: u32) -> Scheduler {
    operator::write_file(config, "a", "b", &wire.address);
    let config = format!("{config}.b.json");
    std::fs::write(&config, text).unwrap();
    // Nobody is behind the address on which it would dial.
    operator::write_file(&config, "b", "a", "127.0.0.1:1");
    let scheduler = Scheduler::start(&config, descriptors);
    wire.lead(scheduler.logged("listening for site links address="));
    scheduler.logged("serving clients address=");
    scheduler
}

fn replace_in_file(path: &str, old: &str, new: &str) -> Step {
    let text = std::fs::read_to_string(path).map_err(text_of)?;
    assert!(text.contains(old), "no {old:?} in {path}");
    std::fs::write(path, text.replace(old, new)).map_err(text_of)
}

/// A port that no other listener gets for as long as the socket lives: one that got a closed listener's port would accept what
/// was meant for nobody. With address reuse a second socket may listen on it, as this one does not.
fn reserve_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}
