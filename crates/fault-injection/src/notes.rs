//! `notes`: schedulers that tell each other what they hold, while processes die and halt and what they tell is lost,
//! late, doubled, overtaken or cut off. Promised: a fault of a note costs no job, and no job runs twice.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::site::capacity;
use chutesaddle_test_doubles::traffic::{draw, Arrival};
use chutesaddle_test_doubles::ClientResult;
use serde::Serialize;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use crate::datagrams::Carried;
use crate::fleet::{Fleet, WINDOW};
use crate::plan::Plan;

/// A job that waited longer than this at a box ...
const WAITED: Duration = Duration::from_millis(25);
/// ... while another had a slot free all through this time before it came was sent to the wrong one.
const FREE: Duration = Duration::from_millis(60);

/// What to play.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// For the traffic and the wires.
    pub seed: u64,
    /// Schedulers.
    pub nodes: usize,
    /// Clients come for so long.
    pub seconds: u64,
    /// Share of what the boxes can do that is asked for.
    pub load: f64,
    /// Whether the schedulers may tell each other anything.
    pub notes: bool,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Jobs that clients wanted done.
    pub jobs: usize,
    /// Answered with a result.
    pub served: usize,
    /// Answered 429 or 503.
    pub rejected: usize,
    /// Answered otherwise.
    pub failed: usize,
    /// Not answered, by a scheduler that was killed or halted meanwhile.
    pub lost_with_theirs: usize,
    /// Not answered by one that was there all the time. Promised: 0.
    pub lost: usize,
    /// Runs beyond the first of a job or key. Promised: 0.
    pub doubled: usize,
    /// Runs whose job waited at its box while another had a slot free, of all.
    pub misplaced: usize,
    /// Runs at the boxes.
    pub runs: usize,
    /// Milliseconds from the request to the result: median and 99th percentile.
    pub latency_ms: [u64; 2],
    /// What the wires carried.
    pub datagrams: Carried,
    /// Faults, by their words.
    pub faults: BTreeMap<&'static str, usize>,
    /// What the schedulers' logs say of wrong things. Promised: nothing.
    pub complaints: Vec<String>,
}

impl Report {
    /// Which promises are broken.
    pub fn broken(&self) -> Vec<String> {
        let promises = [
            (self.lost, "jobs lost by a scheduler that was there"),
            (self.doubled, "runs too many"),
            (self.failed, "jobs failed"),
            (self.datagrams.too_long as usize, "datagrams over 256 bytes"),
            (self.complaints.len(), "complaints in the logs"),
        ];
        promises.iter().filter(|p| p.0 > 0).map(|(n, what)| format!("{n} {what}")).collect()
    }
}

/// A client's job, and what became of it.
struct Asked {
    node: usize,
    from: Instant,
    to: Instant,
    told: ClientResult,
}

/// Plays the traffic of the terms while `plan` happens, with files in `dir`.
///
/// # Errors
/// If the schedulers, the boxes or the wires cannot be started or told what the plan says.
pub async fn play(program: &Path, dir: &Path, terms: &Terms, plan: &Plan) -> io::Result<Report> {
    let notes = terms.notes;
    let shape = |config: &mut serde_json::Value| {
        config["settings"]["allowed"]["peer_messages"] = json!(notes);
    };
    let fleet = Fleet::start(program, dir, terms.nodes, terms.seed, shape).await?;
    let length = Duration::from_secs(terms.seconds);
    let arrivals = draw("job", terms.seed, terms.load * capacity(), length);
    let start = Instant::now() + Duration::from_millis(300);
    let tasks: Vec<_> = arrivals
        .into_iter()
        .enumerate()
        .map(|(n, arrival)| spawn_local(ask(Rc::clone(&fleet), n, arrival, start)))
        .collect();
    fleet.suffer(plan, start).await?;
    let (mut asked, mut nobody) = (Vec::new(), 0);
    for task in tasks {
        match task.await {
            Ok(Some(one)) => asked.push(one),
            _ => nobody += 1, // no scheduler was there to be asked
        }
    }
    Ok(judge(&fleet, &asked, nobody, plan))
}

/// A client that asks one of the schedulers that are there, as a front would choose.
async fn ask(fleet: Rc<Fleet>, n: usize, arrival: Arrival, start: Instant) -> Option<Asked> {
    sleep_until(start + arrival.at).await;
    let nodes = fleet.nodes.len();
    let there = |step: usize| Some(((n + step) % nodes, fleet.nodes[(n + step) % nodes].client()?));
    let (node, client) = (0..nodes).find_map(there)?;
    let from = Instant::now();
    let told = client.submit(&arrival.request).await;
    Some(Asked { node, from, to: Instant::now(), told })
}

fn judge(fleet: &Fleet, asked: &[Asked], nobody: usize, plan: &Plan) -> Report {
    let count = |told: fn(&ClientResult) -> bool| asked.iter().filter(|a| told(&a.told)).count();
    let unanswered = asked.iter().filter(|a| a.told == ClientResult::NoAnswer);
    let (theirs, lost): (Vec<_>, Vec<_>) =
        unanswered.partition(|a| fleet.nodes[a.node].was_away(a.from, a.to));
    let runs = fleet.journal.runs();
    let misplaced = runs.iter().filter(|run| {
        let elsewhere = (0..fleet.boxes.len()).filter(|site| *site != run.site);
        let waited = run.started_at.duration_since(run.received_at) > WAITED;
        waited && elsewhere.into_iter().any(|site| fleet.journal.had_free_slot(site, run.received_at, FREE))
    });
    let mut times: Vec<u64> = asked
        .iter()
        .filter_map(|a| match a.told {
            ClientResult::Served(after) => Some(after.as_millis() as u64),
            _ => None,
        })
        .collect();
    times.sort_unstable();
    let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied().unwrap_or(0);
    let mut faults = BTreeMap::new();
    plan.0.iter().for_each(|fault| *faults.entry(fault.what.name()).or_default() += 1);
    Report {
        jobs: asked.len() + nobody,
        served: count(|told| matches!(told, ClientResult::Served(_))),
        rejected: count(|told| *told == ClientResult::Rejected),
        failed: count(|told| *told == ClientResult::Failed),
        lost_with_theirs: theirs.len() + nobody,
        lost: lost.len(),
        doubled: fleet.journal.duplicates(WINDOW),
        misplaced: misplaced.count(),
        runs: runs.len(),
        latency_ms: [at(0.5), at(0.99)],
        datagrams: fleet.wires.carried(),
        faults,
        complaints: fleet.complaints(),
    }
}
