//! Offers requests to the gateway as candidates for forwarding.
//!
//! A request is offered in three cases: it is waiting because this site lacks capacity; the dispatcher has
//! rejected it; or it is new and its idempotency key is bound to another site. The gateway decides whether it is
//! forwarded.

use std::time::Duration;

use chutesaddle_gateway::{self as gateway, Candidate, Event as GatewayEvent, LocalRequestId, SiteLoad};
use tokio::time::Instant;

use super::{deduplication_window, ForwardingTransition};
use crate::scheduling::{CapacitySummary, DeduplicationScope, Idempotency, RequestClass, RequestId};
use crate::server::engine::Engine;
use crate::server::messages::RequestPayload;

/// Interval of load updates to the gateway while requests are waiting or few slots are free.
const SCARCE_LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of load updates to the gateway while capacity is ample.
const AMPLE_LOAD_UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Below this number of free slots, capacity may run out before the next update at the longer interval.
const SCARCE_FREE_SLOTS: f64 = 3.0;
/// Maximum number of slots of a single request.
const MAX_REQUEST_SLOTS: f64 = 65_536.0;

/// How urgently a request must be forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Urgency {
    /// Time left until the request must start on a worker to meet its deadline, in seconds.
    start_in_s: f64,
    /// The dispatcher does not have the request, so it is either forwarded or answered immediately.
    rejected: bool,
}

/// Returns the idempotency of a request for forwarding. A request with a key that is deduplicated only within a
/// zone or cell counts as non-idempotent, because other sites cannot know which group of workers saw the key.
pub(super) fn idempotency_across_sites(
    class: &RequestClass,
    payload: &RequestPayload,
) -> gateway::Idempotency {
    match (class.idempotency, class.deduplication_scope, &payload.key) {
        (
            Idempotency::Idempotent,
            DeduplicationScope::All | DeduplicationScope::Zone | DeduplicationScope::Cell,
            _,
        ) => gateway::Idempotency::Idempotent,
        (Idempotency::WithKey, DeduplicationScope::All, Some(key)) => {
            gateway::Idempotency::WithKey { key: key.clone(), window: deduplication_window(class) }
        }
        (Idempotency::WithKey, DeduplicationScope::All, None)
        | (Idempotency::WithKey, DeduplicationScope::Zone | DeduplicationScope::Cell, _)
        | (Idempotency::NonIdempotent, _, _) => gateway::Idempotency::NonIdempotent,
    }
}

/// Rounds slots up to the integer that the gateway counts.
pub(super) fn round_up_slots(slots: f64) -> u32 {
    slots.ceil().clamp(1.0, MAX_REQUEST_SLOTS) as u32
}

impl Engine {
    /// If an update is due, notifies the gateway of this site's load and offers it the waiting requests.
    pub(in crate::server::engine) fn update_gateway_load(&mut self, now: Instant) {
        let Some(forwarding) =
            self.forwarding.as_mut().filter(|forwarding| now >= forwarding.next_load_update)
        else {
            return;
        };
        let CapacitySummary { slots, free, waiting, backlog_s } = self.dispatcher.capacity_summary();
        let scarce = waiting > 0 || (free < SCARCE_FREE_SLOTS && !self.requests.is_empty());
        forwarding.next_load_update =
            now + if scarce { SCARCE_LOAD_UPDATE_INTERVAL } else { AMPLE_LOAD_UPDATE_INTERVAL };
        let backlog = Duration::try_from_secs_f64(backlog_s).unwrap_or_default();
        self.notify_gateway(GatewayEvent::LoadMeasured(SiteLoad { slots, free, waiting, backlog }));
        self.notify_gateway(GatewayEvent::Tick);
        if self.gateway_wants_candidates() {
            self.offer_waiting_requests(now);
        }
    }

    fn gateway_wants_candidates(&self) -> bool {
        self.forwarding
            .as_ref()
            .is_some_and(|forwarding| forwarding.gateway.wants_candidates(forwarding.now()))
    }

