use super::*;

fn settings(index: usize) -> Settings {
    Settings { scheduler_index: index, overload_window_s: 3.0, ..Settings::default() }
}

#[test]
fn an_interval_lasts_as_long_as_the_window_and_covers_the_moment() {
    for index in 0..50 {
        let mut last = GrantInterval::at(0.0, 7, &settings(index));
        for tenths in 0..300 {
            let age_s = f64::from(tenths) / 10.0;
            let interval = GrantInterval::at(age_s, 7, &settings(index));
            assert!(
                interval.began_s <= age_s + 1e-9 && age_s < interval.began_s + 3.0 + 1e-9,
                "{interval:?} at {age_s}"
            );
            assert!(
                interval.number == last.number && interval.began_s == last.began_s
                    || interval.number == last.number + 1
            );
            last = interval;
        }
        assert!((9..=10).contains(&last.number), "ten intervals in thirty seconds: {last:?}");
    }
}

/// When all intervals began at the same moment, a window met the end of one and the beginning of the next.
#[test]
fn the_intervals_of_many_schedulers_begin_at_all_times() {
    let mut begin = [0; 10];
    for index in 0..1000 {
        let interval = GrantInterval::at(9.0, 7, &settings(index));
        begin[(((interval.began_s / 3.0).rem_euclid(1.0)) * 10.0) as usize % 10] += 1;
    }
    assert!(begin.iter().all(|&n| (60..150).contains(&n)), "{begin:?}");
}
