//! Retries and hedged requests: when a request is sent again, and where (rule 2 of `docs/design.md`).

mod common;

use chutesaddle::scheduling::*;
use common::*;
use rstest::rstest;

/// Rule 2.
#[test]
fn fails_non_idempotent_request_that_may_have_run() {
    for outcome in [
        AttemptOutcome::Failed,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Cancelled,
    ] {
        let mut scheduler = TestScheduler::new(settings(), fleet(4));
        scheduler.send(Event::RequestReceived(request(1, 1, 100.0)));
        assert_eq!(dispatched(&scheduler.run(0.1)).len(), 1);
        let mut actions = scheduler.end_attempt(1, 0, outcome);
        actions.extend(scheduler.run(12.0));
        assert!(
            dispatched(&actions).is_empty() && !rejected(&actions, 1) && failed(&actions, 1),
            "{outcome:?}"
        );
    }
}

/// Rule 2.
#[test]
fn retries_non_idempotent_request_that_never_ran() {
    let mut scheduler = TestScheduler::new(settings(), fleet(4));
    scheduler.send(Event::RequestReceived(request(1, 1, 100.0)));
    scheduler.run(0.1);
    let mut actions = scheduler.end_attempt(1, 0, AttemptOutcome::ConnectFailed);
    actions.extend(scheduler.run(0.2));
    assert_eq!(dispatched(&actions).len(), 1);
}

/// Rule 2.
#[test]
fn retries_keyed_request_only_in_its_cell_and_window() {
    let mut scheduler = TestScheduler::new(settings(), fleet(6));
    scheduler.send(Event::RequestReceived(request(1, 2, 100.0)));
    let first = dispatched(&scheduler.run(0.1))[0].1;
    let mut actions = scheduler.end_attempt(1, 0, AttemptOutcome::Failed);
    actions.extend(scheduler.run(0.2));
    let retries = dispatched(&actions);
    assert_eq!(retries.len(), 1);
    assert_eq!(retries[0].1 % 2, first % 2, "another cell does not deduplicate this key");

    let mut settings = settings();
    settings.classes[2].latency_objective_s = 9.0; // the request is tracked for longer than the window
    let mut scheduler = TestScheduler::new(settings, fleet(6));
    scheduler.send(Event::RequestReceived(request(1, 2, 100.0)));
    scheduler.run(0.1);
    scheduler.run(5.5);
    let mut actions = scheduler.end_attempt(1, 0, AttemptOutcome::Failed);
    actions.extend(scheduler.run(4.395));
    assert!(dispatched(&actions).is_empty(), "the window has passed");
    assert!(failed(&actions, 1) && !rejected(&actions, 1));
}

/// Rule 2.
#[test]
fn sends_no_hedged_request_unless_hedging_is_allowed() {
    let mut scheduler = TestScheduler::new(settings(), fleet(4));
    scheduler.send(Event::RequestReceived(request(1, 0, 100.0)));
    assert_eq!(dispatched(&scheduler.run(0.1)).len(), 1);
    assert!(dispatched(&scheduler.run(8.0)).is_empty(), "the first attempt is still in flight");
}

/// A worker that fails fast always has free slots, so it could get all attempts of a request.
#[test]
fn retries_failed_request_at_another_worker() {
    let mut scheduler =
        TestScheduler::new(Settings { capacity_probes_allowed: false, ..settings() }, fleet(3));
    scheduler.send(Event::RequestReceived(request(1, 0, 100.0)));
    let mut workers = vec![dispatched(&scheduler.run(0.1))[0].1];
    for attempt in 0..2 {
        let mut actions = scheduler.end_attempt(1, attempt, AttemptOutcome::Failed);
        actions.extend(scheduler.run(0.2));
        workers.push(dispatched(&actions)[0].1);
    }
    workers.sort();
    assert_eq!(workers, [1, 2, 3]);
}

#[test]
fn retries_failed_request_at_the_same_worker_if_there_is_no_other() {
    let mut scheduler =
        TestScheduler::new(Settings { capacity_probes_allowed: false, ..settings() }, fleet(1));
    scheduler.send(Event::RequestReceived(request(1, 0, 100.0)));
    scheduler.run(0.1);
    let mut actions = scheduler.end_attempt(1, 0, AttemptOutcome::Failed);
    actions.extend(scheduler.run(0.2));
    assert_eq!(dispatched(&actions), [(1, 1)]);
}

#[rstest]
#[case::slow_connection_fits(0.6, 1)]
#[case::slow_connection_might_end_after_the_window(0.9, 0)]
fn keyed_retry_is_sent_only_if_a_slow_connection_still_fits_its_window(
    #[case] reset_after_s: f64,
    #[case] retries: usize,
) {
    // With a connect timeout of 0.4 s, the connection must be started well before the window of 1.2 s ends.
    let mut settings = Settings { connect_timeout_s: 0.4, ..settings() };
    settings.classes[3].deduplication_window_s = 1.2;
    let mut scheduler = TestScheduler::new(settings, vec![worker(1), worker(2)]);
    scheduler.send(Event::RequestReceived(request(1, 3, scheduler.now)));
    assert_eq!(dispatched(&scheduler.run(0.1)).len(), 1);
    scheduler.send(Event::AttemptStarted { request: RequestId(1), attempt: 0 });
    scheduler.run(reset_after_s - 0.1);
    let mut actions = scheduler.end_attempt(1, 0, AttemptOutcome::ConnectionReset);
    actions.extend(scheduler.run(0.1));
    assert_eq!(dispatched(&actions).len(), retries);
}
