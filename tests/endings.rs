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

/// Plays one cell; cells of workers go by odd and even numbers, so 3 is in the group of 1 and 2 is not: what follows an attempt of this class at worker 1 that ended so. `moved`: the request goes
/// over to another process right after.
fn follows(end: AttemptEnd, class: usize, other: u64, moved: bool) -> &'static str {
    let mut b = Bench::new(Settings { capacity_probes_allowed: false, ..settings() }, vec![worker(1)]);
    b.send(Event::RequestReceived(request(1, class, b.now)));
    assert_eq!(routes(&b.run(0.2)), [(1, 1)], "the first attempt");
    // From now on another worker takes work, and the first one none.
    let entries = vec![WorkerInfo { state: WorkerState::Draining, ..worker(1) }, worker(other)];
    b.send(Event::WorkersListed { complete_snapshot: false, from_cache: false, entries: entries.clone() });
    let mut actions = b.end(1, 0, end.outcome());
    if end == AttemptEnd::Completed {
        assert!(routes(&b.run(30.0)).is_empty(), "it is over");
        return "served";
    }
    if moved && !failed(&actions, 1) {
        assert!(routes(&actions).is_empty(), "nothing is sent before the next round");
        let record = b.d.hand_over(RequestId(1)).expect("it is not over");
        let now = b.now;
        b = Bench::new(Settings { capacity_probes_allowed: false, ..settings() }, entries);
        b.now = now;
        actions = b.send(Event::RequestTakenOver(Box::new(record)));
    }
    actions.extend(b.run(30.0));
    match (routes(&actions).as_slice(), failed(&actions, 1), refused(&actions, 1)) {
        ([_, ..], ..) => "again",
        ([], true, false) => "failed",
        ([], false, true) => "refused",
        _ => "nothing, or two answers",
    }
}

#[rstest]
fn what_follows_each_end(#[values(false, true)] moved: bool) {
    let table = table();
    assert_eq!(table.len(), AttemptEnd::ALL.len());
    for end in AttemptEnd::ALL {
        let row =
            table.iter().find(|row| row.0 == end.name()).unwrap_or_else(|| panic!("{end:?} has no row"));
        let unrun = end.outcome().proves_not_executed();
        assert_eq!(row.1[0], if unrun { "no" } else { "yes" }, "{end:?}: may it have run");
        // Repeatable, keyed everywhere, keyed in the group of a worker left, keyed elsewhere, once.
        for (column, (class, other)) in [(0, 3), (3, 2), (2, 3), (2, 2), (1, 3)].into_iter().enumerate() {
            let expected = row.1[1 + column];
            assert_eq!(
                follows(end, class, other, moved),
                expected,
                "{end:?}, column {column}, moved {moved}"
            );
        }
    }
}

#[test]
fn an_earlier_attempt_that_may_have_run_decides() {
    // The first attempt may have run; that the second surely did not changes nothing for the request.
    for (class, again) in [(0, true), (1, false), (2, false)] {
        let mut b = Bench::new(Settings { capacity_probes_allowed: false, ..settings() }, vec![worker(1)]);
        b.send(Event::RequestReceived(request(1, class, b.now)));
        assert_eq!(routes(&b.run(0.2)).len(), 1);
        let draining = WorkerInfo { state: WorkerState::Draining, ..worker(1) };
        b.send(Event::WorkersListed {
            complete_snapshot: false,
            from_cache: false,
            entries: vec![worker(3)],
        });
        let mut second = b.end(1, 0, AttemptEnd::ResetWhileWaiting.outcome());
        second.extend(b.run(0.3));
        if class != 1 {
            let to = routes(&second)[0].1;
            let other = if to == 1 { 3 } else { 1 };
            let gone =
                [worker(other), draining.clone(), WorkerInfo { state: WorkerState::Draining, ..worker(3) }];
            b.send(Event::WorkersListed {
                complete_snapshot: false,
                from_cache: false,
                entries: gone[1..].to_vec(),
            });
            b.send(Event::WorkersListed {
                complete_snapshot: false,
                from_cache: false,
                entries: vec![worker(2)],
            });
            b.end(1, 1, AttemptEnd::ConnectRefused.outcome());
            assert_eq!(!routes(&b.run(30.0)).is_empty(), again, "class {class}");
        } else {
            assert!(routes(&second).is_empty() && routes(&b.run(30.0)).is_empty());
        }
    }
}

#[rstest]
#[case::that_must_run_once(1, 1, AttemptEnd::Failed, true)]
#[case::that_has_had_all_its_attempts(0, 4, AttemptEnd::Failed, false)]
fn a_request_for_which_nothing_can_be_done_is_answered_at_once(
    #[case] class: usize,
    #[case] attempts: usize,
    #[case] end: AttemptEnd,
    #[case] fails: bool,
) {
    // Held for a worker that it could not be sent to, it was answered after its aim; where late answers have a
    // worth, at its deadline.
    let mut s = Settings { capacity_probes_allowed: false, ..settings() };
    s.classes[class].weight_after_objective = 0.5;
    let mut b = Bench::new(s, (1..=6).map(worker).collect());
    b.send(Event::RequestReceived(request(1, class, b.now)));
    for attempt in 0..attempts {
        assert_eq!(routes(&b.run(1.0)).len(), 1, "attempt {attempt}");
        let actions = b.end(1, attempt, end.outcome());
        let last = attempt + 1 == attempts;
        assert_eq!((failed(&actions, 1), refused(&actions, 1)), (last && fails, last && !fails));
    }
}
