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
                interval.start_s <= age_s + 1e-9 && age_s < interval.start_s + 3.0 + 1e-9,
                "{interval:?} does not contain age {age_s}"
            );
            assert!(
                interval.number == last.number && interval.start_s == last.start_s
                    || interval.number == last.number + 1
            );
            last = interval;
        }
        assert!(
            (9..=10).contains(&last.number),
            "expected ten intervals in thirty seconds, last is {last:?}"
        );
    }
}

/// Guards against intervals that start at the same time for all schedulers: one overload window would then
/// contain the grants of two intervals of every scheduler.
#[test]
fn grant_intervals_of_many_schedulers_have_uniform_phases() {
    let mut starts_by_phase = [0; 10];
    for index in 0..1000 {
        let interval = GrantInterval::at(9.0, 7, &settings(index));
        starts_by_phase[(((interval.start_s / 3.0).rem_euclid(1.0)) * 10.0) as usize % 10] += 1;
    }
    assert!(starts_by_phase.iter().all(|&count| (60..150).contains(&count)), "{starts_by_phase:?}");
}
