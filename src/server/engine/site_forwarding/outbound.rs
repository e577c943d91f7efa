//! Forwards requests of this site to other sites, and handles their return or answer.

use std::time::Duration;

use chutesaddle_gateway::{ForwardedAnswer, ForwardedRequestId, Incarnation, LinkId, NotForwarded};
use chutesaddle_site_link::{Frame, OfferedRequest};

use super::{deduplication_window, ForwardingTransition, OnReturn};
use crate::scheduling::{Event, RequestId, Settings};
use crate::server::engine::request_table::TrackedRequest;
use crate::server::engine::Engine;
use crate::server::messages::FinalAnswer;

/// Minimum time for which the other site keeps an outcome, regardless of the deduplication window of the class.
/// It is slightly longer than the maximum reconnect delay of a link.
const MIN_OUTCOME_RETENTION: Duration = Duration::from_secs(10);

/// Parameters of a forwarded request.
pub(super) struct ForwardParams {
    pub(super) link: LinkId,
    /// ID of the request on the link.
    pub(super) forwarded: ForwardedRequestId,
    /// Incarnation of the remote process that granted the slots.
    pub(super) epoch: Incarnation,
    /// Time until the deadline at the other site.
    pub(super) time_left: Duration,
}

impl Engine {
    /// Sends a request to another site.
    pub(super) fn forward(&mut self, id: RequestId, params: ForwardParams) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.forwarding.is_local() {
            // Take the request from the dispatcher, which might otherwise reject it while it is at the other site.
            let on_return = match self.dispatcher.hand_over(id) {
                Some(record) => OnReturn::Resume(Box::new(record)),
                None => OnReturn::Reject { retry_after_s: self.settings.max_retry_after_s },
            };
            request.forwarding.advance(ForwardingTransition::Forwarded(on_return));
        }
        let window = deduplication_window(&self.settings.classes[request.class]);
        let offered = Box::new(offered_request(&self.settings, request));
        self.counters.class(request.class).crossed.add();
        let Some(forwarding) = &mut self.forwarding else { return };
        let offer = Frame::Offer {
            forwarded: params.forwarded.0,
            epoch: params.epoch.0,
            time_left_us: params.time_left.as_micros() as u64,
            keep_outcome_us: window.max(MIN_OUTCOME_RETENTION).as_micros() as u64,
            request: offered,
        };
        forwarding.send(params.link, offer);
    }

    /// Records that the gateway does not forward a request that it was offered.
    pub(super) fn not_forwarded(&mut self, id: RequestId, reason: NotForwarded) {
        if let Some(request) = self.requests.get_mut(id) {
            request.forwarding.advance(ForwardingTransition::KeptLocal);
        }
        tracing::trace!(request = id.0, ?reason, "request not forwarded");
    }

    /// Handles a forwarded request that was returned unstarted: the dispatcher resumes it, or it is rejected.
    pub(super) fn forwarded_request_returned(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        match request.forwarding.advance(ForwardingTransition::Returned) {
            Some(OnReturn::Resume(record)) => {
                let deadline_s = self.clock.at(request.deadline);
                let record = record.renumbered(id, deadline_s, &[]);
                self.notify_dispatcher(Event::RequestTakenOver(Box::new(record)));
            }
            Some(OnReturn::Reject { retry_after_s }) => {
                self.answer(id, FinalAnswer::Rejected { retry_after_s });
                self.remove_if_finished(id);
            }
            None => {} // the request was not at another site
        }
    }

    /// Answers a forwarded request with the answer from the other site.
    pub(super) fn forwarded_request_answered(&mut self, id: RequestId, answer: ForwardedAnswer) {
        let answer = match answer {
            ForwardedAnswer::Served(result) => FinalAnswer::Served(result),
            ForwardedAnswer::Rejected => {
                FinalAnswer::Rejected { retry_after_s: self.settings.max_retry_after_s }
            }
            ForwardedAnswer::Failed => FinalAnswer::Failed,
        };
        self.answer(id, answer);
        self.remove_if_finished(id);
    }
}

/// Converts a request for a site link. Classes and tenants are sent by name because their indices differ between
/// sites.
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
