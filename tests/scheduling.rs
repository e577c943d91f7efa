//! The decision module alone: a test for each rule and for each failure found.

mod common;

use chutesaddle::scheduling::*;
use common::*;

fn fleet(n: u64) -> Vec<WorkerInfo> {
    (1..=n).map(worker).collect()
}

#[test]
fn a_job_is_routed_in_the_next_round_and_not_before() {
    let mut b = Bench::new(settings(), fleet(3));
    assert!(routes(&b.send(Event::RequestReceived(request(1, 0, 100.0)))).is_empty());
    assert_eq!(routes(&b.run(0.1)).len(), 1);
}

#[test]
fn rule_1_every_request_ends_before_its_deadline() {
    for class in 0..4 {
        let mut b = Bench::new(settings(), fleet(1));
        b.send(Event::RequestReceived(request(1, class, 100.0)));
        assert_eq!(routes(&b.run(0.2)).len(), 1);
        let actions = b.run(9.8);
        assert!(refused(&actions, 1) || failed(&actions, 1), "class {class}");
    }
}

#[test]
fn rule_1_holds_with_an_empty_list() {
    let mut b = Bench::new(settings(), Vec::new());
    b.send(Event::RequestReceived(request(1, 1, 100.0)));
    let actions = b.run(9.999);
    assert!(refused(&actions, 1));
    assert!(b.run(5.0).is_empty(), "nothing follows the final answer");
}

#[test]
fn rule_2_once_is_neither_repeated_nor_refused_after_it_may_have_run() {
    for outcome in [
        AttemptOutcome::Failed,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::Cancelled,
    ] {
        let mut b = Bench::new(settings(), fleet(4));
        b.send(Event::RequestReceived(request(1, 1, 100.0)));
        assert_eq!(routes(&b.run(0.1)).len(), 1);
        let mut actions = b.end(1, 0, outcome);
        actions.extend(b.run(12.0));
        assert!(routes(&actions).is_empty() && !refused(&actions, 1) && failed(&actions, 1), "{outcome:?}");
    }
}

#[test]
fn rule_2_once_is_sent_again_when_it_certainly_never_ran() {
    let mut b = Bench::new(settings(), fleet(4));
    b.send(Event::RequestReceived(request(1, 1, 100.0)));
    b.run(0.1);
    let mut actions = b.end(1, 0, AttemptOutcome::ConnectFailed);
    actions.extend(b.run(0.2));
    assert_eq!(routes(&actions).len(), 1);
}

#[test]
fn rule_2_keyed_stays_in_its_cell_and_window() {
    let mut b = Bench::new(settings(), fleet(6));
    b.send(Event::RequestReceived(request(1, 2, 100.0)));
    let first = routes(&b.run(0.1))[0].1;
    let mut actions = b.end(1, 0, AttemptOutcome::Failed);
    actions.extend(b.run(0.2));
    let again = routes(&actions);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1 % 2, first % 2, "another cell does not know the key");

    let mut s = settings();
    s.classes[2].latency_objective_s = 9.0; // worth holding for longer than the window
    let mut b = Bench::new(s, fleet(6));
    b.send(Event::RequestReceived(request(1, 2, 100.0)));
    b.run(0.1);
    b.run(5.5);
    let mut actions = b.end(1, 0, AttemptOutcome::Failed);
    actions.extend(b.run(4.395));
    assert!(routes(&actions).is_empty(), "the window has passed");
    assert!(failed(&actions, 1) && !refused(&actions, 1));
}

#[test]
fn rule_2_no_second_copy_where_none_is_allowed() {
    let mut b = Bench::new(settings(), fleet(4));
    b.send(Event::RequestReceived(request(1, 0, 100.0)));
    assert_eq!(routes(&b.run(0.1)).len(), 1);
    assert!(routes(&b.run(8.0)).is_empty(), "the first attempt has no outcome yet");
}

