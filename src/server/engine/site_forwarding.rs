//! The engine's part in the gateway: transactions that cross, those that come in, and what the decisions of
//! `chutesaddle-gateway` need to know of this site. With no gateway, everything here is a no-op.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_gateway::{
    self as gateway, Action, Candidate, Event as GatewayEvent, ForwardedAnswer, ForwardedRequestId, Gateway,
    Idempotency as Repeats, Incarnation, LinkId, LocalRequestId, Origin, Outcome, SiteLoad,
};
use chutesaddle_site_link::{Frame, OfferedRequest};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

use super::{Engine, Live};
use crate::scheduling::RequestRecord;
use crate::scheduling::{CapacitySummary, DeduplicationScope, Event, Idempotency, RequestClass, RequestId};
use crate::server::engine_queue::EngineMessage;
use crate::server::messages::{object_of, ClientRequest, FinalAnswer, RequestPayload};
use crate::server::metrics::{Counters, LinkFigures};
use crate::server::peers::site_messages::{LinkOutbox, SiteLinkEvent};

/// How often to look how this site stands while something waits or slots run out, and while there is room.
const LOOK: Duration = Duration::from_millis(10);
const LOOK_IDLE: Duration = Duration::from_millis(50);
/// So few free slots may be gone before the next look at leisure.
const FEW_FREE: f64 = 3.0;
/// An outcome may be asked for at least this long, whatever the class's window: a link's longest reconnect and
/// a little more.
const LEAST_KEPT: Duration = Duration::from_secs(10);

/// Links that a site may have to this one: one, and those of the processes that it replaces.
const LINKS_OF_A_SITE: usize = 8;

/// What a transaction has to do with other sites.
#[derive(Debug)]
pub(super) enum Travel {
    /// Nothing.
    None,
    /// It came from another site.
    CameIn,
    /// It is at another site. What the module here knew of it, if it goes back to it; else it is rejected with
    /// this hold-off when it comes back.
    Away(Result<Box<RequestRecord>, f64>),
    /// It has been, and came back unstarted.
    CameBack,
}

struct Link {
    site: String,
    dialled: bool,
    outbox: LinkOutbox,
}

/// The state of the gateway in the engine.
pub(super) struct Crossings {
    gateway: Gateway,
    /// Where the gateway's clock begins.
    origin: Instant,
    links: HashMap<LinkId, Link>,
    /// The tasks that wait for the answers to what came in.
    came_in: HashMap<Origin, AbortHandle>,
    /// What an offer carries, between hearing it and the decision to take it.
    offered: Option<(Origin, Box<OfferedRequest>)>,
    look_at: Instant,
    counters: Rc<Counters>,
}

impl Crossings {
    pub(super) fn new(gateway: Gateway, origin: Instant, counters: Rc<Counters>) -> Self {
        counters.gateway.enable();
        let (links, came_in) = (HashMap::new(), HashMap::new());
        Crossings { gateway, origin, links, came_in, offered: None, look_at: origin, counters }
    }

    /// When [`Engine::look_across`] is due.
    pub(super) fn look_at(&self) -> Instant {
        self.look_at
    }

    fn now(&self) -> gateway::Time {
        self.origin.elapsed()
    }

    /// A transaction of this class is sent to a member of this site.
    pub(super) fn runs_here(&mut self, class: &RequestClass, payload: &RequestPayload) {
        if let Repeats::WithKey { key, window } = effect(class, payload) {
            let mut none = Vec::new();
            self.gateway.handle(
                self.origin.elapsed(),
                GatewayEvent::KeyRanLocally { key, window },
                &mut none,
            );
        }
    }

    fn say(&mut self, link: LinkId, frame: Frame) {
        if self.links.get(&link).is_some_and(|link| !link.outbox.send(frame)) {
            self.close(link);
        }
    }

    /// A link has ended, or is to end: its task notices that the way to it is closed.
    fn close(&mut self, link: LinkId) {
        let Some(gone) = self.links.remove(&link) else { return };
        let others = |l: &Link| l.site == gone.site && l.dialled == gone.dialled;
        let up = self.links.values().any(others);
        let figures = &self.counters.gateway;
        figures.link(&gone.site, gone.dialled, |figures| *figures = LinkFigures { up, room: 0, ..*figures });
    }

    fn show(&self) {
        let figures = &self.counters.gateway;
        figures.all.set(self.gateway.statistics());
        figures.stance.set(self.gateway.load_state());
    }
}

