//! A worker's answer comes twice, the second time some milliseconds later. No job may have two attempts out at once.

use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::Duration;

use crate::common::*;

const JOBS: usize = 2400;
/// One answer in this many is an error.
const ERRORS: usize = 5;
const RATE: f64 = 30.0;
const LATE: Duration = Duration::from_millis(10);

pub fn play(place: &Place) -> Result<bool, Error> {
    let record = &place.record;
    let listen = free_address()?;
    let trouble = place.trouble;
    let requests: Mutex<usize> = Mutex::default();
    let workers = Workers::start(3, 10, listen, record, move |_, message| {
        let mut requests = lock(&requests);
        *requests += 1;
        if *requests % ERRORS == 0 {
            return Treatment::Fail(trouble.then_some(LATE));
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
    let config = place.temporary.join("config.json");
    deployment.write(&config, free_address()?)?;
    let scheduler = Scheduler::start(&place.root, &place.temporary, &config, "scheduler")?;
    wait_ready(listen)?;
    let clients = Clients::new(listen, record);
    let mut random = 0x9E37_79B9_7F4A_7C15_u64;
    for _ in 0..JOBS {
        clients.send(Job::new("draw-map", 7500, 400));
        // Jobs come at random, with a mean of `RATE` a second.
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let draw = ((random >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        std::thread::sleep(Duration::from_secs_f64(-draw.ln() / RATE));
    }
    clients.wait();
    record.line(format!("answers: {}", clients.summary()));
    place.keep_log(&scheduler, "the scheduler");
    let copies = workers.second_copies.load(Ordering::SeqCst);
    record.line(format!("{JOBS} jobs, {copies} attempts sent while an earlier one was out"));
    Ok(copies == 0)
}
