//! Two sites on a virtual clock, each with a gateway and a simple model of the site behind it. Links deliver
//! messages in order after a delay, and can break.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use chutesaddle_gateway::*;

pub(crate) const ONE_WAY: Duration = Duration::from_millis(8);
pub(crate) const TIME_STEP: Duration = Duration::from_millis(1);
pub(crate) const TIME_LEFT: Duration = Duration::from_secs(5);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A message between the two ends of a link.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Offer { forwarded: ForwardedRequestId, epoch: Incarnation, time_left: Duration },
    Grant { epoch: Incarnation, limit: u64, term: Duration },
    Accepted(ForwardedRequestId),
    Returned(ForwardedRequestId),
    Ended(ForwardedRequestId, Outcome),
    Status(ForwardedRequestId, RemoteStatus),
    Cancel(ForwardedRequestId),
    StatusQuery(Vec<ForwardedRequestId>),
    Acknowledge(ForwardedRequestId),
}

/// What happened to a request of a site.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestHistory {
    pub(crate) answers: Vec<ForwardedAnswer>,
    pub(crate) forwarded_count: usize,
    pub(crate) returned: bool,
    /// How often the request started to run, by site.
    pub(crate) runs: [usize; 2],
    pub(crate) client_disconnected: bool,
}

pub(crate) struct Site {
    pub(crate) gateway: Gateway,
    pub(crate) free: f64,
    pub(crate) waiting: usize,
    pub(crate) histories: BTreeMap<LocalRequestId, RequestHistory>,
    /// Requests from the other site that run here, with their IDs at that site.
    pub(crate) inbound: BTreeMap<Origin, LocalRequestId>,
    /// The reasons with which this site returned requests to the other.
    pub(crate) return_reasons: Vec<ReturnReason>,
    pub(crate) kept_local: Vec<NotForwarded>,
    pub(crate) accepted: usize,
}

/// A link from one site to the other. Messages in flight are queued in each direction with their arrival
/// times.
pub(crate) struct TestLink {
    pub(crate) link: LinkId,
    pub(crate) from: usize,
    pub(crate) to_listener: VecDeque<(Duration, Message)>,
    pub(crate) to_dialer: VecDeque<(Duration, Message)>,
}

/// An offer that is queued on a link and not written.
pub(crate) struct QueuedOffer {
    pub(crate) site: usize,
    pub(crate) link: LinkId,
    pub(crate) forwarded: ForwardedRequestId,
    pub(crate) message: Message,
}

pub(crate) struct TwoSites {
    pub(crate) now: Duration,
    pub(crate) sites: [Site; 2],
    pub(crate) test_links: Vec<TestLink>,
    pub(crate) last_link_id: u64,
    pub(crate) last_incarnation: u64,
    /// Sockets accept no data, so no offer is fully written.
    pub(crate) writes_blocked: bool,
    pub(crate) queued_offers: Vec<QueuedOffer>,
    /// Links that a gateway has closed. They end in the next time step, and write what is queued before.
    pub(crate) closed_links: Vec<LinkId>,
    /// The local IDs of forwarded requests, by sending site and forwarded ID.
    pub(crate) request_ids: BTreeMap<(usize, ForwardedRequestId), LocalRequestId>,
}

pub(crate) fn config(peer: &str, shares_keys: bool) -> Config {
    let peer = PeerConfig { shares_keys, max_open_requests: 100, ..PeerConfig::new(peer) };
    Config { peers: vec![peer], ..Config::default() }
}

impl TwoSites {
    pub(crate) fn new(shares_keys: bool) -> Self {
        let site = |n: u64| Site {
            gateway: Gateway::new(config(["b", "a"][n as usize], shares_keys), Incarnation(1 + n)),
            free: 0.0,
            waiting: 0,
            histories: BTreeMap::new(),
            inbound: BTreeMap::new(),
            return_reasons: Vec::new(),
            kept_local: Vec::new(),
            accepted: 0,
        };
        let (sites, test_links, request_ids) = ([site(0), site(1)], Vec::new(), BTreeMap::new());
        TwoSites {
            now: ms(1),
            sites,
            test_links,
            last_link_id: 0,
            last_incarnation: 10,
            writes_blocked: false,
            queued_offers: Vec::new(),
            closed_links: Vec::new(),
            request_ids,
        }
    }

    /// Returns two sites with both links up and free capacity at site 1.
    pub(crate) fn with_capacity() -> Self {
        let mut pair = TwoSites::new(false);
        (0..2).for_each(|from| pair.dial(from));
        pair.sites[1].free = 10.0;
        pair.run(ms(400));
        pair
    }

