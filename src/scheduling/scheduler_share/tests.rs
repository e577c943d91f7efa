use super::*;

#[test]
fn few_dispatchers_always_have_their_part() {
    for total in 1..=MIN_FIXED_SHARES {
        assert!((0..total).all(|index| fixed_share(index, total, 1.0, 5) == Some(1.0 / total as f64)));
    }
}

#[test]
fn parts_come_to_the_whole_and_stay_with_their_holders() {
    for (total, salt) in (MIN_FIXED_SHARES..300).zip(0..) {
        let mut holders = Vec::new();
        for tenths in 10..80 {
            let parts: Vec<_> =
                (0..total).map(|index| fixed_share(index, total, f64::from(tenths) / 10.0, salt)).collect();
            let whole: f64 = parts.iter().flatten().sum();
            assert!((whole - 1.0).abs() < 1e-9, "{whole} of {total} dispatchers at {tenths}");
            assert!(holders.iter().all(|&index: &usize| parts[index].is_some()), "one lost its part");
            holders = (0..total).filter(|&index| parts[index].is_some()).collect();
        }
    }
}

#[test]
fn grants_come_to_the_budget_on_average_and_stray_as_chance_does() {
    for (total, jobs) in [(10, 4.0), (40, 3.0), (300, 8.5), (300, 0.7), (1000, 30.0), (10, 25.0)] {
        let in_interval = |number| -> f64 {
            (0..total).map(|index| granted_requests(index, total, jobs, 77, number)).sum()
        };
        let all: Vec<f64> = (0..400).map(in_interval).collect();
        let mean = all.iter().sum::<f64>() / 400.0;
        assert!((mean - jobs).abs() < 0.15 * jobs.sqrt().max(1.0), "{mean} of {jobs} among {total}");
        let most = all.iter().copied().fold(0.0, f64::max);
        assert!(most <= jobs + 3.0 * jobs.sqrt() + 3.0, "{most} of {jobs} among {total}");
    }
}

#[test]
fn what_is_granted_never_comes_near_the_fall_in_a_thousand_intervals() {
    for (total, n) in [(10, 4.0), (32, 1.0), (32, 7.7), (40, 15.0), (300, 30.0), (300, 0.4), (1000, 90.0)] {
        let sum = |number| -> f64 {
            (0..total)
                .map(|index| granted_requests(index, total, mean_grants_per_interval(n), 9, number))
                .sum()
        };
        let most = (0..1000).map(sum).fold(0.0, f64::max);
        assert!(most <= 0.9 * collapse_threshold(n), "{most} of {} among {total}", collapse_threshold(n));
    }
}

#[test]
fn grants_reach_all_dispatchers_and_a_larger_budget_takes_none_away() {
    let had = |index| (0..2000).filter(|number| granted_requests(index, 100, 4.0, 5, *number) > 0.0).count();
    assert!((0..100).all(|index| (40..130).contains(&had(index))));
    for number in 0..200 {
        assert!((0..100)
            .all(|i| granted_requests(i, 100, 4.0, 5, number) <= granted_requests(i, 100, 9.0, 5, number)));
    }
}

#[test]
fn several_budgets_fall_to_different_dispatchers() {
    let with = |salt| (0..100).filter(move |&index| fixed_share(index, 100, 1.0, salt).is_some());
    let mut held = [0; 100];
    (0..200).flat_map(with).for_each(|index| held[index] += 1);
    assert!(held.iter().all(|&n| n <= 20), "{held:?}");
    assert!(held.iter().filter(|&&n| n > 0).count() > 95, "{held:?}");
}