#[test]
fn rule_3_nothing_goes_to_a_draining_or_absent_worker() {
    let mut b = Bench::new(settings(), fleet(2));
    let mut draining = worker(1);
    draining.state = WorkerState::Draining;
    b.send(Event::WorkersListed { complete_snapshot: false, from_cache: false, entries: vec![draining] });
    b.send(Event::WorkersListed { complete_snapshot: false, from_cache: false, entries: vec![worker(3)] });
    for id in 0..3 {
        b.send(Event::RequestReceived(request(id, 0, b.now)));
    }
    let to: Vec<u64> = routes(&b.run(0.5)).iter().map(|r| r.1).collect();
    assert!(!to.is_empty() && !to.contains(&1));
    b.send(Event::WorkersListed { complete_snapshot: true, from_cache: false, entries: vec![worker(3)] });
    b.send(Event::RequestReceived(request(9, 0, b.now)));
    assert!(!routes(&b.run(0.5)).iter().any(|r| r.1 == 2), "absent from a whole list");
}

#[test]
fn rule_4_a_cold_worker_gets_no_more_than_this_dispatchers_part_of_its_budget() {
    let mut s = settings();
    s.scheduler_count = 2;
    let mut cold = worker(1);
    cold.started_at_s = 99.9;
    let mut b = Bench::new(s, vec![cold]);
    let mut sent = 0.0;
    for id in 0..40 {
        b.send(Event::RequestReceived(request(id, 0, b.now)));
        for (id, _) in routes(&b.run(0.02)) {
            sent += 0.3;
            b.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 });
            b.send(Event::ClientDisconnected(RequestId(id)));
            b.end(id, 0, AttemptOutcome::Cancelled);
        }
    }
    // Three times a fifth of two slots, for one second, for one of two dispatchers.
    assert!(sent <= 3.0 * 0.25 * 2.0 / 2.0, "sent {sent} s of work in less than a second");
}

/// How many of these jobs are sent, each given up as soon as it has started: they come one every `gap` seconds.
fn sent_and_cancelled(b: &mut Bench, ids: std::ops::Range<u32>, gap: f64) -> usize {
    let mut sent = 0;
    for id in ids {
        b.send(Event::RequestReceived(request(id, 0, b.now)));
        for (id, _) in routes(&b.run(gap)) {
            sent += 1;
            b.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 });
            b.send(Event::ClientDisconnected(RequestId(id)));
            b.end(id, 0, AttemptOutcome::Cancelled);
        }
    }
    sent
}

#[test]
fn rule_4_a_window_just_after_a_start_gets_what_the_worker_can_do_then() {
    // Found in incident ib76876: seven dispatchers used their whole budgets, reckoned with the capacity
    // at the end of a window and too small a margin, and pushed a worker over together. A job counts for the
    // usual work of its class at the least, which takes the place of a flat margin.
    let cold = WorkerInfo { started_at_s: 99.1, ..worker(1) };
    let mut b = Bench::new(settings(), vec![cold]);
    let sent = sent_and_cancelled(&mut b, 0..10, 0.035);
    assert!((1..=4).contains(&sent), "{sent} jobs of 0.3 s against 3 x 0.2 x 2 slots x 1 s");
}

#[test]
fn rule_4_a_cold_workers_run_does_not_raise_the_budget() {
    // Found by the property test: a run on a cold worker, set against its supposed capacity, made all
    // workers of the kind seem several times as fast.
    let sent_cold = |taught: bool| {
        let cold = |n, since| WorkerInfo { started_at_s: since, ..worker(n) };
        let mut b = Bench::new(settings(), vec![cold(1, 99.0)]);
        for id in 0..3 {
            b.send(Event::RequestReceived(request(id, 0, b.now)));
            b.run(0.1);
            b.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 });
            b.run(0.3);
            b.end(id, 0, if taught { AttemptOutcome::Succeeded } else { AttemptOutcome::Cancelled });
            b.send(Event::ClientDisconnected(RequestId(id)));
        }
        b.send(Event::WorkersListed {
            complete_snapshot: true,
            from_cache: false,
            entries: vec![cold(2, b.now)],
        });
        sent_and_cancelled(&mut b, 10..50, 0.02)
    };
    assert!(sent_cold(true) <= sent_cold(false), "{} against {}", sent_cold(true), sent_cold(false));
}

