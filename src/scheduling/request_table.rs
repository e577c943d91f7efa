//! The requests that this scheduler must answer, their attempts, and the queue of requests waiting for a worker.
//!
//! Requests and attempts are handed over in an upgrade, in the form that `stored_request.rs` defines.
//!
//! | state machine | states | transitions |
//! | --- | --- | --- |
//! | request | [`RequestPhase`]: open, streaming, closed | [`TrackedRequest::advance`] |
//! | attempt | [`AttemptState`]: in flight, abandoned, ended | [`Attempt::advance`] |

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::scheduling::affinity::Locality;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::request::{AttemptOutcome, Request};
use crate::scheduling::stored_request::{StoredAttempt, StoredRequest};

/// Progress of an attempt for which none has been reported.
const NO_PROGRESS: f64 = -1.0;

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// The attempt was sent and has not ended.
    InFlight,
    /// The attempt has not ended but no result is expected, because it is overdue or was cancelled.
    Abandoned,
    /// The attempt has ended.
    Ended {
        /// Whether the attempt may have been executed.
        may_have_run: bool,
        /// Whether the worker answered with an error.
        failed: bool,
    },
}

/// A state transition of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptTransition {
    /// The attempt is overdue or is being cancelled.
    Abandon,
    /// The attempt ended with this outcome.
    End(AttemptOutcome),
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "StoredAttempt", from = "StoredAttempt")]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub sent_at: f64,
    /// When the attempt started to run, once reported; the send time if the worker does not report starts.
    pub started_at: Option<f64>,
    /// When the worker last sent a notification about the attempt; initially the send time.
    pub last_notified_at: f64,
    /// Completed fraction, or [`NO_PROGRESS`].
    pub progress: f64,
    pub state: AttemptState,
    /// Whether the worker has reported an end that may be this attempt's, and no progress since. Not handed over: a
    /// request with an earlier attempt that the report may be about does not migrate.
    pub end_is_uncertain: bool,
    /// How close the worker was to the data that the request needs, if it needs any.
    pub locality: Option<Locality>,
}

impl Attempt {
    pub(crate) fn new(worker: WorkerId, now: f64, starts_reported: bool, locality: Option<Locality>) -> Self {
        let started_at = if starts_reported { None } else { Some(now) };
        Attempt {
            worker,
            sent_at: now,
            started_at,
            last_notified_at: now,
            progress: NO_PROGRESS,
            state: AttemptState::InFlight,
            end_is_uncertain: false,
            locality,
        }
    }

    /// Applies a transition; the only place that changes `state`. An attempt that has ended keeps its outcome.
    pub(crate) fn advance(&mut self, change: AttemptTransition) {
        self.state = match (self.state, change) {
            (AttemptState::InFlight | AttemptState::Abandoned, AttemptTransition::Abandon) => {
                AttemptState::Abandoned
            }
            (AttemptState::InFlight | AttemptState::Abandoned, AttemptTransition::End(outcome)) => {
                AttemptState::Ended {
                    may_have_run: !outcome.proves_not_executed(),
                    failed: outcome == AttemptOutcome::Failed,
                }
            }
            (ended @ AttemptState::Ended { .. }, AttemptTransition::Abandon | AttemptTransition::End(_)) => {
                ended
            }
        };
    }

    /// Whether the attempt has not ended; abandoned attempts are still in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::Abandoned)
    }

    pub(crate) fn is_abandoned(&self) -> bool {
        self.state == AttemptState::Abandoned
    }

    /// Whether the attempt may have been executed; always true until it has ended.
    pub(crate) fn may_have_run(&self) -> bool {
        match self.state {
            AttemptState::InFlight | AttemptState::Abandoned => true,
            AttemptState::Ended { may_have_run, .. } => may_have_run,
        }
    }

    /// Whether the worker answered with an error.
    pub(crate) fn has_failed(&self) -> bool {
        matches!(self.state, AttemptState::Ended { failed: true, .. })
    }
}

/// Phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// The request awaits its final answer.
    Open,
    /// A streamed response has started: the attempt belongs to the client, and no other answer is given.
    Streaming,
    /// The request was answered, or its client disconnected. It is removed once no attempt is in flight.
    Closed,
}

/// A phase transition of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestTransition {
    /// A streamed response has started.
    StartStreaming,
    /// The request was answered, or its client disconnected.
    Close,
}

