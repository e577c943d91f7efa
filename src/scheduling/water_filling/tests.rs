use super::*;

fn load(reserved: f64, slots: f64) -> WorkerLoad {
    WorkerLoad { reserved, slots }
}

#[test]
fn free_capacity_below_the_load_level_equals_the_requests_sent() {
    let loads: Vec<_> =
        (0..40).map(|index| load(f64::from(index * 7 % 11), f64::from(2 + index % 4))).collect();
    let running: f64 = loads.iter().map(|load| load.reserved.min(load.slots)).sum();
    for runs in [0.01, 0.3, 1.0, 5.0] {
        let level = fill_level(&loads, runs);
        let sent: f64 = loads.iter().map(|load| (level * load.slots - load.reserved).max(0.0)).sum();
        assert!((sent - runs * running).abs() < 1e-6, "{sent} of {}", runs * running);
    }
}

#[test]
fn fresh_load_data_fills_the_least_loaded_workers_and_stale_data_fills_all() {
    let loads = vec![load(0.0, 2.0), load(1.0, 2.0), load(6.0, 2.0)];
    assert!(fill_level(&loads, 0.1) < 0.5, "only the idle worker gets requests");
    assert!((0.5..3.0).contains(&fill_level(&loads, 1.0)), "the overloaded worker still gets none");
    assert!(fill_level(&loads, 10.0) > 3.0, "data this old carries no information");
}

#[test]
fn idle_and_empty_fleets_have_a_load_level() {
    assert!(fill_level(&[load(0.0, 4.0); 10], 0.5) > 0.0);
    assert_eq!(fill_level(&[], 3.0), 1.0);
    assert_eq!(fill_level(&[load(0.0, 0.0)], 3.0), 1.0);
}
