//! The site links as the engine knows them, and what is received from them.

use chutesaddle_gateway::{Event as GatewayEvent, ForwardedRequestId, Incarnation, LinkId, Origin, Outcome};
use chutesaddle_site_link::Frame;

use super::SiteForwarding;
use crate::server::engine::Engine;
use crate::server::messages::FinalAnswer;
use crate::server::metrics::LinkMetrics;
use crate::server::peers::site_messages::{LinkOutbox, SiteLinkEvent};

/// Links that one site may have to this one: its own, and those of the processes that it replaces.
const MAX_LINKS_PER_SITE: usize = 8;

/// A site link that is up.
pub(super) struct SiteLink {
    pub(super) site: String,
    /// This end has dialled: requests of this site go out on it. On the others, requests come in.
    pub(super) dialled: bool,
    pub(super) outbox: LinkOutbox,
}

/// A link that has just come up.
struct NewLink {
    link: LinkId,
    incarnation: Incarnation,
    site_link: SiteLink,
}

impl SiteForwarding {
    /// Sends a frame; a link that takes none any more is closed.
    pub(super) fn send(&mut self, link: LinkId, frame: Frame) {
        if self.links.get(&link).is_some_and(|link| !link.outbox.send(frame)) {
            self.close(link);
        }
    }

    /// Forgets a link that has ended, or closes one: its task ends once its outbox is dropped.
    pub(super) fn close(&mut self, link: LinkId) {
        let Some(closed) = self.links.remove(&link) else { return };
        let same_direction = |other: &SiteLink| other.site == closed.site && other.dialled == closed.dialled;
        let up = self.links.values().any(same_direction);
        self.counters.gateway.link(&closed.site, closed.dialled, |link| {
            *link = LinkMetrics { up, slot_limit: 0, ..*link };
        });
    }
}

impl Engine {
    /// Handles what a site link, an inbound request or the operator has to say.
    pub(in crate::server::engine) fn site_link_event(&mut self, event: SiteLinkEvent) {
        let Some(forwarding) = &mut self.forwarding else { return };
        match event {
            SiteLinkEvent::Up { link, site, incarnation, dialled, outbox } => {
                let site_link = SiteLink { site, dialled, outbox };
                self.link_up(NewLink { link, incarnation: Incarnation(incarnation), site_link });
            }
            SiteLinkEvent::Down(link) => {
                forwarding.close(link);
                self.notify_gateway(GatewayEvent::OutboundLinkDown(link));
                self.notify_gateway(GatewayEvent::InboundLinkDown(link));
            }
            SiteLinkEvent::FrameReceived { link, frame } => self.frame_received(link, frame),
            SiteLinkEvent::OfferWritten { link, request } => {
                self.notify_gateway(GatewayEvent::RequestWritten(link, ForwardedRequestId(request)));
            }
            SiteLinkEvent::RoundTripChanged { link, round_trip } => {
                if let Some(known) = forwarding.links.get(&link) {
                    let metrics = &forwarding.counters.gateway;
                    metrics.link(&known.site, known.dialled, |link| link.round_trip = round_trip);
                }
                self.notify_gateway(GatewayEvent::RoundTripMeasured(link, round_trip));
            }
            SiteLinkEvent::RequestAnswered { origin, answer } => self.inbound_answered(origin, answer),
            SiteLinkEvent::DrainChanged { draining } => self.notify_gateway(GatewayEvent::Drain(draining)),
            SiteLinkEvent::SettingsChanged(config) => self.notify_gateway(GatewayEvent::Configure(*config)),
        }
    }

    /// Adds a link, unless its site is unknown or has too many. Dropping its outbox closes it.
    fn link_up(&mut self, new: NewLink) {
        let Some(forwarding) = &mut self.forwarding else { return };
        let NewLink { link, incarnation, site_link } = new;
        let Some(site) = forwarding.gateway.site(&site_link.site) else { return };
        let dialled = site_link.dialled;
        let same_direction = |other: &&SiteLink| other.site == site_link.site && other.dialled == dialled;
        if forwarding.links.values().filter(same_direction).count() >= MAX_LINKS_PER_SITE {
            return;
        }
        forwarding.counters.gateway.link(&site_link.site, dialled, |link| link.up = true);
        forwarding.links.insert(link, site_link);
        self.notify_gateway(if dialled {
            GatewayEvent::OutboundLinkUp { link, site, incarnation }
        } else {
            GatewayEvent::InboundLinkUp { link, site, incarnation }
        });
    }

    /// A request of another site has its answer here.
    fn inbound_answered(&mut self, origin: Origin, answer: FinalAnswer) {
        let Some(forwarding) = &mut self.forwarding else { return };
        forwarding.inbound.remove(&origin);
        let outcome = match answer {
            FinalAnswer::Served(result) => Outcome::Served(result),
            // One whose name is in use here was not accepted, and nothing of it ran.
            FinalAnswer::RejectedUnstarted | FinalAnswer::DuplicateId => Outcome::Unstarted,
            FinalAnswer::Rejected { .. } => Outcome::Rejected,
            FinalAnswer::Failed | FinalAnswer::Migrated(_) => Outcome::Failed,
        };
        self.notify_gateway(GatewayEvent::InboundRequestEnded(origin, outcome));
    }
}
