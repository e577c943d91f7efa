//! What becomes of a forwarded request when a link, a peer, the time or the client gives out.

use bytes::Bytes;
use chutesaddle_gateway::*;

use super::harness::*;

#[rustfmt::skip]
#[test]
fn a_link_cut_at_any_moment_neither_loses_nor_duplicates() {
    // Milliseconds until the cut, milliseconds until the peer is done, and the answer to the client.
    let cases: [(u64, u64, Option<ForwardedAnswer>); 4] = [
        (4, 200, None),                 // the offer is under way and lost: it never ran, and is returned
        (12, 200, Some(ForwardedAnswer::Served(Bytes::from_static(b"map")))), // accepted, the message of it lost
        (40, 60, Some(ForwardedAnswer::Served(Bytes::from_static(b"map")))),  // accepted; done during the cut
        (40, 38, Some(ForwardedAnswer::Served(Bytes::from_static(b"map")))),  // done; the answer lost on the way
    ];
    for (cut, done, answer) in cases {
        let mut pair = TwoSites::with_capacity();
        pair.offer_candidate(0, 1, keyed("k"));
        let start = pair.now;
        let (mut is_cut, mut is_done) = (false, false);
        while pair.now < start + ms(400) {
            pair.run(STEP);
            let at = pair.now - start;
            if at >= ms(done) && !std::mem::replace(&mut is_done, true) {
                pair.finish(1, &served());
            }
            if at >= ms(cut) && !std::mem::replace(&mut is_cut, true) {
                pair.cut(0);
            }
            if at == ms(300) {
                pair.dial(0);
            }
        }
        let fate = pair.fate(0, 1);
        assert_eq!(fate.returned, answer.is_none(), "cut after {cut} ms");
        assert_eq!(fate.answers, Vec::from_iter(answer), "cut after {cut} ms");
        assert!(fate.runs[1] <= 1 && pair.sites[0].gateway.is_idle());
    }
}

#[test]
fn returns_to_scheduler_when_the_link_breaks_before_the_last_byte() {
    let mut pair = TwoSites::with_capacity();
    pair.stuck = true;
    pair.offer_candidate(0, 1, keyed("k"));
    pair.run(ms(50));
    assert!(!pair.fate(0, 1).returned);
    pair.cut(0);
    assert!(pair.fate(0, 1).returned && pair.fate(0, 1).answers.is_empty());
    assert!(!pair.sites[0].gateway.bound_elsewhere(pair.now, &Bytes::from_static(b"k")));
}

#[test]
fn answers_by_idempotency_after_the_peer_restarted() {
    for (effect, answer) in
        [(Idempotency::Idempotent, ForwardedAnswer::Rejected), (keyed("k"), ForwardedAnswer::Failed)]
    {
        let mut pair = TwoSites::with_capacity();
        pair.offer_candidate(0, 1, effect);
        pair.run(ms(20));
        pair.restart(1);
        pair.dial(0);
        assert_eq!(pair.fate(0, 1).answers, [answer]);
    }
}

#[test]
fn cancels_at_the_peer_when_the_deadline_is_near() {
    let mut pair = TwoSites::with_capacity();
    pair.offer_candidate(0, 1, keyed("k"));
    pair.run(TIME_LEFT + ms(30));
    assert_eq!(pair.fate(0, 1).answers, [ForwardedAnswer::Failed]);
    assert!(pair.sites[1].inbound.is_empty(), "cancelled");
}

#[test]
fn a_client_that_disconnects_cancels_at_the_peer_also_after_a_cut() {
    for cut in [false, true] {
        let mut pair = TwoSites::with_capacity();
        pair.offer_candidate(0, 1, Idempotency::Idempotent);
        pair.run(ms(20));
        if cut {
            pair.cut(0);
        }
        pair.handle_event(0, Event::ClientDisconnected(LocalRequestId(1)));
        if cut {
            pair.dial(0);
        }
        pair.run(ms(20));
        assert!(pair.sites[1].inbound.is_empty() && pair.fate(0, 1).answers.is_empty());
        assert_eq!(pair.sites[1].gateway.statistics().inbound_open, 0);
    }
}
