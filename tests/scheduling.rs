//! Scheduling decisions of a single scheduler. The numbered rules are the four rules of `docs/design.md`:
//!
//! 1. A request gets one final answer, before its deadline.
//! 2. A request that may have run is sent again only if its class allows it.
//! 3. A draining or unlisted worker gets no requests.
//! 4. A worker in slow start is not overloaded.

mod common;

use chutesaddle::scheduling::*;
use common::*;

#[test]
fn dispatches_request_in_the_next_round_and_not_before() {
    let mut scheduler = TestScheduler::new(settings(), fleet(3));
    assert!(dispatched(&scheduler.send(Event::RequestReceived(request(1, 0, 100.0)))).is_empty());
    assert_eq!(dispatched(&scheduler.run(0.1)).len(), 1);
}

/// Rule 1.
#[test]
fn answers_every_request_before_its_deadline() {
    for class in 0..4 {
        let mut scheduler = TestScheduler::new(settings(), fleet(1));
        scheduler.send(Event::RequestReceived(request(1, class, 100.0)));
        assert_eq!(dispatched(&scheduler.run(0.2)).len(), 1);
        let actions = scheduler.run(9.8);
        assert!(rejected(&actions, 1) || failed(&actions, 1), "class {class}");
    }
}

/// Rule 1.
#[test]
fn rejects_request_before_its_deadline_when_no_worker_is_listed() {
    let mut scheduler = TestScheduler::new(settings(), Vec::new());
    scheduler.send(Event::RequestReceived(request(1, 1, 100.0)));
    let actions = scheduler.run(9.999);
    assert!(rejected(&actions, 1));
    assert!(scheduler.run(5.0).is_empty(), "nothing follows the final answer");
}

/// Rule 3.
#[test]
fn sends_nothing_to_a_draining_or_unlisted_worker() {
    let mut scheduler = TestScheduler::new(settings(), fleet(2));
    let mut draining = worker(1);
    draining.state = WorkerState::Draining;
    scheduler.update_workers(vec![draining]);
    scheduler.update_workers(vec![worker(3)]);
    for id in 0..3 {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
    }
    let chosen_workers: Vec<u64> =
        dispatched(&scheduler.run(0.5)).iter().map(|(_, worker)| *worker).collect();
    assert!(!chosen_workers.is_empty() && !chosen_workers.contains(&1));
    scheduler.replace_workers(vec![worker(3)]);
    scheduler.send(Event::RequestReceived(request(9, 0, scheduler.now)));
    assert!(
        !dispatched(&scheduler.run(0.5)).iter().any(|(_, worker)| *worker == 2),
        "not in the complete snapshot"
    );
}

#[test]
fn ejects_unresponsive_worker_and_cancels_its_idempotent_request() {
    let mut scheduler = TestScheduler::new(settings(), fleet(3));
    scheduler.send(Event::RequestReceived(request(1, 0, 100.0)));
    let first = dispatched(&scheduler.run(0.1))[0].1;
    let actions = scheduler.run(1.5);
    assert!(actions.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }));
    assert!(
        actions.contains(&Action::Probe(WorkerId(first))),
        "an ejected worker is probed before it gets a request"
    );
    scheduler.send(Event::RequestReceived(request(2, 1, scheduler.now)));
    assert!(
        dispatched(&scheduler.run(0.2)).iter().all(|(_, worker)| *worker != first),
        "no non-idempotent request to an ejected worker"
    );
}

/// A healthy worker may reset one connection. Two resets without a notification from the worker in between are a
/// fault.
#[test]
fn ejects_worker_after_two_consecutive_resets() {
    let mut scheduler = TestScheduler::new(settings(), fleet(1));
    let dispatched_next = |scheduler: &mut TestScheduler, id| {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
        dispatched(&scheduler.run(0.1))
    };
    assert_eq!(dispatched_next(&mut scheduler, 1).len(), 1);
    scheduler.end_attempt(1, 0, AttemptOutcome::StaleConnection);
    assert_eq!(dispatched(&scheduler.run(0.1)).len(), 1, "a stale connection does not count");
    scheduler.end_attempt(1, 1, AttemptOutcome::ConnectionReset);
    assert_eq!(dispatched(&scheduler.run(0.1)).len(), 1, "one reset does not eject the worker");
    scheduler.end_attempt(1, 2, AttemptOutcome::ConnectionReset);
    assert_eq!(dispatched(&scheduler.run(0.1)).len(), 0, "two resets eject the worker");
}

