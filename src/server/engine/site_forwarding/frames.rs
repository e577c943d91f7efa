//! Received frames as events of the gateway.
//!
//! Each frame is for one direction: the end that dialled receives grants and outcomes, the other end receives
//! offers and questions. A link on which one arrives at the wrong end is closed.

use std::time::Duration;

use chutesaddle_gateway::{CrossingId, Event as GatewayEvent, Instance, LinkId};
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
        let known = self.links.get(&link)?;
        let id = CrossingId;
        Some(match (known.dialled, frame) {
            (true, Frame::Grant { epoch, limit, term_us }) => {
                self.counters.gateway.link(&known.site, true, |figures| figures.room = limit);
                let term = Duration::from_micros(term_us);
                GatewayEvent::Granted { link, epoch: Instance(epoch), limit, term }
            }
            (true, Frame::Taken(crossing)) => GatewayEvent::Taken(link, id(crossing)),
            (true, Frame::GivenBack(crossing, _)) => GatewayEvent::Returned(link, id(crossing)),
            (true, Frame::Ended(crossing, outcome)) => {
                GatewayEvent::AttemptEnded(link, id(crossing), outcome)
            }
            (true, Frame::Told(crossing, known)) => GatewayEvent::Told(link, id(crossing), known),
            (false, Frame::Offer { crossing, epoch, left_us, keep_us, job }) => {
                // An offer of a peer that is not listed any more has an origin too: it is given back.
                let origin = self.gateway.origin(link, id(crossing))?;
                let slots = whole_slots(job.slots);
                self.pending_offer = Some(PendingOffer { origin, job });
                GatewayEvent::Offered {
                    link,
                    crossing: id(crossing),
                    epoch: Instance(epoch),
                    slots,
                    left: Duration::from_micros(left_us),
                    keep: Duration::from_micros(keep_us).min(MAX_WINDOW),
                }
            }
            (false, Frame::Withdraw(crossing)) => GatewayEvent::Withdrawn(link, id(crossing)),
            (false, Frame::Ask(crossings)) => {
                GatewayEvent::Asked(link, crossings.into_iter().map(id).collect())
            }
            (false, Frame::Acknowledge(crossing)) => GatewayEvent::Acknowledged(link, id(crossing)),
            (dialled, frame) => {
                let site = &known.site;
                tracing::warn!(site, dialled, ?frame, "unexpected frame on a site link, closing the link");
                self.close(link);
                return None;
            }
        })
    }
}
