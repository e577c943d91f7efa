use super::*;

const WINDOW: Duration = Duration::from_secs(40);

fn class(idempotency: Idempotency, deduplication_scope: DeduplicationScope) -> RequestClass {
    RequestClass {
        name: "draw".to_owned(),
        latency_objective_s: 3.0,
        objective_per_work: 0.0,
        deadline_s: 8.0,
        priority_weight: 1.0,
        weight_after_objective: 0.0,
        idempotency,
        deduplication_scope,
        deduplication_window_s: WINDOW.as_secs_f64(),
        required_kind: None,
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

#[test]
fn non_idempotent_request_must_not_run_again() {
    let class = class(Idempotency::NonIdempotent, DeduplicationScope::All);
    let executed = ExecutedRequests::default();
    assert!(!executed.forbid(b"r1", &class, soon()));
    executed.record(ExecutedRequest::of_class(b"r1", &class, Some(Instant::now())).unwrap());
    assert!(executed.forbid(b"r1", &class, soon()));
    assert!(!executed.forbid(b"r2", &class, soon()));
}

#[test]
fn idempotent_request_is_not_recorded() {
    let class = class(Idempotency::Idempotent, DeduplicationScope::All);
    assert_eq!(ExecutedRequest::of_class(b"r1", &class, Some(Instant::now())), None);
    let executed = ExecutedRequests::default();
    executed.record(ExecutedRequest::not_repeatable(b"r1"));
    assert!(!executed.forbid(b"r1", &class, soon()));
}

/// Only where all workers drop a repetition until the deadline of the new request can it not run twice.
#[test]
fn request_with_a_key_may_be_repeated_while_all_workers_drop_the_repetition() {
    let all = class(Idempotency::WithKey, DeduplicationScope::All);
    let executed = ExecutedRequests::default();
    executed.record(ExecutedRequest::of_class(b"r1", &all, Some(Instant::now())).unwrap());
    assert!(!executed.forbid(b"r1", &all, Instant::now() + WINDOW / 2));
    assert!(executed.forbid(b"r1", &all, Instant::now() + WINDOW * 2));
    executed.record(ExecutedRequest::of_class(b"r2", &all, None).unwrap());
    assert!(executed.forbid(b"r2", &all, soon()), "the time of the first attempt is unknown");
    let zone = class(Idempotency::WithKey, DeduplicationScope::Zone);
    executed.record(ExecutedRequest::of_class(b"r3", &zone, Some(Instant::now())).unwrap());
    assert!(executed.forbid(b"r3", &zone, soon()), "a worker of another zone does not know the key");
}

/// Clients choose the IDs, so their number must not grow the table without end.
#[test]
fn oldest_request_is_dropped_at_the_limit() {
    let class = class(Idempotency::NonIdempotent, DeduplicationScope::All);
    let executed = ExecutedRequests::default();
    for id in 0..=MAX_RECORDED {
        executed.record(ExecutedRequest::not_repeatable(id.to_string().as_bytes()));
    }
    assert_eq!(executed.all().len(), MAX_RECORDED);
    assert!(!executed.forbid(b"0", &class, soon()));
    assert!(executed.forbid(b"1", &class, soon()));
}

#[test]
fn records_are_the_same_at_another_process() {
    let class = class(Idempotency::WithKey, DeduplicationScope::All);
    let (here, there) = (ExecutedRequests::default(), ExecutedRequests::default());
    here.record(ExecutedRequest::of_class(b"r1", &class, Some(Instant::now())).unwrap());
    here.record(ExecutedRequest::not_repeatable(b"r2"));
    for request in here.all() {
        there.record(request);
    }
    assert!(!there.forbid(b"r1", &class, soon()));
    assert!(there.forbid(b"r1", &class, Instant::now() + WINDOW * 2));
    assert!(there.forbid(b"r2", &class, soon()));
}
