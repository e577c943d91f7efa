//! Requests of this site at other sites: how one is forwarded, comes back, or is answered from there.

use std::time::Duration;

use chutesaddle_gateway::{ForwardedAnswer, ForwardedRequestId, Incarnation, LinkId, NotForwarded};
use chutesaddle_site_link::{Frame, OfferedRequest};

use super::{deduplication_window, ForwardingChange, OnReturn};
use crate::scheduling::{Event, RequestId, Settings};
use crate::server::engine::request_table::TrackedRequest;
use crate::server::engine::Engine;
use crate::server::messages::FinalAnswer;

/// The other site keeps an outcome at least this long, whatever the class's window: for the longest wait
/// before a link reconnects, and a little more.
const MIN_OUTCOME_RETENTION: Duration = Duration::from_secs(10);

/// How a request is forwarded.
pub(super) struct Forward {
    pub(super) link: LinkId,
    /// Its number on the link.
    pub(super) forwarded: ForwardedRequestId,
    /// The incarnation of the other process that granted the slots.
    pub(super) epoch: Incarnation,
    /// The time that it has at the other site.
    pub(super) time_left: Duration,
}

impl Engine {
    /// Sends a request to another site.
    pub(super) fn forward(&mut self, id: RequestId, forward: Forward) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.forwarding.is_local() {
            // Nothing of it stays with the dispatcher, which would reject it meanwhile.
            let on_return = match self.dispatcher.hand_over(id) {
                Some(record) => OnReturn::Resume(Box::new(record)),
                None => OnReturn::Reject { retry_after_s: self.settings.max_retry_after_s },
            };
            request.forwarding.change(ForwardingChange::Forwarded(on_return));
        }
        let window = deduplication_window(&self.settings.classes[request.class]);
        let offered = Box::new(offered_request(&self.settings, request));
        self.counters.class(request.class).crossed.add();
        let Some(forwarding) = &mut self.forwarding else { return };
        let offer = Frame::Offer {
            forwarded: forward.forwarded.0,
            epoch: forward.epoch.0,
            time_left_us: forward.time_left.as_micros() as u64,
            keep_outcome_us: window.max(MIN_OUTCOME_RETENTION).as_micros() as u64,
            request: offered,
        };
        forwarding.send(forward.link, offer);
    }

    /// The gateway does not forward a request that it was offered.
    pub(super) fn not_forwarded(&mut self, id: RequestId, reason: NotForwarded) {
        if let Some(request) = self.requests.get_mut(id) {
            request.forwarding.change(ForwardingChange::Kept);
        }
        tracing::trace!(request = id.0, ?reason, "request not forwarded");
    }

    /// A forwarded request never ran elsewhere: the dispatcher resumes it, or it is rejected.
    pub(super) fn forwarded_request_returned(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        match request.forwarding.change(ForwardingChange::Returned) {
            Some(OnReturn::Resume(record)) => {
                let deadline_s = self.clock.at(request.deadline);
                let record = record.renumbered(id, deadline_s, &[]);
                self.notify_dispatcher(Event::RequestTakenOver(Box::new(record)));
            }
            Some(OnReturn::Reject { retry_after_s }) => {
                self.answer(id, FinalAnswer::Rejected { retry_after_s });
                self.forget_if_done(id);
            }
            None => {} // it was not at another site
        }
    }

    /// A forwarded request has its final answer.
    pub(super) fn forwarded_request_answered(&mut self, id: RequestId, answer: ForwardedAnswer) {
        let answer = match answer {
            ForwardedAnswer::Served(result) => FinalAnswer::Served(result),
            ForwardedAnswer::Rejected => {
                FinalAnswer::Rejected { retry_after_s: self.settings.max_retry_after_s }
            }
            ForwardedAnswer::Failed => FinalAnswer::Failed,
        };
        self.answer(id, answer);
        self.forget_if_done(id);
    }
}

/// A request as a link carries it. Classes and tenants go by name: their numbers are each site's own.
fn offered_request(settings: &Settings, request: &TrackedRequest) -> OfferedRequest {
    let payload = &request.payload;
    OfferedRequest {
        class: settings.classes[request.class].name.clone(),
        tenant: settings.tenants.get(request.tenant).map(|tenant| tenant.name.clone()).unwrap_or_default(),
        estimated_work_s: request.estimated_work_s,
        slots: request.slots,
        memory: request.memory,
        request_id: payload.name.clone(),
        target: payload.target.clone(),
        key: payload.key.clone(),
        content_type: payload.content_type.clone(),
        body: payload.body.clone(),
    }
}
