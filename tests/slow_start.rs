//! Workers in slow start: what one scheduler may send them (rule 4 of `docs/design.md`).

mod common;

use chutesaddle::scheduling::*;
use common::*;

/// Rule 4.
#[test]
fn slow_start_worker_gets_at_most_the_schedulers_share_of_its_budget() {
    let mut settings = settings();
    settings.scheduler_count = 2;
    let mut slow_starting = worker(1);
    slow_starting.started_at_s = 99.9;
    let mut scheduler = TestScheduler::new(settings, vec![slow_starting]);
    let mut sent = 0.0;
    for id in 0..40 {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
        for (id, _) in dispatched(&scheduler.run(0.02)) {
            sent += 0.3;
            scheduler.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 });
            scheduler.send(Event::ClientDisconnected(RequestId(id)));
            scheduler.end_attempt(id, 0, AttemptOutcome::Cancelled);
        }
    }
    // Collapse multiple of 3, capacity fraction of a fifth and a little more (0.25), two slots, one second, one of two
    // schedulers.
    assert!(sent <= 3.0 * 0.25 * 2.0 / 2.0, "sent {sent} s of work in less than a second");
}

/// Returns how many of these requests are dispatched. One arrives every `interval_s`, and its client disconnects as
/// soon as the request has started.
fn dispatched_and_cancelled(
    scheduler: &mut TestScheduler,
    ids: std::ops::Range<u32>,
    interval_s: f64,
) -> usize {
    let mut sent = 0;
    for id in ids {
        scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
        for (id, _) in dispatched(&scheduler.run(interval_s)) {
            sent += 1;
            scheduler.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 });
            scheduler.send(Event::ClientDisconnected(RequestId(id)));
            scheduler.end_attempt(id, 0, AttemptOutcome::Cancelled);
        }
    }
    sent
}

/// Rule 4.
#[test]
fn slow_start_budget_uses_the_current_capacity() {
    // The capacity at the end of the window would let all schedulers together overload the worker. A request counts as
    // at least the average work of its class.
    let slow_starting = WorkerInfo { started_at_s: 99.1, ..worker(1) };
    let mut scheduler = TestScheduler::new(settings(), vec![slow_starting]);
    let sent = dispatched_and_cancelled(&mut scheduler, 0..10, 0.035);
    assert!((1..=4).contains(&sent), "{sent} requests of 0.3 s against 3 x 0.2 x 2 slots x 1 s");
}

/// Rule 4.
#[test]
fn run_time_in_slow_start_does_not_raise_the_budget_of_other_workers() {
    // Relative to the low capacity that slow start assumes, its run time would make every worker of the kind seem
    // several times as fast.
    let dispatched_to_new_worker = |run_completed: bool| {
        let slow_starting = |id, started_at_s| WorkerInfo { started_at_s, ..worker(id) };
        let mut scheduler = TestScheduler::new(settings(), vec![slow_starting(1, 99.0)]);
        for id in 0..3 {
            scheduler.send(Event::RequestReceived(request(id, 0, scheduler.now)));
            scheduler.run(0.1);
            scheduler.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 });
            scheduler.run(0.3);
            scheduler.end_attempt(
                id,
                0,
                if run_completed { AttemptOutcome::Succeeded } else { AttemptOutcome::Cancelled },
            );
            scheduler.send(Event::ClientDisconnected(RequestId(id)));
        }
        scheduler.replace_workers(vec![slow_starting(2, scheduler.now)]);
        dispatched_and_cancelled(&mut scheduler, 10..50, 0.02)
    };
    assert!(
        dispatched_to_new_worker(true) <= dispatched_to_new_worker(false),
        "{} against {}",
        dispatched_to_new_worker(true),
        dispatched_to_new_worker(false)
    );
}

/// Rule 4.
#[test]
fn slow_start_budget_follows_the_workers_own_run_times() {
    // A worker that warms up faster than the slowest curve that the settings allow gets more. One that is slower than
    // that curve gets less immediately.
    let dispatched_after_run_of = |run_time_s: f64| {
        let mut scheduler =
            TestScheduler::new(settings(), vec![WorkerInfo { started_at_s: 99.9, ..worker(1) }]);
        scheduler.send(Event::RequestReceived(request(1, 0, scheduler.now)));
        assert_eq!(dispatched(&scheduler.run(0.1)), [(1, 1)]);
        scheduler.send(Event::AttemptStarted { request: RequestId(1), attempt: 0 });
        scheduler.run(run_time_s);
        scheduler.end_attempt(1, 0, AttemptOutcome::Succeeded);
        scheduler.run(4.9 - run_time_s);
        dispatched_and_cancelled(&mut scheduler, 10..50, 0.02)
    };
    let (fast, usual, slow) =
        (dispatched_after_run_of(0.3), dispatched_after_run_of(1.3), dispatched_after_run_of(4.5));
    assert!(fast > usual && usual > slow, "{fast}, {usual}, {slow}");
}
