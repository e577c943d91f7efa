//! Affinity: which workers probably have the data that a request needs, and how much run time that saves.
//!
//! A request may name data (an account, a file) by an affinity key. A worker needs the data to run the
//! request: it caches some of it and fetches the rest while the request occupies its slots. How many keys a
//! worker caches, for how long, and how much a miss costs (possibly nothing) is not configured anywhere but
//! learned from run times. Each run is recorded under the worker's [`Locality`] for the key, with the
//! difference between its run time and the usual one at that worker. The differences between localities are
//! the savings of preferring one over another.
//!
//! Preferred workers depend only on the key and the endpoint list (rendezvous hashing, weighted by slots).
//! All schedulers therefore choose the same ones without communication, and a worker that joins or leaves
//! moves only its own share of the keys. A key that is requested often has more preferred workers. They are a
//! prefix of one ordering of all workers, so schedulers that count different request rates still agree on
//! most of them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::scheduling::decaying_mean::DecayingMean;
use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::random::{seeded_hash, uniform_draw};

/// Maximum number of keys with statistics.
const MAX_KEYS: usize = 512;
/// A key counts as requested repeatedly from this decayed number of requests on.
const MIN_REPEATED_REQUESTS: f64 = 1.5;
/// Time constant of the decay of request counts.
const REQUEST_TIME_CONSTANT_S: f64 = 30.0;
/// Time constant of the decay of the extra run times by locality.
const RUN_TIME_CONSTANT_S: f64 = 60.0;
/// Number of runs that weigh as much as the prior saving. Without a prior no worker would ever be preferred,
/// and no run could show a saving.
const PRIOR_RUNS: f64 = 10.0;
/// Saving assumed for a cached key before any run has been observed, in multiples of the mean run time.
const PRIOR_SAVING: f64 = 0.3;
/// Initial fraction of requests that ignore affinity, to measure how much it saves.
const MAX_EXPLORING_FRACTION: f64 = 0.05;
/// A saving up to this multiple of the mean run time counts as noise.
const MIN_SAVING: f64 = 0.15;
/// Number of preferred workers of a key for each worker that its share of the requests would keep busy. More
/// than one, because workers cache other keys too.
const PREFERRED_WORKERS_PER_SHARE: f64 = 2.0;
/// Maximum number of recently sent keys remembered for each worker.
pub(crate) const MAX_RECENT_KEYS: usize = 8;
/// Larger deviations from the usual run time, in multiples of the mean, have other causes than a fetch and
/// are clamped.
const MAX_EXTRA_RUN_TIMES: f64 = 3.0;

/// How close a worker is to the data of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Locality {
    /// This scheduler recently sent the worker the key. The number is the bit length of the count of other
    /// keys sent there since.
    RecentlySent(usize),
    /// The worker is one of those that all schedulers prefer for the key.
    Preferred,
    /// Neither applies.
    Unrelated,
}

/// Number of localities that are told apart: four depths of `RecentlySent`, `Preferred` and `Unrelated`.
const LOCALITY_COUNT: usize = 6;

impl Locality {
    fn index(self) -> usize {
        match self {
            Locality::RecentlySent(depth) => depth.min(LOCALITY_COUNT - 3),
            Locality::Preferred => LOCALITY_COUNT - 2,
            Locality::Unrelated => LOCALITY_COUNT - 1,
        }
    }
}

/// Request count and preferred workers of a key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct KeyStatistics {
    requests: DecayingMean,
    /// Stable ids of the preferred workers, most preferred first.
    preferred_workers: Vec<u64>,
}

/// Identity and weight of a ready worker in rendezvous hashing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightedWorker {
    /// Same value at all schedulers; see `WorkerInfo::stable_id`.
    pub stable_id: u64,
    /// The worker's share of the keys is proportional to this.
    pub weight: f64,
}

/// Request counts by key and run time statistics by locality.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct AffinityStatistics {
    keys: BTreeMap<u64, KeyStatistics>,
    requests: DecayingMean,
    /// Extra run time over the usual one at the worker, by locality, in multiples of the fleet's mean run
    /// time.
    extra_run_time: [DecayingMean; LOCALITY_COUNT],
}

