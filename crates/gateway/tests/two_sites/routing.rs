//! Tests which requests are forwarded, and in which order.

use bytes::Bytes;
use chutesaddle_gateway::*;

use super::harness::*;

#[test]
fn forwards_a_request_and_answers_its_client() {
    let mut pair = TwoSites::with_capacity();
    pair.offer_candidate(0, 1, Idempotency::Idempotent);
    pair.run(ms(20));
    pair.finish(1, &served());
    pair.run(ms(20));
    assert_eq!(pair.history(0, 1).answers, [ForwardedAnswer::Served(Bytes::from_static(b"map"))]);
    assert!(pair.sites.iter().all(|site| site.gateway.is_idle()));
}

#[test]
fn forwards_nothing_while_this_site_has_capacity_or_the_peer_has_none() {
    let mut pair = TwoSites::with_capacity();
    pair.sites[0].free = 1.0;
    pair.run(ms(50));
    pair.offer_candidate(0, 1, Idempotency::Idempotent);
    assert_eq!(pair.sites[0].kept_local, [NotForwarded::LocalCapacity]);
    (pair.sites[0].free, pair.sites[1].free) = (0.0, 0.5);
    pair.run(ms(50));
    pair.offer_candidate(0, 2, Idempotency::Idempotent);
    assert_eq!(pair.sites[0].kept_local, [NotForwarded::LocalCapacity, NotForwarded::NoPeerCapacity]);
}

#[test]
fn does_not_forward_requests_that_can_wait_or_are_too_late() {
    let mut pair = TwoSites::with_capacity();
    let mut candidate = pair.candidate(0, 1, Idempotency::Idempotent);
    candidate.start_in = ms(500);
    pair.handle_event(0, Event::Candidates(vec![candidate.clone()]));
    candidate.start_in = ms(10);
    pair.handle_event(0, Event::Candidates(vec![candidate.clone()]));
    // The time left is shorter than the round trip plus the margin.
    (candidate.start_in, candidate.time_left) = (ms(60), ms(30));
    pair.handle_event(0, Event::Candidates(vec![candidate]));
    assert_eq!(
        pair.sites[0].kept_local,
        [NotForwarded::CanStillWait, NotForwarded::TooLate, NotForwarded::TooLate]
    );
}

/// Requests that could wait on their own, but not behind the backlog, are forwarded until the backlog is
/// short enough.
#[test]
fn forwards_requests_early_if_the_backlog_would_make_them_late() {
    let mut pair = TwoSites::with_capacity();
    let overloaded = SiteLoad { slots: 10.0, free: 0.0, waiting: 4, backlog: ms(2000) };
    pair.handle_event(0, Event::LoadMeasured(overloaded));
    let mut candidates: Vec<Candidate> =
        (0..4).map(|n| pair.candidate(0, n, Idempotency::Idempotent)).collect();
    candidates.iter_mut().for_each(|candidate| candidate.start_in = ms(1200));
    pair.handle_event(0, Event::Candidates(candidates));
    let forwarded_count: Vec<usize> = (0..4).map(|n| pair.history(0, n).forwarded_count).collect();
    assert_eq!(forwarded_count, [1, 1, 0, 0]);
    assert_eq!(pair.sites[0].kept_local, [NotForwarded::CanStillWait, NotForwarded::CanStillWait]);
}

#[test]
fn forwards_the_highest_priority_within_quota_first() {
    let mut pair = TwoSites::with_capacity();
    let mut candidates: Vec<Candidate> =
        (0..20).map(|n| pair.candidate(0, n, Idempotency::Idempotent)).collect();
    for (n, candidate) in candidates.iter_mut().enumerate() {
        candidate.priority = (n % 10) as f64;
        candidate.within_quota = n < 10;
    }
    pair.handle_event(0, Event::Candidates(candidates));
    // Nine of ten slots are granted; one is reserved.
    let forwarded_count: Vec<u32> = (0..20).filter(|n| pair.history(0, *n).forwarded_count > 0).collect();
    assert_eq!(forwarded_count, (1..10).collect::<Vec<_>>());
    assert_eq!(
        pair.sites[0].kept_local.iter().filter(|reason| **reason == NotForwarded::OverQuota).count(),
        10
    );
}