    fn offer_waiting_requests(&mut self, now: Instant) {
        let now_s = self.clock.at(now);
        let candidates: Vec<Candidate> = self
            .dispatcher
            .unsent_requests()
            .filter_map(|(id, latest_start_s)| {
                self.candidate(id, Urgency { start_in_s: latest_start_s - now_s, rejected: false })
            })
            .collect();
        if !candidates.is_empty() {
            self.notify_gateway(GatewayEvent::Candidates(candidates));
        }
    }

    fn candidate(&self, id: RequestId, urgency: Urgency) -> Option<Candidate> {
        let request = self.requests.get(id).filter(|request| request.is_waiting())?;
        let never_sent = request.attempts.is_empty() && request.forwarding.is_local();
        Some(Candidate {
            request: LocalRequestId(id.0),
            idempotency: idempotency_across_sites(&self.settings.classes[request.class], &request.payload),
            priority: request.priority,
            within_quota: request.priority >= 0.0,
            slots: round_up_slots(request.slots),
            start_in: Duration::try_from_secs_f64(urgency.start_in_s).unwrap_or_default(),
            time_left: request.deadline.saturating_duration_since(Instant::now()),
            rejected: urgency.rejected,
            forwarded_before: !never_sent,
        })
    }

    /// Offers the gateway a request that the dispatcher has rejected. Returns false if it is not forwarded, in which
    /// case the caller must answer it.
    pub(in crate::server::engine) fn forward_rejected(&mut self, id: RequestId, retry_after_s: f64) -> bool {
        if !self.gateway_wants_candidates() {
            return false;
        }
        let Some(request) = self.requests.get(id).filter(|request| request.attempts.is_empty()) else {
            return false;
        };
        let deadline_s = self.clock.at(request.deadline);
        let latest_start_s =
            self.dispatcher.latest_start(request.class, request.estimated_work_s, deadline_s);
        // A request rejected with time left has the lowest value here, and should come last at the other site, too.
        let start_in_s = latest_start_s - self.clock.at(Instant::now());
        self.offer_rejected(id, start_in_s, retry_after_s)
    }

    /// If the idempotency key of a request is bound to another site, forwards the request there or rejects it, and
    /// returns true. An earlier request with the same key may have run there, so the dispatcher must not receive
    /// this one.
    pub(in crate::server::engine) fn forward_if_bound_elsewhere(&mut self, id: RequestId) -> bool {
        let (Some(forwarding), Some(request)) = (&self.forwarding, self.requests.get(id)) else {
            return false;
        };
        let Some(key) = &request.payload.key else { return false };
        if !forwarding.gateway.bound_elsewhere(forwarding.now(), key) {
            return false;
        }
        let retry_after_s = self.settings.max_retry_after_s;
        let start_in_s = request.deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        if !self.offer_rejected(id, start_in_s, retry_after_s) {
            self.answer(id, self.rejection(id, retry_after_s));
            self.remove_if_finished(id);
        }
        true
    }

    /// Offers the gateway a request that the dispatcher does not have. Returns whether it was forwarded.
    fn offer_rejected(&mut self, id: RequestId, start_in_s: f64, retry_after_s: f64) -> bool {
        let Some(candidate) = self.candidate(id, Urgency { start_in_s, rejected: true }) else {
            return false;
        };
        if candidate.forwarded_before {
            return false;
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.forwarding.advance(ForwardingTransition::Offered { retry_after_s });
        }
        self.notify_gateway(GatewayEvent::Candidates(vec![candidate]));
        self.requests.get(id).is_some_and(|request| request.forwarding.is_outbound())
    }

    /// Notifies the gateway that the client of a request, which may be at another site, has disconnected.
    pub(in crate::server::engine) fn cancel_forwarded(&mut self, id: RequestId) {
        if self.forwarding.is_some() {
            self.notify_gateway(GatewayEvent::ClientDisconnected(LocalRequestId(id.0)));
        }
    }
}
