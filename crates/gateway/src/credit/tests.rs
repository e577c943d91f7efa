use std::time::Duration;

use super::*;

const SOON: Time = Duration::from_millis(400);

#[test]
fn uses_nothing_beyond_the_limit_or_the_term() {
    let mut credit = Credit::default();
    assert!(!credit.consume(Duration::ZERO, 1), "before any grant");
    credit.set_limit(3, SOON);
    assert!(credit.consume(Duration::ZERO, 2));
    assert!(!credit.consume(Duration::ZERO, 2));
    assert!(credit.consume(Duration::ZERO, 1));
    credit.set_limit(10, SOON);
    assert!(!credit.consume(SOON, 1), "at the end of its term");
}

/// The receiver wrote the lower limit before it saw what was under way.
#[test]
fn a_limit_lowered_below_use_leaves_zero() {
    let mut credit = Credit::default();
    credit.set_limit(8, SOON);
    assert!(credit.consume(Duration::ZERO, 6));
    credit.set_limit(2, SOON);
    assert_eq!(credit.available(Duration::ZERO), 0);
    credit.set_limit(7, SOON);
    assert_eq!(credit.available(Duration::ZERO), 1);
}
