//! Numbers as good as random that are the same for the same seed, so that a dispatcher can be played again.

use crate::scheduling::interface::WorkerId;

/// A number that differs between dispatchers for the same worker.
pub(crate) fn spread(seed: u64, id: WorkerId) -> u64 {
    (seed ^ id.0).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(32).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// A number above 0 and up to 1, as good as random, from any other (the finalizer of SplitMix64).
pub(crate) fn chance(number: u64) -> f64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    let number = number ^ (number >> 31);
    ((number >> 11) + 1) as f64 / (1u64 << 53) as f64
}
