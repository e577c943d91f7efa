//! The requests that this scheduler must answer, their attempts, and the queue of those that wait for a worker.
//!
//! Requests and attempts are handed over in an upgrade. Their stored forms, `StoredRequest` and `StoredAttempt`, have
//! fields by position, so their order stays.
//!
//! | lifetime | states | changed by |
//! | --- | --- | --- |
//! | request | [`RequestPhase`]: open, streaming, closed | [`TrackedRequest::advance`] |
//! | attempt | [`AttemptState`]: in flight, abandoned, ended | [`Attempt::advance`] |

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::scheduling::affinity::Locality;
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::request::{AttemptOutcome, Request};

/// The progress of an attempt that has reported none.
const NO_PROGRESS: f64 = -1.0;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// It was sent and has not ended.
    InFlight,
    /// It has not ended, but nothing more is expected of it: it is overdue, or it was cancelled.
    Abandoned,
    /// It has ended.
    Ended {
        /// It may have run.
        may_have_run: bool,
        /// The worker answered with an error.
        failed: bool,
    },
}

/// What happens to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptChange {
    /// It is overdue, or it is being cancelled.
    Abandon,
    /// It has ended in this way.
    End(AttemptOutcome),
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "StoredAttempt", from = "StoredAttempt")]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub sent_at: f64,
    /// When it started to run; where starts are not reported, when it was sent.
    pub started_at: Option<f64>,
    /// When the worker last notified this scheduler of it; at first, when it was sent.
    pub last_notified_at: f64,
    /// The fraction that is done.
    pub progress: f64,
    pub state: AttemptState,
    /// How close the worker was to the data that the request needs.
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
            locality,
        }
    }

    /// The one place where an attempt's state changes. What has ended stays as it ended.
    pub(crate) fn advance(&mut self, change: AttemptChange) {
        self.state = match (self.state, change) {
            (AttemptState::InFlight | AttemptState::Abandoned, AttemptChange::Abandon) => {
                AttemptState::Abandoned
            }
            (AttemptState::InFlight | AttemptState::Abandoned, AttemptChange::End(outcome)) => {
                AttemptState::Ended {
                    may_have_run: !outcome.proves_not_executed(),
                    failed: outcome == AttemptOutcome::Failed,
                }
            }
            (ended @ AttemptState::Ended { .. }, AttemptChange::Abandon | AttemptChange::End(_)) => ended,
        };
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::Abandoned)
    }

    pub(crate) fn is_abandoned(&self) -> bool {
        self.state == AttemptState::Abandoned
    }

    /// Whether it may have run: so does each that has not ended.
    pub(crate) fn may_have_run(&self) -> bool {
        match self.state {
            AttemptState::InFlight | AttemptState::Abandoned => true,
            AttemptState::Ended { may_have_run, .. } => may_have_run,
        }
    }

    /// Whether the worker answered it with an error.
    pub(crate) fn has_failed(&self) -> bool {
        matches!(self.state, AttemptState::Ended { failed: true, .. })
    }
}

/// How an attempt is handed over.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredAttempt {
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
            locality: stored.locality,
        }
    }
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// Its final answer is owed.
    Open,
    /// A streamed response has begun: the client owns the attempt, and no other answer is given.
    Streaming,
    /// It has its final answer, or its client is gone. It is forgotten once no attempt is in flight.
    Closed,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestChange {
    /// A streamed response has begun.
    StreamResponse,
    /// It has its final answer, or its client is gone.
    Close,
}

/// A request and its attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "StoredRequest", from = "StoredRequest")]
pub(crate) struct TrackedRequest {
    pub request: Request,
    /// Estimated work in seconds on a standard core.
    pub work: f64,
    /// Latency objective in seconds, counted from `first_asked_at`.
    pub objective_s: f64,
    /// When the client first asked, by the time left to its deadline.
    pub first_asked_at: f64,
    /// Eq. 1; below 0 where it is over its tenant's quota.
    pub priority: f64,
    pub attempts: Vec<Attempt>,
    /// Affinity counts in its placement.
    pub uses_affinity: bool,
    /// Rounds of capacity probes sent for it since it arrived.
    pub probe_rounds: i32,
    /// When the next round of capacity probes may be sent.
    pub next_probe_at: f64,
    /// It waits in the queue for a worker.
    pub queued: bool,
    pub phase: RequestPhase,
}

