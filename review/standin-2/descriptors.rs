//! An upgrade with a third of the descriptors in use for requests. No job may be lost.

use crate::common::*;

/// Of the whole scheduler.
const SOCKETS: usize = 256;
/// Clients take at most a third of the descriptors for requests: 85 of 256.
const LONG_JOBS: usize = 80;
const SHORT_JOBS: usize = 4;

pub fn play(place: &Place) -> Result<bool, Error> {
    let record = &place.record;
    let listen = free_address()?;
    let workers = Workers::start(13, 10, listen, record, |_, message| Treatment::Run(work_of(message)))?;
    let discovery = Discovery::start(workers.entries(|_| "isb-1".to_owned()), record)?;
    let deployment = Deployment {
        listen,
        discovery: discovery.address,
        sockets: SOCKETS,
        areas: "\"isb-1\"",
        draw_deadline_s: 5.0,
        publish_effect: "by_key",
        publish_group: "all",
        known: discovery.full().1,
    };
    let config = place.temporary.join("config.json");
    deployment.write(&config, free_address()?)?;
    let mut old = Scheduler::start(&place.root, &place.temporary, &config, "old")?;
    wait_ready(listen)?;
    let clients = Clients::new(listen, record);
    // The scheduler learns how much the workers hold.
    for _ in 0..60 {
        clients.send(Job::new("draw-map", 5000, 100));
        pause(50);
    }
    clients.wait();
    record.line("the long jobs begin");
    for _ in 0..LONG_JOBS {
        clients.send(Job::new("publish-map", 25_000, 11_000).with_key());
        pause(25);
    }
    pause(500);
    let held: usize = (0..13).map(|worker| workers.held(worker)).sum();
    record.line(format!("jobs held by workers: {held}"));
    let mut new = None;
    if place.trouble {
        let ops = free_address()?;
        let config = place.temporary.join("config-new.json");
        deployment.write(&config, ops)?;
        record.line("the platform starts the program once more");
        new = Some(Scheduler::start(&place.root, &place.temporary, &config, "new")?);
        wait_status(ops)?;
        record.line("the new process says yes");
    }
    for _ in 0..SHORT_JOBS {
        pause(50);
        clients.send(Job::new("draw-map", 5000, 100));
    }
    // SIGTERM comes within 6 s of the yes.
    pause(5600);
    if place.trouble {
        record.line("SIGTERM to the old process");
        old.signal(SIGTERM);
        pause(3700);
        record.line(format!("3.7 s after SIGTERM, the old process has ended: {}", old.has_ended()));
        old.signal(SIGKILL);
    }
    clients.wait();
    record.line(format!("answers: {}", clients.summary()));
    place.keep_log(&old, "the old process");
    if let Some(new) = &new {
        place.keep_log(new, "the new process");
    }
    let lost = clients.unanswered();
    for (job, outcome, took_ms) in &lost {
        record.line(format!("lost: {} {} {outcome:?} after {took_ms} ms", job.class, job.id));
    }
    record.line(format!("jobs that got no answer: {}", lost.len()));
    Ok(lost.is_empty())
}
