use super::*;

fn reservation(worker: u16, slots: u8) -> WorkerReservation {
    WorkerReservation { worker: WorkerKey(worker), slots }
}

/// Slots that others have reserved at worker 7 (without decay), and the number of live schedulers.
fn reserved_at_seven(gossip: &GossipState, now: f64) -> (f64, usize) {
    let others = gossip.reserved_by_others(now, WorkerKey(7), f64::INFINITY);
    (others.slots, others.live_schedulers)
}

#[test]
fn message_stays_within_its_maximum_length_and_keeps_the_largest_reservations() {
    let message = encode(1.0, (0..300u16).map(|worker| reservation(worker, (worker % 7) as u8)).collect());
    assert!(message.len() <= MAX_MESSAGE_BYTES && is_message(&message));
    let entries = decode(&message).unwrap().reservations;
    assert!(entries.len() > 80 && entries[..42].iter().all(|entry| entry.slots == 6), "{entries:?}");
}

#[test]
fn newest_message_counts_until_it_expires() {
    let mut gossip = GossipState::default();
    gossip.receive(10.0, 1, 3, &encode(50.00, vec![reservation(7, 2), reservation(8, 1)]));
    gossip.receive(10.1, 1, 3, &encode(50.05, vec![reservation(7, 1)]));
    gossip.receive(10.2, 1, 3, &encode(50.00, vec![reservation(7, 2), reservation(8, 1)])); // duplicated and reordered
    assert_eq!(reserved_at_seven(&gossip, 10.3), (1.0, 1));
    gossip.receive(10.3, 2, 3, &encode(3.0, vec![reservation(7, 4)])); // the clocks of schedulers 1 and 2 differ
    assert_eq!(reserved_at_seven(&gossip, 10.4), (5.0, 2));
    assert_eq!(reserved_at_seven(&gossip, 10.7), (4.0, 1), "the message of scheduler 1 has expired");
    assert_eq!(reserved_at_seven(&gossip, 11.0), (0.0, 0));
    gossip.receive(11.0, 1, 3, &encode(0.0, vec![reservation(7, 1)])); // restarted with its clock set back
    assert_eq!(reserved_at_seven(&gossip, 11.0), (1.0, 1));
}

#[test]
fn ignores_malformed_messages_and_unknown_senders() {
    let mut gossip = GossipState::default();
    let valid = encode(1.0, vec![reservation(7, 2)]);
    let other_version = [&[9], &valid[1..]].concat();
    for bytes in [&[][..], &[0; 300], &valid[..7], &other_version] {
        assert!(!is_message(bytes));
        gossip.receive(10.0, 1, 3, bytes);
    }
    gossip.receive(10.0, 3, 3, &valid);
    let others = gossip.reserved_by_others(10.0, WorkerKey(7), 1.0);
    assert_eq!(others, ReservedByOthers { slots: 0.0, live_schedulers: 0 });
}

#[test]
fn sends_a_keepalive_every_fourth_interval_while_nothing_changes() {
    let mut gossip = GossipState::default();
    let sent: Vec<_> = (0..9)
        .map(|interval| {
            gossip.next_message(f64::from(interval) * INTERVAL_S, vec![reservation(7, 1)]).is_some()
        })
        .collect();
    assert_eq!(sent, [true, false, false, false, true, false, false, false, true]);
    assert!(gossip.next_message(1.0, Vec::new()).is_some(), "the reservations have changed");
    assert!(
        f64::from(KEEPALIVE_INTERVALS) * INTERVAL_S < MESSAGE_LIFETIME_S / 2.0,
        "one keepalive may be lost"
    );
}
