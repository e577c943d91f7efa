//! Accepts or returns requests from peers and reports their status and outcome to their senders.

use crate::load_state::LoadState;
use crate::{
    Action, ForwardedRequestId, Incarnation, LinkId, Origin, Outcome, RemoteStatus, ReturnReason, Time,
};

use super::Gateway;

/// A request offered to this site by a peer.
pub(super) struct Offer {
    pub(super) link: LinkId,
    pub(super) forwarded: ForwardedRequestId,
    /// The incarnation that granted the capacity used by the request.
    pub(super) epoch: Incarnation,
    pub(super) slots: u32,
    pub(super) time_left: Time,
    /// How long to store the outcome after the request ends.
    pub(super) outcome_retention: Time,
}

impl Gateway {
    /// Returns the origin of a request received on an inbound link, including links of peers that are no
    /// longer listed.
    pub fn origin(&self, link: LinkId, forwarded: ForwardedRequestId) -> Option<Origin> {
        let inbound = self.inbound_links.get(&link)?;
        Some(Origin { site: inbound.site, incarnation: inbound.incarnation, forwarded })
    }

    /// Accepts an offered request or returns it. Reports the status again if the request is a duplicate.
    pub(super) fn handle_offer(&mut self, now: Time, offer: Offer, actions: &mut Vec<Action>) {
        let Some(origin) = self.origin(offer.link, offer.forwarded) else { return };
        let Some(inbound) = self.inbound_links.get_mut(&offer.link) else { return };
        // A returned request counts too, because the sender counts its credit as used.
        let within_grant = inbound.grant.record_received(now, offer.slots) && offer.epoch == self.incarnation;
        if self.ledger.lookup(origin).status != RemoteStatus::NeverReceived {
            self.statistics.duplicates += 1;
            self.send_status(offer.link, origin, actions);
            return;
        }
        if let Err(reason) = self.check_offer(&offer, origin, within_grant) {
            self.statistics.returned_to_peers += 1;
            actions.push(Action::ReturnUnstarted(offer.link, offer.forwarded, reason));
            return;
        }
        self.ledger.accept(origin, offer.outcome_retention);
        self.statistics.accepted += 1;
        self.load.record_accepted(offer.slots);
        actions.push(Action::Accept { link: offer.link, origin, time_left: offer.time_left });
    }

    /// Checks whether a new request may be accepted.
    fn check_offer(&self, offer: &Offer, origin: Origin, within_grant: bool) -> Result<(), ReturnReason> {
        if self.draining || !self.is_listed(origin.site) {
            return Err(ReturnReason::NotAccepting);
        }
        if self.load.state() == LoadState::Shedding {
            return Err(ReturnReason::Shedding);
        }
        if !within_grant {
            return Err(ReturnReason::ExceedsGrant);
        }
        if offer.time_left.is_zero() {
            return Err(ReturnReason::TooLate);
        }
        Ok(())
    }

    pub(super) fn handle_cancel(&mut self, link: LinkId, id: ForwardedRequestId, actions: &mut Vec<Action>) {
        let Some(origin) = self.origin(link, id) else { return };
        if self.ledger.cancel(origin) {
            actions.push(Action::CancelInbound(origin));
        }
    }

    pub(super) fn handle_status_query(
        &mut self,
        link: LinkId,
        ids: Vec<ForwardedRequestId>,
        actions: &mut Vec<Action>,
    ) {
        for id in ids {
            let Some(origin) = self.origin(link, id) else { return };
            self.send_status(link, origin, actions);
        }
    }

    /// Sends the outcome if it is known, otherwise the status.
    fn send_status(&self, link: LinkId, origin: Origin, actions: &mut Vec<Action>) {
        let entry = self.ledger.lookup(origin);
        actions.push(match entry.outcome {
            Some(outcome) => Action::SendOutcome(link, origin.forwarded, outcome),
            None => Action::SendStatus(link, origin.forwarded, entry.status),
        });
    }

    pub(super) fn handle_acknowledgement(&mut self, link: LinkId, id: ForwardedRequestId) {
        if let Some(origin) = self.origin(link, id) {
            self.ledger.acknowledge(origin);
        }
    }

    /// Records how a request from a peer ended here and notifies its sender if there is a link to it.
    pub(super) fn handle_inbound_end(
        &mut self,
        now: Time,
        origin: Origin,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if !self.ledger.end(now, origin, outcome.clone()) {
            return;
        }
        if let Some(link) = self.link_to_sender(origin) {
            actions.push(match outcome {
                Outcome::Unstarted => Action::ReturnUnstarted(link, origin.forwarded, ReturnReason::Rejected),
                Outcome::Served(_) | Outcome::Rejected | Outcome::Failed => {
                    Action::SendOutcome(link, origin.forwarded, outcome)
                }
            });
        }
        self.ledger.forget(now, self.config.max_stored_outcomes, self.config.max_stored_bytes);
    }

    fn link_to_sender(&self, origin: Origin) -> Option<LinkId> {
        let sender = (origin.site, origin.incarnation);
        let link = self.inbound_links.iter().find(|(_, link)| (link.site, link.incarnation) == sender);
        link.map(|(id, _)| *id)
    }
}
