//! Case 3: two sites with a gateway between them. A client of one site sends hundreds of large jobs at once.

use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::worker::answer;

/// One way between the sites, in milliseconds (BRIEF: "5.6 to 10 ms one way between them").
const DELAY: Duration = Duration::from_micros(7500);
/// What the wire between the sites carries each way: about half a gigabit a second.
const BYTES_PER_S: f64 = 60e6;
/// Each round a client sends this many jobs at once; without the disruption they come evenly over the round.
const JOBS: u64 = 200;
const ROUNDS: u64 = 26;
const ROUND_MS: u64 = 2500;
const RUN_MS: u64 = 600;
/// "A body holds no more than 64 KiB" (PROTOCOL).
const BODY_BYTES: usize = 65_000;

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Gives the connections of a listener the segment size and the window of a wire, not those of the loopback interface.
fn like_a_wire(listener: &TcpListener) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    for (level, name, value) in [(SOL_SOCKET, SO_RCVBUF, 128 * 1024), (IPPROTO_TCP, TCP_MAXSEG, 1448)] {
        // SAFETY: the pointer is that of a local integer, whose size is given.
        let result = unsafe { setsockopt(listener.as_raw_fd(), level, name, &value, 4) };
        if result != 0 {
            give_up("setsockopt");
        }
    }
}

/// Passes bytes on after the delay.
fn one_way(mut from: TcpStream, mut to: TcpStream) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    });
    let mut buffer = vec![0; 16 * 1024];
    let mut free_at = Instant::now();
    while let Ok(read) = from.read(&mut buffer) {
        free_at = free_at.max(Instant::now()) + Duration::from_secs_f64(read as f64 / BYTES_PER_S);
        thread::sleep(free_at.saturating_duration_since(Instant::now()));
        if read == 0 || sender.send((Instant::now() + DELAY, buffer[..read].to_vec())).is_err() {
            return;
        }
    }
}

fn start_wire(listener: TcpListener, target: SocketAddr) {
    like_a_wire(&listener);
    spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = connect(target) else { continue };
            let _ = near.set_nodelay(true);
            let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
            spawn(move || one_way(near, far));
            spawn(move || one_way(far2, near2));
        }
    });
}

#[derive(Default)]
struct Seen {
    /// Sites at which a job has run, by key.
    runs: HashMap<String, Vec<&'static str>>,
    /// Jobs whose body was not the one that the client sent.
    spoilt: Vec<String>,
}

struct Worker {
    site: &'static str,
    id: String,
    callbacks: SocketAddr,
    record: Arc<Record>,
    seen: Arc<Mutex<Seen>>,
    slots: usize,
    state: Mutex<(usize, VecDeque<(String, String)>)>,
}

impl Worker {
    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = read_message(&mut stream) {
            let job = request.target().rsplit('/').next().unwrap_or_default().to_owned();
            self.record.line(format!(
                "worker   {} {} gets {} {}",
                self.site,
                self.id,
                request.first_line,
                request.body.len()
            ));
            if request.method() == "DELETE" {
                self.state.lock().unwrap().1.retain(|(waiting, _)| waiting != &job);
                let _ = answer(&mut stream, "200 OK");
                continue;
            }
            if request.body != body_of(&job) {
                self.record.line(format!("worker   {} {job} has another body: BROKEN", self.site));
                self.seen.lock().unwrap().spoilt.push(job.clone());
            }
            let key = request.header("idempotency-key").unwrap_or_default().to_owned();
            let full = {
                let mut state = self.state.lock().unwrap();
                let full = state.0 >= self.slots && state.1.len() >= 2;
                if !full {
                    state.1.push_back((job, key));
                }
                full
            };
            if full {
                let _ = answer(
                    &mut stream,
                    "503 Full\r\nX-Not-Run: 1\r\nX-Load: eps=0,latency_ms=600,queue=2,x0=0",
                );
                continue;
            }
            if answer(&mut stream, "202 Accepted").is_err() {
                return;
            }
            self.start_waiting();
        }
    }

    fn start_waiting(self: &Arc<Self>) {
        loop {
            let (job, key) = {
                let mut state = self.state.lock().unwrap();
                if state.0 >= self.slots {
                    return;
                }
                let Some(next) = state.1.pop_front() else { return };
                state.0 += 1;
                next
            };
            let worker = Arc::clone(self);
            spawn(move || worker.run(&job, &key));
        }
    }

    fn run(self: &Arc<Self>, job: &str, key: &str) {
        let from = &self.id;
        {
            let mut seen = self.seen.lock().unwrap();
            let sites = seen.runs.entry(key.to_owned()).or_default();
            // The workers of a site drop a repeat.
            if !sites.contains(&self.site) {
                sites.push(self.site);
                self.record.line(format!("worker   {} {from} runs {job} {key}", self.site));
                if sites.len() > 1 {
                    self.record.line(format!("worker   {job} {key} runs at both sites: BROKEN"));
                }
            }
        }
        callback(
            &self.record,
            self.callbacks,
            &format!(r#"{{"id":"{job}","from":"{from}","state":"started"}}"#),
        );
        sleep_ms(RUN_MS);
        let free = {
            let mut state = self.state.lock().unwrap();
            state.0 -= 1;
            self.slots - state.0
        };
        let load = format!(r#"{{"eps":0,"latency_ms":600,"queue":0,"x0":{free}}}"#);
        callback(
            &self.record,
            self.callbacks,
            &format!(
                r#"{{"id":"{job}","from":"{from}","state":"done","result":"map of {job}","load":{load}}}"#
            ),
        );
        self.start_waiting();
    }
}

fn body_of(job: &str) -> Vec<u8> {
    job.repeat(BODY_BYTES / job.len()).into_bytes()
}

struct Site {
    listen: SocketAddr,
    ops: SocketAddr,
    scheduler: Scheduler,
}

fn start_site(
    place: &Place,
    name: &'static str,
    operator: String,
    workers: usize,
    slots: usize,
    seen: &Arc<Mutex<Seen>>,
) -> Site {
    let (listen, ops) = (free_address(), free_address());
    let mut entries = Vec::new();
    for number in 0..workers {
        let listener = crate::common::listen();
        let address = listener.local_addr().unwrap();
        let id = format!("s-{name}-{number}");
        let worker = Arc::new(Worker {
            site: name,
            id: id.clone(),
            callbacks: listen,
            record: Arc::clone(&place.record),
            seen: Arc::clone(seen),
            slots,
            state: Mutex::default(),
        });
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&worker);
                spawn(move || worker.serve(stream));
            }
        });
        entries.push(Entry { id, address, zone: "isb-1", kind: "wide-5", state: "active", started_ms: 0 });
    }
    let known = list_json(41, true, &entries);
    let agent = Agent::start(&place.record, 41, entries);
    let file = place.tmp.join(format!("gateway-{name}.kdl"));
    std::fs::write(&file, operator).unwrap();
    let settings = Settings { balancers: 1, ..Settings::default() };
    let config = config(listen, ops, agent.address, &known, &settings)
        .replace("\"quota_per_s\":15.0", "\"quota_per_s\":500.0");
    std::env::set_var("NODE_OPERATOR", &file);
    let scheduler = Scheduler::start(
        place,
        &Told {
            label: name.to_owned(),
            listen,
            ops,
            discovery: agent.address,
            config,
            tmpdir: place.tmp.join(format!("tmpdir-{name}")),
        },
    );
    Site { listen, ops, scheduler }
}

