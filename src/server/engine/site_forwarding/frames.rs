//! Received frames as events of the gateway.
//!
//! Each frame is for one direction: the end that dialled receives grants and outcomes, the other end receives
//! offers and questions. A link on which one arrives at the wrong end is closed.

use std::time::Duration;

use chutesaddle_gateway::{Event as GatewayEvent, ForwardedRequestId, Incarnation, LinkId};
use chutesaddle_site_link::Frame;

use super::candidates::whole_slots;
use super::{PendingOffer, SiteForwarding, MAX_WINDOW};
use crate::server::engine::Engine;

impl Engine {
    /// Handles a frame that was received on a site link.
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
    /// What a frame means to the gateway; nothing where it cannot be used.
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
                // An offer of a peer that is not listed any more has an origin too: it is given back.
                let origin = self.gateway.origin(link, id(forwarded))?;
                let slots = whole_slots(request.slots);
                self.pending_offer = Some(PendingOffer { origin, request });
                GatewayEvent::RequestOffered {
                    link,
                    forwarded: id(forwarded),
                    epoch: Incarnation(epoch),
                    slots,
                    time_left: Duration::from_micros(time_left_us),
                    keep_outcome: Duration::from_micros(keep_outcome_us).min(MAX_WINDOW),
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
