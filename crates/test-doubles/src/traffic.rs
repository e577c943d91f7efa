//! Clients' traffic, drawn ahead from a seed, and what became of it.

use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, Instant};

use crate::{Client, ClientRequest, ClientResult};

/// Requests are shorter than in service by this factor, so that a queue as long as a latency objective is over soon
/// after the last arrival, and seconds of overload count as minutes of it do.
const WORK_FACTOR: f64 = 0.25;
/// Standard deviation of the logarithm of a request's work.
const WORK_DEVIATION: f64 = 0.3;
/// Standard deviation of the logarithm of its hint, around the true work.
const HINT_DEVIATION: f64 = 0.15;
const MOST_LATENCY_MS: u64 = 60_000;
const LATENCY_DIGITS: u8 = 3;

/// A class of requests.
struct Class {
    name: &'static str,
    /// Fraction of all requests.
    fraction: f64,
    /// Mean work in service.
    mean_work_s: f64,
    /// An answer within this time plus `stretch` times the work is in time.
    latency_objective_s: f64,
    stretch: f64,
    timeout_s: f64,
    /// Priority weight of a second of work.
    weight: f64,
}

const CLASSES: [Class; 2] = [
    Class {
        name: "draw-map",
        fraction: 0.59,
        mean_work_s: 0.59,
        latency_objective_s: 0.25,
        stretch: 2.5,
        timeout_s: 7.5,
        weight: 2.0,
    },
    Class {
        name: "publish-map",
        fraction: 0.41,
        mean_work_s: 3.5,
        latency_objective_s: 0.8,
        stretch: 2.0,
        timeout_s: 25.0,
        weight: 5.0,
    },
];

/// A request and when it comes.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Since the start.
    pub at: Duration,
    /// The request.
    pub request: ClientRequest,
}

/// Draws arrivals over `length` that ask for `work_per_s` seconds of work in a second.
pub fn draw(prefix: &str, seed: u64, work_per_s: f64, length: Duration) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let mean_work_s: f64 = CLASSES.iter().map(|class| class.fraction * class.mean_work_s * WORK_FACTOR).sum();
    // Log-normal with mean 1.
    let log_normal = |deviation: f64| LogNormal::new(-deviation * deviation / 2.0, deviation);
    let gaps = Exp::new(work_per_s / mean_work_s);
    let (Ok(gaps), Ok(work_spread), Ok(hint_error)) =
        (gaps, log_normal(WORK_DEVIATION), log_normal(HINT_DEVIATION))
    else {
        return Vec::new(); // the constants are within the distributions' domains: not reached
    };
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += gaps.sample(&mut random);
        if at_s > length.as_secs_f64() {
            return arrivals;
        }
        let number = arrivals.len();
        let class = &CLASSES[usize::from(!random.random_bool(CLASSES[0].fraction))];
        let work_s = class.mean_work_s * WORK_FACTOR * work_spread.sample(&mut random);
        let tenant = if random.random_bool(0.5) { "barfani-heights" } else { "chinar-slopes" };
        let request = ClientRequest {
            id: format!("{prefix}-{number}"),
            class: class.name,
            tenant,
            work: Duration::from_secs_f64(work_s),
            hint: Duration::from_secs_f64(work_s * hint_error.sample(&mut random)),
            key: (class.name == "publish-map").then(|| format!("key-{prefix}-{number}")),
            timeout: Duration::from_secs_f64(class.timeout_s),
        };
        arrivals.push(Arrival { at: Duration::from_secs_f64(at_s), request });
    }
}

/// What became of one site's traffic.
pub struct TrafficResult {
    /// Requests.
    pub asked: usize,
    /// Answered with a result.
    pub served: usize,
    /// Of these, within their latency objective.
    pub in_time: usize,
    /// Answered 429 or 503.
    pub rejected: usize,
    /// Answered otherwise.
    pub failed: usize,
    /// Not answered.
    pub lost: usize,
    /// Weight answered in time over weight asked for; weight counts by work.
    pub service: f64,
    /// Of those served, in milliseconds.
    pub latency: Histogram<u64>,
}

impl TrafficResult {
    fn new(asked: usize) -> Self {
        let latency = Histogram::new_with_bounds(1, MOST_LATENCY_MS, LATENCY_DIGITS)
            .unwrap_or_else(|_| unreachable!("sound bounds"));
        TrafficResult { asked, served: 0, in_time: 0, rejected: 0, failed: 0, lost: 0, service: 0.0, latency }
    }
}

/// A request with its result.
struct Finished {
    request: ClientRequest,
    result: ClientResult,
}

/// Plays arrivals from `start` on and waits for all answers.
pub async fn play(client: Rc<Client>, arrivals: Vec<Arrival>, start: Instant) -> TrafficResult {
    let mut tasks: Vec<JoinHandle<Finished>> = Vec::new();
    for Arrival { at, request } in arrivals {
        let client = Rc::clone(&client);
        tasks.push(spawn_local(async move {
            sleep_until(start + at).await;
            let result = client.submit(&request).await;
            Finished { request, result }
        }));
    }
    let mut traffic = TrafficResult::new(tasks.len());
    let (mut weight_asked, mut weight_in_time) = (0.0, 0.0);
    for task in tasks {
        let Ok(Finished { request, result }) = task.await else {
            traffic.lost += 1;
            continue;
        };
        let Some(class) = CLASSES.iter().find(|class| class.name == request.class) else { continue };
        let work_s = request.work.as_secs_f64();
        weight_asked += class.weight * work_s;
        match result {
            ClientResult::Served(latency) => {
                traffic.served += 1;
                // No answer takes longer than the histogram reaches.
                let _ = traffic.latency.record(latency.as_millis() as u64);
                if latency.as_secs_f64() <= class.latency_objective_s + class.stretch * work_s {
                    traffic.in_time += 1;
                    weight_in_time += class.weight * work_s;
                }
            }
            ClientResult::Rejected => traffic.rejected += 1,
            ClientResult::Failed => traffic.failed += 1,
            ClientResult::NoAnswer => traffic.lost += 1,
        }
    }
    traffic.service = if weight_asked > 0.0 { weight_in_time / weight_asked } else { 0.0 };
    traffic
}
