use super::*;

fn load(held: f64, slots: f64) -> WorkerLoad {
    WorkerLoad { held, slots }
}

#[test]
fn what_lies_below_the_level_comes_to_what_is_sent() {
    let loads: Vec<_> = (0..40).map(|n| load(f64::from(n * 7 % 11), f64::from(2 + n % 4))).collect();
    let running: f64 = loads.iter().map(|load| load.held.min(load.slots)).sum();
    for runs in [0.01, 0.3, 1.0, 5.0] {
        let level = fill_level(&loads, runs);
        let poured: f64 = loads.iter().map(|load| (level * load.slots - load.held).max(0.0)).sum();
        assert!((poured - runs * running).abs() < 1e-6, "{poured} of {}", runs * running);
    }
}

#[test]
fn fresh_news_lead_to_the_least_loaded_and_old_ones_to_all() {
    let loads = vec![load(0.0, 2.0), load(1.0, 2.0), load(6.0, 2.0)];
    assert!(fill_level(&loads, 0.1) < 0.5, "only the idle one");
    assert!((0.5..3.0).contains(&fill_level(&loads, 1.0)), "the crowded one is still left out");
    assert!(fill_level(&loads, 10.0) > 3.0, "nothing is known any more");
}

#[test]
fn an_idle_or_an_empty_fleet_has_a_level_too() {
    assert!(fill_level(&[load(0.0, 4.0); 10], 0.5) > 0.0);
    assert_eq!(fill_level(&[], 3.0), 1.0);
    assert_eq!(fill_level(&[load(0.0, 0.0)], 3.0), 1.0);
}