impl TrackedRequest {
    pub(crate) fn new(
        request: Request,
        work: f64,
        objective_s: f64,
        first_asked_at: f64,
        priority: f64,
    ) -> Self {
        let uses_affinity = request.affinity_key.is_some();
        TrackedRequest {
            request,
            work,
            objective_s,
            first_asked_at,
            priority,
            attempts: Vec::new(),
            uses_affinity,
            probe_rounds: 0,
            next_probe_at: 0.0,
            queued: true,
            phase: RequestPhase::Open,
        }
    }

    /// The one place where a request's phase changes. What is closed stays closed.
    pub(crate) fn advance(&mut self, change: RequestChange) {
        self.phase = match (self.phase, change) {
            (RequestPhase::Open | RequestPhase::Streaming, RequestChange::StreamResponse) => {
                RequestPhase::Streaming
            }
            (RequestPhase::Open | RequestPhase::Streaming, RequestChange::Close) => RequestPhase::Closed,
            (RequestPhase::Closed, RequestChange::StreamResponse | RequestChange::Close) => {
                RequestPhase::Closed
            }
        };
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.phase == RequestPhase::Closed
    }

    /// Whether its final answer is owed.
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

    /// When its latency objective ends.
    pub(crate) fn objective_ends_at(&self) -> f64 {
        self.first_asked_at + self.objective_s
    }
}

/// How a request is handed over.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredRequest {
    request: Request,
    work: f64,
    objective_s: f64,
    first_asked_at: f64,
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
            first_asked_at: tracked.first_asked_at,
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
            first_asked_at: stored.first_asked_at,
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

/// The requests by number, and the queue of those that wait for a worker.
#[derive(Default)]
pub(crate) struct RequestTable {
    pub all: BTreeMap<RequestId, TrackedRequest>,
    /// In the order in which they came; may name requests that were placed or closed since.
    pub queue: Vec<RequestId>,
}

impl RequestTable {
    pub(crate) fn add(&mut self, tracked: TrackedRequest) {
        if tracked.queued {
            self.queue.push(tracked.request.id);
        }
        self.all.insert(tracked.request.id, tracked);
    }

    /// Removes a request with its attempts.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<TrackedRequest> {
        let tracked = self.all.remove(&id)?;
        self.queue.retain(|queued| *queued != id);
        Some(tracked)
    }

    /// Puts a request back in the queue, unless it is closed or there already.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let Some(tracked) = self.all.get_mut(&id) else { return };
        if !tracked.is_closed() && !tracked.queued {
            tracked.queued = true;
            self.queue.push(id);
        }
    }

    /// Abandons an attempt: nothing more is expected of it.
    pub(crate) fn abandon(&mut self, id: RequestId, attempt: usize) {
        let tracked = self.all.get_mut(&id);
        if let Some(attempt) = tracked.and_then(|tracked| tracked.attempts.get_mut(attempt)) {
            attempt.advance(AttemptChange::Abandon);
        }
    }

    /// The client owns a response that has begun to stream.
    pub(crate) fn stream_response(&mut self, id: RequestId) {
        if let Some(tracked) = self.all.get_mut(&id) {
            tracked.advance(RequestChange::StreamResponse);
        }
    }

    /// Forgets a request that is closed and has no attempt in flight.
    pub(crate) fn forget_if_over(&mut self, id: RequestId) {
        let is_over = |tracked: &TrackedRequest| tracked.is_closed() && !tracked.has_attempt_in_flight();
        if self.all.get(&id).is_some_and(is_over) {
            self.all.remove(&id);
        }
    }

    /// Removes requests from the queue that were placed or closed.
    pub(crate) fn drop_placed(&mut self) {
        let all = &self.all;
        self.queue.retain(|id| all.get(id).is_some_and(|tracked| tracked.queued && !tracked.is_closed()));
    }

    /// The queued requests, in the order in which they came.
    pub(crate) fn queued(&self) -> impl Iterator<Item = &TrackedRequest> {
        self.queue.iter().filter_map(|id| self.all.get(id)).filter(|tracked| tracked.queued)
    }
}
