//! Tests of the forwarding state of a request.

use super::*;

fn rejected_on_return() -> OnReturn {
    OnReturn::Reject { retry_after_s: 2.0 }
}

#[test]
fn offered_request_is_rejected_when_returned() {
    let mut state = ForwardingState::Local;
    assert!(state.advance(ForwardingTransition::Offered { retry_after_s: 1.0 }).is_none());
    assert!(state.is_outbound());
    let returned = state.advance(ForwardingTransition::Returned);
    assert!(matches!(returned, Some(OnReturn::Reject { retry_after_s: 1.0 })), "{returned:?}");
    assert!(state.advance(ForwardingTransition::Returned).is_none(), "a request is returned at most once");
}

#[test]
fn returned_request_is_not_forwarded_again() {
    let mut state = ForwardingState::Local;
    state.advance(ForwardingTransition::Forwarded(rejected_on_return()));
    state.advance(ForwardingTransition::Returned);
    state.advance(ForwardingTransition::Forwarded(rejected_on_return()));
    assert!(!state.is_local() && !state.is_outbound());
}

#[test]
fn offered_request_that_is_not_forwarded_is_not_offered_again() {
    let mut state = ForwardingState::Local;
    state.advance(ForwardingTransition::Offered { retry_after_s: 1.0 });
    state.advance(ForwardingTransition::KeptLocal);
    assert!(!state.is_local() && !state.is_outbound() && !state.depends_on_site_link());
}

#[test]
fn waiting_request_that_is_not_forwarded_stays_local() {
    let mut state = ForwardingState::Local;
    state.advance(ForwardingTransition::KeptLocal);
    assert!(state.is_local());
}

#[test]
fn request_from_another_site_stays_inbound() {
    let mut state = ForwardingState::Inbound;
    for transition in [
        ForwardingTransition::Offered { retry_after_s: 1.0 },
        ForwardingTransition::KeptLocal,
        ForwardingTransition::Forwarded(rejected_on_return()),
        ForwardingTransition::Returned,
    ] {
        assert!(state.advance(transition).is_none());
        assert!(state.is_inbound() && state.depends_on_site_link());
    }
}
