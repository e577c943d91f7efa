//! The gateway state machine of one site.
//!
//! [`Gateway`] owns the links, the forwarded requests and the ledger of requests received from peers. Only
//! [`Gateway::handle`] changes its state. The rules are in the submodules: `routing` decides whether a
//! request is forwarded, `outbound` and `inbound` track it at its sender and receiver, and `granting`
//! distributes capacity.

mod granting;
mod inbound;
mod links;
mod outbound;
mod routing;
mod statistics;

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::forwarded_request::{ForwardedRequest, Transition};
use crate::idempotency_store::{IdempotencyStore, KeyLocation};
use crate::ledger::Ledger;
use crate::load_state::{LoadMonitor, LoadState};
use crate::{Action, Config, Event, ForwardedRequestId, Incarnation, LinkId, LocalRequestId, SiteId, Time};
use inbound::Offer;
use links::{InboundLink, OutboundLink, PeerProcess, PeerSite};
pub use statistics::Statistics;

/// The gateway of one process.
#[derive(Debug)]
pub struct Gateway {
    config: Config,
    incarnation: Incarnation,
    load: LoadMonitor,
    draining: bool,
    /// Every site that was ever listed, indexed by [`SiteId`].
    sites: Vec<PeerSite>,
    outbound_links: BTreeMap<LinkId, OutboundLink>,
    inbound_links: BTreeMap<LinkId, InboundLink>,
    forwarded: BTreeMap<ForwardedRequestId, ForwardedRequest>,
    /// The forwarded requests whose clients still wait.
    forwarded_by_request: BTreeMap<LocalRequestId, ForwardedRequestId>,
    last_forwarded_id: u64,
    keys: IdempotencyStore,
    ledger: Ledger,
    statistics: Statistics,
}

