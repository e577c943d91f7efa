//! An upgrade of a scheduler in a large fleet, with jobs in flight. No job may be lost.

use crate::common::*;

/// Within the 3,200 workers that the pages name.
const WORKERS: usize = 900;
const JOBS: usize = 24;

pub fn play(place: &Place) -> Result<bool, Error> {
    let record = &place.record;
    let listen = free_address()?;
    let workers = Workers::start(WORKERS, 5, listen, record, |_, message| Treatment::Run(work_of(message)))?;
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
    pause(1500);
    let clients = Clients::new(listen, record);
    for _ in 0..JOBS {
        clients.send(Job::new("publish-map", 25_000, 4000).with_key());
    }
    pause(1000);
    let mut new = None;
    if place.trouble {
        let ops = free_address()?;
        let config = place.temporary.join("config-new.json");
        deployment.write(&config, ops)?;
        record.line("the platform starts the program once more");
        new = Some(Scheduler::start(&place.root, &place.temporary, &config, "new")?);
        wait_status(ops)?;
        record.line("the new process says yes");
        pause(1000);
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
    record.line(format!("jobs that got no answer: {} of {JOBS}", lost.len()));
    Ok(lost.is_empty())
}
