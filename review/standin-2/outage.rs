//! An upgrade while discovery is down. The scheduler has been told that a worker drains; the new process must keep to it.

use crate::common::*;

const DRAINING: usize = 0;
/// The grace of the settings, and the 50 ms that every time limit on sockets is longer.
const GRACE_MS: u64 = 550;
/// Discovery's news counts as told this long after the new process has said yes.
const NEWS_MS: u64 = 2000;

pub fn play(place: &Place) -> Result<bool, Error> {
    let record = &place.record;
    let listen = free_address()?;
    let workers = Workers::start(4, 5, listen, record, |_, message| Treatment::Run(work_of(message)))?;
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
    let config = place.temporary.join("config.json");
    deployment.write(&config, free_address()?)?;
    let mut old = Scheduler::start(&place.root, &place.temporary, &config, "old")?;
    wait_ready(listen)?;
    let clients = Clients::new(listen, record);
    let load = |seconds: u64| {
        for _ in 0..seconds * 10 {
            clients.send(Job::new("draw-map", 7500, 300));
            pause(100);
        }
    };
    load(2);
    discovery.change(&workers.names[DRAINING], "leaving");
    let told_ms = record.now_ms() + 20;
    load(3);
    if place.trouble {
        discovery.set_down(true);
    }
    let ops = free_address()?;
    let config = place.temporary.join("config-new.json");
    deployment.write(&config, ops)?;
    record.line("the platform starts the program once more");
    let new = Scheduler::start(&place.root, &place.temporary, &config, "new")?;
    wait_status(ops)?;
    record.line("the new process says yes");
    let yes_ms = record.now_ms();
    load(2);
    record.line("SIGTERM to the old process");
    old.signal(SIGTERM);
    load(3);
    record.line(format!("the old process has ended: {}", old.has_ended()));
    old.signal(SIGKILL);
    if place.trouble {
        discovery.set_down(false);
    }
    load(1);
    clients.wait();
    record.line(format!("answers: {}", clients.summary()));
    place.keep_log(&old, "the old process");
    place.keep_log(&new, "the new process");
    let attempts = lock(&workers.attempts);
    let at_draining: Vec<u64> = attempts.iter().filter(|a| a.worker == DRAINING).map(|a| a.at_ms).collect();
    let since = |from_ms: u64| at_draining.iter().filter(|at_ms| **at_ms > from_ms).count();
    record.line(format!(
        "attempts at the draining worker: {} in all, {} after the grace, {} after the grace and 2 s from the yes",
        at_draining.len(),
        since(told_ms + GRACE_MS),
        since((yes_ms + NEWS_MS).max(told_ms) + GRACE_MS)
    ));
    Ok(since((yes_ms + NEWS_MS).max(told_ms) + GRACE_MS) == 0)
}
