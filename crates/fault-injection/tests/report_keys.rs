//! Scripts read the JSON keys of the last output line: renaming a field must not change its key.

use std::collections::BTreeMap;

use chutesaddle_fault_injection::gossip::GossipReport;
use chutesaddle_fault_injection::gossip_network::DatagramCounts;

#[test]
fn report_keeps_its_json_keys() {
    let report = GossipReport {
        requests: 1,
        served: 2,
        rejected: 3,
        failed: 4,
        lost_with_scheduler: 5,
        lost: 6,
        duplicate_runs: 7,
        misplaced: 8,
        runs: 9,
        latency_ms: [10, 11],
        datagrams: DatagramCounts {
            sent: 12,
            arrived: 13,
            duplicated: 14,
            lost: 15,
            partitioned: 16,
            without_receiver: 17,
            too_long: 18,
        },
        faults: BTreeMap::from([("kill", 19)]),
        logged_failures: vec!["x".to_owned()],
    };
    let expected = r#"{"jobs":1,"served":2,"rejected":3,"failed":4,"lost_with_theirs":5,"lost":6,"doubled":7,"misplaced":8,"runs":9,"latency_ms":[10,11],"datagrams":{"sent":12,"arrived":13,"doubled":14,"lost":15,"cut":16,"to_nobody":17,"too_long":18},"faults":{"kill":19},"complaints":["x"]}"#;
    assert_eq!(serde_json::to_string(&report).unwrap(), expected);
}