fn submit(record: &Arc<Record>, address: SocketAddr, number: u64) -> thread::JoinHandle<()> {
    let record = Arc::clone(record);
    let client = move || {
        let id = fresh_id(number);
        let job = Job {
            class: "publish-map",
            id: id.clone(),
            tenant: ["barfani-heights", "chinar-slopes"][number as usize % 2],
            key: Some(format!("k{id}")),
            deadline_ms: 25_000,
            hint_us: 1000 * RUN_MS,
            body: String::from_utf8(body_of(&id)).unwrap(),
        };
        let Ok(mut stream) = connect(address) else { return };
        let answer = exchange(&mut stream, &job.bytes(), Duration::from_millis(25_550));
        record.line(format!("client   {id} got {:?}", answer.as_ref().map(Message::status)));
    };
    thread::Builder::new().stack_size(256 * 1024).spawn(client).expect("a thread")
}

pub fn main(place: &Place) -> i32 {
    let record = &place.record;
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let secret = place.tmp.join("secret");
    std::fs::write(&secret, "a secret of both sites, 32 bytes").unwrap();
    let secret = secret.display();
    let (gate_a, gate_b, wire) = (free_address(), free_address(), listen());
    let wire_address = wire.local_addr().unwrap();
    start_wire(wire, gate_b);
    let a = format!(
        "gateway {{\nsite \"khi-1\"\nlisten \"{gate_a}\"\nsecret-file \"{secret}\"\npeer \"lhe-1\" {{\nconnect \"{wire_address}\"\nshares-keys #false\nmost-open 64\n}}\n}}\n"
    );
    let b = format!(
        "gateway {{\nsite \"lhe-1\"\nlisten \"{gate_b}\"\nsecret-file \"{secret}\"\npeer \"khi-1\" {{\nshares-keys #false\nmost-open 64\n}}\n}}\n"
    );
    let mut near = start_site(place, "khi-1", a, 2, 3, &seen);
    let mut far = start_site(place, "lhe-1", b, 16, 8, &seen);
    for site in [&near, &far] {
        if !wait_until_ready(site.ops, Duration::from_secs(30)) {
            record.line("a scheduler is not ready");
            return CANNOT_RUN;
        }
    }
    sleep_ms(1500);
    let (near_address, far_address) = (near.listen, far.listen);
    let mut clients = Vec::new();
    // First some jobs of the far site's own clients, from which its scheduler learns how many slots its workers have.
    for number in 0..128 {
        clients.push(submit(record, far_address, number));
    }
    sleep_ms(ROUND_MS);
    for round in 1..ROUNDS {
        let end = Instant::now() + Duration::from_millis(ROUND_MS);
        for number in 0..JOBS {
            clients.push(submit(record, near_address, 1000 * round + number));
            if !trouble() {
                sleep_ms(ROUND_MS / JOBS);
            }
        }
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
    for client in clients {
        let _ = client.join();
    }
    for site in [&near, &far] {
        let mut stream = connect(site.ops).unwrap();
        let _ = stream.write_all(b"METRICS\n");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        for line in text.lines().filter(|line| line.contains("gateway")) {
            record.line(format!("metrics  {line}"));
        }
    }
    let exited = near.scheduler.has_exited() || far.scheduler.has_exited();
    drop(near);
    drop(far);
    let seen = seen.lock().unwrap();
    let twice = seen.runs.values().filter(|sites| sites.len() > 1).count();
    println!(
        "{twice} of {} jobs ran at both sites, {} with another body",
        seen.runs.len(),
        seen.spoilt.len()
    );
    record.line(format!(
        "{twice} jobs ran at both sites, {} came to a worker with another body",
        seen.spoilt.len()
    ));
    if seen.runs.is_empty() {
        return CANNOT_RUN;
    }
    if twice > 0 || exited || !seen.spoilt.is_empty() {
        BROKEN
    } else {
        HELD
    }
}
