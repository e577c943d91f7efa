//! Two processes of one dispatcher: what the decision module passes from the old one to the new one.

mod common;

use chutesaddle::scheduling::*;
use common::*;

/// The old process and a new one that lists the same two workers under numbers 10 higher.
fn pair(since: f64) -> (Bench, Bench) {
    let listed =
        |first: u64| (first..first + 2).map(|n| WorkerInfo { started_at_s: since, ..worker(n) }).collect();
    (Bench::new(settings(), listed(1)), Bench::new(settings(), listed(11)))
}

fn renumbered(id: WorkerId) -> WorkerId {
    WorkerId(id.0 + 10)
}

#[test]
fn suspects_stay_suspect() {
    let (mut old, mut new) = pair(0.0);
    old.send(Event::RequestReceived(request(1, 0, 100.0)));
    let bad = routes(&old.run(0.1))[0].1;
    old.end(1, 0, AttemptOutcome::ConnectFailed);
    assert_eq!((old.d.ejected_count(), new.d.ejected_count()), (1, 0));
    let learnt = old.d.learned_state().renumbered(|id| Some(renumbered(id)));
    new.now = old.now;
    new.send(Event::StateLearned(Box::new(learnt)));
    assert_eq!(new.d.ejected_count(), 1);
    for id in 2..5 {
        new.send(Event::RequestReceived(request(id, 0, new.now)));
    }
    assert!(routes(&new.run(0.1)).iter().all(|route| route.1 != bad + 10));
}

#[test]
fn nothing_is_taken_up_of_a_worker_that_is_not_listed() {
    let (old, mut new) = pair(0.0);
    let learnt = old.d.learned_state().renumbered(|id| (id.0 == 1).then_some(WorkerId(99)));
    assert_eq!(learnt.workers().collect::<Vec<_>>(), [WorkerId(99)]);
    new.send(Event::StateLearned(Box::new(learnt)));
    new.send(Event::RequestReceived(request(1, 0, 100.0)));
    assert_eq!(routes(&new.run(0.1)).len(), 1);
}

/// A job that must run once and may have run is not sent again by the process that takes it over, and the
/// attempt that is out holds its slot there.
#[test]
fn a_job_keeps_its_attempts() {
    let (mut old, mut new) = pair(0.0);
    old.send(Event::RequestReceived(request(1, 1, 100.0)));
    let worker = WorkerId(routes(&old.run(0.1))[0].1);
    let record = old.d.hand_over(RequestId(1)).expect("the job is there");
    assert!(old.d.hand_over(RequestId(1)).is_none());
    assert!(old.run(20.0).is_empty(), "the old process has nothing to do with it any more");
    new.now = 100.1;
    let record = record.renumbered(RequestId(7), 110.0, &[renumbered(worker)]);
    assert!(routes(&new.send(Event::RequestTakenOver(Box::new(record)))).is_empty());
    assert!(routes(&new.run(1.0)).is_empty());
    let actions = new.end(7, 0, AttemptOutcome::Failed);
    assert!(failed(&actions, 7) || failed(&new.run(10.0), 7));
}

#[test]
fn a_job_that_waits_is_sent_by_the_new_process() {
    let (mut old, mut new) = pair(0.0);
    old.send(Event::RequestReceived(request(1, 0, 100.0)));
    let record = old.d.hand_over(RequestId(1)).expect("the job is there");
    new.send(Event::RequestTakenOver(Box::new(record.renumbered(RequestId(7), 110.0, &[]))));
    assert_eq!(routes(&new.run(0.1)).len(), 1);
    assert!(routes(&old.run(0.1)).is_empty());
}

/// What both together may send to workers that just started is what one may.
#[test]
fn work_that_the_other_process_sent_counts_against_cold_workers() {
    let sent = |elsewhere: f64| {
        let (_, mut new) = pair(99.0);
        for worker in [11, 12].map(WorkerId) {
            new.send(Event::SentByOtherProcess { worker, class: 0, work: elsewhere });
        }
        new.send(Event::RequestReceived(request(1, 0, 100.0)));
        routes(&new.run(0.1)).len()
    };
    assert_eq!((sent(0.0), sent(100.0)), (1, 0));
}
