//! Two processes of one dispatcher: what the decisions hand over from the predecessor to the successor.

mod common;

use chutesaddle::scheduling::*;
use common::*;

/// The predecessor and a successor that lists the same two workers under numbers 10 higher.
fn pair(since: f64) -> (TestScheduler, TestScheduler) {
    let listed =
        |first: u64| (first..first + 2).map(|n| WorkerInfo { started_at_s: since, ..worker(n) }).collect();
    (TestScheduler::new(settings(), listed(1)), TestScheduler::new(settings(), listed(11)))
}

fn renumbered(id: WorkerId) -> WorkerId {
    WorkerId(id.0 + 10)
}

#[test]
fn ejected_workers_stay_ejected() {
    let (mut predecessor, mut successor) = pair(0.0);
    predecessor.send(Event::RequestReceived(request(1, 0, 100.0)));
    let bad = dispatched(&predecessor.run(0.1))[0].1;
    predecessor.end_attempt(1, 0, AttemptOutcome::ConnectFailed);
    assert_eq!((predecessor.dispatcher.ejected_count(), successor.dispatcher.ejected_count()), (1, 0));
    let learned = predecessor.dispatcher.learned_state().renumbered(|id| Some(renumbered(id)));
    successor.now = predecessor.now;
    successor.send(Event::StateLearned(Box::new(learned)));
    assert_eq!(successor.dispatcher.ejected_count(), 1);
    for id in 2..5 {
        successor.send(Event::RequestReceived(request(id, 0, successor.now)));
    }
    assert!(dispatched(&successor.run(0.1)).iter().all(|route| route.1 != bad + 10));
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

/// A request that must run once and may have run is not sent again by the process that takes it over, and the
/// attempt that is out holds its slot there.
#[test]
fn a_migrated_request_keeps_its_attempts() {
    let (mut predecessor, mut successor) = pair(0.0);
    predecessor.send(Event::RequestReceived(request(1, 1, 100.0)));
    let worker = WorkerId(dispatched(&predecessor.run(0.1))[0].1);
    let record = predecessor.dispatcher.hand_over(RequestId(1)).expect("the request is there");
    assert!(predecessor.dispatcher.hand_over(RequestId(1)).is_none());
    assert!(predecessor.run(20.0).is_empty(), "the predecessor has nothing to do with it any more");
    successor.now = 100.1;
    let record = record.renumbered(RequestId(7), 110.0, &[renumbered(worker)]);
    assert!(dispatched(&successor.send(Event::RequestTakenOver(Box::new(record)))).is_empty());
    assert!(dispatched(&successor.run(1.0)).is_empty());
    let actions = successor.end_attempt(7, 0, AttemptOutcome::Failed);
    assert!(failed(&actions, 7) || failed(&successor.run(10.0), 7));
}

#[test]
fn a_waiting_request_is_sent_by_the_successor() {
    let (mut predecessor, mut successor) = pair(0.0);
    predecessor.send(Event::RequestReceived(request(1, 0, 100.0)));
    let record = predecessor.dispatcher.hand_over(RequestId(1)).expect("the request is there");
    successor.send(Event::RequestTakenOver(Box::new(record.renumbered(RequestId(7), 110.0, &[]))));
    assert_eq!(dispatched(&successor.run(0.1)).len(), 1);
    assert!(dispatched(&predecessor.run(0.1)).is_empty());
}

/// What both together may send to workers that just started is what one may.
#[test]
fn work_of_the_other_process_counts_against_workers_that_warm_up() {
    let sent = |elsewhere: f64| {
        let (_, mut successor) = pair(99.0);
        for worker in [11, 12].map(WorkerId) {
            successor.send(Event::SentByOtherProcess { worker, class: 0, work: elsewhere });
        }
        successor.send(Event::RequestReceived(request(1, 0, 100.0)));
        dispatched(&successor.run(0.1)).len()
    };
    assert_eq!((sent(0.0), sent(100.0)), (1, 0));
}
