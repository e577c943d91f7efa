//! Case 1: an upgrade in a large fleet. Requests that were taken before it must get their answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::worker::start_workers;

const RUN_MS: u64 = 2500;
const DEADLINE_MS: u64 = 4000;
const REQUESTS: u64 = 16;
/// Up to half a second after its time an answer only earns nothing (STANDING); every limit is 50 ms longer (PROTOCOL).
const GRACE_MS: u64 = 550;

pub fn main(place: &Place) -> i32 {
    let record = &place.record;
    let workers: u64 = std::env::var("WORKERS").ok().and_then(|text| text.parse().ok()).unwrap_or(850);
    let (listen, ops, ops2) = (free_address(), free_address(), free_address());
    let seen = Arc::default();
    let zones = ["isb-1", "lhe-1", "pew-1", "khi-1"];
    let kinds = ["fast-3", "wide-5", "small-2"];
    let ids: Vec<String> =
        (1..=workers).map(|number| format!("s-{:08x}", (number as u32).wrapping_mul(0x9E37_79B1))).collect();
    let addresses = start_workers(record, &ids, listen, RUN_MS, &seen);
    let entries: Vec<Entry> = ids
        .into_iter()
        .zip(addresses)
        .enumerate()
        .map(|(number, (id, address))| Entry {
            id,
            address,
            zone: zones[number % 4],
            kind: kinds[number % 3],
            state: "active",
            started_ms: 0,
        })
        .collect();
    record.line(format!("{workers} workers are listed"));
    let known = list_json(41, true, &entries);
    let agent = Agent::start(record, 41, entries);
    let settings = Settings::default();
    let tmpdir = place.tmp.join("tmpdir");
    let told = |label: &str, ops: SocketAddr| Told {
        label: label.to_owned(),
        listen,
        ops,
        discovery: agent.address,
        config: config(listen, ops, agent.address, &known, &settings),
        tmpdir: tmpdir.clone(),
    };
    let mut old = Scheduler::start(place, &told("old", ops));
    if !wait_until_ready(ops, Duration::from_secs(30)) {
        record.line("the scheduler is not ready");
        return CANNOT_RUN;
    }
    sleep_ms(1000);
    let lost = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let (record, lost) = (Arc::clone(record), Arc::clone(&lost));
        clients.push(thread::spawn(move || {
            let job = Job {
                class: "draw-map",
                id: fresh_id(number),
                tenant: "barfani-heights",
                key: None,
                deadline_ms: DEADLINE_MS,
                hint_us: 2_500_000,
                body: "{}".to_owned(),
            };
            let Ok(mut stream) = connect(listen) else { return };
            record.line(format!("client   sends {}", job.id));
            let start = Instant::now();
            let answer = exchange(&mut stream, &job.bytes(), Duration::from_millis(DEADLINE_MS + GRACE_MS));
            let took = start.elapsed().as_secs_f64();
            match answer {
                Ok(answer) if answer.status() == 200 && answer.text() != format!("map of {}", job.id) => {
                    record.line(format!("client   {} got a foreign result after {took:.3} s: LOST", job.id));
                    lost.lock().unwrap().push(job.id);
                }
                Ok(answer) => {
                    record.line(format!("client   {} got {} after {took:.3} s", job.id, answer.status()))
                }
                Err(error) => {
                    record.line(format!(
                        "client   {}: {error} after {took:.3} s of {} ms: LOST",
                        job.id, DEADLINE_MS
                    ));
                    lost.lock().unwrap().push(job.id);
                }
            }
        }));
        sleep_ms(20);
    }
    sleep_ms(300);
    let mut new = None;
    let mut new_exited = false;
    if trouble() {
        let mut started = Scheduler::start(place, &told("new", ops2));
        if !wait_until_ready(ops2, Duration::from_secs(30)) {
            record.line("the new process does not become ready");
            return CANNOT_RUN;
        }
        record.line("the new process says yes");
        sleep_ms(1500);
        for (label, ops) in [("old", ops), ("new", ops2)] {
            record.line(format!("operator asks the {label} process for its STATUS: {:?}", status(ops)));
        }
        old.signal("TERM");
        // The longest deadline counts as 3 s; SIGKILL comes 0.7 s later at the earliest.
        let kill_at = Instant::now() + Duration::from_millis(3700);
        while Instant::now() < kill_at && !old.has_exited() {
            sleep_ms(20);
        }
        record.line(format!("the old process has exited: {}", old.has_exited()));
        new_exited = started.has_exited();
        new = Some(started);
    }
    for client in clients {
        let _ = client.join();
    }
    if !old.has_exited() && trouble() {
        old.signal("KILL");
    }
    drop(old);
    drop(new);
    let lost = lost.lock().unwrap().len();
    record.line(format!("{lost} of {REQUESTS} requests got no whole answer in time"));
    println!("{lost} of {REQUESTS} requests lost");
    if new_exited {
        record.line("the new process has exited");
    }
    if lost > 0 || new_exited {
        BROKEN
    } else {
        HELD
    }
}
