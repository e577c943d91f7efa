use std::time::Duration;

use super::*;

const NOW: Time = Duration::ZERO;
const EXPIRES_AT: Time = Duration::from_millis(400);

#[test]
fn covers_requests_in_flight_when_the_grant_is_lowered() {
    let mut grant = CapacityGrant::default();
    assert_eq!(grant.set(4, EXPIRES_AT), 4);
    assert_eq!(grant.set(0, EXPIRES_AT), 0);
    assert!(grant.record_received(NOW, 3));
    assert_eq!(grant.unused(), 0);
    assert_eq!(grant.set(2, EXPIRES_AT), 5);
    assert!(grant.record_received(NOW, 2));
    assert!(!grant.record_received(NOW, 1));
}

#[test]
fn covers_no_requests_without_a_grant_or_after_it_expires() {
    let mut grant = CapacityGrant::default();
    assert!(!grant.record_received(NOW, 1));
    grant.set(2, EXPIRES_AT);
    assert!(!grant.record_received(EXPIRES_AT, 1));
}