/// What a repeat does. A key that not even all members of one site hold together binds like a job that must
/// not run twice: where it goes is nothing that can be known across sites.
fn effect(class: &RequestClass, payload: &RequestPayload) -> Repeats {
    match (class.idempotency, class.deduplication_scope, &payload.key) {
        (Idempotency::Idempotent, ..) => Repeats::Idempotent,
        (Idempotency::WithKey, DeduplicationScope::All, Some(key)) => {
            let window = Duration::from_secs_f64(class.deduplication_window_s.clamp(0.0, 24.0 * 3600.0));
            Repeats::WithKey { key: key.clone(), window }
        }
        _ => Repeats::NonIdempotent,
    }
}

impl Engine {
    /// Hands the gateway an event and carries out what it decides.
    fn across(&mut self, news: GatewayEvent) {
        let Some(crossings) = &mut self.crossings else { return };
        let mut actions = Vec::new();
        crossings.gateway.handle(crossings.now(), news, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        if let Some(crossings) = &self.crossings {
            crossings.show();
        }
    }

    /// Tells the gateway how this site stands, and what waits here in vain.
    pub(super) fn look_across(&mut self, now: Instant) {
        let Some(crossings) = self.crossings.as_mut().filter(|crossings| now >= crossings.look_at) else {
            return;
        };
        let standing = self.dispatcher.capacity_summary();
        let tight = standing.waiting > 0 || (standing.free < FEW_FREE && !self.live.is_empty());
        crossings.look_at = now + if tight { LOOK } else { LOOK_IDLE };
        let CapacitySummary { slots, free, waiting, backlog_s: clear_s } = standing;
        let clear = Duration::try_from_secs_f64(clear_s).unwrap_or_default();
        let pressure = SiteLoad { slots, free, waiting, backlog: clear };
        self.across(GatewayEvent::LoadMeasured(pressure));
        self.across(GatewayEvent::Tick);
        let wants = |c: &Crossings| c.gateway.wants_candidates(c.now());
        if self.crossings.as_deref().is_some_and(wants) {
            let clock = self.clock.at(now);
            let waiting: Vec<(RequestId, f64)> = self.dispatcher.waiting_requests().collect();
            let candidate = |(id, latest): (RequestId, f64)| self.candidate(id, latest - clock, false);
            let candidates: Vec<Candidate> = waiting.into_iter().filter_map(candidate).collect();
            if !candidates.is_empty() {
                self.across(GatewayEvent::Candidates(candidates));
            }
        }
    }

    fn candidate(&self, id: RequestId, start_in_s: f64, refused: bool) -> Option<Candidate> {
        let live = self.live.get(&id).filter(|live| live.reply.is_some())?;
        let unsent = live.attempts.is_empty() && matches!(live.travel, Travel::None);
        Some(Candidate {
            request: LocalRequestId(id.0),
            idempotency: effect(&self.settings.classes[live.class], &live.payload),
            priority: live.rank,
            within_quota: live.rank >= 0.0,
            slots: live.slots.ceil().clamp(1.0, 65_536.0) as u32,
            start_in: Duration::try_from_secs_f64(start_in_s).unwrap_or_default(),
            time_left: live.deadline.saturating_duration_since(Instant::now()),
            rejected: refused,
            forwarded_before: !unsent,
        })
    }

    /// A transaction that the module has refused crosses instead, if it may; else its answer follows at once.
    pub(super) fn crosses_instead(&mut self, id: RequestId, hold_off_s: f64) -> bool {
        if self.crossings.as_ref().is_none_or(|c| !c.gateway.wants_candidates(c.now())) {
            return false;
        }
        let Some(live) = self.live.get(&id).filter(|live| live.attempts.is_empty()) else { return false };
        let deadline = self.clock.at(live.deadline);
        let latest = self.dispatcher.latest_start(live.class, live.hint, deadline);
        // What is refused while there is time left is what is worth least here: it comes last there, too.
        let start_in = latest - self.clock.at(Instant::now());
        self.offer_alone(id, start_in, hold_off_s)
    }

    /// Whether an earlier transaction with its key may have run at another site: then this one goes there too,
    /// or is rejected.
    pub(super) fn bound_elsewhere(&mut self, id: RequestId) -> bool {
        let (Some(crossings), Some(live)) = (&self.crossings, self.live.get(&id)) else { return false };
        let key = live.payload.key.as_ref();
        if !key.is_some_and(|key| crossings.gateway.bound_elsewhere(crossings.now(), key)) {
            return false;
        }
        let hold_off_s = self.settings.max_retry_after_s;
        let start_in = live.deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        if !self.offer_alone(id, start_in, hold_off_s) {
            self.answer(id, self.rejection(id, hold_off_s));
            self.forget(id);
        }
        true
    }

    /// Offers the gateway one transaction that the module does not have; whether it crosses.
    fn offer_alone(&mut self, id: RequestId, start_in: f64, hold_off_s: f64) -> bool {
        let Some(candidate) = self.candidate(id, start_in, true).filter(|c| !c.forwarded_before) else {
            return false;
        };
        if let Some(live) = self.live.get_mut(&id) {
            live.travel = Travel::Away(Err(hold_off_s));
        }
        self.across(GatewayEvent::Candidates(vec![candidate]));
        let away = |live: &Live| matches!(live.travel, Travel::Away(_));
        self.live.get(&id).is_some_and(away)
    }

    /// The client of a transaction that may be at another site has left.
    pub(super) fn left_away(&mut self, id: RequestId) {
        if self.crossings.is_some() {
            self.across(GatewayEvent::ClientDisconnected(LocalRequestId(id.0)));
        }
    }

    /// Takes up what was heard from other sites.
    pub(super) fn heard(&mut self, heard: SiteLinkEvent) {
        let Some(crossings) = &mut self.crossings else { return };
        match heard {
            SiteLinkEvent::Up { link, site, instance, dialled, outbox } => {
                let Some(number) = crossings.gateway.site(&site) else { return };
                let same = |l: &&Link| l.site == site && l.dialled == dialled;
                if crossings.links.values().filter(same).count() >= LINKS_OF_A_SITE {
                    return; // dropping the way to it closes it
                }
                crossings.counters.gateway.link(&site, dialled, |figures| figures.up = true);
                crossings.links.insert(link, Link { site, dialled, outbox });
                let instance = Incarnation(instance);
                self.across(match dialled {
                    true => GatewayEvent::OutboundLinkUp { link, site: number, incarnation: instance },
                    false => GatewayEvent::InboundLinkUp { link, site: number, incarnation: instance },
                });
            }
            SiteLinkEvent::Down(link) => {
                crossings.close(link);
                self.across(GatewayEvent::OutboundLinkDown(link));
                self.across(GatewayEvent::InboundLinkDown(link));
            }
            SiteLinkEvent::SiteLinkSettings(link, frame) => self.said(link, frame),
            SiteLinkEvent::Written(link, id) => {
                self.across(GatewayEvent::RequestWritten(link, ForwardedRequestId(id)))
            }
            SiteLinkEvent::RoundTrip(link, time) => {
                if let Some(known) = crossings.links.get(&link) {
                    let figures = &crossings.counters.gateway;
                    figures.link(&known.site, known.dialled, |figures| figures.round_trip = time);
                }
                self.across(GatewayEvent::RoundTripMeasured(link, time));
            }
            SiteLinkEvent::Answered(origin, reply) => {
                crossings.came_in.remove(&origin);
                self.across(GatewayEvent::InboundRequestEnded(
                    origin,
                    match reply {
                        FinalAnswer::Served(result) => Outcome::Served(result),
                        // A name that is in use here was not taken, and nothing of it ran.
                        FinalAnswer::RejectedUnstarted | FinalAnswer::DuplicateId => Outcome::Unstarted,
                        FinalAnswer::Rejected { .. } => Outcome::Rejected,
                        FinalAnswer::Failed | FinalAnswer::Migrated(_) => Outcome::Failed,
                    },
                ));
            }
            SiteLinkEvent::Drain(drain) => self.across(GatewayEvent::Drain(drain)),
            SiteLinkEvent::Configure(config) => self.across(GatewayEvent::Configure(*config)),
        }
    }

    /// What was said on a link. Each frame is for one direction; the other end has no business with the rest.
    fn said(&mut self, link: LinkId, frame: Frame) {
        let Some(crossings) = &mut self.crossings else { return };
        let Some(known) = crossings.links.get(&link) else { return };
        let id = ForwardedRequestId;
        let news = match (known.dialled, frame) {
            (true, Frame::Grant { epoch, limit, term_us }) => {
                let term = Duration::from_micros(term_us);
                let figures = &crossings.counters.gateway;
                figures.link(&known.site, true, |figures| figures.room = limit);
                GatewayEvent::CreditGranted { link, epoch: Incarnation(epoch), limit, term }
            }
            (true, Frame::Accepted(n)) => GatewayEvent::RequestAccepted(link, id(n)),
            (true, Frame::Returned(n, _)) => GatewayEvent::RequestReturned(link, id(n)),
            (true, Frame::Ended(n, outcome)) => GatewayEvent::RequestEnded(link, id(n), outcome),
            (true, Frame::Status(n, known)) => GatewayEvent::StatusReceived(link, id(n), known),
            (
                false,
                Frame::Offer {
                    forwarded: crossing,
                    epoch,
                    time_left_us: left_us,
                    keep_outcome_us: keep_us,
                    request: job,
                },
            ) => {
                let slots = job.slots.ceil().clamp(1.0, 65_536.0) as u32;
                // One of a peer that is listed no more is heard, too: it is given back, and its sender goes on.
                let Some(origin) = crossings.gateway.origin(link, id(crossing)) else { return };
                crossings.offered = Some((origin, job));
                GatewayEvent::RequestOffered {
                    link,
                    forwarded: id(crossing),
                    epoch: Incarnation(epoch),
                    slots,
                    time_left: Duration::from_micros(left_us),
                    keep_outcome: Duration::from_micros(keep_us).min(Duration::from_secs(24 * 3600)),
                }
            }
            (false, Frame::Cancel(n)) => GatewayEvent::RequestCancelled(link, id(n)),
            (false, Frame::StatusQuery(ids)) => {
                GatewayEvent::StatusQueried(link, ids.into_iter().map(id).collect())
            }
            (false, Frame::Acknowledge(n)) => GatewayEvent::OutcomeAcknowledged(link, id(n)),
            (dialled, frame) => {
                let site = known.site.clone();
                tracing::warn!(site, dialled, ?frame, "a frame that is not for this end; the link is closed");
                crossings.close(link);
                return;
            }
        };
        self.across(news);
        if let Some(crossings) = &mut self.crossings {
            crossings.offered = None;
        }
    }

    fn carry_out(&mut self, action: Action) {
        let Some(crossings) = &mut self.crossings else { return };
        match action {
            Action::Forward { request, link, forwarded, epoch, time_left } => {
                self.leaves(RequestId(request.0), link, forwarded, epoch, time_left);
            }
            Action::KeepLocal(job, why) => {
                // One that was offered alone is answered by whoever offered it.
                if let Some(live) = self.live.get_mut(&RequestId(job.0)) {
                    if matches!(live.travel, Travel::Away(Err(_))) {
                        live.travel = Travel::CameBack;
                    }
                }
                tracing::trace!(job = job.0, ?why, "stays");
            }
            Action::ReturnToScheduler(job) => self.returns(RequestId(job.0)),
            Action::Answer(job, answer) => {
                let id = RequestId(job.0);
                let hold_off_s = self.settings.max_retry_after_s;
                self.answer(
                    id,
                    match answer {
                        ForwardedAnswer::Served(result) => FinalAnswer::Served(result),
                        ForwardedAnswer::Rejected => FinalAnswer::Rejected { retry_after_s: hold_off_s },
                        ForwardedAnswer::Failed => FinalAnswer::Failed,
                    },
                );
                self.forget(id);
            }
            Action::SendCancel(link, id) => crossings.say(link, Frame::Cancel(id.0)),
            Action::QueryStatus(link, ids) => {
                crossings.say(link, Frame::StatusQuery(ids.into_iter().map(|id| id.0).collect()));
            }
            Action::AcknowledgeOutcome(link, id) => crossings.say(link, Frame::Acknowledge(id.0)),
            Action::GrantCapacity { link, limit, term } => {
                let epoch = crossings.gateway.incarnation().0;
                crossings.say(link, Frame::Grant { epoch, limit, term_us: term.as_micros() as u64 });
            }
            Action::Accept { link, origin, time_left } => self.take_in(link, origin, time_left),
            Action::ReturnUnstarted(link, id, why) => crossings.say(link, Frame::Returned(id.0, why)),
            Action::SendOutcome(link, id, outcome) => crossings.say(link, Frame::Ended(id.0, outcome)),
            Action::SendStatus(link, id, known) => crossings.say(link, Frame::Status(id.0, known)),
            Action::CancelInbound(origin) => {
                // The task holds the transaction; without it, its client counts as gone.
                let _ = crossings.came_in.remove(&origin).inspect(AbortHandle::abort);
            }
            Action::CloseLink(link) => crossings.close(link),
        }
    }

    fn leaves(
        &mut self,
        id: RequestId,
        link: LinkId,
        crossing: ForwardedRequestId,
        epoch: Incarnation,
        left: Duration,
    ) {
        let Some(live) = self.live.get_mut(&id) else { return };
        if matches!(live.travel, Travel::None) {
            // Nothing of it stays with the module, which would refuse it meanwhile.
            match self.dispatcher.hand_over(id) {
                Some(record) => live.travel = Travel::Away(Ok(Box::new(record))),
                None => live.travel = Travel::Away(Err(self.settings.max_retry_after_s)),
            }
        }
        let class = &self.settings.classes[live.class];
        let keep = Duration::from_secs_f64(class.deduplication_window_s.clamp(0.0, 24.0 * 3600.0));
        let payload = &live.payload;
        let job = OfferedRequest {
            class: class.name.clone(),
            tenant: self.settings.tenants.get(live.tenant).map(|t| t.name.clone()).unwrap_or_default(),
            estimated_work_s: live.hint,
            slots: live.slots,
            memory: live.memory,
            request_id: payload.name.clone(),
            target: payload.target.clone(),
            key: payload.key.clone(),
            content_type: payload.content_type.clone(),
            body: payload.body.clone(),
        };
        self.counters.class(live.class).crossed.add();
        if let Some(crossings) = &mut self.crossings {
            let (crossing, epoch, left_us) = (crossing.0, epoch.0, left.as_micros() as u64);
            let keep_us = keep.max(LEAST_KEPT).as_micros() as u64;
            crossings.say(
                link,
                Frame::Offer {
                    forwarded: crossing,
                    epoch,
                    time_left_us: left_us,
                    keep_outcome_us: keep_us,
                    request: Box::new(job),
                },
            );
        }
    }

    /// It never ran elsewhere: the module here goes on with it.
    fn returns(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        match std::mem::replace(&mut live.travel, Travel::CameBack) {
            Travel::Away(Ok(record)) => {
                let deadline = self.clock.at(live.deadline);
                self.tell(Event::RequestTakenOver(Box::new(record.renumbered(id, deadline, &[]))));
            }
            Travel::Away(Err(hold_off_s)) => {
                self.answer(id, FinalAnswer::Rejected { retry_after_s: hold_off_s });
                self.forget(id);
            }
            other => live.travel = other,
        }
    }

    /// Hands a transaction of another site to the module here, like any other.
    fn take_in(&mut self, link: LinkId, origin: Origin, left: Duration) {
        let Some(crossings) = &mut self.crossings else { return };
        let Some((_, job)) = crossings.offered.take().filter(|(offered, _)| *offered == origin) else {
            return;
        };
        let class = self.settings.classes.iter().position(|class| class.name == job.class);
        let tenant = match self.settings.tenants.iter().position(|tenant| tenant.name == job.tenant) {
            None if self.settings.tenants.is_empty() => Some(0),
            known => known,
        };
        let bound = |key| crossings.gateway.bound_elsewhere(crossings.now(), key);
        let (Some(class), Some(tenant), false) = (class, tenant, job.key.as_ref().is_some_and(bound)) else {
            return self.across(GatewayEvent::InboundRequestEnded(origin, Outcome::Unstarted));
        };
        crossings.say(link, Frame::Accepted(origin.forwarded.0));
        let OfferedRequest {
            estimated_work_s: hint,
            slots,
            memory,
            request_id: name,
            target,
            key,
            content_type,
            body,
            ..
        } = *job;
        let object = object_of(&target);
        let payload = RequestPayload { name, target, key, content_type, body };
        let deadline = Instant::now() + left;
        let (slots, memory) = (slots.max(0.0), memory.max(0.0));
        let transaction = ClientRequest {
            class,
            tenant,
            deadline,
            slots,
            memory,
            estimated_work_s: hint,
            affinity_key: object,
            payload,
            origin: Some(origin),
        };
        let mut pending = self.queue.submit(Box::new(transaction));
        let queue = self.queue.clone();
        let task = spawn_local(async move {
            let reply = pending.reply().await;
            queue.send(EngineMessage::SiteLink(Box::new(SiteLinkEvent::Answered(origin, reply))));
        });
        crossings.came_in.insert(origin, task.abort_handle());
    }
}
