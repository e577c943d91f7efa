//! Handles sites and links: which links are up, and what happens when a link comes up or goes down.
//!
//! A link has no state machine here: it is in the map while it is up. The handshake that precedes this is in
//! `chutesaddle-site-link`.

use crate::capacity_grant::CapacityGrant;
use crate::credit::Credit;
use crate::forwarded_request::{ForwardedRequest, ForwardingStage, Transition};
use crate::{Action, ForwardedRequestId, Incarnation, LinkId, SiteId, Time};

use super::Gateway;

/// A site that the operator lists or has listed.
#[derive(Debug)]
pub(super) struct PeerSite {
    pub(super) name: String,
    pub(super) shares_keys: bool,
    /// Maximum number of forwarded requests open at this site at once.
    pub(super) max_open_requests: usize,
    /// False once the operator has removed the site from the settings.
    pub(super) listed: bool,
}

/// The process of a peer site that dialled an inbound link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerProcess {
    pub(super) site: SiteId,
    pub(super) incarnation: Incarnation,
}

/// A link on which this site forwards requests.
#[derive(Debug)]
pub(super) struct OutboundLink {
    pub(super) site: SiteId,
    pub(super) incarnation: Incarnation,
    pub(super) credit: Credit,
    /// `None` until measured; nothing is forwarded before.
    pub(super) round_trip: Option<Time>,
    /// Number of forwarded requests open on this link.
    pub(super) open: usize,
}

/// A link on which this site receives requests from a peer.
#[derive(Debug)]
pub(super) struct InboundLink {
    pub(super) site: SiteId,
    pub(super) incarnation: Incarnation,
    pub(super) grant: CapacityGrant,
    /// Number of slots in the last grant.
    pub(super) granted_slots: u32,
    /// When the next renewal of the grant is due.
    pub(super) renew_at: Time,
}

impl Gateway {
    pub(super) fn outbound_link_up(
        &mut self,
        link: LinkId,
        site: SiteId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let replaced = self.replace_outbound_links(site, incarnation, actions);
        let new = OutboundLink { site, incarnation, credit: Credit::default(), round_trip: None, open: 0 };
        self.outbound_links.insert(link, new);
        for old in replaced {
            self.lose_sent_requests(old, actions);
        }
        self.resume_in_doubt(link, site, incarnation, actions);
    }

    /// Closes older links to the same incarnation, and returns them. A second link replaces the first, which must be
    /// dead even if this side has not noticed.
    fn replace_outbound_links(
        &mut self,
        site: SiteId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) -> Vec<LinkId> {
        let is_same_peer = |link: &OutboundLink| (link.site, link.incarnation) == (site, incarnation);
        let replaced: Vec<LinkId> =
            self.outbound_links.iter().filter(|(_, link)| is_same_peer(link)).map(|(id, _)| *id).collect();
        for old in &replaced {
            self.outbound_links.remove(old);
            actions.push(Action::CloseLink(*old));
        }
        replaced
    }

    /// Puts the requests that were sent on a replaced link in doubt. Those that are not sent stay on it until it has
    /// ended: before that they may still be written.
    fn lose_sent_requests(&mut self, link: LinkId, actions: &mut Vec<Action>) {
        for id in self.requests_on(link) {
            let is_sent =
                self.forwarded.get(&id).is_some_and(|request| request.stage != ForwardingStage::Unsent);
            if is_sent {
                self.advance(id, Transition::LinkDown, actions);
            }
        }
    }

    /// Moves the requests in doubt at a site to its new link and queries their status.
    fn resume_in_doubt(
        &mut self,
        link: LinkId,
        site: SiteId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let is_in_doubt = |request: &ForwardedRequest| {
            request.site == site && request.stage == ForwardingStage::InDoubt && request.link != link
        };
        let in_doubt: Vec<ForwardedRequestId> =
            self.forwarded.iter().filter(|(_, request)| is_in_doubt(request)).map(|(id, _)| *id).collect();
        let mut queried = Vec::new();
        for id in in_doubt {
            let Some(request) = self.forwarded.get_mut(&id) else { continue };
            if request.incarnation != incarnation {
                self.advance(id, Transition::PeerRestarted, actions);
                continue;
            }
            request.link = link;
            let client_waits = request.request.is_some();
            self.statistics.resumed += 1;
            if let Some(outbound) = self.outbound_links.get_mut(&link) {
                outbound.open += 1;
            }
            if client_waits {
                queried.push(id);
            } else {
                actions.push(Action::SendCancel(link, id));
            }
        }
        if !queried.is_empty() {
            actions.push(Action::QueryStatus(link, queried));
        }
    }

