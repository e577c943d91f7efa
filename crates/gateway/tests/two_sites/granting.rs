//! Tests the expiry and incarnation of grants, and two sites that are overloaded at the same time.

use chutesaddle_gateway::*;

use super::harness::*;

/// Site 1 has granted capacity to site 0 and vice versa, and both become overloaded at the same moment.
/// Without a rule for this they would pass requests back and forth.
#[test]
fn sites_that_forward_to_each_other_at_once_return_the_requests_within_a_round_trip() {
    let mut pair = TwoSites::with_capacity();
    pair.sites[0].free = 10.0;
    pair.run(ms(400));
    for n in 0..2 {
        // The withdrawal of the grant is in flight while the other site uses the grant.
        pair.sites[n].free = 0.0;
        pair.handle_event(
            n,
            Event::LoadMeasured(SiteLoad { slots: 10.0, free: 0.0, waiting: 5, backlog: ms(0) }),
        );
    }
    pair.now += Config::default().starvation_time;
    for n in 0..2 {
        pair.offer_candidate(n, 1, Idempotency::Idempotent);
        assert_eq!(pair.history(n, 1).forwarded_count, 1, "{:?}", pair.sites[n].kept_local);
    }
    pair.run(2 * ONE_WAY + TIME_STEP);
    for n in 0..2 {
        assert!(pair.history(n, 1).returned && pair.history(n, 1).runs == [0, 0]);
        assert_eq!(pair.sites[n].return_reasons, [ReturnReason::Shedding]);
        assert!(pair.sites[n].gateway.is_idle());
    }
    // A returned request is not forwarded again, and neither site grants capacity for a while.
    let again = Candidate { forwarded_before: true, ..pair.candidate(0, 1, Idempotency::Idempotent) };
    pair.handle_event(0, Event::Candidates(vec![again]));
    assert_eq!(pair.sites[0].kept_local.last(), Some(&NotForwarded::ForwardedBefore));
    pair.sites[1].free = 10.0;
    pair.run(ms(500));
    assert_eq!(pair.sites[1].gateway.statistics().unused_grants, 0);
}

#[test]
fn ignores_a_grant_from_another_incarnation() {
    let mut pair = TwoSites::with_capacity();
    let link = pair.test_links.iter().find(|test_link| test_link.from == 0).unwrap().link;
    pair.handle_event(0, Event::CreditGranted { link, epoch: Incarnation(99), limit: 1000, term: ms(400) });
    pair.restart(1);
    pair.dial(0);
    pair.sites[1].free = 0.0;
    let link = pair.test_links[0].link;
    pair.handle_event(0, Event::CreditGranted { link, epoch: Incarnation(2), limit: 1000, term: ms(400) });
    pair.offer_candidate(0, 1, Idempotency::Idempotent);
    assert_eq!(pair.sites[0].kept_local.last(), Some(&NotForwarded::NoPeerCapacity));
    // If a sender uses the stale grant anyway, its request is returned.
    pair.handle_event(
        1,
        Event::RequestOffered {
            link,
            forwarded: ForwardedRequestId(7),
            epoch: Incarnation(2),
            slots: 1,
            time_left: TIME_LEFT,
            outcome_retention: TIME_LEFT,
        },
    );
    assert_eq!(pair.sites[1].return_reasons, [ReturnReason::ExceedsGrant]);
}

#[test]
fn forwards_nothing_to_a_silent_peer_after_the_grant_expires() {
    let mut pair = TwoSites::with_capacity();
    pair.test_links.iter_mut().for_each(|test_link| test_link.to_dialer.clear());
    pair.sites[1].gateway = Gateway::new(Config::default(), Incarnation(77)); // silent because it has no links
    pair.run(ms(500));
    pair.offer_candidate(0, 1, Idempotency::Idempotent);
    assert_eq!(pair.sites[0].kept_local, [NotForwarded::NoPeerCapacity]);
}
