//! The scenario runner: holds the processes, listeners and connections of a scenario and executes its steps.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::net::TcpSocket;

use super::connection::{encode_message, Connection};
use super::operator::OPERATOR_PREFIXES;
use super::process::Scheduler;
use super::site_link_proxy::SiteLinkProxy;
use super::{
    config, discovery, error_text, gossip, operator, poll_until, Environment, StepResult, STEP_TIMEOUT,
};
use crate::other_build::OtherBuild;

/// The state of a running scenario.
pub(super) struct ScenarioRunner {
    processes: HashMap<String, Scheduler>,
    /// Address on which `s` serves clients.
    address: String,
    /// Path of the configuration of `s`. The configuration of site `b` and the operator files are next to it.
    config: String,
    descriptor_limit: u32,
    /// Listeners of workers and discovery, by actor.
    listeners: HashMap<String, TcpListener>,
    addresses: HashMap<String, String>,
    /// The latest connection of each actor.
    connections: HashMap<String, Connection>,
    /// Earlier connections of actors, kept open.
    replaced_connections: Vec<Connection>,
    /// Version of the endpoint list that was sent last.
    list_version: u64,
    site_link_proxy: Option<SiteLinkProxy>,
    datagrams: HashMap<String, UdpSocket>,
    other_build: Option<OtherBuild>,
    /// Sockets that keep the listeners' ports bound after the listeners are closed. They do not listen.
    _reserved_ports: Vec<TcpSocket>,
}

impl ScenarioRunner {
    pub(super) fn new(environment: &Environment) -> Self {
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
        let config = unique_config_path();
        let text = config::scheduler_config(environment, &addresses, &datagrams);
        std::fs::write(&config, &text).unwrap();
        let mut processes = HashMap::new();
        let site_link_proxy = environment.two_sites.then(SiteLinkProxy::new);
        if let Some(proxy) = &site_link_proxy {
            let other_site = config::other_site_config(&text, &addresses);
            processes.insert(
                "t".to_owned(),
                start_other_site(&config, &other_site, proxy, environment.descriptor_limit),
            );
        }
        let scheduler = Scheduler::start(&config, environment.descriptor_limit);
        let address = scheduler.wait_for_logged("serving clients address=");
        processes.insert("s".to_owned(), scheduler);
        ScenarioRunner {
            processes,
            address,
            config,
            descriptor_limit: environment.descriptor_limit,
            listeners,
            addresses,
            connections: HashMap::new(),
            replaced_connections: Vec::new(),
            list_version: config::INITIAL_LIST_VERSION,
            site_link_proxy,
            datagrams,
            other_build: None,
            _reserved_ports: reserved_ports,
        }
    }

    /// Executes one step.
    pub(super) fn step(&mut self, actor: &str, verb: &str, text: &str) -> StepResult {
        match (actor, verb) {
            ("s", "send") if text.starts_with("config ") => self.change_config(&text[7..]),
            ("s" | "t", "send") if text.starts_with("operator ") => {
                self.change_operator_file(actor, &text[9..])
            }
            ("v", verb) => self.step_other_build(verb, text),
            ("n1" | "x", "send") => {
                let to = self.process("s")?.wait_for_logged("listening for gossip address=");
                gossip::send(&self.datagrams[actor], text, to)
            }
            ("n1", "expect") => gossip::expect(&self.datagrams[actor], text),
            ("w", "send") => {
                self.site_link_proxy.as_ref().ok_or("the scenario has only one site")?.set_state(text)
            }
            ("s2" | "s3" | "t2", "send") if text == "START" => self.start(actor),
            ("s" | "s2" | "s3" | "t" | "t2", "send") => self.process(actor)?.signal(text),
            ("s" | "s2" | "s3" | "t" | "t2", "expect") => self.process(actor)?.expect(text),
            ("s", "wait") => self.wait_for_counter(text),
            (_, "wait") => self.wait_for_answer(actor, text),
            (_, "send") if text == "until-full" => self.connection(actor, false)?.send_until_full(),
            (_, "send") => {
                let message = self.encode(text);
                self.connection(actor, false)?.send(&message)
            }
            (_, "expect") if text == "silence" => self.expect_silence(actor),
            (_, "expect") => self.expect(actor, text),
            (_, "close") => {
                self.connections.remove(actor);
                if text == "listener" {
                    self.listeners.remove(actor).ok_or("the actor has no open listener")?;
                }
                Ok(())
            }
            _ => Err(format!("unknown verb {verb:?}")),
        }
    }

