//! A repeated callback about an attempt that has ended arrives while a later attempt runs at the same worker.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::*;

const RUN_MS: u64 = 3000;
const REQUESTS: u64 = 3;

/// What became of a job at the workers.
#[derive(Default)]
struct Fate {
    attempts: u32,
    /// Attempts that have started and not ended.
    running: u32,
    runs: u32,
    /// An attempt arrived after one that had started.
    sent_after_start: bool,
}

type Jobs = Arc<Mutex<HashMap<String, Fate>>>;

/// Passes callbacks on to the scheduler. While `lose` is set, the answer to a `returned` call gets lost, once for each
/// job: the caller's connection stays open and silent.
fn start_proxy(record: &Arc<Record>, scheduler: SocketAddr, lose: bool) -> SocketAddr {
    let listener: TcpListener = listen();
    let address = listener.local_addr().unwrap();
    let record = Arc::clone(record);
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    spawn(move || {
        for mut caller in listener.incoming().flatten() {
            let (record, lost) = (Arc::clone(&record), Arc::clone(&lost));
            spawn(move || {
                while let Ok(Some(call)) = read_message(&mut caller) {
                    let body = call.text();
                    let Ok(mut stream) = connect(scheduler) else { return };
                    let head = format!(
                        "POST /callback HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let answer =
                        exchange(&mut stream, format!("{head}{body}").as_bytes(), Duration::from_secs(1));
                    let Ok(answer) = answer else { return };
                    let first = {
                        let mut lost = lost.lock().unwrap();
                        let first = lose && body.contains("returned") && !lost.contains(&body);
                        if first {
                            lost.push(body.clone());
                        }
                        first
                    };
                    if first {
                        record.line(format!("network  loses the answer {} to {body}", answer.status()));
                        sleep_ms(5000);
                        return;
                    }
                    let answer = format!("HTTP/1.1 {} x\r\nContent-Length: 0\r\n\r\n", answer.status());
                    if caller.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

struct Worker {
    id: String,
    callbacks: SocketAddr,
    record: Arc<Record>,
    jobs: Jobs,
}

impl Worker {
    fn tell(self: &Arc<Self>, body: String) {
        let worker = Arc::clone(self);
        spawn(move || callback(&worker.record, worker.callbacks, &body));
    }

    fn start(id: &str, record: &Arc<Record>, callbacks: SocketAddr, jobs: &Jobs) -> SocketAddr {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            callbacks,
            record: Arc::clone(record),
            jobs: Arc::clone(jobs),
        });
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let worker = Arc::clone(&worker);
                spawn(move || {
                    let _ = stream.set_nodelay(true);
                    while let Ok(Some(request)) = read_message(&mut stream) {
                        worker.record.line(format!(
                            "worker   {} gets {} {}",
                            worker.id,
                            request.first_line,
                            request.id()
                        ));
                        let status = if request.method() == "DELETE" { "200 OK" } else { "202 Accepted" };
                        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                        if stream.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                        if request.method() == "POST" {
                            worker.take(request.id());
                        }
                    }
                });
            }
        });
        address
    }

    /// The first attempt of a job finds the waiting room full and is handed back; a later one runs at once.
    fn take(self: &Arc<Self>, id: String) {
        let first = {
            let mut jobs = self.jobs.lock().unwrap();
            let job = jobs.entry(id.clone()).or_default();
            job.attempts += 1;
            if job.running > 0 || job.runs > 0 {
                job.sent_after_start = true;
                self.record.line(format!(
                    "worker   {id}: attempt {} though an earlier one has started: BROKEN",
                    job.attempts
                ));
            }
            job.attempts == 1
        };
        let from = &self.id;
        if first {
            self.tell(format!(
                r#"{{"id":"{id}","from":"{from}","state":"returned","load":{{"eps":0,"latency_ms":3000,"queue":2,"x0":0}}}}"#
            ));
            return;
        }
        let worker = Arc::clone(self);
        spawn(move || worker.run(&id));
    }

    fn run(self: &Arc<Self>, id: &str) {
        self.record.line(format!("worker   {} starts {id}", self.id));
        {
            let mut jobs = self.jobs.lock().unwrap();
            let job = jobs.entry(id.to_owned()).or_default();
            job.running += 1;
            job.runs += 1;
        }
        let from = &self.id;
        self.tell(format!(r#"{{"id":"{id}","from":"{from}","state":"started"}}"#));
        for second in 1..RUN_MS / 1000 {
            sleep_ms(1000);
            let share = (1000 * second) as f64 / RUN_MS as f64;
            self.tell(format!(r#"{{"id":"{id}","from":"{from}","state":"running","share":{share:.2}}}"#));
        }
        sleep_ms(1000);
        self.jobs.lock().unwrap().entry(id.to_owned()).or_default().running -= 1;
        self.record.line(format!("worker   {} has run {id}", self.id));
        self.tell(format!(
            r#"{{"id":"{id}","from":"{from}","state":"done","result":"map of {id}","load":{{"eps":0,"latency_ms":3000,"queue":0,"x0":3}}}}"#
        ));
    }
}

pub fn main(place: &Place) -> i32 {
    let record = &place.record;
    let (listen, ops) = (free_address(), free_address());
    let jobs = Jobs::default();
    let proxy = start_proxy(record, listen, trouble());
    // A small fleet. Only `fast-3` runs publish-map here.
    let fleet = [
        ("s-0badcafe", "fast-3"),
        ("s-5be2a07c", "wide-5"),
        ("s-77aa01d2", "wide-5"),
        ("s-9c40e1b3", "small-2"),
    ];
    let entry = |&(id, kind): &(&str, &'static str)| {
        let address = Worker::start(id, record, proxy, &jobs);
        Entry { id: id.to_owned(), address, zone: "isb-1", kind, state: "active", started_ms: 0 }
    };
    let entries: Vec<Entry> = fleet.iter().map(entry).collect();
    let known = list_json(41, true, &entries);
    let agent = Agent::start(record, 41, entries);
    let once = PUBLISH_MAP.replace("by_key", "once");
    let settings =
        Settings { grades: format!("[{DRAW_MAP},{once}]"), class_kind: "-1,0", ..Settings::default() };
    let mut scheduler = Scheduler::start(
        place,
        &Told {
            label: "n1".to_owned(),
            listen,
            ops,
            discovery: agent.address,
            config: config(listen, ops, agent.address, &known, &settings),
            tmpdir: place.tmp.join("tmpdir"),
        },
    );
    if !wait_until_ready(ops, Duration::from_secs(30)) {
        record.line("the scheduler is not ready");
        return CANNOT_RUN;
    }
    sleep_ms(500);
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let (record, refused, jobs) = (Arc::clone(record), Arc::clone(&refused), Arc::clone(&jobs));
        clients.push(thread::spawn(move || {
            let id = fresh_id(number);
            let job = Job {
                class: "publish-map",
                id: id.clone(),
                tenant: "barfani-heights",
                key: None,
                deadline_ms: 25_000,
                hint_us: 3_000_000,
                body: "{}".to_owned(),
            };
            let Ok(mut stream) = connect(listen) else { return };
            record.line(format!("client   sends {id}"));
            let answer = exchange(&mut stream, &job.bytes(), Duration::from_millis(25_550));
            record.line(format!("client   {id} got {:?}", answer.as_ref().map(Message::status)));
            let started = jobs.lock().unwrap().get(&id).is_some_and(|job| job.runs > 0);
            if started && answer.is_ok_and(|answer| matches!(answer.status(), 429 | 503)) {
                record.line(format!("client   {id} is refused though it has started: BROKEN"));
                refused.lock().unwrap().push(id);
            }
        }));
        sleep_ms(8000);
    }
    for client in clients {
        let _ = client.join();
    }
    let exited = scheduler.has_exited();
    drop(scheduler);
    let jobs = jobs.lock().unwrap();
    let twice = jobs.values().filter(|job| job.sent_after_start).count();
    let refused = refused.lock().unwrap().len();
    for (id, job) in jobs.iter() {
        record.line(format!("{id}: {} attempts, {} runs", job.attempts, job.runs));
    }
    record.line(format!("{twice} jobs were sent again after a start, {refused} were refused after a start"));
    println!("{twice} of {REQUESTS} sent again after a start, {refused} refused after a start");
    if jobs.len() as u64 != REQUESTS {
        return CANNOT_RUN;
    }
    if twice + refused > 0 || exited {
        BROKEN
    } else {
        HELD
    }
}
