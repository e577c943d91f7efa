//! To which site an idempotency key is bound.

use bytes::Bytes;
use chutesaddle_gateway::*;

use super::harness::*;

#[test]
fn binds_a_forwarded_key_to_its_site_and_keeps_a_key_that_ran_here() {
    let mut pair = TwoSites::with_capacity();
    pair.offer_candidate(0, 1, keyed("k"));
    pair.run(ms(20));
    let key = Bytes::from_static(b"k");
    assert!(pair.sites[0].gateway.bound_elsewhere(pair.now, &key));
    // Its repeat follows it, also when there is capacity here.
    pair.sites[0].free = 5.0;
    pair.run(ms(50));
    let repeat = Candidate { rejected: true, ..pair.candidate(0, 2, keyed("k")) };
    pair.handle_event(0, Event::Candidates(vec![repeat]));
    assert_eq!(pair.fate(0, 2).forwarded_count, 1);
    // Without a link it goes nowhere, least of all to the workers here.
    pair.cut(0);
    let third = Candidate { rejected: true, ..pair.candidate(0, 3, keyed("k")) };
    pair.handle_event(0, Event::Candidates(vec![third]));
    assert_eq!(pair.sites[0].kept_local.last(), Some(&NotForwarded::KeyBoundElsewhere));
    pair.dial(0);
    pair.sites[0].free = 0.0;
    pair.handle_event(0, Event::KeyRanLocally { key: Bytes::from_static(b"here"), window: ms(40_000) });
    pair.run(ms(100));
    pair.offer_candidate(0, 4, keyed("here"));
    assert_eq!(pair.sites[0].kept_local.last(), Some(&NotForwarded::KeyBoundElsewhere));
}

#[test]
fn frees_the_key_of_a_forwarded_request_that_never_ran() {
    let mut pair = TwoSites::with_capacity();
    pair.offer_candidate(0, 1, keyed("k"));
    pair.cut(0);
    pair.dial(0);
    pair.run(ms(50));
    assert!(pair.fate(0, 1).returned);
    assert!(!pair.sites[0].gateway.bound_elsewhere(pair.now, &Bytes::from_static(b"k")));
}
