//! Whole shares of what is too little to be divided among all, dealt out without talk.
//!
//! A budget, such as the work that a cold worker can stand within a window of time, has a part for each of the
//! dispatchers. With few of them a part is a job or more. With many it is a small fraction of one: nobody could
//! use it, or, rounded up, all together would overdraw it. So at most as many parts are made as come to jobs,
//! and they go to the dispatchers that come first in an order which everyone can work out from what all are
//! told. The parts never come to more than the whole, however the load falls on single dispatchers.
//!
//! The budget of a worker that warms up grows. Its parts then grow in number as well as in size: those who
//! have one keep it, so that no window of time sees two sets of holders.
//!
//! Where parts leave most dispatchers without one, those that have one see too little traffic to use it: with 300
//! schedulers new workers stood idle until they were warm. There time is cut into intervals instead, and in each some
//! dispatchers, drawn anew, may send one job. How many may is right on average and strays by no more than chance
//! does; nothing is remembered, so who has just restarted keeps to it too.

use crate::scheduling::random::chance;

/// Of what a cold worker stands, a tenth is kept for what is not known of its size.
const MARGIN: f64 = 0.9;
/// Natural logarithm of the odds against a fall in one interval in which all that was granted is used: 1 in 10,000 at the
/// most (Chernoff's bound of a Poisson number, which is some ten times too high). Work that differs from job to job
/// makes them worse, what is granted and not used makes them better by more.
const LN_ODDS: f64 = 9.21;

/// The requests of mean work at which a cold worker falls, where the settings allow it `n` (the operators' standing
/// test).
pub fn fall(n: f64) -> f64 {
    n + 2.0 * n.max(0.0).sqrt() + 2.0
}

/// The parts of a budget when it is least. More make smaller jobs fit only; fewer leave more dispatchers
/// without one.
pub const PARTS: usize = 3;

/// The part of a budget that dispatcher `index` of `total` may use, if it has one.
///
/// `grown` is how many times its least the budget is by now; `salt` is the same for all dispatchers and
/// another one for each budget, so that they fall to different ones.
pub fn part(index: usize, total: usize, grown: f64, salt: u64) -> Option<f64> {
    let total = total.max(1);
    let parts = ((PARTS as f64 * grown.max(1.0).sqrt()) as usize).min(total);
    (rank(index, total, salt) < parts).then_some(1.0 / parts as f64)
}

/// Whether parts reach dispatchers enough, of `total`: one in three at the least.
pub fn suffice(total: usize) -> bool {
    total <= 3 * PARTS
}

/// How many usual jobs may be granted on average in each interval, where `n` are allowed: the largest mean m for which the
/// number reaches x, a tenth below [`fall`], with no more than the odds. That is m - x + x ln(x / m) = [`LN_ODDS`],
/// found from below.
pub fn mean_grants(n: f64) -> f64 {
    let most = MARGIN * fall(n);
    (0..8).fold(0.0, |mean, _| most * ((mean - LN_ODDS) / most - 1.0).exp())
}

/// The whole jobs that dispatcher `index` of `total` may send in the interval of this number, where all together may
/// send `jobs` in each. `salt` is as for [`part`].
pub fn granted(index: usize, total: usize, jobs: f64, salt: u64, number: u64) -> f64 {
    let each = jobs.max(0.0) / total.max(1) as f64;
    let who = (index as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
        ^ (number + 1).wrapping_mul(0xD1B5_4A32_D192_ED03);
    each.floor() + f64::from(u8::from(chance(salt ^ who) <= each.fract()))
}

/// The place of a dispatcher in an order of all of them, another order for each salt.
fn rank(index: usize, total: usize, salt: u64) -> usize {
    let first = (chance(salt) * total as f64) as usize;
    let mut step = 1 + (chance(!salt) * total as f64) as usize;
    while common_divisor(step, total) != 1 {
        step += 1; // at the latest the next multiple of `total`, and one more, has none in common with it
    }
    (first + step * (index % total)) % total
}

fn common_divisor(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        common_divisor(b, a % b)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn few_dispatchers_always_have_their_part() {
        for total in 1..=PARTS {
            assert!((0..total).all(|index| part(index, total, 1.0, 5) == Some(1.0 / total as f64)));
        }
    }

    #[test]
    fn parts_come_to_the_whole_and_stay_with_their_holders() {
        for (total, salt) in (PARTS..300).zip(0..) {
            let mut holders = Vec::new();
            for tenths in 10..80 {
                let parts: Vec<_> =
                    (0..total).map(|index| part(index, total, f64::from(tenths) / 10.0, salt)).collect();
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
            let in_interval =
                |number| -> f64 { (0..total).map(|index| granted(index, total, jobs, 77, number)).sum() };
            let all: Vec<f64> = (0..400).map(in_interval).collect();
            let mean = all.iter().sum::<f64>() / 400.0;
            assert!((mean - jobs).abs() < 0.15 * jobs.sqrt().max(1.0), "{mean} of {jobs} among {total}");
            let most = all.iter().copied().fold(0.0, f64::max);
            assert!(most <= jobs + 3.0 * jobs.sqrt() + 3.0, "{most} of {jobs} among {total}");
        }
    }

    #[test]
    fn what_is_granted_never_comes_near_the_fall_in_a_thousand_intervals() {
        for (total, n) in [(10, 4.0), (32, 1.0), (32, 7.7), (40, 15.0), (300, 30.0), (300, 0.4), (1000, 90.0)]
        {
            let sum = |number| -> f64 {
                (0..total).map(|index| granted(index, total, mean_grants(n), 9, number)).sum()
            };
            let most = (0..1000).map(sum).fold(0.0, f64::max);
            assert!(most <= 0.9 * fall(n), "{most} of {} among {total}", fall(n));
        }
    }

    #[test]
    fn grants_reach_all_dispatchers_and_a_larger_budget_takes_none_away() {
        let had = |index| (0..2000).filter(|number| granted(index, 100, 4.0, 5, *number) > 0.0).count();
        assert!((0..100).all(|index| (40..130).contains(&had(index))));
        for number in 0..200 {
            assert!((0..100).all(|i| granted(i, 100, 4.0, 5, number) <= granted(i, 100, 9.0, 5, number)));
        }
    }

    #[test]
    fn several_budgets_fall_to_different_dispatchers() {
        let with = |salt| (0..100).filter(move |&index| part(index, 100, 1.0, salt).is_some());
        let mut held = [0; 100];
        (0..200).flat_map(with).for_each(|index| held[index] += 1);
        assert!(held.iter().all(|&n| n <= 20), "{held:?}");
        assert!(held.iter().filter(|&&n| n > 0).count() > 95, "{held:?}");
    }
}
