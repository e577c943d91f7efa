//! Divides a small budget among schedulers without communication.
//!
//! A budget, such as the work that a worker in slow start can take within a window, limits all schedulers
//! together. With few schedulers an equal share is worth one request or more. With many it is a small
//! fraction of a request: no scheduler could use it, or, rounded up, all together would exceed the budget.
//! There are two schemes:
//!
//! - **Fixed shares** ([`fixed_share`]): the number of shares is limited so that each one is worth at least a
//!   request. Shares are assigned to the first schedulers in an order that all schedulers derive from the
//!   same salt. As a budget grows, the number and the size of its shares grow, and a scheduler that has a
//!   share keeps it. No window therefore contains two different sets of holders.
//! - **Grants by interval** ([`granted_requests`]), where fixed shares would leave most schedulers without
//!   one: time is divided into intervals, and in each interval a random draw grants whole requests to some
//!   schedulers. The sum matches the budget on average and varies like a Poisson count. The draws are
//!   stateless, so a restarted scheduler stays within its grants too.

use crate::scheduling::random::uniform_draw;

/// Fraction of the collapse threshold that is granted; the rest is a margin for uncertainty about the
/// worker's size.
const GRANTED_FRACTION: f64 = 0.9;
/// Natural logarithm of the odds against a collapse in an interval in which every grant is used: 1 in 10,000,
/// by the Chernoff bound for a Poisson variable.
const LN_COLLAPSE_ODDS: f64 = 9.21;
/// Number of steps of the fixed-point iteration in [`mean_grants_per_interval`], enough for it to converge.
const FIXED_POINT_STEPS: usize = 8;
/// Number of fixed shares of a budget at its smallest size. With more shares only small requests would fit
/// into one; with fewer, more schedulers would have none.
pub const MIN_FIXED_SHARES: usize = 3;

/// Number of average requests above which a worker in slow start collapses if the settings allow it `allowed`
/// of them (rule of the operators' standing test, see docs/capacity.md).
pub fn collapse_threshold(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.max(0.0).sqrt() + 2.0
}

/// Returns the fraction of a budget that a scheduler may use, or `None` if it has no fixed share.
///
/// `budget_growth` is the ratio of the budget's current size to its smallest size. `salt` is the same for all
/// schedulers but differs between budgets, so that different budgets are shared by different schedulers.
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

/// Whether enough schedulers have a fixed share: at least one in three.
pub fn fixed_shares_suffice(scheduler_count: usize) -> bool {
    scheduler_count <= 3 * MIN_FIXED_SHARES
}

/// Mean number of grants per interval if the settings allow the worker `allowed` average requests.
///
/// This is the largest mean m for which a Poisson count reaches x with at most the odds of
/// `LN_COLLAPSE_ODDS`, where x is `GRANTED_FRACTION` of [`collapse_threshold`]. It solves m - x + x ln(x / m)
/// = `LN_COLLAPSE_ODDS`, iterating from below.
pub fn mean_grants_per_interval(allowed: f64) -> f64 {
    let max_grants = GRANTED_FRACTION * collapse_threshold(allowed);
    let step = |mean: f64| max_grants * ((mean - LN_COLLAPSE_ODDS) / max_grants - 1.0).exp();
    (0..FIXED_POINT_STEPS).fold(0.0, |mean, _| step(mean))
}

/// Number of whole requests that a scheduler may send in an interval if all together may send `requests` per
/// interval.
///
/// `salt` is as for [`fixed_share`].
pub fn granted_requests(
    scheduler_index: usize,
    scheduler_count: usize,
    requests: f64,
    salt: u64,
    interval_number: u64,
) -> f64 {
    let per_scheduler = requests.max(0.0) / scheduler_count.max(1) as f64;
    let scheduler_hash = (scheduler_index as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let interval_hash = (interval_number + 1).wrapping_mul(0xD1B5_4A32_D192_ED03);
    let gets_extra_request = uniform_draw(salt ^ (scheduler_hash ^ interval_hash)) <= per_scheduler.fract();
    per_scheduler.floor() + f64::from(u8::from(gets_extra_request))
}

/// Rank of a scheduler in an order of all schedulers that depends on the salt.
fn rank(scheduler_index: usize, scheduler_count: usize, salt: u64) -> usize {
    let first = (uniform_draw(salt) * scheduler_count as f64) as usize;
    let mut step = 1 + (uniform_draw(!salt) * scheduler_count as f64) as usize;
    while greatest_common_divisor(step, scheduler_count) != 1 {
        step += 1; // terminates: a multiple of `scheduler_count` plus 1 is coprime to it
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
