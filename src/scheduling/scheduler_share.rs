//! One scheduler's share of a budget that is too small to divide among all, dealt out without communication.
//!
//! A budget, such as the work that a worker in slow start can take within a window, has to be kept by all schedulers
//! together. With few of them an equal share comes to a request or more. With many it is a small fraction of one: nobody
//! could use it, or, rounded up, all together would overdraw it. Two ways lead out:
//!
//! - **Fixed shares** ([`fixed_share`]): at most as many shares are made as come to whole requests. They go to the
//!   schedulers that come first in an order that everyone derives from the same salt. A budget that grows gets more
//!   shares as well as larger ones, and whoever has one keeps it, so that no window sees two sets of holders.
//! - **Grants by interval** ([`granted_requests`]), where fixed shares would leave most schedulers without one: time is
//!   cut into intervals, and in each interval a random draw grants some schedulers whole requests. The sum is right on
//!   average and varies like a Poisson count; nothing is remembered, so a restarted scheduler keeps to it too.

use crate::scheduling::random::uniform_draw;

/// The part of the collapse threshold that is granted; the rest covers what is not known of a worker's size.
const GRANTED_FRACTION: f64 = 0.9;
/// Natural logarithm of the odds against a collapse in one interval in which every grant is used: 1 in 10,000, by
/// Chernoff's bound of a Poisson variable.
const LN_COLLAPSE_ODDS: f64 = 9.21;
/// Steps of the fixed-point iteration in [`mean_grants_per_interval`]; it has converged by then.
const FIXED_POINT_STEPS: usize = 8;
/// How many fixed shares a budget has when it is smallest. With more of them only small requests would fit; with fewer,
/// more schedulers would have none.
pub const MIN_FIXED_SHARES: usize = 3;

/// The requests of mean work at which a worker in slow start collapses, where the settings allow it `allowed` (rule of
/// the operators' standing test, see docs/capacity.md).
pub fn collapse_threshold(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.max(0.0).sqrt() + 2.0
}

/// The fraction of a budget that a scheduler may use, if it has a fixed share.
///
/// `budget_growth` is how many times its smallest size the budget has by now. `salt` is the same for all schedulers and
/// another one for each budget, so that budgets go to different schedulers.
pub fn fixed_share(
    scheduler_index: usize,
    scheduler_count: usize,
    budget_growth: f64,
    salt: u64,
) -> Option<f64> {
    let scheduler_count = scheduler_count.max(1);
    let shares = ((MIN_FIXED_SHARES as f64 * budget_growth.max(1.0).sqrt()) as usize).min(scheduler_count);
    let has_share = rank(scheduler_index, scheduler_count, salt) < shares;
    has_share.then_some(1.0 / shares as f64)
}

/// Whether fixed shares reach enough of the schedulers: one in three at the least.
pub fn fixed_shares_suffice(scheduler_count: usize) -> bool {
    scheduler_count <= 3 * MIN_FIXED_SHARES
}

/// How many requests of mean work may be granted on average in each interval, where the settings allow `allowed`.
///
/// It is the largest mean m for which a Poisson count reaches x, `GRANTED_FRACTION` of [`collapse_threshold`], with no
/// more than the odds of `LN_COLLAPSE_ODDS`: m - x + x ln(x / m) = `LN_COLLAPSE_ODDS`, solved from below.
pub fn mean_grants_per_interval(allowed: f64) -> f64 {
    let most = GRANTED_FRACTION * collapse_threshold(allowed);
    let step = |mean: f64| most * ((mean - LN_COLLAPSE_ODDS) / most - 1.0).exp();
    (0..FIXED_POINT_STEPS).fold(0.0, |mean, _| step(mean))
}

/// The whole requests that a scheduler may send in an interval, where all together may send `requests` in each.
///
/// `salt` is as for [`fixed_share`].
pub fn granted_requests(
    scheduler_index: usize,
    scheduler_count: usize,
    requests: f64,
    salt: u64,
    interval_number: u64,
) -> f64 {
    let each = requests.max(0.0) / scheduler_count.max(1) as f64;
    let scheduler_hash = (scheduler_index as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let interval_hash = (interval_number + 1).wrapping_mul(0xD1B5_4A32_D192_ED03);
    let gets_one_more = uniform_draw(salt ^ (scheduler_hash ^ interval_hash)) <= each.fract();
    each.floor() + f64::from(u8::from(gets_one_more))
}

/// The place of a scheduler in an order of all of them, another order for each salt.
fn rank(scheduler_index: usize, scheduler_count: usize, salt: u64) -> usize {
    let first = (uniform_draw(salt) * scheduler_count as f64) as usize;
    let mut step = 1 + (uniform_draw(!salt) * scheduler_count as f64) as usize;
    while greatest_common_divisor(step, scheduler_count) != 1 {
        step += 1; // ends: one more than a multiple of `scheduler_count` has no divisor in common with it
    }
    (first + step * (scheduler_index % scheduler_count)) % scheduler_count
}

fn greatest_common_divisor(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}

#[cfg(test)]
mod tests;