impl AffinityStatistics {
    /// Counts a request for a key and chooses the key's preferred workers once it is requested repeatedly.
    ///
    /// `ready_workers` is called for each request of such a key, because the endpoint list and the known
    /// worker sizes change.
    pub(crate) fn count_request(
        &mut self,
        now: f64,
        key: u64,
        ready_workers: impl FnOnce() -> Vec<WeightedWorker>,
    ) {
        self.evict_keys_if_full(now, key);
        self.requests.add(now, REQUEST_TIME_CONSTANT_S, 1.0, 1.0);
        let all_requests = self.requests.remaining_weight(now, REQUEST_TIME_CONSTANT_S);
        let statistics = self.keys.entry(key).or_default();
        statistics.requests.add(now, REQUEST_TIME_CONSTANT_S, 1.0, 1.0);
        let key_requests = statistics.requests.remaining_weight(now, REQUEST_TIME_CONSTANT_S);
        if key_requests < MIN_REPEATED_REQUESTS {
            return;
        }
        let order = rendezvous_order(key, ready_workers());
        let preferred_count = PREFERRED_WORKERS_PER_SHARE * key_requests / all_requests * order.len() as f64;
        let preferred_count = (preferred_count.ceil() as usize).max(1);
        statistics.preferred_workers = order.into_iter().take(preferred_count).collect();
    }

    /// Evicts keys that were requested once or long ago when a new key exceeds the limit. If all keys are
    /// requested repeatedly, all are evicted: with so many in use, no preference would help.
    fn evict_keys_if_full(&mut self, now: f64, key: u64) {
        if self.keys.len() < MAX_KEYS || self.keys.contains_key(&key) {
            return;
        }
        self.keys.retain(|_, statistics| {
            statistics.requests.remaining_weight(now, REQUEST_TIME_CONSTANT_S) >= MIN_REPEATED_REQUESTS
        });
        if self.keys.len() >= MAX_KEYS {
            self.keys.clear();
        }
    }

    /// Whether a request should ignore affinity to measure how much it saves. The fewer runs at unrelated
    /// workers have been observed, the more often it should. `draw` is uniform over (0, 1].
    pub(crate) fn should_explore(&self, now: f64, draw: f64) -> bool {
        let unrelated = &self.extra_run_time[Locality::Unrelated.index()];
        let runs = unrelated.remaining_weight(now, RUN_TIME_CONSTANT_S);
        draw < MAX_EXPLORING_FRACTION * PRIOR_RUNS / (PRIOR_RUNS + runs)
    }

    /// Whether any key is requested repeatedly, so that a preference can save something.
    pub(crate) fn has_preferred_workers(&self) -> bool {
        self.keys.values().any(|statistics| !statistics.preferred_workers.is_empty())
    }

    /// Locality of a worker for a key; `recent_keys` are the keys that it was recently sent, latest first.
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

    /// Records the extra run time of a run over the usual one at its worker, in multiples of the fleet's mean
    /// run time.
    pub(crate) fn record_run(&mut self, now: f64, locality: Locality, extra_run_times: f64) {
        let extra_run_times = extra_run_times.clamp(-MAX_EXTRA_RUN_TIMES, MAX_EXTRA_RUN_TIMES);
        self.extra_run_time[locality.index()].add(now, RUN_TIME_CONSTANT_S, extra_run_times, 1.0);
    }

    /// Run time saved by this locality over an unrelated one, in multiples of the fleet's mean run time.
    pub(crate) fn saving(&self, now: f64, locality: Locality) -> f64 {
        let extra_run_times = |locality: Locality, prior| {
            let extra = &self.extra_run_time[locality.index()];
            extra.value_or(now, RUN_TIME_CONSTANT_S, PRIOR_RUNS, prior)
        };
        let prior = if locality == Locality::Unrelated { 0.0 } else { PRIOR_SAVING };
        let saving = extra_run_times(Locality::Unrelated, prior) - extra_run_times(locality, 0.0);
        if saving > MIN_SAVING {
            saving
        } else {
            0.0
        }
    }
}

/// Returns the stable ids of the workers, ordered by preference for a key (weighted rendezvous hashing). The
/// order is the same at all schedulers.
fn rendezvous_order(key: u64, workers: Vec<WeightedWorker>) -> Vec<u64> {
    let sort_key = |worker: WeightedWorker| {
        let draw = uniform_draw(seeded_hash(key, WorkerId(worker.stable_id)));
        (-draw.ln() / worker.weight.max(1e-9), worker.stable_id)
    };
    let mut order: Vec<_> = workers.into_iter().map(sort_key).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    order.into_iter().map(|(_, stable_id)| stable_id).collect()
}

/// Moves a key that is being sent to a worker to the front of the worker's recent keys.
pub(crate) fn remember_key(recent_keys: &mut Vec<u64>, key: u64) {
    recent_keys.retain(|recent| *recent != key);
    recent_keys.insert(0, key);
    recent_keys.truncate(MAX_RECENT_KEYS);
}

#[cfg(test)]
mod tests;