/// A request and its attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "StoredRequest", from = "StoredRequest")]
pub(crate) struct TrackedRequest {
    pub request: Request,
    /// Estimated work in seconds on a standard core.
    pub work: f64,
    /// Latency objective in seconds, counted from `first_requested_at`.
    pub objective_s: f64,
    /// When the client first sent the request, estimated from its deadline.
    pub first_requested_at: f64,
    /// Priority by Eq. 1; usually below 0 if the request is over its tenant's quota.
    pub priority: f64,
    pub attempts: Vec<Attempt>,
    /// Whether its placement takes affinity into account.
    pub uses_affinity: bool,
    /// Number of rounds of capacity probes sent for this request.
    pub probe_rounds: i32,
    /// Earliest time of the next round of capacity probes.
    pub next_probe_at: f64,
    /// Whether the request waits in the queue for a worker.
    pub queued: bool,
    pub phase: RequestPhase,
}

impl TrackedRequest {
    pub(crate) fn new(
        request: Request,
        work: f64,
        objective_s: f64,
        first_requested_at: f64,
        priority: f64,
    ) -> Self {
        let uses_affinity = request.affinity_key.is_some();
        TrackedRequest {
            request,
            work,
            objective_s,
            first_requested_at,
            priority,
            attempts: Vec::new(),
            uses_affinity,
            probe_rounds: 0,
            next_probe_at: 0.0,
            queued: true,
            phase: RequestPhase::Open,
        }
    }

    /// Applies a transition; the only place that changes `phase`. A closed request stays closed.
    pub(crate) fn advance(&mut self, change: RequestTransition) {
        self.phase = match (self.phase, change) {
            (RequestPhase::Open | RequestPhase::Streaming, RequestTransition::StartStreaming) => {
                RequestPhase::Streaming
            }
            (RequestPhase::Open | RequestPhase::Streaming, RequestTransition::Close) => RequestPhase::Closed,
            (RequestPhase::Closed, RequestTransition::StartStreaming | RequestTransition::Close) => {
                RequestPhase::Closed
            }
        };
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.phase == RequestPhase::Closed
    }

    /// Whether the request awaits its final answer.
    pub(crate) fn is_open(&self) -> bool {
        self.phase == RequestPhase::Open
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether an attempt is in flight at this worker.
    pub(crate) fn is_in_flight_at(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight() && attempt.worker == worker)
    }

    /// Time by which the request must finish to meet its latency objective.
    pub(crate) fn objective_ends_at(&self) -> f64 {
        self.first_requested_at + self.objective_s
    }
}

/// All tracked requests by id, and the queue of requests waiting for a worker.
#[derive(Default)]
pub(crate) struct RequestTable {
    pub all: BTreeMap<RequestId, TrackedRequest>,
    /// In order of arrival. May contain requests that have been placed or closed; see [`Self::prune_queue`].
    pub queue: Vec<RequestId>,
}

impl RequestTable {
    pub(crate) fn add(&mut self, tracked: TrackedRequest) {
        if tracked.queued {
            self.queue.push(tracked.request.id);
        }
        self.all.insert(tracked.request.id, tracked);
    }

    /// Removes and returns a request with its attempts.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<TrackedRequest> {
        let tracked = self.all.remove(&id)?;
        self.queue.retain(|queued| *queued != id);
        Some(tracked)
    }

    /// Puts a request back in the queue, unless it is closed or already queued.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let Some(tracked) = self.all.get_mut(&id) else { return };
        if !tracked.is_closed() && !tracked.queued {
            tracked.queued = true;
            self.queue.push(id);
        }
    }

    /// Marks an attempt as abandoned.
    pub(crate) fn abandon(&mut self, id: RequestId, attempt: usize) {
        let tracked = self.all.get_mut(&id);
        if let Some(attempt) = tracked.and_then(|tracked| tracked.attempts.get_mut(attempt)) {
            attempt.advance(AttemptTransition::Abandon);
        }
    }

    /// Marks a request as answered by a streamed response that has started.
    pub(crate) fn start_streaming(&mut self, id: RequestId) {
        if let Some(tracked) = self.all.get_mut(&id) {
            tracked.advance(RequestTransition::StartStreaming);
        }
    }

    /// Removes a request if it is closed and has no attempt in flight.
    pub(crate) fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |tracked: &TrackedRequest| tracked.is_closed() && !tracked.has_attempt_in_flight();
        if self.all.get(&id).is_some_and(is_finished) {
            self.all.remove(&id);
        }
    }

    /// Removes placed and closed requests from the queue.
    pub(crate) fn prune_queue(&mut self) {
        let all = &self.all;
        self.queue.retain(|id| all.get(id).is_some_and(|tracked| tracked.queued && !tracked.is_closed()));
    }

    /// The queued requests in order of arrival.
    pub(crate) fn queued(&self) -> impl Iterator<Item = &TrackedRequest> {
        self.queue.iter().filter_map(|id| self.all.get(id)).filter(|tracked| tracked.queued)
    }
}
