//! The table of `docs/endings.md`, cell by cell: how an attempt ended, the kind of class, and what may follow.

mod common;

use chutesaddle::scheduling::*;
use chutesaddle::server::attempt_end::AttemptEnd;
use common::*;
use rstest::rstest;

/// The rows of the table: the name of an end, and what stands in its columns.
fn table() -> Vec<(&'static str, Vec<&'static str>)> {
    let page = include_str!("../docs/endings.md").lines();
    let rows = page.skip_while(|line| !line.starts_with("| end |")).take_while(|line| line.starts_with('|'));
    let cells = |line: &'static str| line.trim_matches('|').split('|').map(str::trim).collect::<Vec<_>>();
    rows.skip(2).map(cells).map(|cells| (cells[0], cells[1..].to_vec())).collect()
}

/// Plays one cell of the table: what follows an attempt of this class at worker 1 that ended so, with worker `other`
/// left. Workers of odd numbers are one cell, so 3 deduplicates together with 1, and 2 does not. `migrated`: the
/// request migrates to another process right after the end.
fn follows(end: AttemptEnd, class: usize, other: u64, migrated: bool) -> &'static str {
    let mut scheduler =
        TestScheduler::new(Settings { capacity_probes_allowed: false, ..settings() }, vec![worker(1)]);
    scheduler.send(Event::RequestReceived(request(1, class, scheduler.now)));
    assert_eq!(dispatched(&scheduler.run(0.2)), [(1, 1)], "the first attempt");
    // From now on another worker takes work, and the first one none.
    let entries = vec![WorkerInfo { state: WorkerState::Draining, ..worker(1) }, worker(other)];
    scheduler.send(Event::WorkersListed {
        complete_snapshot: false,
        from_cache: false,
        entries: entries.clone(),
    });
    let mut actions = scheduler.end_attempt(1, 0, end.outcome());
    if end == AttemptEnd::Completed {
        assert!(dispatched(&scheduler.run(30.0)).is_empty(), "it is over");
        return "served";
    }
    if migrated && !failed(&actions, 1) {
        assert!(dispatched(&actions).is_empty(), "nothing is sent before the next round");
        let record = scheduler.dispatcher.hand_over(RequestId(1)).expect("it is not over");
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
fn each_end_is_followed_by_what_the_table_says(#[values(false, true)] migrated: bool) {
    let table = table();
    assert_eq!(table.len(), AttemptEnd::ALL.len());
    for end in AttemptEnd::ALL {
        let row =
            table.iter().find(|row| row.0 == end.name()).unwrap_or_else(|| panic!("{end:?} has no row"));
        let unrun = end.outcome().proves_not_executed();
        assert_eq!(row.1[0], if unrun { "no" } else { "yes" }, "{end:?}: may it have run");
        // Idempotent, keyed everywhere, keyed in the cell of a worker left, keyed elsewhere, non-idempotent.
        for (column, (class, other)) in [(0, 3), (3, 2), (2, 3), (2, 2), (1, 3)].into_iter().enumerate() {
            let expected = row.1[1 + column];
            assert_eq!(
                follows(end, class, other, migrated),
                expected,
                "{end:?}, column {column}, migrated {migrated}"
            );
        }
    }
}

#[test]
fn earlier_attempt_that_may_have_run_bars_a_retry() {
    // The first attempt may have run; that the second certainly did not changes nothing for the request.
    for (class, again) in [(0, true), (1, false), (2, false)] {
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
        let mut second = scheduler.end_attempt(1, 0, AttemptEnd::ResetWhileWaiting.outcome());
        second.extend(scheduler.run(0.3));
        if class != 1 {
            let to = dispatched(&second)[0].1;
            let other = if to == 1 { 3 } else { 1 };
            let gone =
                [worker(other), draining.clone(), WorkerInfo { state: WorkerState::Draining, ..worker(3) }];
            scheduler.send(Event::WorkersListed {
                complete_snapshot: false,
                from_cache: false,
                entries: gone[1..].to_vec(),
            });
            scheduler.send(Event::WorkersListed {
                complete_snapshot: false,
                from_cache: false,
                entries: vec![worker(2)],
            });
            scheduler.end_attempt(1, 1, AttemptEnd::ConnectRefused.outcome());
            assert_eq!(!dispatched(&scheduler.run(30.0)).is_empty(), again, "class {class}");
        } else {
            assert!(dispatched(&second).is_empty() && dispatched(&scheduler.run(30.0)).is_empty());
        }
    }
}

#[rstest]
#[case::of_a_non_idempotent_class(1, 1, AttemptEnd::Failed, true)]
#[case::that_has_used_all_its_attempts(0, 4, AttemptEnd::Failed, false)]
fn request_that_cannot_be_retried_is_answered_at_once(
    #[case] class: usize,
    #[case] attempts: usize,
    #[case] end: AttemptEnd,
    #[case] fails: bool,
) {
    // Waiting for a worker would only delay the same answer, up to the deadline where late answers have a weight.
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
