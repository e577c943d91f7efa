use bytes::Bytes;

use super::*;

const RETENTION: Duration = Duration::from_secs(40);

fn origin(n: u64) -> Origin {
    Origin { site: SiteId(0), incarnation: Incarnation(1), forwarded: ForwardedRequestId(n) }
}

fn served(bytes: usize) -> Outcome {
    Outcome::Served(Bytes::from(vec![b'x'; bytes]))
}

#[test]
fn stores_an_outcome_for_its_retention_time_then_reports_it_forgotten() {
    let mut ledger = Ledger::default();
    assert!(ledger.accept(origin(1), RETENTION));
    assert!(!ledger.accept(origin(1), RETENTION), "duplicate request");
    assert_eq!(ledger.lookup(origin(1)), LedgerStatus { status: RemoteStatus::Received, outcome: None });
    assert!(ledger.end(Duration::ZERO, origin(1), served(3)));
    assert_eq!(
        ledger.lookup(origin(1)),
        LedgerStatus { status: RemoteStatus::Received, outcome: Some(served(3)) }
    );
    ledger.forget(RETENTION - Duration::from_millis(1), 10, 100);
    assert_eq!(ledger.lookup(origin(1)).status, RemoteStatus::Received);
    ledger.forget(RETENTION, 10, 100);
    assert_eq!(
        ledger.lookup(origin(1)),
        LedgerStatus { status: RemoteStatus::OutcomeForgotten, outcome: None }
    );
    assert_eq!(ledger.lookup(origin(2)), LedgerStatus { status: RemoteStatus::NeverReceived, outcome: None });
}

#[test]
fn accepts_a_returned_request_again() {
    let mut ledger = Ledger::default();
    ledger.accept(origin(1), RETENTION);
    ledger.end(Duration::ZERO, origin(1), Outcome::Unstarted);
    assert_eq!(ledger.lookup(origin(1)).status, RemoteStatus::NeverReceived);
    assert_eq!(ledger.running(), 0);
}

#[test]
fn forgets_the_oldest_outcomes_beyond_either_limit() {
    let mut ledger = Ledger::default();
    for n in 1..=5 {
        ledger.accept(origin(n), RETENTION);
        ledger.end(Duration::from_secs(n), origin(n), served(10));
    }
    ledger.forget(Duration::from_secs(5), 3, 1000);
    assert_eq!((1..=5).filter(|n| ledger.lookup(origin(*n)).status == RemoteStatus::Received).count(), 3);
    ledger.forget(Duration::from_secs(5), 3, 10);
    assert_eq!(ledger.lookup(origin(4)).status, RemoteStatus::OutcomeForgotten);
    assert_eq!(ledger.lookup(origin(5)).status, RemoteStatus::Received);
    assert_eq!(ledger.stored_bytes, 10);
}

#[test]
fn cancellation_and_acknowledgement_remove_the_entry() {
    let mut ledger = Ledger::default();
    ledger.accept(origin(1), RETENTION);
    ledger.accept(origin(2), RETENTION);
    assert!(ledger.cancel(origin(1)));
    assert!(!ledger.cancel(origin(1)));
    ledger.end(Duration::ZERO, origin(2), served(5));
    ledger.acknowledge(origin(2));
    assert!(
        ledger.entries.is_empty()
            && ledger.forget_order.is_empty()
            && ledger.stored_bytes == 0
            && ledger.running() == 0
    );
    assert_eq!(ledger.lookup(origin(1)).status, RemoteStatus::OutcomeForgotten);
}