impl Gateway {
    /// Creates a gateway without links. `incarnation` must differ from all earlier incarnations of this
    /// process.
    pub fn new(config: Config, incarnation: Incarnation) -> Self {
        let mut gateway = Gateway {
            config: Config::default(),
            incarnation,
            load: LoadMonitor::default(),
            draining: false,
            sites: Vec::new(),
            outbound_links: BTreeMap::new(),
            inbound_links: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            forwarded_by_request: BTreeMap::new(),
            last_forwarded_id: 0,
            keys: IdempotencyStore::default(),
            ledger: Ledger::default(),
            statistics: Statistics::default(),
        };
        gateway.configure(config);
        gateway
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the ID of a peer that the operator lists.
    pub fn site(&self, name: &str) -> Option<SiteId> {
        let index = self.sites.iter().position(|site| site.listed && site.name == name)?;
        Some(SiteId(index as u16))
    }

    /// Returns whether the operator lists a peer.
    pub fn is_listed(&self, site: SiteId) -> bool {
        self.sites.get(usize::from(site.0)).is_some_and(|site| site.listed)
    }

    /// Returns whether an outbound link to a site is needed: the site is listed, or requests forwarded to it
    /// are open.
    pub fn needs_link_to(&self, site: SiteId) -> bool {
        self.is_listed(site) || self.forwarded.values().any(|request| request.site == site)
    }

    /// Returns whether a candidate could be forwarded now.
    pub fn wants_candidates(&self, now: Time) -> bool {
        let has_credit = |link: &OutboundLink| link.credit.available(now) > 0 && self.is_listed(link.site);
        !self.draining
            && self.load.may_forward(now, &self.config)
            && self.outbound_links.values().any(has_credit)
    }

    /// Returns whether a request with this idempotency key may run only at another site, because an earlier
    /// request with the key may have run there. If the local scheduler ran it, it could run at both sites.
    pub fn bound_elsewhere(&self, now: Time, key: &Bytes) -> bool {
        match self.keys.location(now, key) {
            Some(KeyLocation::Remote(site)) => !self.shares_keys(site),
            Some(KeyLocation::Local | KeyLocation::Unknown) | None => false,
        }
    }

    /// Returns whether the workers of this site and the given one deduplicate requests by idempotency key
    /// across the two sites.
    fn shares_keys(&self, site: SiteId) -> bool {
        self.sites[usize::from(site.0)].shares_keys
    }

    /// Returns whether this site forwards requests, grants capacity, or neither.
    pub fn load_state(&self) -> LoadState {
        self.load.state()
    }

    /// Returns whether no client waits for a forwarded request and no request from a peer is running here.
    pub fn is_idle(&self) -> bool {
        self.forwarded_by_request.is_empty() && self.ledger.running() == 0
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn due(&self, now: Time) -> Option<Time> {
        let give_up = self.forwarded.values().map(|request| request.give_up_at).min();
        let has_grant = |link: &&InboundLink| link.granted_slots > 0;
        let renewal = self.inbound_links.values().filter(has_grant).map(|link| link.renew_at).min();
        let forget = self.ledger.due();
        let load_change = self.load.due(now, &self.config);
        [give_up, renewal, forget, load_change].into_iter().flatten().min()
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.dispatch(now, event, actions);
        self.load.update_state(now, &self.config);
        self.renew_grants(now, actions);
    }

    fn dispatch(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::LoadMeasured(load) => self.load.record_load(now, load, &self.config),
            Event::Candidates(candidates) => self.handle_candidates(now, candidates, actions),
            Event::KeyRanLocally { key, window } => {
                // If the store is full, it treats every unknown key as possibly run here, so ignoring the
                // error is safe.
                let _ = self.keys.record(now, &key, KeyLocation::Local, window, self.config.max_keys);
            }
            Event::ClientDisconnected(request) => self.handle_client_disconnect(request, actions),
            Event::Drain(draining) => self.draining = draining,
            Event::Configure(config) => self.configure(config),
            Event::Tick => self.tick(now, actions),
            Event::OutboundLinkUp { link, site, incarnation } => {
                self.outbound_link_up(link, site, incarnation, actions);
            }
            Event::OutboundLinkDown(link) => self.outbound_link_down(link, actions),
            Event::RoundTripMeasured(link, round_trip) => self.round_trip_measured(link, round_trip),
            Event::CreditGranted { link, epoch, limit, term } => {
                self.credit_granted(link, epoch, limit, now + term.min(self.config.grant_term));
            }
            Event::RequestWritten(link, id) => self.handle_link_event(link, id, Transition::Written, actions),
            Event::RequestAccepted(link, id) => {
                self.handle_link_event(link, id, Transition::Accepted, actions)
            }
            Event::RequestReturned(link, id) => {
                self.handle_link_event(link, id, Transition::Returned, actions)
            }
            Event::RequestEnded(link, id, outcome) => {
                self.handle_link_event(link, id, Transition::Ended(outcome), actions);
            }
            Event::StatusReceived(link, id, status) => {
                self.handle_link_event(link, id, Transition::Status(status), actions);
            }
            Event::InboundLinkUp { link, site, incarnation } => {
                self.inbound_link_up(now, link, PeerProcess { site, incarnation }, actions);
            }
            Event::InboundLinkDown(link) => self.inbound_link_down(link),
            Event::RequestOffered { link, forwarded, epoch, slots, time_left, outcome_retention } => {
                self.handle_offer(
                    now,
                    Offer { link, forwarded, epoch, slots, time_left, outcome_retention },
                    actions,
                );
            }
            Event::RequestCancelled(link, id) => self.handle_cancel(link, id, actions),
            Event::StatusQueried(link, ids) => self.handle_status_query(link, ids, actions),
            Event::OutcomeAcknowledged(link, id) => self.handle_acknowledgement(link, id),
            Event::InboundRequestEnded(origin, outcome) => {
                self.handle_inbound_end(now, origin, outcome, actions)
            }
        }
    }

    /// Replaces the settings. Peers keep their IDs, and peers that are no longer listed are retained for
    /// their open requests.
    fn configure(&mut self, config: Config) {
        for site in &mut self.sites {
            site.listed = false;
        }
        for peer in &config.peers {
            let new = PeerSite {
                name: peer.name.clone(),
                shares_keys: peer.shares_keys,
                max_open_requests: peer.max_open_requests,
                listed: true,
            };
            match self.sites.iter_mut().find(|site| site.name == peer.name) {
                Some(site) => *site = new,
                None => self.sites.push(new),
            }
        }
        self.config = config;
    }

    /// Ends expired requests, forgets expired outcomes and closes links that are no longer needed.
    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.expire_forwarded(now, actions);
        self.ledger.forget(now, self.config.max_stored_outcomes, self.config.max_stored_bytes);
        self.close_unlisted_links(actions);
    }
}
