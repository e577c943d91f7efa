//! Checks every entry of the table in `docs/endings.md`: what follows the end of an attempt, depending on how it ended
//! and on its request class.

mod common;

use chutesaddle::scheduling::*;
use chutesaddle::server::attempt_end::AttemptEnd;
use common::*;
use rstest::rstest;

/// The rows of the table: the name of the attempt end and the contents of the other columns.
fn table() -> Vec<(&'static str, Vec<&'static str>)> {
    let page = include_str!("../docs/endings.md").lines();
    let rows = page.skip_while(|line| !line.starts_with("| end |")).take_while(|line| line.starts_with('|'));
    let cells = |line: &'static str| line.trim_matches('|').split('|').map(str::trim).collect::<Vec<_>>();
    rows.skip(2).map(cells).map(|cells| (cells[0], cells[1..].to_vec())).collect()
}

/// Returns what follows when an attempt of this class ends at worker 1 and only worker `other` accepts requests. Worker
/// 3 is in the same cell as worker 1 and shares its deduplication scope; worker 2 is in another cell. If `migrated`, the
/// request migrates to another process right after the attempt ends.
fn next_step(end: AttemptEnd, class: usize, other: u64, migrated: bool) -> &'static str {
    let mut scheduler =
        TestScheduler::new(Settings { capacity_probes_allowed: false, ..settings() }, vec![worker(1)]);
    scheduler.send(Event::RequestReceived(request(1, class, scheduler.now)));
    assert_eq!(dispatched(&scheduler.run(0.2)), [(1, 1)], "the first attempt");
    // Worker 1 drains, and the other one accepts requests.
    let entries = vec![WorkerInfo { state: WorkerState::Draining, ..worker(1) }, worker(other)];
    scheduler.send(Event::WorkersListed {
        complete_snapshot: false,
        from_cache: false,
        entries: entries.clone(),
    });
    let mut actions = scheduler.end_attempt(1, 0, end.outcome());
    if end == AttemptEnd::Completed {
        assert!(dispatched(&scheduler.run(30.0)).is_empty(), "the request is finished");
        return "served";
    }
    if migrated && !failed(&actions, 1) {
        assert!(dispatched(&actions).is_empty(), "nothing is sent before the next round");
        let record = scheduler.dispatcher.hand_over(RequestId(1)).expect("the request is tracked");
        let now = scheduler.now;
        scheduler = TestScheduler::new(Settings { capacity_probes_allowed: false, ..settings() }, entries);
        scheduler.now = now;
        actions = scheduler.send(Event::RequestTakenOver(Box::new(record)));
    }
    actions.extend(scheduler.run(30.0));
    match (dispatched(&actions).as_slice(), failed(&actions, 1), rejected(&actions, 1)) {
        ([_, ..], ..) => "again",
        ([], true, false) => "failed",
        ([], false, true) => "refused",
        _ => "nothing, or two answers",
    }
}

#[rstest]
fn attempt_ends_are_followed_by_the_documented_step(#[values(false, true)] migrated: bool) {
    let table = table();
    assert_eq!(table.len(), AttemptEnd::ALL.len());
    for end in AttemptEnd::ALL {
        let row =
            table.iter().find(|row| row.0 == end.name()).unwrap_or_else(|| panic!("{end:?} has no row"));
        let not_executed = end.outcome().proves_not_executed();
        assert_eq!(
            row.1[0],
            if not_executed { "no" } else { "yes" },
            "{end:?}: whether the request may have run"
        );
        // Columns: idempotent; with a key on all workers; with a key within a cell that has a worker left; with a key
        // within a cell that has none left; non-idempotent.
        for (column, (class, other)) in [(0, 3), (3, 2), (2, 3), (2, 2), (1, 3)].into_iter().enumerate() {
            let expected = row.1[1 + column];
            assert_eq!(
                next_step(end, class, other, migrated),
                expected,
                "{end:?}, column {column}, migrated {migrated}"
            );
        }
    }
}

#[test]
fn earlier_attempt_that_may_have_run_prevents_a_retry() {
    // The first attempt may have run. The request is not safe to retry just because the second certainly did not run.
    for (class, retried) in [(0, true), (1, false), (2, false)] {
        let mut scheduler =
            TestScheduler::new(Settings { capacity_probes_allowed: false, ..settings() }, vec![worker(1)]);
        scheduler.send(Event::RequestReceived(request(1, class, scheduler.now)));
        assert_eq!(dispatched(&scheduler.run(0.2)).len(), 1);
        let draining = WorkerInfo { state: WorkerState::Draining, ..worker(1) };
        scheduler.send(Event::WorkersListed {
            complete_snapshot: false,
            from_cache: false,
            entries: vec![worker(3)],
        });
        let mut actions = scheduler.end_attempt(1, 0, AttemptEnd::ResetWhileWaiting.outcome());
        actions.extend(scheduler.run(0.3));
        if class != 1 {
            let to = dispatched(&actions)[0].1;
            let other = if to == 1 { 3 } else { 1 };
            let entries =
                [worker(other), draining.clone(), WorkerInfo { state: WorkerState::Draining, ..worker(3) }];
            scheduler.send(Event::WorkersListed {
                complete_snapshot: false,
                from_cache: false,
                entries: entries[1..].to_vec(),
            });
            scheduler.send(Event::WorkersListed {
                complete_snapshot: false,
                from_cache: false,
                entries: vec![worker(2)],
            });
            scheduler.end_attempt(1, 1, AttemptEnd::ConnectRefused.outcome());
            assert_eq!(!dispatched(&scheduler.run(30.0)).is_empty(), retried, "class {class}");
        } else {
            assert!(dispatched(&actions).is_empty() && dispatched(&scheduler.run(30.0)).is_empty());
        }
    }
}

