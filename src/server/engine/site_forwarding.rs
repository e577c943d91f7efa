//! Forwards requests to other sites and runs requests from other sites.
//!
//! `chutesaddle-gateway` decides which requests are forwarded over which site link, and how much capacity this
//! site grants to others. It only knows the requests that the engine offers as candidates. The engine
//! translates in both directions: it turns site link events and the site's load into gateway events, and
//! gateway actions into frames, answers and local requests. Without a gateway, nothing in this module has an
//! effect.
//!
//! | module | purpose |
//! | --- | --- |
//! | `state` | tracks whether a request is local, inbound, outbound or returned |
//! | `links` | tracks the site links and sends frames on them |
//! | `frames` | converts received frames to gateway events |
//! | `candidates` | offers requests to the gateway as candidates for forwarding |
//! | `outbound` | forwards requests of this site, and handles their return or answer |
//! | `inbound` | runs requests from other sites |
//!
//! The frame encoding is in `chutesaddle-site-link`; the sockets are in [`crate::server::peers`].

mod candidates;
mod frames;
mod inbound;
mod links;
mod outbound;
mod state;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_gateway::{self as gateway, Action, Event as GatewayEvent, Gateway, LinkId, Origin};
use chutesaddle_site_link::{Frame, OfferedRequest};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::Engine;
use crate::scheduling::{RequestClass, RequestId};
use crate::server::messages::RequestPayload;
use crate::server::metrics::Counters;

use links::SiteLink;
pub(super) use state::ForwardingState;
use state::{ForwardingTransition, OnReturn};

/// A received offer on which the gateway has not decided yet.
struct PendingOffer {
    origin: Origin,
    request: Box<OfferedRequest>,
}

/// The gateway, the site links, and the requests from other sites that run here.
pub(super) struct SiteForwarding {
    gateway: Gateway,
    /// Zero of the gateway's clock.
    clock_origin: Instant,
    links: HashMap<LinkId, SiteLink>,
    /// Tasks that wait for the answers to requests from other sites.
    inbound_tasks: HashMap<Origin, AbortHandle>,
    pending_offer: Option<PendingOffer>,
    next_load_update: Instant,
    counters: Rc<Counters>,
}

impl SiteForwarding {
    /// Creates the forwarding state with no links.
    pub(super) fn new(gateway: Gateway, clock_origin: Instant, counters: Rc<Counters>) -> Self {
        counters.gateway.enable();
        SiteForwarding {
            gateway,
            clock_origin,
            links: HashMap::new(),
            inbound_tasks: HashMap::new(),
            pending_offer: None,
            next_load_update: clock_origin,
            counters,
        }
    }

    /// Returns when [`Engine::update_gateway_load`] is due.
    pub(super) fn next_load_update(&self) -> Instant {
        self.next_load_update
    }

    fn now(&self) -> gateway::Time {
        self.clock_origin.elapsed()
    }

    /// Binds the idempotency key of a request, if it has one, to this site: an attempt is being sent to a local
    /// worker.
    pub(super) fn record_local_execution(&mut self, class: &RequestClass, payload: &RequestPayload) {
        if let gateway::Idempotency::WithKey { key, window } =
            candidates::idempotency_across_sites(class, payload)
        {
            // The gateway only records the key and returns no actions.
            let mut actions = Vec::new();
            let now = self.now();
            self.gateway.handle(now, GatewayEvent::KeyRanLocally { key, window }, &mut actions);
        }
    }

    fn publish_metrics(&self) {
        let metrics = &self.counters.gateway;
        metrics.statistics.set(self.gateway.statistics());
        metrics.load_state.set(self.gateway.load_state());
    }
}

/// Upper bound on how long an idempotency key or an outcome is kept, regardless of the settings.
const MAX_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Returns how long workers deduplicate requests of a class with the same idempotency key.
fn deduplication_window(class: &RequestClass) -> Duration {
    Duration::from_secs_f64(class.deduplication_window_s.clamp(0.0, MAX_RETENTION.as_secs_f64()))
}

impl Engine {
    /// Notifies the gateway of an event and performs the resulting actions.
    fn notify_gateway(&mut self, event: GatewayEvent) {
        let Some(forwarding) = &mut self.forwarding else { return };
        let mut actions = Vec::new();
        forwarding.gateway.handle(forwarding.now(), event, &mut actions);
        for action in actions {
            self.perform_gateway_action(action);
        }
        if let Some(forwarding) = &self.forwarding {
            forwarding.publish_metrics();
        }
    }

    fn perform_gateway_action(&mut self, action: Action) {
        let Some(forwarding) = &mut self.forwarding else { return };
        match action {
            Action::Forward { request, link, forwarded, epoch, time_left } => {
                self.forward(
                    RequestId(request.0),
                    outbound::ForwardParams { link, forwarded, epoch, time_left },
                );
            }
            Action::KeepLocal(request, reason) => self.not_forwarded(RequestId(request.0), reason),
            Action::ReturnToScheduler(request) => self.forwarded_request_returned(RequestId(request.0)),
            Action::Answer(request, answer) => self.forwarded_request_answered(RequestId(request.0), answer),
            Action::SendCancel(link, id) => forwarding.send(link, Frame::Cancel(id.0)),
            Action::QueryStatus(link, ids) => {
                forwarding.send(link, Frame::StatusQuery(ids.into_iter().map(|id| id.0).collect()));
            }
            Action::AcknowledgeOutcome(link, id) => forwarding.send(link, Frame::Acknowledge(id.0)),
            Action::GrantCapacity { link, limit, term } => {
                let epoch = forwarding.gateway.incarnation().0;
                forwarding.send(link, Frame::Grant { epoch, limit, term_us: term.as_micros() as u64 });
            }
            Action::Accept { link, origin, time_left } => self.accept_offer(link, origin, time_left),
            Action::ReturnUnstarted(link, id, reason) => forwarding.send(link, Frame::Returned(id.0, reason)),
            Action::SendOutcome(link, id, outcome) => forwarding.send(link, Frame::Ended(id.0, outcome)),
            Action::SendStatus(link, id, known) => forwarding.send(link, Frame::Status(id.0, known)),
            Action::CancelInbound(origin) => forwarding.abort_inbound(origin),
            Action::CloseLink(link) => forwarding.close(link),
        }
    }
}
