//! Affinity: which workers probably have the data that a request needs, and what that is worth.
//!
//! Requests may name data (an account, a file) by an affinity key. A worker must have the data before it can run the
//! request. Workers cache some of it and fetch the rest while the request holds its slots. How many keys they cache, for
//! how long and what a miss costs is stated nowhere, and may be nothing at all: it is learned from run times. Each run is
//! filed under the worker's [`Locality`] for the key, with how much longer it took than usual there; the differences
//! between localities are what preferring one of them saves.
//!
//! Preferred workers follow from the key and the endpoint list alone (rendezvous hashing, weighted by slots), so that all
//! schedulers choose the same ones without communication, and a worker that comes or goes moves its own share of keys
//! only. A key that is requested often has more preferred workers: the first ones in an order of all workers, so that
//! schedulers that count differently still agree on most.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::scheduling::decaying_mean::DecayingMean;
use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::random::{seeded_hash, uniform_draw};

/// Keys counted at the most.
const MAX_KEYS: usize = 512;
/// From this decayed count on a key counts as requested repeatedly.
const REPEATED_REQUESTS: f64 = 1.5;
/// Counts of requests decay with this time constant.
const REQUEST_TIME_CONSTANT_S: f64 = 30.0;
/// Extra run times by locality decay with this time constant.
const RUN_TIME_CONSTANT_S: f64 = 60.0;
/// Runs that weigh as much as the prior saving. Without a prior nobody would prefer a worker, and no run would ever show
/// that it saves anything.
const PRIOR_RUNS: f64 = 10.0;
/// What a cached key is assumed to save before any run has shown it, in mean runs.
const PRIOR_SAVING: f64 = 0.3;
/// The fraction of requests that ignore affinity at first, to measure what it saves.
const MAX_EXPLORING_FRACTION: f64 = 0.05;
/// A saving below this many mean runs counts as noise.
const MIN_SAVING: f64 = 0.15;
/// Preferred workers of a key, for each worker that its share of the requests would keep busy: workers cache other keys
/// too.
const PREFERRED_WORKERS_PER_SHARE: f64 = 2.0;
/// Keys remembered for each worker, the latest first.
pub(crate) const MAX_RECENT_KEYS: usize = 8;
/// More than this many mean runs longer or shorter than usual has another cause than a fetch.
const MAX_EXTRA_RUNS: f64 = 3.0;

/// How close a worker is to the data of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Locality {
    /// This scheduler sent it the key lately. The number is the bit length of the count of other keys sent since.
    RecentlySent(usize),
    /// One of the workers that all schedulers prefer for the key.
    Preferred,
    /// Neither.
    Unrelated,
}

const LOCALITIES: usize = 6;

impl Locality {
    fn index(self) -> usize {
        match self {
            Locality::RecentlySent(depth) => depth.min(LOCALITIES - 3),
            Locality::Preferred => LOCALITIES - 2,
            Locality::Unrelated => LOCALITIES - 1,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct KeyStatistics {
    requests: DecayingMean,
    /// Stable ids of workers, the most preferred first.
    preferred_workers: Vec<u64>,
}

/// A ready worker as affinity sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightedWorker {
    /// The same at all schedulers; see `WorkerInfo::stable_id`.
    pub stable_id: u64,
    /// Its share of the keys is proportional to this.
    pub weight: f64,
}

/// What is known of the keys and of what affinity saves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct AffinityStatistics {
    keys: BTreeMap<u64, KeyStatistics>,
    requests: DecayingMean,
    /// By locality: what runs took longer than usual at their worker, in mean runs of the fleet.
    extra_run_time: [DecayingMean; LOCALITIES],
}

impl AffinityStatistics {
    /// Counts a request for a key, and chooses its preferred workers once it is requested repeatedly.
    ///
    /// `ready_workers` is called at each such request, as the list and the workers' known sizes change.
    pub(crate) fn count_request(
        &mut self,
        now: f64,
        key: u64,
        ready_workers: impl FnOnce() -> Vec<WeightedWorker>,
    ) {
        self.make_room_for(now, key);
        self.requests.add(now, REQUEST_TIME_CONSTANT_S, 1.0, 1.0);
        let all_requests = self.requests.remaining_weight(now, REQUEST_TIME_CONSTANT_S);
        let statistics = self.keys.entry(key).or_default();
        statistics.requests.add(now, REQUEST_TIME_CONSTANT_S, 1.0, 1.0);
        let key_requests = statistics.requests.remaining_weight(now, REQUEST_TIME_CONSTANT_S);
        if key_requests < REPEATED_REQUESTS {
            return;
        }
        let order = rendezvous_order(key, ready_workers());
        let preferred = PREFERRED_WORKERS_PER_SHARE * key_requests / all_requests * order.len() as f64;
        let preferred = (preferred.ceil() as usize).max(1);
        statistics.preferred_workers = order.into_iter().take(preferred).collect();
    }

