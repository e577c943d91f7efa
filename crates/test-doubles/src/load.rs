//! Clients' traffic, drawn ahead from a seed, and what became of it.

use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, Instant};

use crate::{Client, Job, Told};

/// Jobs are shorter than in service by this factor, so that a queue of one aim's length is over soon after the
/// last arrival and seconds of overload count as minutes of it do.
const SHORT: f64 = 0.25;
/// Name, share of the jobs, mean work before that, aim, stretch, patience and worth of each class.
const CLASSES: [(&str, f64, f64, f64, f64, f64, f64); 2] =
    [("draw-map", 0.59, 0.59, 0.25, 2.5, 7.5, 2.0), ("publish-map", 0.41, 3.5, 0.8, 2.0, 25.0, 5.0)];
/// Work of single jobs spreads by this, as a deviation of its logarithm.
const SPREAD: f64 = 0.3;
/// So does the hint around the truth.
const HINT: f64 = 0.15;

/// A job and when it comes.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Since the start.
    pub at: Duration,
    /// What comes.
    pub job: Job,
}

/// Arrivals of `length` that ask for `per_s` of work in a second.
pub fn draw(prefix: &str, seed: u64, per_s: f64, length: Duration) -> Vec<Arrival> {
    let mut draws = StdRng::seed_from_u64(seed);
    let mean: f64 = CLASSES.iter().map(|class| class.1 * class.2 * SHORT).sum();
    let normal = |spread: f64| LogNormal::new(-spread * spread / 2.0, spread);
    // Constants within the distributions' domains.
    let (Ok(gaps), Ok(spread), Ok(off)) = (Exp::new(per_s / mean), normal(SPREAD), normal(HINT)) else {
        return Vec::new();
    };
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += gaps.sample(&mut draws);
        if at > length.as_secs_f64() {
            return arrivals;
        }
        let n = arrivals.len();
        let (class, _, work, _, _, patience, _) = CLASSES[usize::from(!draws.random_bool(CLASSES[0].1))];
        let work = work * SHORT * spread.sample(&mut draws);
        let tenant = if draws.random_bool(0.5) { "barfani-heights" } else { "chinar-slopes" };
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            job: Job {
                id: format!("{prefix}-{n}"),
                class,
                tenant,
                work: Duration::from_secs_f64(work),
                hint: Duration::from_secs_f64(work * off.sample(&mut draws)),
                key: (class == "publish-map").then(|| format!("key-{prefix}-{n}")),
                patience: Duration::from_secs_f64(patience),
            },
        });
    }
}

/// What became of one site's traffic.
pub struct Outcome {
    /// Jobs.
    pub asked: usize,
    /// Answered with a result, and of these within their aim.
    pub served: usize,
    /// See `served`.
    pub in_time: usize,
    /// Answered 429 or 503.
    pub rejected: usize,
    /// Answered otherwise.
    pub failed: usize,
    /// Not answered.
    pub lost: usize,
    /// Worth answered in time over worth asked for; worth counts by work.
    pub service: f64,
    /// Of those served, in milliseconds.
    pub latency: Histogram<u64>,
}

/// Plays arrivals from `start` on and waits for all answers.
pub async fn play(client: Rc<Client>, arrivals: Vec<Arrival>, start: Instant) -> Outcome {
    let tasks: Vec<JoinHandle<(Job, Told)>> = arrivals
        .into_iter()
        .map(|Arrival { at, job }| {
            let client = Rc::clone(&client);
            spawn_local(async move {
                sleep_until(start + at).await;
                let told = client.submit(&job).await;
                (job, told)
            })
        })
        .collect();
    let latency = Histogram::new_with_bounds(1, 60_000, 3).unwrap_or_else(|_| unreachable!("sound bounds"));
    let (served, in_time, rejected, failed, lost) = (0, 0, 0, 0, 0);
    let asked = tasks.len();
    let mut outcome = Outcome { asked, served, in_time, rejected, failed, lost, service: 0.0, latency };
    let (mut worth, mut answered) = (0.0, 0.0);
    for task in tasks {
        let Ok((job, told)) = task.await else {
            outcome.lost += 1;
            continue;
        };
        let Some(class) = CLASSES.iter().find(|class| class.0 == job.class) else { continue };
        let (_, _, _, aim, stretch, _, each) = *class;
        let work = job.work.as_secs_f64();
        worth += each * work;
        match told {
            Told::Served(after) => {
                outcome.served += 1;
                let _ = outcome.latency.record(after.as_millis() as u64);
                if after.as_secs_f64() <= aim + stretch * work {
                    outcome.in_time += 1;
                    answered += each * work;
                }
            }
            Told::Rejected => outcome.rejected += 1,
            Told::Failed => outcome.failed += 1,
            Told::Nothing => outcome.lost += 1,
        }
    }
    outcome.service = if worth > 0.0 { answered / worth } else { 0.0 };
    outcome
}
