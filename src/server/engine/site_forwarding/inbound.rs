//! Requests of other sites at this one: each is submitted to the engine like a client's, by a task that waits
//! for its answer in the client's place.

use std::time::Duration;

use chutesaddle_gateway::{Event as GatewayEvent, LinkId, Origin, Outcome};
use chutesaddle_site_link::{Frame, OfferedRequest};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::SiteForwarding;
use crate::scheduling::Settings;
use crate::server::engine::Engine;
use crate::server::engine_queue::EngineMessage;
use crate::server::messages::{affinity_key_of, ClientRequest, RequestPayload};
use crate::server::peers::site_messages::SiteLinkEvent;

/// The class and tenant of a request in the numbers of this site.
struct LocalNumbers {
    class: usize,
    tenant: usize,
}

impl SiteForwarding {
    /// The client of a request of another site has disconnected: without its task, the request counts as one
    /// whose client is gone.
    pub(super) fn abort_inbound(&mut self, origin: Origin) {
        if let Some(task) = self.inbound.remove(&origin) {
            task.abort();
        }
    }

    fn is_bound_elsewhere(&self, offered: &OfferedRequest) -> bool {
        offered.key.as_ref().is_some_and(|key| self.gateway.bound_elsewhere(self.now(), key))
    }
}

impl Engine {
    /// Accepts the offer that the gateway has just decided on. It is given back unstarted where this site
    /// does not know its class or tenant, or where its idempotency key is bound to another site.
    pub(super) fn accept_offer(&mut self, link: LinkId, origin: Origin, time_left: Duration) {
        let Some(forwarding) = &mut self.forwarding else { return };
        let Some(offer) = forwarding.pending_offer.take().filter(|offer| offer.origin == origin) else {
            return;
        };
        let numbers = local_numbers(&self.settings, &offer.request);
        let Some(numbers) = numbers.filter(|_| !forwarding.is_bound_elsewhere(&offer.request)) else {
            self.notify_gateway(GatewayEvent::InboundRequestEnded(origin, Outcome::Unstarted));
            return;
        };
        forwarding.send(link, Frame::Accepted(origin.forwarded.0));
        let request = client_request(*offer.request, numbers, origin, Instant::now() + time_left);
        let mut pending = self.queue.submit(Box::new(request));
        let queue = self.queue.clone();
        let task = spawn_local(async move {
            let answer = pending.reply().await;
            queue.send(EngineMessage::SiteLink(Box::new(SiteLinkEvent::RequestAnswered { origin, answer })));
        });
        forwarding.inbound.insert(origin, task.abort_handle());
    }
}

fn local_numbers(settings: &Settings, offered: &OfferedRequest) -> Option<LocalNumbers> {
    let class = settings.classes.iter().position(|class| class.name == offered.class)?;
    if settings.tenants.is_empty() {
        return Some(LocalNumbers { class, tenant: 0 });
    }
    let tenant = settings.tenants.iter().position(|tenant| tenant.name == offered.tenant)?;
    Some(LocalNumbers { class, tenant })
}

fn client_request(
    offered: OfferedRequest,
    numbers: LocalNumbers,
    origin: Origin,
    deadline: Instant,
) -> ClientRequest {
    let OfferedRequest {
        estimated_work_s, slots, memory, request_id, target, key, content_type, body, ..
    } = offered;
    ClientRequest {
        class: numbers.class,
        tenant: numbers.tenant,
        deadline,
        slots: slots.max(0.0),
        memory: memory.max(0.0),
        estimated_work_s,
        affinity_key: affinity_key_of(&target),
        payload: RequestPayload { name: request_id, target, key, content_type, body },
        origin: Some(origin),
    }
}
