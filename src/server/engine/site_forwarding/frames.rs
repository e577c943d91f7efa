//! Converts received frames to gateway events.
//!
//! Each frame type has one direction: the dialling side receives grants and outcomes, the accepting side
//! receives offers and status queries. A frame in the wrong direction closes the link.

use std::time::Duration;

use chutesaddle_gateway::{Event as GatewayEvent, ForwardedRequestId, Incarnation, LinkId};
use chutesaddle_site_link::Frame;

use super::candidates::round_up_slots;
use super::{PendingOffer, SiteForwarding, MAX_RETENTION};
use crate::server::engine::Engine;

impl Engine {
    /// Handles a frame received on a site link.
    pub(super) fn frame_received(&mut self, link: LinkId, frame: Frame) {
        let Some(forwarding) = &mut self.forwarding else { return };
        let Some(event) = forwarding.frame_event(link, frame) else { return };
        self.notify_gateway(event);
        if let Some(forwarding) = &mut self.forwarding {
            forwarding.pending_offer = None; // the gateway has decided on it
        }
    }
}

impl SiteForwarding {
    /// Converts a frame to a gateway event. Returns `None` if the frame cannot be used.
    fn frame_event(&mut self, link: LinkId, frame: Frame) -> Option<GatewayEvent> {
        let site_link = self.links.get(&link)?;
        let id = ForwardedRequestId;
        Some(match (site_link.dialled, frame) {
            (true, Frame::Grant { epoch, limit, term_us }) => {
                self.counters.gateway.link(&site_link.site, true, |link| link.slot_limit = limit);
                let term = Duration::from_micros(term_us);
                GatewayEvent::CreditGranted { link, epoch: Incarnation(epoch), limit, term }
            }
            (true, Frame::Accepted(number)) => GatewayEvent::RequestAccepted(link, id(number)),
            (true, Frame::Returned(number, _)) => GatewayEvent::RequestReturned(link, id(number)),
            (true, Frame::Ended(number, outcome)) => GatewayEvent::RequestEnded(link, id(number), outcome),
            (true, Frame::Status(number, status)) => GatewayEvent::StatusReceived(link, id(number), status),
            (false, Frame::Offer { forwarded, epoch, time_left_us, keep_outcome_us, request }) => {
                // A peer that is no longer configured has an origin too; its offer is returned.
                let origin = self.gateway.origin(link, id(forwarded))?;
                let slots = round_up_slots(request.slots);
                self.pending_offer = Some(PendingOffer { origin, request });
                GatewayEvent::RequestOffered {
                    link,
                    forwarded: id(forwarded),
                    epoch: Incarnation(epoch),
                    slots,
                    time_left: Duration::from_micros(time_left_us),
                    outcome_retention: Duration::from_micros(keep_outcome_us).min(MAX_RETENTION),
                }
            }
            (false, Frame::Cancel(number)) => GatewayEvent::RequestCancelled(link, id(number)),
            (false, Frame::StatusQuery(numbers)) => {
                GatewayEvent::StatusQueried(link, numbers.into_iter().map(id).collect())
            }
            (false, Frame::Acknowledge(number)) => GatewayEvent::OutcomeAcknowledged(link, id(number)),
            (dialled, frame) => {
                let site = &site_link.site;
                tracing::warn!(site, dialled, ?frame, "unexpected frame on a site link, closing the link");
                self.close(link);
                return None;
            }
        })
    }
}
