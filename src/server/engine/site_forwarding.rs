//! The engine's part in forwarding requests to other sites, and in running theirs.
//!
//! `chutesaddle-gateway` decides: which request is forwarded, over which site link, and what this site grants
//! to others. It knows no request beyond what the engine states as a candidate. The engine translates in both
//! directions: events of the site links and of this site's load for the gateway, and the gateway's actions
//! into frames, answers and requests of this site. Without a gateway, everything here does nothing.
//!
//! | module | question it answers |
//! | --- | --- |
//! | `state` | where a request stands between this site and others |
//! | `links` | which site links are up, and how a frame is sent on one |
//! | `frames` | what a received frame means to the gateway |
//! | `candidates` | which requests are stated to the gateway, when and with which limits |
//! | `outbound` | how a request of this site is forwarded, comes back or is answered from there |
//! | `inbound` | how a request of another site is run here |
//!
//! The bytes on a link are in `chutesaddle-site-link`, its sockets in [`crate::server::peers`].

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
use state::{ForwardingChange, OnReturn};

/// An offer that was received, until the gateway has decided on it.
struct PendingOffer {
    origin: Origin,
    request: Box<OfferedRequest>,
}

/// The gateway, the site links, and the requests of other sites that run here.
pub(super) struct SiteForwarding {
    gateway: Gateway,
    /// Where the gateway's clock begins.
    clock_origin: Instant,
    links: HashMap<LinkId, SiteLink>,
    /// The tasks that wait for the answers to requests of other sites.
    inbound: HashMap<Origin, AbortHandle>,
    pending_offer: Option<PendingOffer>,
    next_load_update: Instant,
    counters: Rc<Counters>,
}

impl SiteForwarding {
    /// Starts without any link.
    pub(super) fn new(gateway: Gateway, clock_origin: Instant, counters: Rc<Counters>) -> Self {
        counters.gateway.enable();
        SiteForwarding {
            gateway,
            clock_origin,
            links: HashMap::new(),
            inbound: HashMap::new(),
            pending_offer: None,
            next_load_update: clock_origin,
            counters,
        }
    }

    /// When [`Engine::update_gateway_load`] is due.
    pub(super) fn next_load_update(&self) -> Instant {
        self.next_load_update
    }

    fn now(&self) -> gateway::Time {
        self.clock_origin.elapsed()
    }

    /// An attempt of this class is sent to a worker of this site: its idempotency key is bound to this site.
    pub(super) fn runs_at_this_site(&mut self, class: &RequestClass, payload: &RequestPayload) {
        if let gateway::Idempotency::WithKey { key, window } =
            candidates::idempotency_across_sites(class, payload)
        {
            // The gateway only records it: there are no actions.
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

/// The longest time for which a key or an outcome is kept, whatever the settings say.
const MAX_WINDOW: Duration = Duration::from_secs(24 * 3600);

/// How long workers of a class drop repeats with the same idempotency key.
fn deduplication_window(class: &RequestClass) -> Duration {
    Duration::from_secs_f64(class.deduplication_window_s.clamp(0.0, MAX_WINDOW.as_secs_f64()))
}

impl Engine {
    /// Notifies the gateway of an event, and performs the actions that it decides on.
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
                self.forward(RequestId(request.0), outbound::Forward { link, forwarded, epoch, time_left });
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
