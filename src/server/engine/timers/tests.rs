//! Tests of the order in which timers expire.

use std::time::Duration;

use super::*;

#[test]
fn timers_expire_when_due_and_in_insertion_order_at_the_same_instant() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1);
    let mut timers = Timers::default();
    timers.set(later, Timer::Dispatcher(1));
    timers.set(now, Timer::Deadline(RequestId(2)));
    timers.set(now, Timer::Dispatcher(3));
    assert_eq!(timers.next_due(), Some(now));
    assert_eq!(timers.pop_expired(now), Some(Timer::Deadline(RequestId(2))));
    assert_eq!(timers.pop_expired(now), Some(Timer::Dispatcher(3)));
    assert_eq!(timers.pop_expired(now), None);
    assert_eq!(timers.pop_expired(later), Some(Timer::Dispatcher(1)));
    assert_eq!(timers.next_due(), None);
}
