//! Tests to which site an idempotency key is bound.

use bytes::Bytes;
use chutesaddle_gateway::*;

use super::harness::*;

#[test]
fn binds_a_key_to_the_site_where_it_may_have_run() {
    let mut pair = TwoSites::with_capacity();
    pair.offer_candidate(0, 1, with_key("k"));
    pair.run(ms(20));
    let key = Bytes::from_static(b"k");
    assert!(pair.sites[0].gateway.bound_elsewhere(pair.now, &key));
    // A repeat of the request is forwarded to the same site, even if this site has free capacity.
    pair.sites[0].free = 5.0;
    pair.run(ms(50));
    let repeat = Candidate { rejected: true, ..pair.candidate(0, 2, with_key("k")) };
    pair.handle_event(0, Event::Candidates(vec![repeat]));
    assert_eq!(pair.history(0, 2).forwarded_count, 1);
    // Without a link the repeat is not forwarded, and it must not run here either.
    pair.disconnect(0);
    let third = Candidate { rejected: true, ..pair.candidate(0, 3, with_key("k")) };
    pair.handle_event(0, Event::Candidates(vec![third]));
    assert_eq!(pair.sites[0].kept_local.last(), Some(&NotForwarded::KeyBoundElsewhere));
    pair.dial(0);
    pair.sites[0].free = 0.0;
    pair.handle_event(0, Event::KeyRanLocally { key: Bytes::from_static(b"here"), window: ms(40_000) });
    pair.run(ms(100));
    pair.offer_candidate(0, 4, with_key("here"));
    assert_eq!(pair.sites[0].kept_local.last(), Some(&NotForwarded::KeyBoundElsewhere));
}

#[test]
fn unbinds_the_key_of_a_forwarded_request_that_never_ran() {
    let mut pair = TwoSites::with_capacity();
    pair.offer_candidate(0, 1, with_key("k"));
    pair.disconnect(0);
    pair.dial(0);
    pair.run(ms(50));
    assert!(pair.history(0, 1).returned);
    assert!(!pair.sites[0].gateway.bound_elsewhere(pair.now, &Bytes::from_static(b"k")));
}
