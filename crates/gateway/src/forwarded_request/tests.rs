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

fn keyed() -> Idempotency {
    Idempotency::WithKey { key: Bytes::from_static(b"k"), window: Duration::from_secs(40) }
}

#[test]
fn returns_to_scheduler_only_what_cannot_have_run() {
    for stage in [ForwardingStage::Sent, ForwardingStage::Accepted, ForwardingStage::InDoubt] {
        for transition in [
            Transition::LinkDown,
            Transition::PeerRestarted,
            Transition::DeadlineNear,
            Transition::Status(RemoteStatus::OutcomeForgotten),
        ] {
            let decision = request(stage, keyed(), false).apply(transition);
            assert_ne!(decision, Decision::ReturnToScheduler, "{stage:?}");
        }
    }
    for transition in [Transition::LinkDown, Transition::PeerRestarted, Transition::DeadlineNear] {
        assert_eq!(
            request(ForwardingStage::Unsent, keyed(), false).apply(transition),
            Decision::ReturnToScheduler
        );
    }
    assert_eq!(
        request(ForwardingStage::InDoubt, keyed(), false)
            .apply(Transition::Status(RemoteStatus::NeverReceived)),
        Decision::ReturnToScheduler
    );
}

#[test]
fn rejects_what_may_have_run_only_where_a_repeat_is_harmless() {
    let end = |idempotency, shares| {
        request(ForwardingStage::InDoubt, idempotency, shares).apply(Transition::PeerRestarted)
    };
    let answer = |answer| Decision::Answer { answer, outcome_received: false };
    assert_eq!(end(Idempotency::Idempotent, false), answer(ForwardedAnswer::Rejected));
    assert_eq!(end(keyed(), true), answer(ForwardedAnswer::Rejected));
    assert_eq!(end(keyed(), false), answer(ForwardedAnswer::Failed));
    assert_eq!(end(Idempotency::NonIdempotent, true), answer(ForwardedAnswer::Failed));
}