    /// The logs of all processes.
    pub(super) fn logs(&self) -> String {
        self.processes.iter().map(|(name, process)| format!("{name}:\n{}", process.log())).collect()
    }

    fn change_config(&self, change: &str) -> StepResult {
        let (old, new) = change.split_once(" => ").ok_or("expected `OLD => NEW`")?;
        replace_in_file(&self.config, &self.substitute_addresses(old), &self.substitute_addresses(new))
    }

    fn change_operator_file(&self, actor: &str, change: &str) -> StepResult {
        let (old, new) = change.split_once(" => ").ok_or("expected `OLD => NEW`")?;
        let site = if actor == "s" { "" } else { ".b.json" };
        replace_in_file(&format!("{}{site}.kdl", self.config), old, new)
    }

    fn step_other_build(&mut self, verb: &str, text: &str) -> StepResult {
        if verb == "close" {
            self.other_build = None;
            return Ok(());
        }
        let other_build = match &mut self.other_build {
            Some(other_build) => other_build,
            none => none.insert(OtherBuild::connect(&self.config, STEP_TIMEOUT)?),
        };
        if verb == "send" {
            return other_build.send(text);
        }
        other_build.receive_until(text.parse().map_err(|_| "expected a frame kind")?)
    }

    fn start(&mut self, actor: &str) -> StepResult {
        let config = if actor == "t2" { format!("{}.b.json", self.config) } else { self.config.clone() };
        self.processes.insert(actor.to_owned(), Scheduler::start(&config, self.descriptor_limit));
        Ok(())
    }

    fn wait_for_counter(&self, text: &str) -> StepResult {
        let (counter, minimum) = text.split_once(' ').ok_or("expected `COUNTER N`")?;
        let minimum: u64 = minimum.parse().map_err(|_| "expected a number after the counter")?;
        poll_until(|| (self.counter(counter)? >= minimum).then_some(()))
            .ok_or("the counter has not reached this value".into())
    }

    fn wait_for_answer(&mut self, actor: &str, text: &str) -> StepResult {
        let (command, part) = text.split_once(" => ").ok_or("expected `COMMAND => PART`")?;
        let address = self.operator_address(actor)?;
        let answer = || operator::send_command(&address, command);
        poll_until(|| answer().is_some_and(|answer| answer.contains(part)).then_some(()))
            .ok_or_else(|| format!("no answer contains {part:?}, last answer: {:?}", answer()))
    }

    /// Checks that no data and no connection has arrived. The check does not wait, so it may miss data that is still
    /// on its way, but it never fails without a cause.
    fn expect_silence(&mut self, actor: &str) -> StepResult {
        let connected = self.listeners.get(actor).is_some_and(|listener| {
            listener.set_nonblocking(true).unwrap();
            let connected = listener.accept().is_ok();
            listener.set_nonblocking(false).unwrap();
            connected
        });
        if connected {
            return Err("an unexpected connection arrived".into());
        }
        let Some(connection) = self.connections.get_mut(actor) else { return Ok(()) };
        if !connection.has_input() {
            return Ok(());
        }
        let _ = connection.fill_buffer(); // only for the error message: the step has already failed
        Err(format!("unexpected data: {:?}", String::from_utf8_lossy(connection.buffered())))
    }

    fn expect(&mut self, actor: &str, text: &str) -> StepResult {
        let (new_connection, text) = text.strip_prefix("new ").map_or((false, text), |text| (true, text));
        let connection = self.connection(actor, new_connection)?;
        match text {
            "fin" => return connection.expect_fin(),
            "eof" => return connection.expect_closed(),
            _ => {}
        }
        let message = if actor.starts_with(OPERATOR_PREFIXES) {
            connection.read_to_end()?
        } else {
            connection.read_message()?
        };
        let matches = |part: &str| match part.strip_prefix("not ") {
            Some(unwanted) => !message.contains(unwanted),
            None => message.contains(part),
        };
        match text.split(" & ").find(|part| !matches(part)) {
            Some(part) => Err(format!("expected {part:?}, got {message:?}")),
            None => Ok(()),
        }
    }

