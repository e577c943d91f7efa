//! A keyed class whose repeats are dropped by the workers of one zone. Two workers crash, one after the other, and the
//! jobs that they were running are sent again.

use std::collections::HashMap;

use crate::common::*;

const WORKERS: usize = 8;
/// 27 jobs a second.
const JOBS: usize = 240;
const INTERVAL_MS: u64 = 37;
/// When the workers crash, in jobs sent, and which.
const CRASHES: [(usize, usize); 2] = [(80, 0), (160, 1)];
/// How much later the list shows a crash, in jobs sent: 2 s.
const LIST_DELAY: usize = 54;

pub fn play(place: &Place) -> Result<bool, Error> {
    let record = &place.record;
    let listen = free_address()?;
    let workers = Workers::start(WORKERS, 5, listen, record, |_, message| Treatment::Run(work_of(message)))?;
    let zone_of = |worker: usize| if worker % 2 == 0 { "Old Town" } else { "New Town" }.to_owned();
    let discovery = Discovery::start(workers.entries(zone_of), record)?;
    let deployment = Deployment {
        listen,
        discovery: discovery.address,
        sockets: 1024,
        areas: "\"Old Town\",\"New Town\"",
        draw_deadline_s: 7.5,
        publish_effect: "by_key",
        publish_group: "zone",
        known: discovery.full().1,
    };
    let config = place.temporary.join("config.json");
    deployment.write(&config, free_address()?)?;
    let scheduler = Scheduler::start(&place.root, &place.temporary, &config, "scheduler")?;
    wait_ready(listen)?;
    let clients = Clients::new(listen, record);
    for number in 0..JOBS {
        clients.send(Job::new("publish-map", 25_000, 900).with_key());
        for (at, worker) in CRASHES {
            if place.trouble && number == at {
                workers.crash(worker);
            }
            // The list tells it some seconds later.
            if place.trouble && number == at + LIST_DELAY {
                discovery.change(&workers.names[worker], "left");
            }
        }
        pause(INTERVAL_MS);
    }
    clients.wait();
    record.line(format!("answers: {}", clients.summary()));
    place.keep_log(&scheduler, "the scheduler");
    let attempts = lock(&workers.attempts);
    let mut first_zone: HashMap<&str, String> = HashMap::new();
    let (mut repeats, mut broken) = (0, 0);
    for attempt in attempts.iter() {
        let zone = zone_of(attempt.worker);
        let Some(first) = first_zone.get(attempt.key.as_str()) else {
            first_zone.insert(&attempt.key, zone);
            continue;
        };
        repeats += 1;
        if *first != zone {
            broken += 1;
            record.line(format!("key {} may have run in {first} and was sent to {zone}", attempt.key));
        }
    }
    record.line(format!("{JOBS} jobs, {repeats} sent again, {broken} of them to another zone"));
    Ok(broken == 0)
}
