//! The sender's state machine for one forwarded request.
//!
//! Only [`ForwardedRequest::apply`] changes the stage, so late or unexpected messages cannot cause
//! transitions other than these:
//!
//! | transition | unsent | sent | accepted | in doubt |
//! | --- | --- | --- | --- | --- |
//! | written | sent | – | – | – |
//! | accepted | accepted | accepted | – | – |
//! | link down | to scheduler | in doubt | in doubt | in doubt |
//! | status received | – | – | – | accepted |
//! | peer restarted | – | by idempotency | by idempotency | by idempotency |
//! | deadline near | by idempotency | by idempotency | by idempotency | by idempotency |
//! | outcome forgotten | by idempotency | by idempotency | by idempotency | by idempotency |
//! | returned, status never received | to scheduler | to scheduler | to scheduler | to scheduler |
//! | ended | answered | answered | answered | answered |
//!
//! Of an unsent request only the end of its link shows that it never will be sent; until then its frame is queued and may
//! be written at any moment.
//!
//! *To scheduler*: the request never ran, and the local scheduler continues with it. *By idempotency*: the
//! request may have run; the answer is "rejected" if a retry is harmless, otherwise "failed". *Answered*: the
//! outcome decides whether the client gets the result or a failure, or one of the other two applies.
//!
//! `gateway/outbound` carries out the resulting [`Decision`].

use crate::idempotency_store::RecordNumber;
use crate::{
    ForwardedAnswer, Idempotency, Incarnation, LinkId, LocalRequestId, Outcome, RemoteStatus, SiteId, Time,
};

/// The progress of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardingStage {
    /// The frame is queued or partly written, so the request has not run anywhere.
    Unsent,
    /// The last byte is written, so the request may run.
    Sent,
    /// The peer has accepted the request.
    Accepted,
    /// The link has ended and the request may have run. Its status is queried on the next link.
    InDoubt,
}

/// An event that concerns a forwarded request.
#[derive(Debug)]
pub(crate) enum Transition {
    Written,
    Accepted,
    Returned,
    Ended(Outcome),
    Status(RemoteStatus),
    LinkDown,
    /// The peer's process has a new incarnation, which knows no earlier requests.
    PeerRestarted,
    DeadlineNear,
}

/// The result of a transition.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The request stays open.
    Wait,
    /// The request never ran.
    ReturnToScheduler,
    /// The client gets its final answer.
    Answer {
        answer: ForwardedAnswer,
        /// The peer sent the outcome and waits for an acknowledgement.
        outcome_received: bool,
    },
}

/// An open forwarded request.
#[derive(Debug)]
pub(crate) struct ForwardedRequest {
    /// `None` once the client has disconnected.
    pub(crate) request: Option<LocalRequestId>,
    pub(crate) site: SiteId,
    pub(crate) link: LinkId,
    pub(crate) incarnation: Incarnation,
    pub(crate) idempotency: Idempotency,
    /// The record that binds the idempotency key to the site.
    pub(crate) key_record: Option<RecordNumber>,
    /// Whether the workers of both sites deduplicate requests by idempotency key across the two sites.
    pub(crate) shares_keys: bool,
    pub(crate) give_up_at: Time,
    pub(crate) stage: ForwardingStage,
}

impl ForwardedRequest {
    /// Applies a transition to the stage and returns the decision.
    pub(crate) fn apply(&mut self, transition: Transition) -> Decision {
        match transition {
            Transition::Written => match self.stage {
                ForwardingStage::Unsent => self.enter(ForwardingStage::Sent),
                ForwardingStage::Sent | ForwardingStage::Accepted | ForwardingStage::InDoubt => {
                    Decision::Wait
                }
            },
            Transition::Accepted => match self.stage {
                // Another task reports `Written`, so `Accepted` may arrive first.
                ForwardingStage::Unsent | ForwardingStage::Sent => self.enter(ForwardingStage::Accepted),
                ForwardingStage::Accepted | ForwardingStage::InDoubt => Decision::Wait,
            },
            Transition::Returned => Decision::ReturnToScheduler,
            Transition::Ended(outcome) => self.apply_outcome(outcome),
            Transition::Status(status) => self.apply_status(status),
            Transition::LinkDown => match self.stage {
                ForwardingStage::Unsent => Decision::ReturnToScheduler,
                ForwardingStage::Sent | ForwardingStage::Accepted | ForwardingStage::InDoubt => {
                    self.enter(ForwardingStage::InDoubt)
                }
            },
            Transition::PeerRestarted => match self.stage {
                // The end of the link to the earlier process follows.
                ForwardingStage::Unsent => Decision::Wait,
                ForwardingStage::Sent | ForwardingStage::Accepted | ForwardingStage::InDoubt => {
                    self.answer_by_idempotency(false)
                }
            },
            Transition::DeadlineNear => self.answer_by_idempotency(false),
        }
    }

    fn enter(&mut self, stage: ForwardingStage) -> Decision {
        self.stage = stage;
        Decision::Wait
    }

    fn apply_status(&mut self, status: RemoteStatus) -> Decision {
        match status {
            RemoteStatus::NeverReceived => Decision::ReturnToScheduler,
            RemoteStatus::OutcomeForgotten => self.answer_by_idempotency(false),
            RemoteStatus::Received => match self.stage {
                ForwardingStage::InDoubt => self.enter(ForwardingStage::Accepted),
                ForwardingStage::Unsent | ForwardingStage::Sent | ForwardingStage::Accepted => Decision::Wait,
            },
        }
    }

    fn apply_outcome(&self, outcome: Outcome) -> Decision {
        match outcome {
            Outcome::Unstarted => Decision::ReturnToScheduler,
            Outcome::Served(result) => {
                Decision::Answer { answer: ForwardedAnswer::Served(result), outcome_received: true }
            }
            Outcome::Rejected => self.answer_by_idempotency(true),
            Outcome::Failed => Decision::Answer { answer: ForwardedAnswer::Failed, outcome_received: true },
        }
    }

    /// Returns the answer to a request that may have run and whose result will not arrive. The client may be
    /// told to retry only if running the request again is harmless at every site.
    fn answer_by_idempotency(&self, outcome_received: bool) -> Decision {
        let retry_is_harmless = match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { .. } => self.shares_keys,
            Idempotency::NonIdempotent => false,
        };
        let answer = if retry_is_harmless { ForwardedAnswer::Rejected } else { ForwardedAnswer::Failed };
        Decision::Answer { answer, outcome_received }
    }
}

#[cfg(test)]
mod tests;
