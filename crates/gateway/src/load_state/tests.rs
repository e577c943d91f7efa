use std::time::Duration;

use super::*;

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn load(free: f64, waiting: usize) -> SiteLoad {
    SiteLoad { slots: 20.0, free, waiting, backlog: Time::ZERO }
}

/// A lull shorter than `settle_time` does not open the site, and between `close_at` and `open_at` the state
/// does not change.
#[test]
fn opens_after_the_settle_time_and_closes_at_a_lower_threshold() {
    let (config, mut monitor) = (Config::default(), LoadMonitor::default());
    let steps = [
        (0, 10.0, LoadState::Neutral),
        (150, 4.0, LoadState::Neutral),
        (200, 10.0, LoadState::Neutral),
        (399, 10.0, LoadState::Neutral),
        (400, 10.0, LoadState::Open),
        (500, 3.0, LoadState::Open),
        (600, 1.0, LoadState::Neutral),
        (700, 3.0, LoadState::Neutral),
    ];
    for (ms, free, state) in steps {
        monitor.record_load(at(ms), load(free, 0), &config);
        assert_eq!(monitor.state(), state, "at {ms} ms with {free} free slots");
    }
}

#[test]
fn grants_nothing_during_the_hold_after_forwarding() {
    let (config, mut monitor) = (Config::default(), LoadMonitor::default());
    monitor.record_load(at(0), load(20.0, 0), &config);
    monitor.record_load(at(300), load(20.0, 0), &config);
    assert_eq!(monitor.grantable_slots(&config), 18);
    monitor.record_forwarded(at(300));
    for ms in (300..1300).step_by(20) {
        monitor.record_load(at(ms), load(20.0, 0), &config);
        assert_eq!(monitor.grantable_slots(&config), 0, "at {ms} ms");
    }
    monitor.record_load(at(1300), load(20.0, 0), &config);
    assert_eq!(monitor.grantable_slots(&config), 18);
}

#[test]
fn does_not_grant_slots_of_waiting_or_just_accepted_requests() {
    let (config, mut monitor) = (Config::default(), LoadMonitor::default());
    monitor.record_load(at(0), load(12.0, 2), &config);
    monitor.record_load(at(200), load(12.0, 2), &config);
    assert_eq!(monitor.grantable_slots(&config), 8);
    monitor.record_accepted(5);
    assert_eq!(monitor.grantable_slots(&config), 3);
}

#[test]
fn forwards_only_after_uninterrupted_starvation() {
    let (config, mut monitor) = (Config::default(), LoadMonitor::default());
    monitor.record_load(at(0), load(0.0, 3), &config);
    assert!(!monitor.may_forward(at(19), &config));
    assert!(monitor.may_forward(at(20), &config));
    monitor.record_load(at(25), load(1.0, 3), &config);
    monitor.record_load(at(30), load(0.4, 3), &config);
    assert!(!monitor.may_forward(at(49), &config));
    assert!(monitor.may_forward(at(50), &config));
}
