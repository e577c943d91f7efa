//! Scheduling decisions for requests with affinity keys, at workers that cache the data of recently used keys.

mod common;

use std::collections::BTreeMap;

use chutesaddle::scheduling::*;
use common::*;

/// Settings of one of four schedulers, with free slots in load reports and capacity probes allowed.
fn four_schedulers(index: usize) -> Settings {
    let load_report_fields = vec![LoadReportField::FreeSlots];
    Settings {
        scheduler_count: 4,
        scheduler_index: index,
        load_report_fields,
        hedging_allowed: true,
        ..settings()
    }
}

/// Workers that cache the data of the last `capacity` keys and take `fetch_s` seconds longer for any other key.
struct CachingWorkers {
    capacity: usize,
    fetch_s: f64,
    cached_keys: BTreeMap<u64, Vec<u64>>,
    hits: usize,
}

impl CachingWorkers {
    fn new(capacity: usize, fetch_s: f64) -> Self {
        CachingWorkers { capacity, fetch_s, cached_keys: BTreeMap::new(), hits: 0 }
    }

    /// Runs a request with this key at a worker. Returns its run time in seconds.
    fn run(&mut self, worker: u64, key: u64) -> f64 {
        let cached = self.cached_keys.entry(worker).or_default();
        let hit = cached.contains(&key);
        self.hits += usize::from(hit);
        cached.retain(|other| *other != key);
        cached.insert(0, key);
        cached.truncate(self.capacity);
        0.3 + if hit { 0.0 } else { self.fetch_s }
    }
}

/// Runs a request with this key on an idle fleet, for `run_time_s(worker)` seconds. Returns the worker.
fn run_one(scheduler: &mut TestScheduler, id: u32, key: u64, run_time_s: impl FnOnce(u64) -> f64) -> u64 {
    scheduler
        .send(Event::RequestReceived(Request { affinity_key: Some(key), ..request(id, 0, scheduler.now) }));
    let mut sent = Vec::new();
    for _ in 0..20 {
        sent.extend(dispatched(&scheduler.run(0.02)));
        if !sent.is_empty() {
            break;
        }
    }
    let worker = sent.first().expect("an idle fleet has a free slot").1;
    scheduler.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 });
    scheduler.run(run_time_s(worker));
    scheduler.end_attempt(id, 0, AttemptOutcome::Succeeded);
    worker
}

/// Runs `requests` requests one at a time, with keys from `key`. Returns the key and worker of each.
fn run_sequentially(
    scheduler: &mut TestScheduler,
    caching_workers: &mut CachingWorkers,
    requests: u32,
    key: impl Fn(u32) -> u64,
) -> Vec<(u64, u64)> {
    let each = (0..requests)
        .map(|id| (key(id), run_one(scheduler, id, key(id), |worker| caching_workers.run(worker, key(id)))));
    each.collect()
}

/// The key of a request: one of twenty, in an order without a pattern.
fn request_key(id: u32) -> u64 {
    1 + u64::from(id.wrapping_mul(2_654_435_761) >> 7) % 20
}

#[test]
fn schedulers_without_gossip_prefer_the_same_workers_for_a_key() {
    let mut counts_by_scheduler: Vec<BTreeMap<u64, BTreeMap<u64, usize>>> = Vec::new();
    for index in 0..2 {
        let mut scheduler = TestScheduler::seeded(four_schedulers(index), 77 + index as u64, fleet(8));
        let mut caching_workers = CachingWorkers::new(4, 0.3);
        let sent = run_sequentially(&mut scheduler, &mut caching_workers, 400, request_key);
        let mut counts: BTreeMap<u64, BTreeMap<u64, usize>> = BTreeMap::new();
        for (key, worker) in &sent[200..] {
            *counts.entry(*key).or_default().entry(*worker).or_default() += 1;
        }
        counts_by_scheduler.push(counts);
        assert!(
            caching_workers.hits > 300,
            "{} of 400 requests found their data cached",
            caching_workers.hits
        );
    }
    let most_used = |counts: &BTreeMap<u64, usize>| {
        *counts.iter().max_by_key(|(_, count)| **count).expect("some were sent").0
    };
    let same = counts_by_scheduler[0]
        .iter()
        .filter(|(key, counts)| counts_by_scheduler[1][key].contains_key(&most_used(counts)));
    assert!(same.count() >= 18, "fewer than 18 of 20 keys prefer the same worker");
}