    /// Handles the end of a link: nothing more is written on it. Requests that were written after the link had been
    /// replaced are resumed on its replacement.
    pub(super) fn outbound_link_down(&mut self, link: LinkId, actions: &mut Vec<Action>) {
        let was_replaced = self.outbound_links.remove(&link).is_none();
        let affected = self.requests_on(link);
        let peer = affected.first().and_then(|id| self.forwarded.get(id));
        let peer = peer.map(|request| (request.site, request.incarnation));
        for id in affected {
            self.advance(id, Transition::LinkDown, actions);
        }
        let Some((site, incarnation)) = peer.filter(|_| was_replaced) else { return };
        let is_replacement = |link: &OutboundLink| (link.site, link.incarnation) == (site, incarnation);
        let replacement =
            self.outbound_links.iter().find(|(_, link)| is_replacement(link)).map(|(id, _)| *id);
        if let Some(replacement) = replacement {
            self.resume_in_doubt(replacement, site, incarnation, actions);
        }
    }

    /// The open requests on a link that are not in doubt.
    fn requests_on(&self, link: LinkId) -> Vec<ForwardedRequestId> {
        let is_on_link =
            |request: &ForwardedRequest| request.link == link && request.stage != ForwardingStage::InDoubt;
        self.forwarded.iter().filter(|(_, request)| is_on_link(request)).map(|(id, _)| *id).collect()
    }

    pub(super) fn round_trip_measured(&mut self, link: LinkId, round_trip: Time) {
        if let Some(outbound) = self.outbound_links.get_mut(&link) {
            outbound.round_trip = Some(round_trip);
        }
    }

    pub(super) fn credit_granted(&mut self, link: LinkId, epoch: Incarnation, limit: u64, expires_at: Time) {
        let Some(outbound) = self.outbound_links.get_mut(&link) else { return };
        // The limit of another incarnation counts slots that were not used on this link.
        if outbound.incarnation == epoch {
            outbound.credit.set_limit(limit, expires_at);
        }
    }

    /// Adds an inbound link and closes older links from the same incarnation. A sender that dials again has
    /// lost its old link, even if this side has not noticed. Requests that still arrive on the old link must
    /// not be accepted, because status queries on the new link may already have reported them as never
    /// received.
    pub(super) fn inbound_link_up(
        &mut self,
        now: Time,
        link: LinkId,
        peer: PeerProcess,
        actions: &mut Vec<Action>,
    ) {
        let PeerProcess { site, incarnation } = peer;
        let is_same_peer = |link: &InboundLink| (link.site, link.incarnation) == (site, incarnation);
        let replaced: Vec<LinkId> =
            self.inbound_links.iter().filter(|(_, link)| is_same_peer(link)).map(|(id, _)| *id).collect();
        for old in replaced {
            self.inbound_links.remove(&old);
            actions.push(Action::CloseLink(old));
        }
        let grant = CapacityGrant::default();
        let new = InboundLink { site, incarnation, grant, granted_slots: 0, renew_at: now };
        self.inbound_links.insert(link, new);
    }

    pub(super) fn inbound_link_down(&mut self, link: LinkId) {
        self.inbound_links.remove(&link);
    }

    /// Closes the links of unlisted sites that have no open requests.
    pub(super) fn close_unlisted_links(&self, actions: &mut Vec<Action>) {
        for (id, link) in &self.outbound_links {
            if !self.is_listed(link.site) && !self.needs_link_to(link.site) {
                actions.push(Action::CloseLink(*id));
            }
        }
        for (id, link) in &self.inbound_links {
            if !self.is_listed(link.site) && !self.ledger.has_running_from(link.site) {
                actions.push(Action::CloseLink(*id));
            }
        }
    }
}
