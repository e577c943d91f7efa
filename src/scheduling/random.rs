//! Deterministic pseudo-random numbers: the same seed gives the same numbers, so decisions can be replayed.

use crate::scheduling::identifiers::WorkerId;

/// 2^64 divided by the golden ratio, rounded to an odd number: the multiplier of Fibonacci hashing.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// Hashes a worker id with a seed; schedulers with different seeds order the same workers differently.
pub(crate) fn seeded_hash(seed: u64, id: WorkerId) -> u64 {
    (seed ^ id.0).wrapping_mul(GOLDEN_RATIO).rotate_left(32).wrapping_mul(GOLDEN_RATIO)
}

/// Maps `number` to a uniformly distributed value in (0, 1], with the finalizer of SplitMix64.
pub(crate) fn uniform_draw(number: u64) -> f64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    let number = number ^ (number >> 31);
    ((number >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// Upper bound of a Poisson-distributed count: the expected value plus two standard deviations.
///
/// The standard deviation is taken as at least 1, because the expected value may be below one request.
pub(crate) fn poisson_upper_bound(expected: f64) -> f64 {
    expected + 2.0 * expected.sqrt().max(1.0)
}
