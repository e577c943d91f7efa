use super::*;

fn fleet(workers: u64) -> Vec<WeightedWorker> {
    (0..workers).map(|stable_id| WeightedWorker { stable_id, weight: 3.0 }).collect()
}

fn preferred_workers(affinity: &AffinityStatistics, key: u64) -> Vec<u64> {
    affinity.keys.get(&key).map(|statistics| statistics.preferred_workers.clone()).unwrap_or_default()
}

#[test]
fn evicts_keys_requested_once_without_choosing_preferred_workers() {
    let mut affinity = AffinityStatistics::default();
    for key in 1..=10_000 {
        affinity.count_request(key as f64 * 0.01, key, || {
            unreachable!("keys requested once need no worker order")
        });
        assert!(affinity.keys.len() <= MAX_KEYS && !affinity.has_preferred_workers());
    }
}

#[test]
fn popular_key_gets_more_preferred_workers_than_rare_one() {
    let mut affinity = AffinityStatistics::default();
    for number in 0..600u64 {
        let key = if number % 3 == 0 { 1 } else { 2 + number % 66 };
        affinity.count_request(number as f64 * 0.02, key, || fleet(12));
    }
    let (popular, rare) = (preferred_workers(&affinity, 1).len(), preferred_workers(&affinity, 6).len());
    assert!(
        (6..=9).contains(&popular) && rare == 1,
        "{popular} preferred workers of the popular key, {rare} of the rare one"
    );
}

#[test]
fn removing_a_worker_moves_only_its_own_keys() {
    let mut affinity = AffinityStatistics::default();
    let first_choices = |affinity: &mut AffinityStatistics, workers: u64| {
        for key in (0..200).chain(0..200) {
            affinity.count_request(1.0, key, || fleet(workers));
        }
        (0..200).map(|key| preferred_workers(affinity, key)[0]).collect::<Vec<_>>()
    };
    let (twelve, eleven) = (first_choices(&mut affinity, 12), first_choices(&mut affinity, 11));
    let moved: Vec<_> = twelve.iter().zip(&eleven).filter(|(before, after)| before != after).collect();
    assert!(moved.iter().all(|(before, _)| **before == 11), "only keys of the removed worker 11 may move");
    assert!(
        (8..=32).contains(&moved.len()),
        "about a twelfth of the 200 keys must move, not {}",
        moved.len()
    );
}

#[test]
fn stops_preferring_localities_without_measured_saving() {
    let localities = [Locality::Preferred, Locality::RecentlySent(0), Locality::Unrelated];
    let mut affinity = AffinityStatistics::default();
    assert!(affinity.saving(0.0, Locality::Preferred) > 0.0, "the prior saving must be positive");
    for number in 0..60 {
        for locality in localities {
            affinity.record_run(f64::from(number) * 0.1, locality, f64::from(number % 3) - 1.0);
        }
    }
    assert_eq!(localities.map(|locality| affinity.saving(6.0, locality)), [0.0; 3]);
    for number in 0..60 {
        affinity.record_run(6.0 + f64::from(number) * 0.1, Locality::Unrelated, 0.8);
    }
    assert!(
        affinity.saving(12.0, Locality::Preferred) > 0.3,
        "must prefer a locality again once runs show a saving"
    );
}
