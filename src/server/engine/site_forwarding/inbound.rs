//! Runs requests from other sites. Each is submitted to the engine like a client's request, and a task waits for
//! its answer in place of the client.

use std::time::Duration;

use chutesaddle_gateway::{Event as GatewayEvent, LinkId, Origin, Outcome};
use chutesaddle_site_link::{Frame, OfferedRequest};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::SiteForwarding;
use crate::config::names;
use crate::scheduling::Settings;
use crate::server::engine::Engine;
use crate::server::engine_queue::EngineMessage;
use crate::server::memory_budget::HeldMemory;
use crate::server::messages::{affinity_key_of, ClientRequest, RequestPayload};
use crate::server::peers::site_messages::SiteLinkEvent;

/// Indices of a request's class and tenant in the settings of this site.
struct LocalIndices {
    class: usize,
    tenant: usize,
}

impl SiteForwarding {
    /// Aborts the task of a request from another site whose client has disconnected. The engine then treats the
    /// request as disconnected.
    pub(super) fn abort_inbound(&mut self, origin: Origin) {
        if let Some(task) = self.inbound_tasks.remove(&origin) {
            task.abort();
        }
    }

    fn is_bound_elsewhere(&self, offered: &OfferedRequest) -> bool {
        offered.key.as_ref().is_some_and(|key| self.gateway.bound_elsewhere(self.now(), key))
    }
}

impl Engine {
    /// Accepts the offer that the gateway has just approved. The request is returned unstarted if this site does
    /// not know its class or tenant, or if its idempotency key is bound to another site.
    pub(super) fn accept_offer(&mut self, link: LinkId, origin: Origin, time_left: Duration) {
        let Some(forwarding) = &mut self.forwarding else { return };
        let Some(offer) = forwarding.pending_offer.take().filter(|offer| offer.origin == origin) else {
            return;
        };
        let indices = local_indices(&self.settings, &offer.request);
        let Some(indices) = indices.filter(|_| !forwarding.is_bound_elsewhere(&offer.request)) else {
            self.notify_gateway(GatewayEvent::InboundRequestEnded(origin, Outcome::Unstarted));
            return;
        };
        forwarding.send(link, Frame::Accepted(origin.forwarded.0));
        let request = client_request(*offer.request, indices, origin, Instant::now() + time_left);
        let mut pending = self.queue.submit_inbound(Box::new(request));
        let queue = self.queue.clone();
        let task = spawn_local(async move {
            let answer = pending.reply().await;
            queue.send(EngineMessage::SiteLink(Box::new(SiteLinkEvent::RequestAnswered { origin, answer })));
        });
        forwarding.inbound_tasks.insert(origin, task.abort_handle());
    }
}

fn local_indices(settings: &Settings, offered: &OfferedRequest) -> Option<LocalIndices> {
    let class = names::find_class(settings, &offered.class)?;
    if settings.tenants.is_empty() {
        return Some(LocalIndices { class, tenant: 0 });
    }
    let tenant = names::find_tenant(settings, &offered.tenant)?;
    Some(LocalIndices { class, tenant })
}

fn client_request(
    offered: OfferedRequest,
    indices: LocalIndices,
    origin: Origin,
    deadline: Instant,
) -> ClientRequest {
    let OfferedRequest {
        estimated_work_s, slots, memory, request_id, target, key, content_type, body, ..
    } = offered;
    ClientRequest {
        class: indices.class,
        tenant: indices.tenant,
        deadline,
        slots: slots.max(0.0),
        memory: memory.max(0.0),
        estimated_work_s,
        affinity_key: affinity_key_of(&target),
        payload: RequestPayload {
            name: request_id,
            target,
            key,
            content_type,
            body,
            held: HeldMemory::default(),
        },
        origin: Some(origin),
    }
}
