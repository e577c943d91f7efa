use super::*;

fn settings(index: usize) -> Settings {
    Settings { scheduler_index: index, overload_window_s: 3.0, ..Settings::default() }
}

#[test]
fn grant_interval_lasts_one_overload_window_and_covers_the_given_age() {
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

/// If all began at the same time, one overload window would hold the grants of two intervals of every scheduler.
#[test]
fn grant_intervals_of_many_schedulers_begin_at_all_times() {
    let mut begun_in_tenth = [0; 10];
    for index in 0..1000 {
        let interval = GrantInterval::at(9.0, 7, &settings(index));
        begun_in_tenth[(((interval.began_s / 3.0).rem_euclid(1.0)) * 10.0) as usize % 10] += 1;
    }
    assert!(begun_in_tenth.iter().all(|&count| (60..150).contains(&count)), "{begun_in_tenth:?}");
}