#[test]
fn a_silent_worker_becomes_suspect_and_its_safe_job_moves() {
    let mut b = Bench::new(settings(), fleet(3));
    b.send(Event::RequestReceived(request(1, 0, 100.0)));
    let first = routes(&b.run(0.1))[0].1;
    let actions = b.run(1.5);
    assert!(actions.contains(&Action::Cancel { request: RequestId(1), attempt: 0 }));
    assert!(actions.contains(&Action::Probe(WorkerId(first))), "a suspect is probed before it is tried");
    b.send(Event::RequestReceived(request(2, 1, b.now)));
    assert!(routes(&b.run(0.2)).iter().all(|r| r.1 != first), "no unsafe work on a suspect");
}

/// One connection may break on a sound worker; two with nothing heard between are a sign.
#[test]
fn a_single_broken_connection_does_not_eject_a_worker() {
    let mut b = Bench::new(settings(), fleet(1));
    let next = |b: &mut Bench, id| {
        b.send(Event::RequestReceived(request(id, 0, b.now)));
        routes(&b.run(0.1))
    };
    assert_eq!(next(&mut b, 1).len(), 1);
    b.end(1, 0, AttemptOutcome::StaleConnection);
    assert_eq!(routes(&b.run(0.1)).len(), 1, "a connection that was gone is none at all");
    b.end(1, 1, AttemptOutcome::ConnectionReset);
    assert_eq!(routes(&b.run(0.1)).len(), 1, "nor is one that broke");
    b.end(1, 2, AttemptOutcome::ConnectionReset);
    assert_eq!(routes(&b.run(0.1)).len(), 0, "two are");
}

#[test]
fn a_shared_slowdown_does_not_eject_the_fleet() {
    let mut b = Bench::new(settings(), fleet(3));
    for id in 0..3 {
        b.send(Event::RequestReceived(request(id, 0, b.now)));
    }
    assert_eq!(routes(&b.run(0.1)).len(), 3);
    b.run(2.0); // every worker is late with its start
    b.send(Event::RequestReceived(request(10, 1, b.now)));
    assert_eq!(routes(&b.run(0.3)).len(), 1, "if most look suspect, the verdict is doubted");
}

#[test]
fn work_stuck_on_a_suspect_does_not_use_up_the_allowance() {
    // Found on the till deployment's hang day: unanswered jobs kept everything else waiting.
    let mut s = settings();
    s.scheduler_count = 3;
    let mut b = Bench::new(s, fleet(6));
    for id in 0..2 {
        b.send(Event::RequestReceived(request(id, 1, b.now)));
    }
    assert_eq!(routes(&b.run(0.1)).len(), 2);
    b.run(2.0);
    for id in 10..16 {
        b.send(Event::RequestReceived(request(id, 1, b.now)));
    }
    // Twice a third of the eight slots still trusted; what is stuck does not count.
    assert_eq!(routes(&b.run(0.1)).len(), 4);
}

#[test]
fn what_waits_on_a_live_worker_is_left_there() {
    // Found in incident iff28f2: copies of jobs that waited on crowded workers added to the crowd.
    let mut b = Bench::new(settings(), fleet(2));
    for id in 0..4 {
        b.send(Event::RequestReceived(request(id, 0, b.now)));
    }
    let sent = routes(&b.run(0.05));
    assert_eq!(sent.len(), 4);
    let start = |b: &mut Bench, id| b.send(Event::AttemptStarted { request: RequestId(id), attempt: 0 });
    let other = sent.iter().rfind(|r| r.1 == sent[0].1).expect("two each").0;
    for (id, _) in sent.iter().filter(|r| r.1 != sent[0].1) {
        start(&mut b, *id);
        b.end(*id, 0, AttemptOutcome::Succeeded); // somebody else could take it
    }
    b.run(0.15);
    start(&mut b, sent[0].0);
    let actions = b.run(0.2);
    let left = Action::Cancel { request: RequestId(other), attempt: 0 };
    assert!(other != sent[0].0 && !actions.contains(&left));
    assert!(b.run(2.0).contains(&left), "silence since then is another matter");
}