    /// The actor's connection. Actors with a listener accept a new one, the others connect.
    fn connection(&mut self, actor: &str, new_connection: bool) -> Result<&mut Connection, String> {
        if new_connection || !self.connections.contains_key(actor) {
            let address = self.address_for(actor)?;
            let connection = match self.listeners.get(actor) {
                None => Connection::connect(&address)?,
                Some(listener) => Connection::accept(listener)?,
            };
            self.replaced_connections.extend(self.connections.insert(actor.to_owned(), connection));
        }
        Ok(self.connections.get_mut(actor).unwrap())
    }

    /// The address to which an actor without a listener connects.
    fn address_for(&mut self, actor: &str) -> Result<String, String> {
        match actor.as_bytes()[0] {
            _ if actor.starts_with(OPERATOR_PREFIXES) => self.operator_address(actor),
            b'f' => Ok(self.process("t")?.wait_for_logged("serving clients address=")),
            b'g' => Ok(self.process("t")?.wait_for_logged("listening for site links address=")),
            _ => Ok(self.address.clone()),
        }
    }

    fn operator_address(&mut self, actor: &str) -> Result<String, String> {
        Ok(self.process(operator::process_for(actor))?.wait_for_logged("listening for operators address="))
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
        self.processes.get_mut(actor).ok_or_else(|| format!("process {actor:?} is not running"))
    }

    /// Replaces each `{NAME}` by the address of that listener.
    fn substitute_addresses(&self, text: &str) -> String {
        let addresses = self.addresses.iter();
        addresses.fold(text.to_owned(), |text, (name, address)| text.replace(&format!("{{{name}}}"), address))
    }

    /// Encodes the text of a `send` step.
    fn encode(&mut self, text: &str) -> Vec<u8> {
        let words: Vec<&str> = text.splitn(5, ' ').collect();
        let word =
            |i: usize, default| words.get(i).copied().filter(|word| !word.is_empty()).unwrap_or(default);
        match words[0] {
            "raw" => text.get(4..).unwrap_or_default().replace("\\r", "\r").replace("\\n", "\n").into_bytes(),
            "request" => encode_message(&format!(
                "POST /{}/o1?v=2 HTTP/1.1|X-Request-Id: {}|X-Tenant: acme|X-Deadline-Ms: {}|X-Cost-Hint: 10000|Idempotency-Key: k{}||map of {1}",
                word(2, "draw-map"), word(1, ""), word(3, "8000"), word(4, "1"),
            )),
            "callback" => encode_message(&format!(
                r#"POST /callback HTTP/1.1||{{"id":"{}","from":"{}","state":"{}",{}}}"#,
                word(1, ""), word(2, ""), word(3, ""), word(4, r#""result":"drawn""#),
            )),
            "full" | "diff" => {
                self.list_version += 1;
                let full = words[0] == "full";
                discovery::encode_chunk(&discovery::endpoint_list(self.list_version, full, &text[5..], &self.addresses))
            }
            "line" => discovery::encode_chunk(&self.substitute_addresses(&text[5..])),
            status if status.len() == 3 && status.parse::<u16>().is_ok() => {
                encode_message(&format!("HTTP/1.1 {status} X|{}||", text[3..].trim()))
            }
            _ => {
                assert!(text.contains("||"), "{text:?} is neither a shorthand nor a message");
                encode_message(text)
            }
        }
    }
}

/// A unique path for a configuration file.
fn unique_config_path() -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("{}/{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id())
}

/// Starts the scheduler of site `b` and makes it the target of the proxy.
fn start_other_site(config: &str, text: &str, proxy: &SiteLinkProxy, descriptor_limit: u32) -> Scheduler {
    operator::write_file(config, "a", "b", &proxy.address);
    let config = format!("{config}.b.json");
    std::fs::write(&config, text).unwrap();
    // Site `b` does not connect to site `a`: nothing listens at this address.
    operator::write_file(&config, "b", "a", "127.0.0.1:1");
    let scheduler = Scheduler::start(&config, descriptor_limit);
    proxy.set_target(scheduler.wait_for_logged("listening for site links address="));
    scheduler.wait_for_logged("serving clients address=");
    scheduler
}

fn replace_in_file(path: &str, old: &str, new: &str) -> StepResult {
    let text = std::fs::read_to_string(path).map_err(error_text)?;
    assert!(text.contains(old), "no {old:?} in {path}");
    std::fs::write(path, text.replace(old, new)).map_err(error_text)
}

/// Reserves a port for as long as the socket lives. Otherwise another test could get the port of a closed listener
/// and accept connections that must be refused. `SO_REUSEADDR` lets the actor's listener bind the same port, since
/// this socket does not listen.
fn reserve_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}
