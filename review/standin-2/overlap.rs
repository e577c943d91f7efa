//! A second upgrade begins while the process that the first one replaced still finishes its jobs, as after a release that
//! is taken back at once. A third upgrade, later and alone, must find the scheduler.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::*;

const LONG_JOBS: usize = 6;

/// One process, with the second address at which it says yes.
fn start(place: &Place, deployment: &Deployment, label: &str) -> Result<Scheduler, Error> {
    let ops = free_address()?;
    let config = place.temporary.join(format!("config-{label}.json"));
    deployment.write(&config, ops)?;
    place.record.line(format!("the platform starts process {label}"));
    let mut process = Scheduler::start(&place.root, &place.temporary, &config, label)?;
    for _ in 0..300 {
        if says_yes(ops) {
            place.record.line(format!("process {label} says yes"));
            return Ok(process);
        }
        if process.has_ended() {
            break;
        }
        pause(100);
    }
    place.keep_log(&process, label);
    Err(format!("process {label} has {}", if process.has_ended() { "exited" } else { "not said yes within 30 s" }).into())
}

fn wait_ended(process: &mut Scheduler, limit_ms: u64) -> bool {
    for _ in 0..limit_ms / 20 {
        if process.has_ended() {
            return true;
        }
        pause(20);
    }
    process.has_ended()
}

pub fn play(place: &Place) -> Result<bool, Error> {
    let record = &place.record;
    let listen = free_address()?;
    let seen: Mutex<HashSet<String>> = Mutex::default();
    let workers = Workers::start(4, 10, listen, record, move |attempt, message| {
        // A long job is handed back unstarted once; its second attempt runs.
        if message.word(1).starts_with("/publish-map") && lock(&seen).insert(attempt.request.clone()) {
            return Treatment::HandBack(Duration::from_millis(50));
        }
        Treatment::Run(work_of(message))
    })?;
    let discovery = Discovery::start(workers.entries(|_| "isb-1".to_owned()), record)?;
    let deployment = Deployment {
        listen,
        discovery: discovery.address,
        sockets: 1024,
        areas: "\"isb-1\"",
        draw_deadline_s: 7.5,
        publish_effect: "by_key",
        publish_group: "all",
        known: discovery.full().1,
    };
    let mut first = start(place, &deployment, "1")?;
    let clients = Clients::new(listen, record);
    let stop = Arc::new(AtomicBool::new(false));
    let load = (Arc::clone(&clients), Arc::clone(&stop));
    spawn(move || {
        while !load.1.load(Ordering::SeqCst) {
            load.0.send(Job::new("draw-map", 7500, 200));
            pause(100);
        }
    });
    pause(1000);
    for _ in 0..LONG_JOBS {
        clients.send(Job::new("publish-map", 25_000, 3500).with_key());
    }
    pause(500);
    let mut second = start(place, &deployment, "2")?;
    pause(200);
    record.line("SIGTERM to process 1");
    first.signal(SIGTERM);
    if !place.trouble {
        record.line(format!("process 1 has ended: {}", wait_ended(&mut first, 4000)));
        first.signal(SIGKILL);
    }
    pause(1500);
    let mut third = start(place, &deployment, "3")?;
    pause(200);
    record.line("SIGTERM to process 2");
    second.signal(SIGTERM);
    record.line(format!("process 2 has ended: {}", wait_ended(&mut second, 4000)));
    second.signal(SIGKILL);
    // Not sooner than 3.7 s after its SIGTERM.
    record.line(format!("process 1 has ended: {}", wait_ended(&mut first, 2500)));
    first.signal(SIGKILL);
    pause(3000);
    record.line(format!("process 3 has ended: {}", third.has_ended()));
    let fourth = start(place, &deployment, "4");
    let held = fourth.is_ok();
    match fourth {
        Ok(mut fourth) => {
            pause(500);
            record.line("SIGTERM to process 3");
            third.signal(SIGTERM);
            record.line(format!("process 3 has ended: {}", wait_ended(&mut third, 3700)));
            third.signal(SIGKILL);
            stop.store(true, Ordering::SeqCst);
            clients.wait();
            record.line(format!("process 4 has ended: {}", fourth.has_ended()));
        }
        Err(error) => record.line(format!("the upgrade has failed: {error}")),
    }
    stop.store(true, Ordering::SeqCst);
    clients.wait();
    record.line(format!("answers: {}", clients.summary()));
    for (process, label) in [(&first, "1"), (&second, "2"), (&third, "3")] {
        place.keep_log(process, label);
    }
    Ok(held)
}