#[test]
fn late_jobs_do_not_overtake_fresh_ones() {
    // Found in north's bursts: aging without end put jobs past their aim before worthier ones.
    let mut s = settings();
    s.classes[0].weight_after_objective = 0.2;
    let mut b = Bench::new(s, Vec::new());
    b.send(Event::RequestReceived(request(1, 0, 100.0)));
    b.run(8.0);
    for id in 2..5 {
        b.send(Event::RequestReceived(request(id, 0, b.now)));
    }
    b.send(Event::WorkersListed { complete_snapshot: false, from_cache: false, entries: vec![worker(1)] });
    let first: Vec<u32> = routes(&b.run(0.05)).iter().map(|r| r.0).collect();
    assert!(first.len() >= 2 && first[..2] == [2, 3], "{first:?}");
}

#[test]
fn many_dispatchers_leave_each_other_room() {
    // Found in incident ib49b8f: ten dispatchers each filled every worker's queue.
    let count = |dispatchers| {
        let mut s = settings();
        s.scheduler_count = dispatchers;
        let mut b = Bench::new(s, fleet(10));
        for id in 0..40 {
            b.send(Event::RequestReceived(request(id, 0, b.now)));
        }
        routes(&b.run(0.05)).len()
    };
    assert!(count(10) <= 4, "twice a tenth of twenty slots");
    assert!(count(1) >= 15);
}

#[test]
fn overload_refuses_the_least_worth_first_and_before_the_aim() {
    let mut s = settings();
    s.classes[3].priority_weight = 8.0;
    s.classes[3].idempotency = Idempotency::Idempotent;
    let mut b = Bench::new(s, fleet(1));
    for id in 0..40 {
        b.send(Event::RequestReceived(request(id, if id % 2 == 0 { 0 } else { 3 }, b.now)));
    }
    let actions = b.run(0.5);
    let cheap = (0..40).step_by(2).filter(|&id| refused(&actions, id)).count();
    let dear = (1..40).step_by(2).filter(|&id| refused(&actions, id)).count();
    assert!(cheap >= 15 && cheap > dear, "{cheap} cheap, {dear} dear refused");
}

#[test]
fn traffic_over_a_quota_comes_last() {
    let mut s = settings();
    s.tenants = vec![
        Tenant { name: String::new(), quota_per_s: 3.0 },
        Tenant { name: String::new(), quota_per_s: 2.9 },
    ];
    let mut b = Bench::new(s, fleet(1));
    for id in 100..111 {
        b.send(Event::RequestReceived(request(id, 0, b.now)));
        b.send(Event::ClientDisconnected(RequestId(id)));
    }
    for id in 10..16 {
        b.send(Event::RequestReceived(request(id, 0, b.now)));
    }
    b.send(Event::RequestReceived(Request { tenant: 1, ..request(50, 0, b.now) }));
    let first: Vec<u32> = routes(&b.run(0.05)).iter().map(|r| r.0).collect();
    assert!(first.contains(&50), "{first:?}");
}

#[test]
fn list_calls_back_off_and_stay_within_the_limit() {
    let mut s = settings();
    s.discovery_polled = true;
    let mut out = Vec::new();
    let mut d = chutesaddle::Dispatcher::new(s, 7);
    d.handle(
        1.0,
        Event::WorkersListed { complete_snapshot: true, from_cache: true, entries: fleet(2) },
        &mut out,
    );
    assert!(out.contains(&Action::WatchEndpointList));
    let mut waits = Vec::new();
    for _ in 0..12 {
        out.clear();
        d.handle(1.0, Event::DiscoveryFailed, &mut out);
        let Some(Action::SetTimer { after_s, tag }) = out.pop() else {
            panic!("a failed call is asked again")
        };
        waits.push(after_s);
        d.handle(1.0, Event::TimerExpired(tag), &mut out);
        assert_eq!(out, [Action::WatchEndpointList]);
    }
    assert!(waits[0] < 1.0 && waits[0] < waits[3]);
    assert!(waits.iter().all(|w| *w < 10.0), "{waits:?}");
}

