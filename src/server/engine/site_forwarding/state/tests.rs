//! The states of a request between this site and others.

use super::*;

fn rejected_on_return() -> OnReturn {
    OnReturn::Reject { retry_after_s: 2.0 }
}

#[test]
fn offered_request_is_rejected_when_it_comes_back() {
    let mut state = ForwardingState::Local;
    assert!(state.change(ForwardingChange::Offered { retry_after_s: 1.0 }).is_none());
    assert!(state.is_outbound());
    let returned = state.change(ForwardingChange::Returned);
    assert!(matches!(returned, Some(OnReturn::Reject { retry_after_s: 1.0 })), "{returned:?}");
    assert!(state.change(ForwardingChange::Returned).is_none(), "it comes back once");
}

#[test]
fn request_that_came_back_is_not_forwarded_again() {
    let mut state = ForwardingState::Local;
    state.change(ForwardingChange::Forwarded(rejected_on_return()));
    state.change(ForwardingChange::Returned);
    state.change(ForwardingChange::Forwarded(rejected_on_return()));
    assert!(!state.is_local() && !state.is_outbound());
}

#[test]
fn offered_request_that_is_not_forwarded_is_not_offered_again() {
    let mut state = ForwardingState::Local;
    state.change(ForwardingChange::Offered { retry_after_s: 1.0 });
    state.change(ForwardingChange::Kept);
    assert!(!state.is_local() && !state.is_outbound() && !state.ends_with_this_process());
}

#[test]
fn waiting_request_that_is_not_forwarded_stays_a_local_one() {
    let mut state = ForwardingState::Local;
    state.change(ForwardingChange::Kept);
    assert!(state.is_local());
}

#[test]
fn request_of_another_site_stays_one() {
    let mut state = ForwardingState::Inbound;
    for change in [
        ForwardingChange::Offered { retry_after_s: 1.0 },
        ForwardingChange::Kept,
        ForwardingChange::Forwarded(rejected_on_return()),
        ForwardingChange::Returned,
    ] {
        assert!(state.change(change).is_none());
        assert!(state.is_inbound() && state.ends_with_this_process());
    }
}