#[test]
fn does_not_eject_the_fleet_when_all_workers_are_late() {
    let mut scheduler = TestScheduler::new(settings(), fleet(3));
    for id in 0..3 {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
    }
    assert_eq!(dispatched(&scheduler.run(0.1)).len(), 3);
    scheduler.run(2.0); // no worker has reported a start in time
    scheduler.send(Event::RequestReceived(request(10, 1, scheduler.now)));
    assert_eq!(dispatched(&scheduler.run(0.3)).len(), 1, "late starts do not eject the whole fleet");
}

#[test]
fn requests_stuck_at_ejected_workers_do_not_count_against_the_schedulers_share() {
    let mut settings = settings();
    settings.scheduler_count = 3;
    let mut scheduler = TestScheduler::new(settings, fleet(6));
    for id in 0..2 {
        scheduler.send(Event::RequestReceived(request(id, 1, scheduler.now)));
    }
    assert_eq!(dispatched(&scheduler.run(0.1)).len(), 2);
    scheduler.run(2.0);
    for id in 10..16 {
        scheduler.send(Event::RequestReceived(request(id, 1, scheduler.now)));
    }
    // The share is twice a third of the eight slots of workers that are not ejected. Stuck requests do not count.
    assert_eq!(dispatched(&scheduler.run(0.1)).len(), 4);
}

#[test]
fn does_not_cancel_request_queued_at_a_worker_that_makes_progress() {
    // Retrying all requests that are queued at a loaded worker would add load to the fleet.
    let mut scheduler = TestScheduler::new(settings(), fleet(2));
    for id in 0..4 {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
    }
    let sent = dispatched(&scheduler.run(0.05));
    assert_eq!(sent.len(), 4);
    let start = |scheduler: &mut TestScheduler, id| {
        scheduler.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 })
    };
    let queued = sent.iter().rfind(|(_, worker)| *worker == sent[0].1).expect("two each").0;
    for (id, _) in sent.iter().filter(|(_, worker)| *worker != sent[0].1) {
        start(&mut scheduler, *id);
        scheduler.end_attempt(*id, 0, AttemptOutcome::Succeeded); // the other worker has free slots
    }
    scheduler.run(0.15);
    start(&mut scheduler, sent[0].0);
    let actions = scheduler.run(0.2);
    let cancelled = Action::Cancel { request: RequestId(queued), attempt: 0 };
    assert!(queued != sent[0].0 && !actions.contains(&cancelled));
    assert!(scheduler.run(2.0).contains(&cancelled), "the worker has stopped making progress");
}

#[test]
fn request_past_its_objective_does_not_overtake_newer_ones() {
    // If priority grew without bound with the waiting time, late requests would overtake those of higher priority.
    let mut settings = settings();
    settings.classes[0].weight_after_objective = 0.2;
    let mut scheduler = TestScheduler::new(settings, Vec::new());
    scheduler.send(Event::RequestReceived(request(1, 0, 100.0)));
    scheduler.run(8.0);
    for id in 2..5 {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
    }
    scheduler.update_workers(vec![worker(1)]);
    let first: Vec<u32> = dispatched(&scheduler.run(0.05)).iter().map(|(id, _)| *id).collect();
    assert!(first.len() >= 2 && first[..2] == [2, 3], "{first:?}");
}

#[test]
fn each_of_many_schedulers_sends_only_its_share() {
    // If each of ten schedulers filled every worker's queue, the queues would be ten times too long.
    let dispatched_by_one_of = |scheduler_count| {
        let mut settings = settings();
        settings.scheduler_count = scheduler_count;
        let mut scheduler = TestScheduler::new(settings, fleet(10));
        for id in 0..40 {
            scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
        }
        dispatched(&scheduler.run(0.05)).len()
    };
    assert!(dispatched_by_one_of(10) <= 4, "more than twice a tenth of twenty slots");
    assert!(dispatched_by_one_of(1) >= 15);
}