#[test]
fn impossible_calls_change_nothing() {
    let mut b = Bench::new(settings(), fleet(2));
    assert!(refused(&b.send(Event::RequestReceived(request(1, 99, 100.0))), 1));
    b.send(Event::RequestReceived(Request { tenant: 77, ..request(2, 0, 100.0) }));
    let mut out = Vec::new();
    b.d.handle(f64::NAN, Event::TimerExpired(12345), &mut out);
    b.d.handle(f64::NEG_INFINITY, Event::ClientDisconnected(RequestId(404)), &mut out);
    assert!(out.is_empty());
    b.end(404, 3, AttemptOutcome::Succeeded);
    let sent = routes(&b.run(0.2));
    assert_eq!((sent.len(), sent[0].0), (1, 2), "the good request is unharmed");
}

/// A worker that fails fast is always free: without memory, a job could spend all its attempts there.
#[test]
fn a_job_goes_elsewhere_after_it_failed_at_a_worker() {
    let mut b = Bench::new(Settings { capacity_probes_allowed: false, ..settings() }, fleet(3));
    b.send(Event::RequestReceived(request(1, 0, 100.0)));
    let mut tried = vec![routes(&b.run(0.1))[0].1];
    for attempt in 0..2 {
        let mut actions = b.end(1, attempt, AttemptOutcome::Failed);
        actions.extend(b.run(0.2));
        tried.push(routes(&actions)[0].1);
    }
    tried.sort();
    assert_eq!(tried, [1, 2, 3]);
}

/// Where there is no other, it may go there again.
#[test]
fn a_job_goes_back_where_there_is_no_other_worker() {
    let mut b = Bench::new(Settings { capacity_probes_allowed: false, ..settings() }, fleet(1));
    b.send(Event::RequestReceived(request(1, 0, 100.0)));
    b.run(0.1);
    let mut actions = b.end(1, 0, AttemptOutcome::Failed);
    actions.extend(b.run(0.2));
    assert_eq!(routes(&actions), [(1, 1)]);
}

#[test]
fn rule_4_a_cold_worker_gets_more_or_less_by_its_own_runs() {
    // Large fleet, new workers: most were at half their speed within five seconds, where the least curve that the
    // rule promises has a fifth, and stayed half empty. Another, slower than that curve, gets less at once.
    let sent_after = |took: f64| {
        let mut b = Bench::new(settings(), vec![WorkerInfo { started_at_s: 99.9, ..worker(1) }]);
        b.send(Event::RequestReceived(request(1, 0, b.now)));
        assert_eq!(routes(&b.run(0.1)), [(1, 1)]);
        b.send(Event::AttemptStarted { request: RequestId(1), attempt: 0 });
        b.run(took);
        b.end(1, 0, AttemptOutcome::Succeeded);
        b.run(4.9 - took);
        sent_and_cancelled(&mut b, 10..50, 0.02)
    };
    let (fast, usual, slow) = (sent_after(0.3), sent_after(1.3), sent_after(4.5));
    assert!(fast > usual && usual > slow, "{fast}, {usual}, {slow}");
}

#[rstest::rstest]
#[case::time_for_a_late_connection(0.6, 1)]
#[case::a_connection_might_come_up_after_the_window(0.9, 0)]
fn a_repeat_arrives_within_its_window_though_its_connection_comes_up_late(
    #[case] after: f64,
    #[case] sends: usize,
) {
    // A window of 1.2 s and connections that take up to 0.4 s: nine tenths of the window left 0.12 s.
    let mut s = Settings { connect_timeout_s: 0.4, ..settings() };
    s.classes[3].deduplication_window_s = 1.2;
    let mut b = Bench::new(s, vec![worker(1), worker(2)]);
    b.send(Event::RequestReceived(request(1, 3, b.now)));
    assert_eq!(routes(&b.run(0.1)).len(), 1);
    b.send(Event::AttemptStarted { request: RequestId(1), attempt: 0 });
    b.run(after - 0.1);
    let mut actions = b.end(1, 0, AttemptOutcome::ConnectionReset);
    actions.extend(b.run(0.1));
    assert_eq!(routes(&actions).len(), sends);
}