    /// Forgets keys that were requested once or long ago if a new one has no room. Were all requested again and again, no
    /// preference would help.
    fn make_room_for(&mut self, now: f64, key: u64) {
        if self.keys.len() < MAX_KEYS || self.keys.contains_key(&key) {
            return;
        }
        self.keys.retain(|_, statistics| {
            statistics.requests.remaining_weight(now, REQUEST_TIME_CONSTANT_S) >= REPEATED_REQUESTS
        });
        if self.keys.len() >= MAX_KEYS {
            self.keys.clear();
        }
    }

    /// Whether a request ignores affinity, so that what it saves is measured: the more often, the fewer runs have shown
    /// it. `draw` is uniform over (0, 1].
    pub(crate) fn explores(&self, now: f64, draw: f64) -> bool {
        let unrelated = &self.extra_run_time[Locality::Unrelated.index()];
        let runs = unrelated.remaining_weight(now, RUN_TIME_CONSTANT_S);
        draw < MAX_EXPLORING_FRACTION * PRIOR_RUNS / (PRIOR_RUNS + runs)
    }

    /// Whether any key is requested repeatedly, so that a preference can save something.
    pub(crate) fn has_preferred_workers(&self) -> bool {
        self.keys.values().any(|statistics| !statistics.preferred_workers.is_empty())
    }

    /// How close a worker is to a key; `recent_keys` is what it was sent lately, the latest first.
    pub(crate) fn locality(&self, key: u64, stable_id: u64, recent_keys: &[u64]) -> Locality {
        let statistics = self.keys.get(&key);
        if statistics.is_some_and(|statistics| statistics.preferred_workers.contains(&stable_id)) {
            return Locality::Preferred;
        }
        match recent_keys.iter().position(|recent| *recent == key) {
            Some(depth) => Locality::RecentlySent((usize::BITS - depth.leading_zeros()) as usize),
            None => Locality::Unrelated,
        }
    }

    /// Records that a run took this much longer than usual at its worker, in mean runs of the fleet.
    pub(crate) fn record_run(&mut self, now: f64, locality: Locality, extra_runs: f64) {
        let extra_runs = extra_runs.clamp(-MAX_EXTRA_RUNS, MAX_EXTRA_RUNS);
        self.extra_run_time[locality.index()].add(now, RUN_TIME_CONSTANT_S, extra_runs, 1.0);
    }

    /// By how many mean runs of the fleet a run with this locality is shorter than an unrelated one.
    pub(crate) fn saving(&self, now: f64, locality: Locality) -> f64 {
        let extra_runs = |locality: Locality, prior| {
            let extra = &self.extra_run_time[locality.index()];
            extra.value_or(now, RUN_TIME_CONSTANT_S, PRIOR_RUNS, prior)
        };
        let prior = if locality == Locality::Unrelated { 0.0 } else { PRIOR_SAVING };
        let saving = extra_runs(Locality::Unrelated, prior) - extra_runs(locality, 0.0);
        if saving > MIN_SAVING {
            saving
        } else {
            0.0
        }
    }
}

/// The workers' stable ids in the order in which all schedulers prefer them for a key (weighted rendezvous hashing).
fn rendezvous_order(key: u64, workers: Vec<WeightedWorker>) -> Vec<u64> {
    let sort_key = |worker: WeightedWorker| {
        let draw = uniform_draw(seeded_hash(key, WorkerId(worker.stable_id)));
        (-draw.ln() / worker.weight.max(1e-9), worker.stable_id)
    };
    let mut order: Vec<_> = workers.into_iter().map(sort_key).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    order.into_iter().map(|(_, stable_id)| stable_id).collect()
}

/// Records that a worker is sent a key.
pub(crate) fn remember_key(recent_keys: &mut Vec<u64>, key: u64) {
    recent_keys.retain(|recent| *recent != key);
    recent_keys.insert(0, key);
    recent_keys.truncate(MAX_RECENT_KEYS);
}

#[cfg(test)]
mod tests;
