//! The stages of one forwarded request, as its sender knows them.
//!
//! [`ForwardedRequest::apply`] is the only function that changes the stage, so that nothing that arrives, however
//! late or odd, can take a step that is not written here. What the decision leads to is in `gateway/outbound`.
//!
//! | learnt | unsent | sent | accepted | in doubt |
//! | --- | --- | --- | --- | --- |
//! | written | sent | – | – | – |
//! | accepted | accepted | accepted | – | – |
//! | link down | to scheduler | in doubt | in doubt | in doubt |
//! | status received | – | – | – | accepted |
//! | peer restarted, deadline near | to scheduler | by idempotency | by idempotency | by idempotency |
//! | outcome forgotten | by idempotency | by idempotency | by idempotency | by idempotency |
//! | returned, status never received | to scheduler | to scheduler | to scheduler | to scheduler |
//! | ended | answered | answered | answered | answered |
//!
//! *To scheduler*: it never ran, and the scheduler here goes on with it. *By idempotency*: it may have run, and is
//! answered as rejected where a repeat does no harm, else as failed. An outcome says which of these is the answer.

use crate::idempotency_store::RecordNumber;
use crate::{
    ForwardedAnswer, Idempotency, Incarnation, LinkId, LocalRequestId, Outcome, RemoteStatus, SiteId, Time,
};

/// How far a forwarded request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForwardingStage {
    /// Not a whole frame has left: it has not run anywhere.
    Unsent,
    /// Its last byte is written: it may run.
    Sent,
    /// The peer has accepted it.
    Accepted,
    /// The link has ended: it may have run. Its status is queried on the next link.
    InDoubt,
}

/// What is learnt of a forwarded request.
#[derive(Debug)]
pub(crate) enum Transition {
    Written,
    Accepted,
    Returned,
    Ended(Outcome),
    Status(RemoteStatus),
    LinkDown,
    /// A new incarnation of the peer's process remembers nothing.
    PeerRestarted,
    DeadlineNear,
}

/// What follows.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// It goes on.
    Wait,
    /// It never ran.
    ReturnToScheduler,
    /// The final answer.
    Answer {
        answer: ForwardedAnswer,
        /// The peer has sent the outcome, and waits for the acknowledgement.
        outcome_received: bool,
    },
}

/// A forwarded request that is open.
#[derive(Debug)]
pub(crate) struct ForwardedRequest {
    /// `None` once the client has disconnected.
    pub(crate) request: Option<LocalRequestId>,
    pub(crate) site: SiteId,
    pub(crate) link: LinkId,
    pub(crate) incarnation: Incarnation,
    pub(crate) idempotency: Idempotency,
    /// The record that binds its key to the site.
    pub(crate) key_record: Option<RecordNumber>,
    /// The workers of both sites drop each other's repeats.
    pub(crate) shares_keys: bool,
    pub(crate) give_up_at: Time,
    pub(crate) stage: ForwardingStage,
}

impl ForwardedRequest {
    /// Applies what was learnt, changes the stage and decides what follows.
    pub(crate) fn apply(&mut self, transition: Transition) -> Decision {
        match transition {
            Transition::Written => match self.stage {
                ForwardingStage::Unsent => self.enter(ForwardingStage::Sent),
                ForwardingStage::Sent | ForwardingStage::Accepted | ForwardingStage::InDoubt => {
                    Decision::Wait
                }
            },
            Transition::Accepted => match self.stage {
                // It may overtake "written", which another task reports.
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
            Transition::PeerRestarted | Transition::DeadlineNear => match self.stage {
                // Nothing was sent, so the scheduler can still place it or reject it.
                ForwardingStage::Unsent => Decision::ReturnToScheduler,
                ForwardingStage::Sent | ForwardingStage::Accepted | ForwardingStage::InDoubt => {
                    self.answer_by_idempotency(false)
                }
            },
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

    /// The answer to a request that may have run and of which no result will come. The client may be told that it
    /// can try again only where a repeat does no harm at any site.
    fn answer_by_idempotency(&self, outcome_received: bool) -> Decision {
        let repeat_is_harmless = match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { .. } => self.shares_keys,
            Idempotency::NonIdempotent => false,
        };
        let answer = if repeat_is_harmless { ForwardedAnswer::Rejected } else { ForwardedAnswer::Failed };
        Decision::Answer { answer, outcome_received }
    }
}

#[cfg(test)]
mod tests;