#[test]
fn overload_sheds_low_priority_first_and_before_its_objective() {
    let mut settings = settings();
    settings.classes[3].priority_weight = 8.0;
    settings.classes[3].idempotency = Idempotency::Idempotent;
    let mut scheduler = TestScheduler::new(settings, fleet(1));
    for id in 0..40 {
        scheduler.send(Event::RequestReceived(request(id, if id % 2 == 0 { 0 } else { 3 }, scheduler.now)));
    }
    let actions = scheduler.run(0.5);
    let low_priority = (0..40).step_by(2).filter(|&id| rejected(&actions, id)).count();
    let high_priority = (1..40).step_by(2).filter(|&id| rejected(&actions, id)).count();
    assert!(
        low_priority >= 15 && low_priority > high_priority,
        "rejected {low_priority} requests of low and {high_priority} of high priority"
    );
}

#[test]
fn requests_over_quota_are_dispatched_last() {
    let mut settings = settings();
    settings.tenants = vec![
        Tenant { name: String::new(), quota_per_s: 3.0 },
        Tenant { name: String::new(), quota_per_s: 2.9 },
    ];
    let mut scheduler = TestScheduler::new(settings, fleet(1));
    for id in 100..111 {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
        scheduler.send(Event::ClientDisconnected(RequestId(id)));
    }
    for id in 10..16 {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
    }
    scheduler.send(Event::RequestReceived(Request { tenant: 1, ..request(50, 0, scheduler.now) }));
    let first: Vec<u32> = dispatched(&scheduler.run(0.05)).iter().map(|(id, _)| *id).collect();
    assert!(first.contains(&50), "{first:?}");
}

#[test]
fn discovery_polls_back_off_up_to_a_bound() {
    let mut settings = settings();
    settings.discovery_polled = true;
    let mut actions = Vec::new();
    let mut dispatcher = chutesaddle::Dispatcher::new(settings, 7);
    dispatcher.handle(
        1.0,
        Event::WorkersListed { complete_snapshot: true, from_cache: true, entries: fleet(2) },
        &mut actions,
    );
    assert!(actions.contains(&Action::WatchEndpointList));
    let mut backoffs = Vec::new();
    for _ in 0..12 {
        actions.clear();
        dispatcher.handle(1.0, Event::DiscoveryFailed, &mut actions);
        let Some(Action::SetTimer { after_s, tag }) = actions.pop() else {
            panic!("a failed poll sets a timer for the next one")
        };
        backoffs.push(after_s);
        dispatcher.handle(1.0, Event::TimerExpired(tag), &mut actions);
        assert_eq!(actions, [Action::WatchEndpointList]);
    }
    assert!(backoffs[0] < 1.0 && backoffs[0] < backoffs[3]);
    assert!(backoffs.iter().all(|backoff| *backoff < 10.0), "{backoffs:?}");
}

#[test]
fn ignores_invalid_events() {
    let mut scheduler = TestScheduler::new(settings(), fleet(2));
    assert!(rejected(&scheduler.send(Event::RequestReceived(request(1, 99, 100.0))), 1));
    scheduler.send(Event::RequestReceived(Request { tenant: 77, ..request(2, 0, 100.0) }));
    let mut actions = Vec::new();
    scheduler.dispatcher.handle(f64::NAN, Event::TimerExpired(12345), &mut actions);
    scheduler.dispatcher.handle(f64::NEG_INFINITY, Event::ClientDisconnected(RequestId(404)), &mut actions);
    assert!(actions.is_empty());
    scheduler.end_attempt(404, 3, AttemptOutcome::Succeeded);
    let sent = dispatched(&scheduler.run(0.2));
    assert_eq!((sent.len(), sent[0].0), (1, 2), "the valid request is served");
}