/// The fraction of requests that go to the worker with the most requests of their key. Runs 100 rounds of twelve
/// requests with twenty keys, and counts after 40 rounds, when the schedulers have learned what cached data saves.
fn concentration(capacity: usize, fetch_s: f64) -> f64 {
    let mut scheduler = TestScheduler::new(four_schedulers(0), fleet(8));
    let mut caching_workers = CachingWorkers::new(capacity, fetch_s);
    let mut counts: BTreeMap<u64, BTreeMap<u64, usize>> = BTreeMap::new();
    for round in 0..100u32 {
        for id in round * 12..(round + 1) * 12 {
            scheduler.send(Event::RequestReceived(Request {
                affinity_key: Some(request_key(id)),
                ..request(id, 0, scheduler.now)
            }));
        }
        let mut running = Vec::new();
        for _ in 0..100 {
            let mut actions = scheduler.run(0.02);
            let (ended, still_running): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(ends_at, _): &(f64, u32)| *ends_at <= scheduler.now);
            running = still_running;
            for (_, id) in ended {
                actions.extend(scheduler.end_attempt(id, 0, AttemptOutcome::Succeeded));
            }
            for (id, worker) in dispatched(&actions) {
                scheduler.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 });
                running.push((scheduler.now + caching_workers.run(worker, request_key(id)), id));
                if round >= 40 {
                    *counts.entry(request_key(id)).or_default().entry(worker).or_default() += 1;
                }
            }
        }
    }
    let max_per_key: usize = counts.values().filter_map(|by_worker| by_worker.values().max()).sum();
    max_per_key as f64 / counts.values().flat_map(|by_worker| by_worker.values()).sum::<usize>() as f64
}

#[test]
fn prefers_workers_only_where_cached_data_saves_time() {
    let (with_cache, without) = (concentration(4, 0.4), concentration(0, 0.0));
    assert!(with_cache > 0.6 && without < 0.4, "{with_cache} with a cache, {without} without");
}

#[test]
fn skips_preferred_workers_without_a_free_slot() {
    let mut scheduler = TestScheduler::new(four_schedulers(0), fleet(8));
    let mut caching_workers = CachingWorkers::new(4, 0.3);
    run_sequentially(&mut scheduler, &mut caching_workers, 300, request_key);
    // More requests with one key than its preferred workers have slots: other workers get the rest.
    for id in 1000..1006 {
        scheduler
            .send(Event::RequestReceived(Request { affinity_key: Some(1), ..request(id, 0, scheduler.now) }));
    }
    let sent = dispatched(&scheduler.run(0.1));
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    sent.iter().for_each(|(_, worker)| *counts.entry(*worker).or_default() += 1);
    assert!(sent.len() >= 4 && counts.values().all(|&count| count <= 2), "{counts:?}");
}

#[rstest::rstest]
#[case::no_estimate(None)]
#[case::zero(Some(0.0))]
#[case::very_large(Some(1e9))]
fn extreme_work_estimates_and_objectives_get_one_answer_before_the_deadline(
    #[case] estimated_work_s: Option<f64>,
) {
    let mut settings = four_schedulers(0);
    settings
        .classes
        .iter_mut()
        .for_each(|class| (class.latency_objective_s, class.weight_after_objective) = (60.0, 0.5));
    let mut scheduler = TestScheduler::new(settings, fleet(2));
    for id in 0..12 {
        scheduler.send(Event::RequestReceived(Request {
            estimated_work_s,
            affinity_key: Some(1),
            ..request(id, 0, scheduler.now)
        }));
    }
    let actions = scheduler.run(9.999);
    assert!(!dispatched(&actions).is_empty(), "some requests are dispatched");
    for id in 0..12 {
        let answers = usize::from(rejected(&actions, id)) + usize::from(failed(&actions, id));
        assert_eq!(answers, 1, "request {id} has one final answer");
    }
}

