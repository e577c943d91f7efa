//! Tracks forwarded requests from the routing decision to the client's answer.
//!
//! Only [`Gateway::advance`] changes or ends a forwarded request. The stages are in `forwarded_request`.

use crate::forwarded_request::{Decision, ForwardedRequest, ForwardingStage, Transition};
use crate::idempotency_store::{KeyLocation, RecordNumber};
use crate::{
    Action, Candidate, ForwardedRequestId, Idempotency, LinkId, LocalRequestId, NotForwarded, SiteId, Time,
};

use super::Gateway;

/// The client is answered this fraction of the forwarding margin before it gives up.
const ANSWER_MARGIN_DIVISOR: u32 = 4;

impl Gateway {
    /// Forwards the candidates that may be forwarded. Requests within their tenant's quota go first, then
    /// those with the highest priority, then those that must start soonest.
    pub(super) fn handle_candidates(
        &mut self,
        now: Time,
        mut candidates: Vec<Candidate>,
        actions: &mut Vec<Action>,
    ) {
        candidates.sort_by(|a, b| {
            let by_priority = b.priority.total_cmp(&a.priority).then(a.start_in.cmp(&b.start_in));
            b.within_quota.cmp(&a.within_quota).then(by_priority).then(a.request.cmp(&b.request))
        });
        for candidate in candidates {
            let request = candidate.request;
            let forwarded =
                self.route(now, &candidate).and_then(|link| self.forward(now, candidate, link, actions));
            if let Err(reason) = forwarded {
                actions.push(Action::KeepLocal(request, reason));
            }
        }
    }

    /// Forwards a candidate on the link chosen by [`Gateway::route`].
    fn forward(
        &mut self,
        now: Time,
        candidate: Candidate,
        link: LinkId,
        actions: &mut Vec<Action>,
    ) -> Result<(), NotForwarded> {
        let Candidate { request, idempotency, slots, time_left, .. } = candidate;
        let Some(outbound) = self.outbound_links.get(&link) else {
            return Err(NotForwarded::NoPeerCapacity); // unreachable: `route` chose an existing link
        };
        let (site, incarnation) = (outbound.site, outbound.incarnation);
        let round_trip = outbound.round_trip.unwrap_or_default();
        let key_record = self.record_key(now, &idempotency, site, time_left)?;
        self.consume_credit(now, link, slots)?;
        self.last_forwarded_id += 1;
        let id = ForwardedRequestId(self.last_forwarded_id);
        let forwarded = ForwardedRequest {
            request: Some(request),
            site,
            link,
            incarnation,
            idempotency,
            key_record,
            shares_keys: self.shares_keys(site),
            give_up_at: now + time_left - self.config.forwarding_margin / ANSWER_MARGIN_DIVISOR,
            stage: ForwardingStage::Unsent,
        };
        self.forwarded.insert(id, forwarded);
        self.forwarded_by_request.insert(request, id);
        self.statistics.forwarded += 1;
        self.load.record_forwarded(now);
        let time_left = time_left - round_trip - self.config.forwarding_margin;
        actions.push(Action::Forward { request, link, forwarded: id, epoch: incarnation, time_left });
        Ok(())
    }

    /// Binds the idempotency key of a request to the site to which it is forwarded. The deduplication window
    /// is counted from the latest time at which the request could start there.
    fn record_key(
        &mut self,
        now: Time,
        idempotency: &Idempotency,
        site: SiteId,
        time_left: Time,
    ) -> Result<Option<RecordNumber>, NotForwarded> {
        let Idempotency::WithKey { key, window } = idempotency else { return Ok(None) };
        let location = KeyLocation::Remote(site);
        let record = self.keys.record(now, key, location, time_left + *window, self.config.max_keys);
        record.map(Some).ok_or(NotForwarded::KeyBoundElsewhere)
    }

