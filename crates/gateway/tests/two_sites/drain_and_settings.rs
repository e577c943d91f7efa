//! Tests a draining site and a peer that is removed from the settings.

use chutesaddle_gateway::*;

use super::harness::*;

#[test]
fn unlisted_peer_keeps_its_open_requests_and_receives_no_new_ones() {
    let mut pair = TwoSites::with_capacity();
    pair.offer_candidate(0, 1, Idempotency::Idempotent);
    pair.run(ms(20));
    pair.handle_event(0, Event::Configure(Config::default()));
    pair.offer_candidate(0, 2, Idempotency::Idempotent);
    assert_eq!(pair.sites[0].kept_local, [NotForwarded::NoPeerCapacity]);
    pair.run(ms(50));
    assert!(
        pair.test_links.iter().any(|test_link| test_link.from == 0),
        "the link was closed while a request was open"
    );
    pair.finish(1, &served());
    pair.run(ms(50));
    assert_eq!(pair.history(0, 1).answers.len(), 1);
    assert!(
        !pair.test_links.iter().any(|test_link| test_link.from == 0),
        "the link stayed open with no open requests"
    );
}

#[test]
fn draining_site_neither_forwards_nor_accepts_requests() {
    let mut pair = TwoSites::with_capacity();
    pair.handle_event(1, Event::Drain(true));
    pair.offer_candidate(0, 1, Idempotency::Idempotent);
    pair.run(ms(20));
    assert!(pair.history(0, 1).returned);
    assert_eq!(pair.sites[1].return_reasons, [ReturnReason::NotAccepting]);
    pair.handle_event(0, Event::Drain(true));
    pair.offer_candidate(0, 2, Idempotency::Idempotent);
    assert_eq!(pair.sites[0].kept_local, [NotForwarded::Draining]);
}
