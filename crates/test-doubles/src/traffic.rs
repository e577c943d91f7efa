//! Client traffic, generated in advance from a seed, and its results.

use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, Instant};

use crate::{Client, ClientRequest, ClientResult};

/// Work of a request, relative to production. With shorter requests, a queue as long as a latency objective drains soon
/// after the last arrival, and seconds of overload have the effect of minutes.
const WORK_FACTOR: f64 = 0.25;
/// Standard deviation of the logarithm of a request's work.
const WORK_DEVIATION: f64 = 0.3;
/// Standard deviation of the logarithm of the ratio of a request's hint to its work.
const HINT_DEVIATION: f64 = 0.15;
const MAX_LATENCY_MS: u64 = 60_000;
const LATENCY_DIGITS: u8 = 3;

/// A request class.
struct Class {
    name: &'static str,
    /// Fraction of all requests.
    fraction: f64,
    /// Mean work in production, before [`WORK_FACTOR`].
    mean_work_s: f64,
    /// An answer is in time if it arrives within this time plus `stretch` times the work.
    latency_objective_s: f64,
    stretch: f64,
    timeout_s: f64,
    /// Priority weight per second of work.
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

/// A request and its arrival time.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time, relative to the start of the traffic.
    pub at: Duration,
    /// The request.
    pub request: ClientRequest,
}

/// Draws random arrivals for a duration of `length`, with `work_per_s` seconds of work per second on average.
pub fn draw(prefix: &str, seed: u64, work_per_s: f64, length: Duration) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let mean_work_s: f64 = CLASSES.iter().map(|class| class.fraction * class.mean_work_s * WORK_FACTOR).sum();
    // Log-normal with mean 1.
    let log_normal = |deviation: f64| LogNormal::new(-deviation * deviation / 2.0, deviation);
    let gaps = Exp::new(work_per_s / mean_work_s);
    let (Ok(gaps), Ok(work_spread), Ok(hint_error)) =
        (gaps, log_normal(WORK_DEVIATION), log_normal(HINT_DEVIATION))
    else {
        return Vec::new(); // unreachable: the constants are valid parameters
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

/// The results of the traffic of one site.
pub struct TrafficResult {
    /// Number of requests sent.
    pub asked: usize,
    /// Requests answered with a result.
    pub served: usize,
    /// Requests answered with a result within their latency objective.
    pub in_time: usize,
    /// Requests answered with status 429 or 503.
    pub rejected: usize,
    /// Requests answered with any other status.
    pub failed: usize,
    /// Requests without an answer.
    pub lost: usize,
    /// Fraction of the requested work that was answered in time, weighted by class priority.
    pub service: f64,
    /// Latency of the served requests in milliseconds.
    pub latency: Histogram<u64>,
}

impl TrafficResult {
    fn new(asked: usize) -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS)
            .unwrap_or_else(|_| unreachable!("the histogram bounds are valid"));
        TrafficResult { asked, served: 0, in_time: 0, rejected: 0, failed: 0, lost: 0, service: 0.0, latency }
    }
}

/// A request and its result.
struct FinishedRequest {
    request: ClientRequest,
    result: ClientResult,
}

/// Sends each request at its arrival time after `start`, and waits for all answers.
pub async fn play(client: Rc<Client>, arrivals: Vec<Arrival>, start: Instant) -> TrafficResult {
    let mut tasks: Vec<JoinHandle<FinishedRequest>> = Vec::new();
    for Arrival { at, request } in arrivals {
        let client = Rc::clone(&client);
        tasks.push(spawn_local(async move {
            sleep_until(start + at).await;
            let result = client.submit(&request).await;
            FinishedRequest { request, result }
        }));
    }
    let mut traffic = TrafficResult::new(tasks.len());
    let (mut requested_weight, mut in_time_weight) = (0.0, 0.0);
    for task in tasks {
        let Ok(FinishedRequest { request, result }) = task.await else {
            traffic.lost += 1;
            continue;
        };
        let Some(class) = CLASSES.iter().find(|class| class.name == request.class) else { continue };
        let work_s = request.work.as_secs_f64();
        requested_weight += class.weight * work_s;
        match result {
            ClientResult::Served(latency) => {
                traffic.served += 1;
                // Cannot fail: clients time out long before `MAX_LATENCY_MS`.
                let _ = traffic.latency.record(latency.as_millis() as u64);
                if latency.as_secs_f64() <= class.latency_objective_s + class.stretch * work_s {
                    traffic.in_time += 1;
                    in_time_weight += class.weight * work_s;
                }
            }
            ClientResult::Rejected => traffic.rejected += 1,
            ClientResult::Failed => traffic.failed += 1,
            ClientResult::NoAnswer => traffic.lost += 1,
        }
    }
    traffic.service = if requested_weight > 0.0 { in_time_weight / requested_weight } else { 0.0 };
    traffic
}
