use std::time::Duration;

use super::*;

const SOON: Time = Duration::from_millis(400);

#[test]
fn uses_nothing_beyond_the_limit_or_the_term() {
    let mut credit = Credit::default();
    assert!(!credit.take(Duration::ZERO, 1), "before any grant");
    credit.granted(3, SOON);
    assert!(credit.take(Duration::ZERO, 2));
    assert!(!credit.take(Duration::ZERO, 2));
    assert!(credit.take(Duration::ZERO, 1));
    credit.granted(10, SOON);
    assert!(!credit.take(SOON, 1), "at the end of its term");
}

/// The receiver wrote the lower limit before it saw what was under way.
#[test]
fn a_limit_lowered_below_use_leaves_zero() {
    let mut credit = Credit::default();
    credit.granted(8, SOON);
    assert!(credit.take(Duration::ZERO, 6));
    credit.granted(2, SOON);
    assert_eq!(credit.available(Duration::ZERO), 0);
    credit.granted(7, SOON);
    assert_eq!(credit.available(Duration::ZERO), 1);
}
