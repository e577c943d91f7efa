//! Which requests are stated to the gateway as candidates for forwarding.
//!
//! There are three occasions: this site lacks capacity and requests wait in vain; the dispatcher rejects a
//! request; or a new request has an idempotency key that is bound to another site. The gateway decides.

use std::time::Duration;

use chutesaddle_gateway::{self as gateway, Candidate, Event as GatewayEvent, LocalRequestId, SiteLoad};
use tokio::time::Instant;

use super::{deduplication_window, ForwardingChange};
use crate::scheduling::{CapacitySummary, DeduplicationScope, Idempotency, RequestClass, RequestId};
use crate::server::engine::Engine;
use crate::server::messages::RequestPayload;

/// How often the gateway is notified of this site's load while requests wait or slots run out.
const LOAD_UPDATE_SCARCE: Duration = Duration::from_millis(10);
/// The same while there is capacity.
const LOAD_UPDATE_AMPLE: Duration = Duration::from_millis(50);
/// With fewer free slots than these, capacity may be gone before the next update of the slower kind.
const SCARCE_FREE_SLOTS: f64 = 3.0;
/// The most slots that one request can state.
const MAX_SLOTS: f64 = 65_536.0;

/// When, and after which answer, a request may be forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Urgency {
    /// Until it must be at a worker to be in time, in seconds.
    start_in_s: f64,
    /// The dispatcher does not have it: it is forwarded now, or is answered now.
    rejected: bool,
}

/// What a repeat of a request does. A key that not even all workers of one site know together binds like a
/// non-idempotent request: which group of workers saw it cannot be known across sites.
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

/// Slots as the gateway counts them.
pub(super) fn whole_slots(slots: f64) -> u32 {
    slots.ceil().clamp(1.0, MAX_SLOTS) as u32
}

impl Engine {
    /// Notifies the gateway of this site's load, and of the requests that wait here in vain, when that is due.
    pub(in crate::server::engine) fn update_gateway_load(&mut self, now: Instant) {
        let Some(forwarding) =
            self.forwarding.as_mut().filter(|forwarding| now >= forwarding.next_load_update)
        else {
            return;
        };
        let CapacitySummary { slots, free, waiting, backlog_s } = self.dispatcher.capacity_summary();
        let scarce = waiting > 0 || (free < SCARCE_FREE_SLOTS && !self.requests.is_empty());
        forwarding.next_load_update = now + if scarce { LOAD_UPDATE_SCARCE } else { LOAD_UPDATE_AMPLE };
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
            slots: whole_slots(request.slots),
            start_in: Duration::try_from_secs_f64(urgency.start_in_s).unwrap_or_default(),
            time_left: request.deadline.saturating_duration_since(Instant::now()),
            rejected: urgency.rejected,
            forwarded_before: !never_sent,
        })
    }

    /// Forwards a request that the dispatcher has rejected, if the gateway will; else it is to be answered.
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
        // What is rejected with time left is worth least here, so that it comes last there, too.
        let start_in_s = latest_start_s - self.clock.at(Instant::now());
        self.offer_rejected(id, start_in_s, retry_after_s)
    }

    /// Whether an earlier request with the same idempotency key may have run at another site. Then this one is
    /// forwarded there or rejected, and the dispatcher here must not receive it.
    pub(in crate::server::engine) fn bind_to_other_site(&mut self, id: RequestId) -> bool {
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
            self.forget_if_done(id);
        }
        true
    }

    /// Offers the gateway one request that the dispatcher does not have; whether it was forwarded.
    fn offer_rejected(&mut self, id: RequestId, start_in_s: f64, retry_after_s: f64) -> bool {
        let Some(candidate) = self.candidate(id, Urgency { start_in_s, rejected: true }) else {
            return false;
        };
        if candidate.forwarded_before {
            return false;
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.forwarding.change(ForwardingChange::Offered { retry_after_s });
        }
        self.notify_gateway(GatewayEvent::Candidates(vec![candidate]));
        self.requests.get(id).is_some_and(|request| request.forwarding.is_outbound())
    }

    /// The client of a request has disconnected; the request may be at another site.
    pub(in crate::server::engine) fn withdraw_forwarded(&mut self, id: RequestId) {
        if self.forwarding.is_some() {
            self.notify_gateway(GatewayEvent::ClientDisconnected(LocalRequestId(id.0)));
        }
    }
}
