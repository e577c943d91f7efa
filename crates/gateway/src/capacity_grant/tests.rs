use std::time::Duration;

use super::*;

const NOW: Time = Duration::ZERO;
const SOON: Time = Duration::from_millis(400);

#[test]
fn covers_what_was_under_way_when_the_grant_was_lowered() {
    let mut grant = CapacityGrant::default();
    assert_eq!(grant.set(4, SOON), 4);
    assert_eq!(grant.set(0, SOON), 0);
    assert!(grant.record_received(NOW, 3));
    assert_eq!(grant.unused(), 0);
    assert_eq!(grant.set(2, SOON), 5);
    assert!(grant.record_received(NOW, 2));
    assert!(!grant.record_received(NOW, 1));
}

#[test]
fn covers_nothing_without_a_grant_or_after_its_term() {
    let mut grant = CapacityGrant::default();
    assert!(!grant.record_received(NOW, 1));
    grant.set(2, SOON);
    assert!(!grant.record_received(SOON, 1));
}
