//! Pseudo-random numbers that are the same for the same seed, so that a scheduler's decisions can be replayed.

use crate::scheduling::identifiers::WorkerId;

/// Odd multiplier of 2^64 divided by the golden ratio (Fibonacci hashing).
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// Hashes a worker with a seed: schedulers with other seeds get other orders of the same workers.
pub(crate) fn seeded_hash(seed: u64, id: WorkerId) -> u64 {
    (seed ^ id.0).wrapping_mul(GOLDEN_RATIO).rotate_left(32).wrapping_mul(GOLDEN_RATIO)
}

/// A draw from the uniform distribution over (0, 1], determined by `number` (the finalizer of SplitMix64).
pub(crate) fn uniform_draw(number: u64) -> f64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    let number = number ^ (number >> 31);
    ((number >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// The expected count and two standard deviations of a Poisson distribution: what a share may reach by chance. Shares
/// may be under one request.
pub(crate) fn poisson_upper_bound(expected: f64) -> f64 {
    expected + 2.0 * expected.sqrt().max(1.0)
}