    pub(crate) fn dial(&mut self, from: usize) {
        let to = 1 - from;
        self.last_link_id += 1;
        let link = LinkId(self.last_link_id);
        let site = SiteId(0);
        self.test_links.push(TestLink {
            link,
            from,
            to_listener: VecDeque::new(),
            to_dialer: VecDeque::new(),
        });
        let incarnations = [0, 1].map(|n| self.sites[n].gateway.incarnation());
        self.handle_event(to, Event::InboundLinkUp { link, site, incarnation: incarnations[from] });
        self.handle_event(from, Event::OutboundLinkUp { link, site, incarnation: incarnations[to] });
        self.handle_event(from, Event::RoundTripMeasured(link, 2 * ONE_WAY));
    }

    /// Breaks the link dialled by `from`. Messages in flight on it are lost.
    pub(crate) fn disconnect(&mut self, from: usize) {
        let from_site = |test_link: &&TestLink| test_link.from == from;
        let links: Vec<LinkId> = self.test_links.iter().filter(from_site).map(|link| link.link).collect();
        links.into_iter().for_each(|link| self.end_link(link));
    }

    /// Ends a link. Messages in flight on it are lost, and queued offers are discarded.
    fn end_link(&mut self, link: LinkId) {
        let Some(at) = self.test_links.iter().position(|test_link| test_link.link == link) else { return };
        let from = self.test_links.remove(at).from;
        self.queued_offers.retain(|offer| offer.link != link);
        self.handle_event(from, Event::OutboundLinkDown(link));
        self.handle_event(1 - from, Event::InboundLinkDown(link));
    }

    /// Writes the queued offers, of one link or of all.
    pub(crate) fn write_queued_offers(&mut self, link: Option<LinkId>) {
        let is_written = |offer: &QueuedOffer| link.is_none_or(|link| link == offer.link);
        let (written, queued) = std::mem::take(&mut self.queued_offers).into_iter().partition(is_written);
        self.queued_offers = queued;
        let written: Vec<QueuedOffer> = written;
        for QueuedOffer { site, link, forwarded, message } in written {
            self.send(site, link, message);
            self.handle_event(site, Event::RequestWritten(link, forwarded));
        }
    }

    fn end_closed_links(&mut self) {
        for link in std::mem::take(&mut self.closed_links) {
            self.write_queued_offers(Some(link));
            self.end_link(link);
        }
    }

    /// Restarts the process of a site, which loses its state.
    pub(crate) fn restart(&mut self, n: usize) {
        self.disconnect(0);
        self.disconnect(1);
        self.last_incarnation += 1;
        self.sites[n].gateway =
            Gateway::new(config(["b", "a"][n], false), Incarnation(self.last_incarnation));
        self.sites[n].inbound.clear();
        // The clients of the site are disconnected.
        self.sites[n].histories.values_mut().for_each(|history| history.client_disconnected = true);
    }

