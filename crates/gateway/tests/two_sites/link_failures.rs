//! Tests forwarded requests whose link or peer fails, whose deadline approaches, or whose client disconnects.

use bytes::Bytes;
use chutesaddle_gateway::*;

use super::harness::*;

#[rustfmt::skip]
#[test]
fn link_failure_at_any_moment_neither_loses_nor_duplicates_a_request() {
    // Milliseconds until the link fails, milliseconds until the peer finishes, and the answer to the client.
    let cases: [(u64, u64, Option<ForwardedAnswer>); 4] = [
        (4, 200, None),                 // the offer is lost, so the request never ran and is returned
        (12, 200, Some(ForwardedAnswer::Served(Bytes::from_static(b"map")))), // accepted; the acceptance is lost
        (40, 60, Some(ForwardedAnswer::Served(Bytes::from_static(b"map")))),  // accepted; finishes during the outage
        (40, 38, Some(ForwardedAnswer::Served(Bytes::from_static(b"map")))),  // finished; the outcome is lost
    ];
    for (disconnect_at, finish_at, answer) in cases {
        let mut pair = TwoSites::with_capacity();
        pair.offer_candidate(0, 1, with_key("k"));
        let start = pair.now;
        let (mut disconnected, mut finished) = (false, false);
        while pair.now < start + ms(400) {
            pair.run(TIME_STEP);
            let at = pair.now - start;
            if at >= ms(finish_at) && !std::mem::replace(&mut finished, true) {
                pair.finish(1, &served());
            }
            if at >= ms(disconnect_at) && !std::mem::replace(&mut disconnected, true) {
                pair.disconnect(0);
            }
            if at == ms(300) {
                pair.dial(0);
            }
        }
        let history = pair.history(0, 1);
        assert_eq!(history.returned, answer.is_none(), "disconnected after {disconnect_at} ms");
        assert_eq!(history.answers, Vec::from_iter(answer), "disconnected after {disconnect_at} ms");
        assert!(history.runs[1] <= 1 && pair.sites[0].gateway.is_idle());
    }
}

#[test]
fn returns_to_scheduler_when_the_link_breaks_before_the_last_byte() {
    let mut pair = TwoSites::with_capacity();
    pair.writes_blocked = true;
    pair.offer_candidate(0, 1, with_key("k"));
    pair.run(ms(50));
    assert!(!pair.history(0, 1).returned);
    pair.disconnect(0);
    assert!(pair.history(0, 1).returned && pair.history(0, 1).answers.is_empty());
    assert!(!pair.sites[0].gateway.bound_elsewhere(pair.now, &Bytes::from_static(b"k")));
}

/// The offer is queued when the deadline is near, and written after that. A request that had been returned to the
/// scheduler by then would run at both sites.
#[test]
fn queued_request_is_not_returned_when_its_deadline_is_near() {
    let mut pair = TwoSites::with_capacity();
    pair.writes_blocked = true;
    pair.offer_candidate(0, 1, with_key("k"));
    pair.run(TIME_LEFT + ms(30));
    assert!(!pair.history(0, 1).returned);
    assert_eq!(pair.history(0, 1).answers, [ForwardedAnswer::Failed]);
}

/// A second link replaces the first, on which the offer is queued and written before it ends. The request is returned
/// once the peer has said on the new link that it did not receive it.
#[test]
fn request_queued_on_a_replaced_link_is_not_returned_before_that_link_ends() {
    let mut pair = TwoSites::with_capacity();
    pair.writes_blocked = true;
    pair.offer_candidate(0, 1, with_key("k"));
    pair.dial(0);
    assert!(!pair.history(0, 1).returned, "the offer may still be written");
    pair.run(ms(50));
    assert!(pair.history(0, 1).returned && pair.history(0, 1).runs == [0, 0]);
    assert!(pair.history(0, 1).answers.is_empty());
}

#[test]
fn answers_by_idempotency_after_a_peer_restart() {
    for (idempotency, answer) in
        [(Idempotency::Idempotent, ForwardedAnswer::Rejected), (with_key("k"), ForwardedAnswer::Failed)]
    {
        let mut pair = TwoSites::with_capacity();
        pair.offer_candidate(0, 1, idempotency);
        pair.run(ms(20));
        pair.restart(1);
        pair.dial(0);
        assert_eq!(pair.history(0, 1).answers, [answer]);
    }
}

#[test]
fn cancels_at_the_peer_when_the_deadline_is_near() {
    let mut pair = TwoSites::with_capacity();
    pair.offer_candidate(0, 1, with_key("k"));
    pair.run(TIME_LEFT + ms(30));
    assert_eq!(pair.history(0, 1).answers, [ForwardedAnswer::Failed]);
    assert!(pair.sites[1].inbound.is_empty(), "the peer still runs the request");
}

#[test]
fn client_disconnect_cancels_at_the_peer_even_after_a_link_failure() {
    for link_fails in [false, true] {
        let mut pair = TwoSites::with_capacity();
        pair.offer_candidate(0, 1, Idempotency::Idempotent);
        pair.run(ms(20));
        if link_fails {
            pair.disconnect(0);
        }
        pair.handle_event(0, Event::ClientDisconnected(LocalRequestId(1)));
        if link_fails {
            pair.dial(0);
        }
        pair.run(ms(20));
        assert!(pair.sites[1].inbound.is_empty() && pair.history(0, 1).answers.is_empty());
        assert_eq!(pair.sites[1].gateway.statistics().inbound_open, 0);
    }
}