#[rstest]
#[case::non_idempotent_class(1, 1, AttemptEnd::Failed, true)]
#[case::all_attempts_used(0, 4, AttemptEnd::Failed, false)]
fn request_that_cannot_be_retried_is_answered_immediately(
    #[case] class: usize,
    #[case] attempts: usize,
    #[case] end: AttemptEnd,
    #[case] fails: bool,
) {
    // Waiting for a worker would only delay the same answer, until the deadline if late answers have a weight.
    let mut settings = Settings { capacity_probes_allowed: false, ..settings() };
    settings.classes[class].weight_after_objective = 0.5;
    let mut scheduler = TestScheduler::new(settings, (1..=6).map(worker).collect());
    scheduler.send(Event::RequestReceived(request(1, class, scheduler.now)));
    for attempt in 0..attempts {
        assert_eq!(dispatched(&scheduler.run(1.0)).len(), 1, "attempt {attempt}");
        let actions = scheduler.end_attempt(1, attempt, end.outcome());
        let last = attempt + 1 == attempts;
        assert_eq!((failed(&actions, 1), rejected(&actions, 1)), (last && fails, last && !fails));
    }
}

/// A scheduler whose request 1 of this class was sent to worker 1, which then reported an end that may be this attempt's.
/// Request 2 keeps running there.
fn scheduler_with_uncertain_end(class: usize) -> TestScheduler {
    let mut settings = Settings { capacity_probes_allowed: false, ..settings() };
    for class in &mut settings.classes {
        class.latency_objective_s = 8.0; // a start that is late does not cause a rejection
    }
    let mut scheduler = TestScheduler::new(settings, vec![worker(1)]);
    for id in [2, 1] {
        scheduler.send(Event::RequestReceived(request(id, if id == 1 { class } else { 0 }, scheduler.now)));
        assert_eq!(dispatched(&scheduler.run(0.2)), [(id, 1)]);
    }
    scheduler.send(Event::AttemptStarted { request: RequestId(2), attempt: 0 });
    let actions = scheduler.send(Event::AttemptEndUncertain { request: RequestId(1), attempt: 0 });
    assert!(actions.is_empty(), "the attempt may be running: {actions:?}");
    scheduler
}

/// Advances the clock by 2 s, in which `running` and request 2 report progress every 0.1 s.
fn run_with_progress(scheduler: &mut TestScheduler, running: Option<RequestId>) -> Vec<Action> {
    let mut actions = Vec::new();
    for step in 1..=20 {
        for request in running.into_iter().chain([RequestId(2)]) {
            let fraction = 0.01 * f64::from(step);
            actions.extend(scheduler.send(Event::AttemptProgressed { request, attempt: 0, fraction }));
        }
        actions.extend(scheduler.run(0.1));
    }
    actions
}

/// The worker may hold the request no longer, though it reports on other requests. It must not wait until its deadline,
/// even if the worker repeats the report.
#[rstest]
fn attempt_whose_end_is_uncertain_is_cancelled_if_its_worker_reports_no_progress(
    #[values(0, 3)] class: usize,
    #[values(false, true)] repeats: bool,
) {
    let mut scheduler = scheduler_with_uncertain_end(class);
    let mut actions = Vec::new();
    for step in 1..=20 {
        if repeats {
            scheduler.send(Event::AttemptEndUncertain { request: RequestId(1), attempt: 0 });
        }
        let fraction = 0.01 * f64::from(step);
        scheduler.send(Event::AttemptProgressed { request: RequestId(2), attempt: 0, fraction });
        actions.extend(scheduler.run(0.1));
    }
    assert_eq!(actions, [Action::Cancel { request: RequestId(1), attempt: 0 }]);
    assert_eq!(scheduler.dispatcher.ejected_count(), 0, "the worker is not silent");
}

/// The end was an earlier attempt's: the worker reports progress of the one in flight.
#[rstest]
fn attempt_whose_end_is_uncertain_goes_on_if_its_worker_reports_progress(#[values(0, 1, 3)] class: usize) {
    let mut scheduler = scheduler_with_uncertain_end(class);
    scheduler.send(Event::AttemptStarted { request: RequestId(1), attempt: 0 });
    let actions = run_with_progress(&mut scheduler, Some(RequestId(1)));
    assert!(actions.is_empty(), "{actions:?}");
}

/// A non-idempotent request that may be running is neither sent again nor rejected. It fails when its client stops waiting.
#[test]
fn non_idempotent_request_whose_end_is_uncertain_fails_at_its_deadline() {
    let mut scheduler = scheduler_with_uncertain_end(1);
    let mut actions = run_with_progress(&mut scheduler, None);
    assert!(actions.is_empty(), "{actions:?}");
    actions.extend(scheduler.run(30.0));
    assert!(failed(&actions, 1) && !rejected(&actions, 1) && dispatched(&actions).is_empty(), "{actions:?}");
}