#[test]
fn keyed_retry_stays_in_its_zone_despite_affinity() {
    for key in 1..=20 {
        let mut settings = four_schedulers(0);
        settings.classes[2].deduplication_scope = DeduplicationScope::Zone;
        let zoned = |id: u64| WorkerInfo { zone: (id % 2) as u16, ..worker(id) };
        let mut scheduler = TestScheduler::new(settings, (1..=8).map(zoned).collect());
        for id in 0..3 {
            scheduler.send(Event::RequestReceived(Request {
                affinity_key: Some(key),
                ..request(id, 2, scheduler.now)
            }));
        }
        let sent = dispatched(&scheduler.run(0.1));
        let &(id, first) = sent.first().expect("dispatched");
        let mut actions = scheduler.end_attempt(id, 0, AttemptOutcome::ConnectionReset);
        actions.extend(scheduler.run(0.5));
        let retry = dispatched(&actions)
            .into_iter()
            .find(|sent| sent.0 == id)
            .expect("retried at another worker of the zone");
        assert_eq!(retry.1 % 2, first % 2, "key {key}");
    }
}

#[rstest::rstest]
#[case::one_scheduler_and_one_worker(1, 1, false)]
#[case::four_schedulers_and_two_workers(4, 2, false)]
#[case::five_schedulers_and_18_workers(5, 18, false)]
#[case::six_schedulers_and_18_workers(6, 18, false)]
#[case::twenty_schedulers_and_18_workers(20, 18, true)]
#[case::twenty_schedulers_and_60_workers(20, 60, false)]
#[case::hundred_schedulers_and_60_workers(100, 60, true)]
fn probes_capacity_only_if_schedulers_outnumber_half_of_the_workers(
    #[case] schedulers: usize,
    #[case] workers: u64,
    #[case] probes: bool,
) {
    // A scheduler that learns the load from its own traffic and from load reports only loses time with probes.
    for load_report_fields in [Vec::new(), vec![LoadReportField::FreeSlots]] {
        let mut scheduler = TestScheduler::new(
            Settings { scheduler_count: schedulers, load_report_fields, ..four_schedulers(0) },
            fleet(workers),
        );
        let first = scheduler.send(Event::RequestReceived(request(1, 0, scheduler.now)));
        assert_eq!(!probed(&first).is_empty(), probes);
    }
}

/// The worker that occurs most often.
fn most_frequent(workers: &[u64]) -> u64 {
    let mut counts = BTreeMap::new();
    workers.iter().for_each(|worker| *counts.entry(*worker).or_insert(0) += 1);
    *counts.iter().max_by_key(|count| *count.1).expect("not empty").0
}

#[test]
fn stops_preferring_a_worker_that_became_slow() {
    let mut scheduler = TestScheduler::new(four_schedulers(0), fleet(8));
    let mut caching_workers = CachingWorkers::new(4, 0.3);
    run_sequentially(&mut scheduler, &mut caching_workers, 300, request_key);
    let preferred =
        most_frequent(&(1000..1020).map(|id| run_one(&mut scheduler, id, 1, |_| 0.3)).collect::<Vec<_>>());
    // Slower than a run at another worker without cached data, but not so slow that it is overdue.
    let run_time_s = |worker| if worker == preferred { 1.6 } else { 0.6 };
    let chosen: Vec<_> = (2000..2040).map(|id| run_one(&mut scheduler, id, 1, run_time_s)).collect();
    let sent_to_preferred = chosen[10..].iter().filter(|worker| **worker == preferred).count();
    assert!(
        sent_to_preferred <= 5,
        "{sent_to_preferred} of 30 requests still went to worker {preferred}: {chosen:?}"
    );
}

