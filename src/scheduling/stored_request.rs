//! The form in which requests and their attempts are serialized for a handover.
//!
//! postcard stores fields by position, so they must not be reordered, added or removed.

use serde::{Deserialize, Serialize};

use crate::scheduling::affinity::Locality;
use crate::scheduling::identifiers::WorkerId;
use crate::scheduling::request::Request;
use crate::scheduling::request_table::{Attempt, AttemptState, RequestPhase, TrackedRequest};

/// Serialized form of an [`Attempt`] in a handover.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoredAttempt {
    worker: WorkerId,
    sent_at: f64,
    started_at: Option<f64>,
    last_notified_at: f64,
    progress: f64,
    in_flight: bool,
    may_have_run: bool,
    locality: Option<Locality>,
    failed: bool,
    abandoned: bool,
}

impl From<Attempt> for StoredAttempt {
    fn from(attempt: Attempt) -> Self {
        StoredAttempt {
            worker: attempt.worker,
            sent_at: attempt.sent_at,
            started_at: attempt.started_at,
            last_notified_at: attempt.last_notified_at,
            progress: attempt.progress,
            in_flight: attempt.is_in_flight(),
            may_have_run: attempt.may_have_run(),
            locality: attempt.locality,
            failed: attempt.has_failed(),
            abandoned: attempt.is_abandoned(),
        }
    }
}

impl From<StoredAttempt> for Attempt {
    fn from(stored: StoredAttempt) -> Self {
        let state = match (stored.in_flight, stored.abandoned) {
            (true, false) => AttemptState::InFlight,
            (true, true) => AttemptState::Abandoned,
            (false, _) => AttemptState::Ended { may_have_run: stored.may_have_run, failed: stored.failed },
        };
        Attempt {
            worker: stored.worker,
            sent_at: stored.sent_at,
            started_at: stored.started_at,
            last_notified_at: stored.last_notified_at,
            progress: stored.progress,
            state,
            end_is_uncertain: false,
            locality: stored.locality,
        }
    }
}

/// Serialized form of a [`TrackedRequest`] in a handover.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoredRequest {
    request: Request,
    work: f64,
    objective_s: f64,
    first_requested_at: f64,
    priority: f64,
    attempts: Vec<Attempt>,
    uses_affinity: bool,
    probe_rounds: i32,
    next_probe_at: f64,
    queued: bool,
    closed: bool,
    streaming: bool,
}

impl From<TrackedRequest> for StoredRequest {
    fn from(tracked: TrackedRequest) -> Self {
        StoredRequest {
            request: tracked.request,
            work: tracked.work,
            objective_s: tracked.objective_s,
            first_requested_at: tracked.first_requested_at,
            priority: tracked.priority,
            attempts: tracked.attempts,
            uses_affinity: tracked.uses_affinity,
            probe_rounds: tracked.probe_rounds,
            next_probe_at: tracked.next_probe_at,
            queued: tracked.queued,
            closed: tracked.phase == RequestPhase::Closed,
            streaming: tracked.phase == RequestPhase::Streaming,
        }
    }
}

impl From<StoredRequest> for TrackedRequest {
    fn from(stored: StoredRequest) -> Self {
        let phase = match (stored.closed, stored.streaming) {
            (false, false) => RequestPhase::Open,
            (false, true) => RequestPhase::Streaming,
            (true, _) => RequestPhase::Closed,
        };
        TrackedRequest {
            request: stored.request,
            work: stored.work,
            objective_s: stored.objective_s,
            first_requested_at: stored.first_requested_at,
            priority: stored.priority,
            attempts: stored.attempts,
            uses_affinity: stored.uses_affinity,
            probe_rounds: stored.probe_rounds,
            next_probe_at: stored.next_probe_at,
            queued: stored.queued,
            phase,
        }
    }
}
