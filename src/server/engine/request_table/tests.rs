//! Tests of the single final answer of a request and of the lookup by ID and by name.

use std::time::Duration;

use super::*;
use crate::server::engine::attempt_state::AttemptTransition;
use crate::server::engine::late_callbacks::LateCallbacks;
use crate::server::metrics::Gauge;

fn submitted(name: &'static [u8]) -> ClientRequest {
    ClientRequest {
        class: 0,
        tenant: 0,
        deadline: Instant::now() + Duration::from_secs(10),
        slots: 1.0,
        memory: 0.0,
        estimated_work_s: None,
        affinity_key: None,
        payload: RequestPayload {
            name: Bytes::from_static(name),
            target: Bytes::from_static(b"/a"),
            key: None,
            content_type: None,
            body: Bytes::new(),
            held: Default::default(),
        },
        origin: None,
    }
}

fn tracked(name: &'static [u8], active: &Rc<Gauge>) -> TrackedRequest {
    let (reply, _) = oneshot::channel();
    TrackedRequest::new(submitted(name), reply, Gauge::count(active))
}

#[test]
fn client_waits_and_counts_as_active_until_the_first_end_of_its_wait() {
    for (first, second) in
        [(WaitEnd::Answered, WaitEnd::Disconnected), (WaitEnd::Disconnected, WaitEnd::Answered)]
    {
        let active = Rc::new(Gauge::default());
        let mut request = tracked(b"r1", &active);
        assert_eq!((request.is_waiting(), active.get()), (true, 1));
        assert!(request.end_wait(first).is_some());
        assert_eq!((request.is_waiting(), active.get()), (false, 0), "{first:?}");
        assert!(request.end_wait(second).is_none(), "a request has at most one final answer");
    }
}

#[test]
fn never_ran_is_false_with_an_open_attempt_or_one_that_may_have_run() {
    let mut request = tracked(b"r1", &Rc::default());
    assert!(request.never_ran());
    let started = request.start_attempt(WorkerId(1), false);
    assert!(!request.never_ran());
    request.attempts[started.number].advance(AttemptTransition::End(LateCallbacks::None));
    assert!(request.never_ran());
    request.may_have_run = true;
    assert!(!request.never_ran());
}

#[test]
fn name_and_id_are_in_use_until_the_request_is_removed() {
    let (one, two) = (RequestId(1), RequestId(2));
    let (name, other) = (Bytes::from_static(b"r1"), Bytes::from_static(b"r2"));
    let mut table = RequestTable::default();
    table.insert(one, tracked(b"r1", &Rc::default()));
    assert!(table.is_in_use(&name, two) && table.is_in_use(&other, one) && !table.is_in_use(&other, two));
    assert_eq!(table.id_of(&name), Some(one));
    assert!(table.remove(one).is_some() && table.remove(one).is_none());
    assert!(!table.is_in_use(&name, one) && table.is_empty());
}
