use std::time::Duration;

use bytes::Bytes;

use super::*;

fn request(stage: ForwardingStage, idempotency: Idempotency, shares_keys: bool) -> ForwardedRequest {
    ForwardedRequest {
        request: Some(LocalRequestId(1)),
        site: SiteId(0),
        link: LinkId(1),
        incarnation: Incarnation(7),
        idempotency,
        key_record: None,
        shares_keys,
        give_up_at: Duration::from_secs(1),
        stage,
    }
}

fn with_key() -> Idempotency {
    Idempotency::WithKey { key: Bytes::from_static(b"k"), window: Duration::from_secs(40) }
}

#[test]
fn returns_to_scheduler_only_requests_that_cannot_have_run() {
    for stage in [ForwardingStage::Sent, ForwardingStage::Accepted, ForwardingStage::InDoubt] {
        for transition in [
            Transition::LinkDown,
            Transition::PeerRestarted,
            Transition::DeadlineNear,
            Transition::Status(RemoteStatus::OutcomeForgotten),
        ] {
            let decision = request(stage, with_key(), false).apply(transition);
            assert_ne!(decision, Decision::ReturnToScheduler, "{stage:?}");
        }
    }
    // The frame of an unsent request may be written at any moment until its link has ended.
    let apply_unsent = |transition| request(ForwardingStage::Unsent, with_key(), false).apply(transition);
    assert_eq!(apply_unsent(Transition::LinkDown), Decision::ReturnToScheduler);
    assert_eq!(apply_unsent(Transition::PeerRestarted), Decision::Wait);
    let failed = Decision::Answer { answer: ForwardedAnswer::Failed, outcome_received: false };
    assert_eq!(apply_unsent(Transition::DeadlineNear), failed);
    assert_eq!(
        request(ForwardingStage::InDoubt, with_key(), false)
            .apply(Transition::Status(RemoteStatus::NeverReceived)),
        Decision::ReturnToScheduler
    );
}

#[test]
fn rejects_requests_that_may_have_run_only_if_a_retry_is_harmless() {
    let answer_after_restart = |idempotency, shares_keys| {
        request(ForwardingStage::InDoubt, idempotency, shares_keys).apply(Transition::PeerRestarted)
    };
    let decision = |answer| Decision::Answer { answer, outcome_received: false };
    assert_eq!(answer_after_restart(Idempotency::Idempotent, false), decision(ForwardedAnswer::Rejected));
    assert_eq!(answer_after_restart(with_key(), true), decision(ForwardedAnswer::Rejected));
    assert_eq!(answer_after_restart(with_key(), false), decision(ForwardedAnswer::Failed));
    assert_eq!(answer_after_restart(Idempotency::NonIdempotent, true), decision(ForwardedAnswer::Failed));
}
