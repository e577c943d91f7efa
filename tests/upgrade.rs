//! Handover of learned state and requests from the predecessor to the successor process in an upgrade.

mod common;

use chutesaddle::scheduling::*;
use common::*;

/// A predecessor and a successor with the same two workers, whose ids are higher by 10 at the successor.
fn pair(started_at_s: f64) -> (TestScheduler, TestScheduler) {
    let listed = |first: u64| (first..first + 2).map(|n| WorkerInfo { started_at_s, ..worker(n) }).collect();
    (TestScheduler::new(settings(), listed(1)), TestScheduler::new(settings(), listed(11)))
}

fn renumbered(id: WorkerId) -> WorkerId {
    WorkerId(id.0 + 10)
}

#[test]
fn ejected_workers_stay_ejected_after_upgrade() {
    let (mut predecessor, mut successor) = pair(0.0);
    predecessor.send(Event::RequestReceived(request(1, 0, 100.0)));
    let failing = dispatched(&predecessor.run(0.1))[0].1;
    predecessor.end_attempt(1, 0, AttemptOutcome::ConnectFailed);
    assert_eq!((predecessor.dispatcher.ejected_count(), successor.dispatcher.ejected_count()), (1, 0));
    let learned = predecessor.dispatcher.learned_state().renumbered(|id| Some(renumbered(id)));
    successor.now = predecessor.now;
    successor.send(Event::StateLearned(Box::new(learned)));
    assert_eq!(successor.dispatcher.ejected_count(), 1);
    for id in 2..5 {
        successor.send(Event::RequestReceived(request(id, 0, successor.now)));
    }
    assert!(dispatched(&successor.run(0.1)).iter().all(|route| route.1 != failing + 10));
}

#[test]
fn learned_state_of_unlisted_workers_is_ignored() {
    let (predecessor, mut successor) = pair(0.0);
    let learned = predecessor.dispatcher.learned_state().renumbered(|id| (id.0 == 1).then_some(WorkerId(99)));
    assert_eq!(learned.workers().collect::<Vec<_>>(), [WorkerId(99)]);
    successor.send(Event::StateLearned(Box::new(learned)));
    successor.send(Event::RequestReceived(request(1, 0, 100.0)));
    assert_eq!(dispatched(&successor.run(0.1)).len(), 1);
}

/// The successor must not repeat a non-idempotent request that may have run, and it keeps the slot of the in-flight
/// attempt reserved.
#[test]
fn migrated_request_keeps_its_attempts() {
    let (mut predecessor, mut successor) = pair(0.0);
    predecessor.send(Event::RequestReceived(request(1, 1, 100.0)));
    let worker = WorkerId(dispatched(&predecessor.run(0.1))[0].1);
    let record = predecessor.dispatcher.hand_over(RequestId(1)).expect("the request is tracked");
    assert!(predecessor.dispatcher.hand_over(RequestId(1)).is_none());
    assert!(predecessor.run(20.0).is_empty(), "the predecessor no longer tracks the request");
    successor.now = 100.1;
    let record = record.renumbered(RequestId(7), 110.0, &[renumbered(worker)]);
    assert!(dispatched(&successor.send(Event::RequestTakenOver(Box::new(record)))).is_empty());
    assert!(dispatched(&successor.run(1.0)).is_empty());
    let actions = successor.end_attempt(7, 0, AttemptOutcome::Failed);
    assert!(failed(&actions, 7) || failed(&successor.run(10.0), 7));
}

#[test]
fn successor_dispatches_a_queued_request() {
    let (mut predecessor, mut successor) = pair(0.0);
    predecessor.send(Event::RequestReceived(request(1, 0, 100.0)));
    let record = predecessor.dispatcher.hand_over(RequestId(1)).expect("the request is tracked");
    successor.send(Event::RequestTakenOver(Box::new(record.renumbered(RequestId(7), 110.0, &[]))));
    assert_eq!(dispatched(&successor.run(0.1)).len(), 1);
    assert!(dispatched(&predecessor.run(0.1)).is_empty());
}

/// Both processes together must stay within the scheduler's allowance for a worker in slow start.
#[test]
fn sends_of_the_other_process_count_against_the_slow_start_allowance() {
    let dispatched_after = |sent_by_other_process: f64| {
        let (_, mut successor) = pair(99.0);
        for worker in [11, 12].map(WorkerId) {
            successor.send(Event::SentByOtherProcess { worker, class: 0, work: sent_by_other_process });
        }
        successor.send(Event::RequestReceived(request(1, 0, 100.0)));
        dispatched(&successor.run(0.1)).len()
    };
    assert_eq!((dispatched_after(0.0), dispatched_after(100.0)), (1, 0));
}