    pub(crate) fn handle_event(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        self.sites[n].gateway.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform_action(n, action);
        }
    }

    pub(crate) fn send(&mut self, n: usize, link: LinkId, message: Message) {
        let at = self.now + ONE_WAY;
        if let Some(test_link) = self.test_links.iter_mut().find(|test_link| test_link.link == link) {
            let direction =
                if test_link.from == n { &mut test_link.to_listener } else { &mut test_link.to_dialer };
            direction.push_back((at, message));
        }
    }

    pub(crate) fn perform_action(&mut self, n: usize, action: Action) {
        let site = &mut self.sites[n];
        match action {
            Action::Forward { request: id, link, forwarded, epoch, time_left } => {
                site.histories.get_mut(&id).unwrap().forwarded_count += 1;
                self.request_ids.insert((n, forwarded), id);
                let message = Message::Offer { forwarded, epoch, time_left };
                self.queued_offers.push(QueuedOffer { site: n, link, forwarded, message });
                if !self.writes_blocked {
                    self.write_queued_offers(Some(link));
                }
            }
            Action::KeepLocal(_, reason) => site.kept_local.push(reason),
            Action::ReturnToScheduler(id) => site.histories.get_mut(&id).unwrap().returned = true,
            Action::Answer(id, answer) => site.histories.get_mut(&id).unwrap().answers.push(answer),
            Action::GrantCapacity { link, limit, term } => {
                let epoch = site.gateway.incarnation();
                self.send(n, link, Message::Grant { epoch, limit, term });
            }
            Action::Accept { link, origin, .. } => {
                site.accepted += 1;
                let id = self.request_ids[&(1 - n, origin.forwarded)];
                site.inbound.insert(origin, id);
                self.sites[1 - n].histories.get_mut(&id).unwrap().runs[n] += 1;
                self.send(n, link, Message::Accepted(origin.forwarded));
            }
            Action::ReturnUnstarted(link, id, reason) => {
                site.return_reasons.push(reason);
                self.send(n, link, Message::Returned(id));
            }
            Action::CancelInbound(origin) => {
                site.inbound.remove(&origin);
            }
            Action::SendOutcome(link, id, outcome) => self.send(n, link, Message::Ended(id, outcome)),
            Action::SendStatus(link, id, status) => self.send(n, link, Message::Status(id, status)),
            Action::SendCancel(link, id) => self.send(n, link, Message::Cancel(id)),
            Action::QueryStatus(link, ids) => self.send(n, link, Message::StatusQuery(ids)),
            Action::AcknowledgeOutcome(link, id) => self.send(n, link, Message::Acknowledge(id)),
            Action::CloseLink(link) => self.closed_links.push(link),
        }
    }

    pub(crate) fn deliver(&mut self, n: usize, link: LinkId, message: Message) {
        self.handle_event(
            n,
            match message {
                Message::Offer { forwarded, epoch, time_left } => Event::RequestOffered {
                    link,
                    forwarded,
                    epoch,
                    slots: 1,
                    time_left,
                    outcome_retention: ms(40_000),
                },
                Message::Grant { epoch, limit, term } => Event::CreditGranted { link, epoch, limit, term },
                Message::Accepted(id) => Event::RequestAccepted(link, id),
                Message::Returned(id) => Event::RequestReturned(link, id),
                Message::Ended(id, outcome) => Event::RequestEnded(link, id, outcome),
                Message::Status(id, status) => Event::StatusReceived(link, id, status),
                Message::Cancel(id) => Event::RequestCancelled(link, id),
                Message::StatusQuery(ids) => Event::StatusQueried(link, ids),
                Message::Acknowledge(id) => Event::OutcomeAcknowledged(link, id),
            },
        );
    }

    /// Advances the clock, delivers messages, and reports the load every 10 ms.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TIME_STEP;
            self.end_closed_links();
            let mut due = Vec::new();
            for test_link in &mut self.test_links {
                for (direction, to) in [
                    (&mut test_link.to_listener, 1 - test_link.from),
                    (&mut test_link.to_dialer, test_link.from),
                ] {
                    while direction.front().is_some_and(|(at, _)| *at <= self.now) {
                        due.extend(direction.pop_front().map(|(_, message)| (to, test_link.link, message)));
                    }
                }
            }
            due.into_iter().for_each(|(to, link, message)| self.deliver(to, link, message));
            if self.now.as_millis().is_multiple_of(10) {
                for n in 0..2 {
                    let Site { free, waiting, .. } = self.sites[n];
                    self.handle_event(
                        n,
                        Event::LoadMeasured(SiteLoad { slots: 10.0, free, waiting, backlog: ms(0) }),
                    );
                    self.handle_event(n, Event::Tick);
                }
            }
        }
    }

    /// Creates a candidate of site `n`: a request that cannot be served in time there.
    pub(crate) fn candidate(&mut self, n: usize, id: u32, idempotency: Idempotency) -> Candidate {
        let id = LocalRequestId(id);
        self.sites[n].histories.entry(id).or_default();
        Candidate {
            request: id,
            idempotency,
            priority: 1.0,
            within_quota: true,
            slots: 1,
            start_in: ms(60),
            time_left: TIME_LEFT,
            rejected: false,
            forwarded_before: false,
        }
    }

    pub(crate) fn offer_candidate(&mut self, n: usize, id: u32, idempotency: Idempotency) {
        let candidate = self.candidate(n, id, idempotency);
        self.handle_event(n, Event::Candidates(vec![candidate]));
    }

    /// Ends all requests from the other site that run at site `n`.
    pub(crate) fn finish(&mut self, n: usize, outcome: &Outcome) {
        for origin in std::mem::take(&mut self.sites[n].inbound).into_keys() {
            self.handle_event(n, Event::InboundRequestEnded(origin, outcome.clone()));
        }
    }

    pub(crate) fn history(&self, n: usize, id: u32) -> &RequestHistory {
        &self.sites[n].histories[&LocalRequestId(id)]
    }
}

pub(crate) fn served() -> Outcome {
    Outcome::Served(Bytes::from_static(b"map"))
}

pub(crate) fn with_key(key: &'static str) -> Idempotency {
    Idempotency::WithKey { key: Bytes::from_static(key.as_bytes()), window: ms(40_000) }
}
