use std::time::Duration;

use super::*;

const EXPIRES_AT: Time = Duration::from_millis(400);

#[test]
fn allows_no_use_beyond_the_limit_or_after_expiry() {
    let mut credit = Credit::default();
    assert!(!credit.consume(Duration::ZERO, 1), "before any grant");
    credit.set_limit(3, EXPIRES_AT);
    assert!(credit.consume(Duration::ZERO, 2));
    assert!(!credit.consume(Duration::ZERO, 2));
    assert!(credit.consume(Duration::ZERO, 1));
    credit.set_limit(10, EXPIRES_AT);
    assert!(!credit.consume(EXPIRES_AT, 1), "when the grant expires");
}

/// The receiver may send a lower limit before it receives requests that are in flight.
#[test]
fn limit_below_use_leaves_no_credit() {
    let mut credit = Credit::default();
    credit.set_limit(8, EXPIRES_AT);
    assert!(credit.consume(Duration::ZERO, 6));
    credit.set_limit(2, EXPIRES_AT);
    assert_eq!(credit.available(Duration::ZERO), 0);
    credit.set_limit(7, EXPIRES_AT);
    assert_eq!(credit.available(Duration::ZERO), 1);
}
