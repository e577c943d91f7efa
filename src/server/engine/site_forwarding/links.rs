//! The site links that are up, and the events received from them.

use chutesaddle_gateway::{Event as GatewayEvent, ForwardedRequestId, Incarnation, LinkId, Origin, Outcome};
use chutesaddle_site_link::Frame;

use super::SiteForwarding;
use crate::server::engine::Engine;
use crate::server::messages::FinalAnswer;
use crate::server::metrics::LinkMetrics;
use crate::server::peers::site_messages::{LinkOutbox, SiteLinkEvent};

/// Maximum number of links with one site in each direction. During an upgrade, a site has a link for each of its
/// processes.
const MAX_LINKS_PER_SITE: usize = 8;

/// A site link that is up.
pub(super) struct SiteLink {
    pub(super) site: String,
    /// True if this side dialled the link. Requests are forwarded from the dialling to the accepting side.
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
    /// Sends a frame. Closes the link if its outbox no longer accepts frames.
    pub(super) fn send(&mut self, link: LinkId, frame: Frame) {
        if self.links.get(&link).is_some_and(|link| !link.outbox.send(frame)) {
            self.close(link);
        }
    }

    /// Removes a link. Dropping its outbox ends its task if it is still running.
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
    /// Handles an event from a site link, an inbound request or the operator.
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

    /// Adds a link, unless its site is unknown or already has [`MAX_LINKS_PER_SITE`] links. A link that is not added
    /// is closed by dropping its outbox.
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

    /// Notifies the gateway of the outcome of a request from another site.
    fn inbound_answered(&mut self, origin: Origin, answer: FinalAnswer) {
        let Some(forwarding) = &mut self.forwarding else { return };
        forwarding.inbound_tasks.remove(&origin);
        let outcome = match answer {
            FinalAnswer::Served(result) => Outcome::Served(result),
            // A request with a duplicate ID was not accepted, so it never ran.
            FinalAnswer::RejectedUnstarted | FinalAnswer::DuplicateId => Outcome::Unstarted,
            FinalAnswer::Rejected { .. } => Outcome::Rejected,
            // Its own site must not run it: it may have run here.
            FinalAnswer::Failed | FinalAnswer::RepeatedId | FinalAnswer::Migrated(_) => Outcome::Failed,
        };
        self.notify_gateway(GatewayEvent::InboundRequestEnded(origin, outcome));
    }
}