    fn consume_credit(&mut self, now: Time, link: LinkId, slots: u32) -> Result<(), NotForwarded> {
        let Some(outbound) = self.outbound_links.get_mut(&link) else {
            return Err(NotForwarded::NoPeerCapacity);
        };
        if !outbound.credit.consume(now, slots) {
            return Err(NotForwarded::NoPeerCapacity); // unreachable: `route` checked the credit
        }
        outbound.open += 1;
        Ok(())
    }

    pub(super) fn handle_client_disconnect(&mut self, request: LocalRequestId, actions: &mut Vec<Action>) {
        let Some(id) = self.forwarded_by_request.remove(&request) else { return };
        let Some(forwarded) = self.forwarded.get_mut(&id) else { return };
        forwarded.request = None;
        // A request in doubt has no link. The cancellation is sent when the next link is up.
        if forwarded.stage != ForwardingStage::InDoubt {
            actions.push(Action::SendCancel(forwarded.link, id));
        }
    }

    /// Handles an event received on a link. It applies only if the request is currently on that link.
    pub(super) fn handle_link_event(
        &mut self,
        link: LinkId,
        id: ForwardedRequestId,
        transition: Transition,
        actions: &mut Vec<Action>,
    ) {
        if self.forwarded.get(&id).is_some_and(|request| request.link == link) {
            self.advance(id, transition, actions);
        } else if matches!(transition, Transition::Ended(_)) {
            // The client has been answered, so the peer can drop the outcome.
            actions.push(Action::AcknowledgeOutcome(link, id));
        }
    }

    /// Ends the requests whose clients are about to give up.
    pub(super) fn expire_forwarded(&mut self, now: Time, actions: &mut Vec<Action>) {
        let is_expired = |request: &ForwardedRequest| request.give_up_at <= now;
        let expired: Vec<ForwardedRequestId> =
            self.forwarded.iter().filter(|(_, request)| is_expired(request)).map(|(id, _)| *id).collect();
        for id in expired {
            self.advance(id, Transition::DeadlineNear, actions);
        }
    }

    /// Applies a transition to a forwarded request and, if that ends it, carries out the decision.
    pub(super) fn advance(
        &mut self,
        id: ForwardedRequestId,
        transition: Transition,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.forwarded.get_mut(&id) else { return };
        let gives_up_on_link =
            matches!(transition, Transition::DeadlineNear) && request.stage != ForwardingStage::InDoubt;
        let decision = request.apply(transition);
        if decision == Decision::Wait {
            return;
        }
        let Some(request) = self.forwarded.remove(&id) else { return };
        if let Some(outbound) = self.outbound_links.get_mut(&request.link) {
            outbound.open = outbound.open.saturating_sub(1);
        }
        let waiting_request = request.request.filter(|id| self.forwarded_by_request.remove(id).is_some());
        match decision {
            Decision::Wait => {}
            Decision::ReturnToScheduler => self.return_to_scheduler(&request, waiting_request, actions),
            Decision::Answer { answer, outcome_received } => {
                if outcome_received {
                    actions.push(Action::AcknowledgeOutcome(request.link, id));
                } else {
                    self.statistics.unknown += 1;
                    if gives_up_on_link {
                        actions.push(Action::SendCancel(request.link, id));
                    }
                }
                if let Some(waiting_request) = waiting_request {
                    actions.push(Action::Answer(waiting_request, answer));
                }
            }
        }
    }

    /// Returns a request that never ran at the peer to the scheduler, and unbinds its key.
    fn return_to_scheduler(
        &mut self,
        request: &ForwardedRequest,
        waiting_request: Option<LocalRequestId>,
        actions: &mut Vec<Action>,
    ) {
        self.statistics.returned += 1;
        if let (Idempotency::WithKey { key, .. }, Some(record)) = (&request.idempotency, request.key_record) {
            self.keys.clear(key, record);
        }
        if let Some(waiting_request) = waiting_request {
            actions.push(Action::ReturnToScheduler(waiting_request));
        }
    }
}