#[test]
fn restarted_preferred_worker_stays_within_its_slow_start_budget() {
    let settings = Settings { scheduler_count: 1, ..four_schedulers(0) };
    let (multiple, window) = (settings.collapse_multiple, settings.overload_window_s);
    let mut scheduler = TestScheduler::new(settings, fleet(8));
    let mut caching_workers = CachingWorkers::new(4, 0.3);
    run_sequentially(&mut scheduler, &mut caching_workers, 300, request_key);
    let preferred =
        most_frequent(&(1000..1020).map(|id| run_one(&mut scheduler, id, 1, |_| 0.3)).collect::<Vec<_>>());
    let restarted_at = scheduler.now;
    let entries = vec![WorkerInfo { started_at_s: restarted_at, ..worker(preferred) }];
    scheduler.update_workers(entries);
    let mut sent: Vec<f64> = Vec::new();
    for id in 2000..2100 {
        scheduler
            .send(Event::RequestReceived(Request { affinity_key: Some(1), ..request(id, 0, scheduler.now) }));
        let sent_to_preferred =
            dispatched(&scheduler.run(0.02)).iter().filter(|sent| sent.1 == preferred).count();
        sent.extend(vec![scheduler.now; sent_to_preferred]);
    }
    assert!(!sent.is_empty(), "no request was sent to the restarted worker");
    // Two slots, with a fifth of their capacity at first and full capacity after 20 s. Requests have 0.3 s of work.
    let capacity = |at: f64| 2.0 * (0.2 + 0.8 * (at - restarted_at) / 20.0);
    for &until in &sent {
        let work = 0.3 * sent.iter().filter(|at| **at <= until && **at > until - window).count() as f64;
        let max = multiple * capacity(until) * window + 0.5 * 0.3;
        assert!(work <= max, "{work} s of work sent within {window} s, at most {max} s allowed: {sent:?}");
    }
}

#[test]
fn learned_state_of_ten_thousand_affinity_keys_stays_small() {
    let size = |requests: u32| {
        let mut scheduler = TestScheduler::new(four_schedulers(0), fleet(8));
        for id in 0..requests {
            scheduler.send(Event::RequestReceived(Request {
                affinity_key: Some(1 + u64::from(id)),
                ..request(id, 0, scheduler.now)
            }));
            let mut actions = scheduler.run(0.05);
            actions.extend(scheduler.send(Event::ClientDisconnected(RequestId(id))));
            for (id, _) in dispatched(&actions) {
                scheduler.end_attempt(id, 0, AttemptOutcome::Cancelled);
            }
        }
        postcard::to_allocvec(&scheduler.dispatcher.learned_state())
            .expect("learned state is serializable")
            .len()
    };
    let (some, many) = (size(1_000), size(10_000));
    assert!(many <= some.max(32 * 1024), "{many} bytes after 10,000 keys, {some} after 1,000");
}

#[rstest::rstest]
#[case::no_weight_after_objective(0.0, false)]
#[case::half_weight_after_objective(0.5, true)]
fn late_request_keeps_waiting_only_if_it_has_weight_after_its_objective(
    #[case] weight_after_objective: f64,
    #[case] waits: bool,
) {
    let mut settings = four_schedulers(0);
    settings.classes.iter_mut().for_each(|class| class.weight_after_objective = weight_after_objective);
    let mut scheduler = TestScheduler::new(settings, fleet(1));
    for id in 0..4 {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
    }
    let mut actions = scheduler.run(0.1);
    for (id, _) in dispatched(&actions) {
        scheduler.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 });
    }
    // The objective is 1.1 s and the deadline 10 s. Running requests take 3 s.
    actions.extend(scheduler.run(3.0));
    let rejected = (0..4).filter(|id| rejected(&actions, *id)).count();
    assert_eq!(rejected == 0, waits, "{rejected} of 4 rejected after 3 s");
    // After such late ends, the worker is on probation and gets the remaining requests one at a time.
    for id in 0..4 {
        actions.extend(scheduler.end_attempt(id, 0, AttemptOutcome::Succeeded));
        actions.extend(scheduler.run(0.5));
    }
    let sent = dispatched(&actions).len();
    assert_eq!(sent + rejected, 4, "{sent} sent, {rejected} rejected");
}
