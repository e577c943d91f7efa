use super::*;

#[test]
fn few_schedulers_always_have_a_fixed_share() {
    for total in 1..=MIN_FIXED_SHARES {
        assert!((0..total).all(|index| fixed_share(index, total, 1.0, 5) == Some(1.0 / total as f64)));
    }
}

#[test]
fn fixed_shares_add_up_to_one_and_are_kept_as_the_budget_grows() {
    for (total, salt) in (MIN_FIXED_SHARES..300).zip(0..) {
        let mut holders = Vec::new();
        for tenths in 10..80 {
            let shares: Vec<_> =
                (0..total).map(|index| fixed_share(index, total, f64::from(tenths) / 10.0, salt)).collect();
            let sum: f64 = shares.iter().flatten().sum();
            assert!(
                (sum - 1.0).abs() < 1e-9,
                "shares of {total} schedulers add up to {sum} at a budget growth of {tenths} tenths"
            );
            assert!(
                holders.iter().all(|&index: &usize| shares[index].is_some()),
                "a scheduler lost its share as the budget grew"
            );
            holders = (0..total).filter(|&index| shares[index].is_some()).collect();
        }
    }
}

#[test]
fn granted_requests_average_to_the_budget_with_bounded_variance() {
    for (total, budget) in [(10, 4.0), (40, 3.0), (300, 8.5), (300, 0.7), (1000, 30.0), (10, 25.0)] {
        let in_interval = |number| -> f64 {
            (0..total).map(|index| granted_requests(index, total, budget, 77, number)).sum()
        };
        let by_interval: Vec<f64> = (0..400).map(in_interval).collect();
        let mean = by_interval.iter().sum::<f64>() / 400.0;
        assert!(
            (mean - budget).abs() < 0.15 * budget.sqrt().max(1.0),
            "{total} schedulers are granted {mean} on average, budget {budget}"
        );
        let max_granted = by_interval.iter().copied().fold(0.0, f64::max);
        assert!(
            max_granted <= budget + 3.0 * budget.sqrt() + 3.0,
            "{total} schedulers are granted up to {max_granted}, budget {budget}"
        );
    }
}

#[test]
fn granted_requests_stay_below_the_collapse_threshold_for_a_thousand_intervals() {
    for (total, allowed) in
        [(10, 4.0), (32, 1.0), (32, 7.7), (40, 15.0), (300, 30.0), (300, 0.4), (1000, 90.0)]
    {
        let sum = |number| -> f64 {
            (0..total)
                .map(|index| granted_requests(index, total, mean_grants_per_interval(allowed), 9, number))
                .sum()
        };
        let max_granted = (0..1000).map(sum).fold(0.0, f64::max);
        assert!(
            max_granted <= 0.9 * collapse_threshold(allowed),
            "{total} schedulers are granted up to {max_granted}, collapse threshold {}",
            collapse_threshold(allowed)
        );
    }
}

#[test]
fn every_scheduler_gets_grants_and_a_larger_budget_revokes_none() {
    let granted_intervals =
        |index| (0..2000).filter(|number| granted_requests(index, 100, 4.0, 5, *number) > 0.0).count();
    assert!((0..100).all(|index| (40..130).contains(&granted_intervals(index))));
    for number in 0..200 {
        assert!((0..100).all(|index| granted_requests(index, 100, 4.0, 5, number)
            <= granted_requests(index, 100, 9.0, 5, number)));
    }
}

#[test]
fn shares_of_different_budgets_go_to_different_schedulers() {
    let schedulers_with_share =
        |salt| (0..100).filter(move |&index| fixed_share(index, 100, 1.0, salt).is_some());
    let mut counts = [0; 100];
    (0..200).flat_map(schedulers_with_share).for_each(|index| counts[index] += 1);
    assert!(counts.iter().all(|&count| count <= 20), "{counts:?}");
    assert!(counts.iter().filter(|&&count| count > 0).count() > 95, "{counts:?}");
}
