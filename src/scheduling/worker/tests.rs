use super::*;
use crate::scheduling::affinity::{remember_key, AffinityStatistics, Locality};

#[test]
fn restarted_worker_has_no_affinity() {
    let mut worker = Worker::unknown();
    for key in 1..20 {
        remember_key(&mut worker.recent_affinity_keys, key);
    }
    let before = AffinityStatistics::default().locality(19, 7, &worker.recent_affinity_keys);
    let after = AffinityStatistics::default().locality(19, 7, &worker.restarted().recent_affinity_keys);
    assert_eq!((before, after), (Locality::RecentlySent(0), Locality::Unrelated));
}
