//! Two sites by a virtual clock: each a gateway and a crude model of a site behind it. Links deliver in order after
//! a delay, and break. A hard case of the decisions is a few lines on this pair.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use chutesaddle_gateway::*;

pub(crate) const ONE_WAY: Duration = Duration::from_millis(8);
pub(crate) const STEP: Duration = Duration::from_millis(1);
pub(crate) const TIME_LEFT: Duration = Duration::from_secs(5);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What the two ends send each other.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Offer { forwarded: ForwardedRequestId, epoch: Incarnation, left: Duration },
    Grant { epoch: Incarnation, limit: u64, term: Duration },
    Accepted(ForwardedRequestId),
    Returned(ForwardedRequestId),
    Ended(ForwardedRequestId, Outcome),
    Status(ForwardedRequestId, RemoteStatus),
    Cancel(ForwardedRequestId),
    StatusQuery(Vec<ForwardedRequestId>),
    Acknowledge(ForwardedRequestId),
}

/// What became of a request of a site.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestFate {
    pub(crate) answers: Vec<ForwardedAnswer>,
    pub(crate) forwarded_count: usize,
    pub(crate) returned: bool,
    /// How often it has begun to run, at either site.
    pub(crate) runs: [usize; 2],
    pub(crate) client_gone: bool,
}

pub(crate) struct Site {
    pub(crate) gateway: Gateway,
    pub(crate) free: f64,
    pub(crate) waiting: usize,
    pub(crate) fates: BTreeMap<LocalRequestId, RequestFate>,
    /// What runs here for the other site, and which request it is there.
    pub(crate) inbound: BTreeMap<Origin, LocalRequestId>,
    /// Why this site returned requests to the other.
    pub(crate) return_reasons: Vec<ReturnReason>,
    pub(crate) kept_local: Vec<NotForwarded>,
    pub(crate) accepted: usize,
}

/// A link from one site to the other: messages under way in each direction, by when they arrive.
pub(crate) struct TestLink {
    pub(crate) link: LinkId,
    pub(crate) from: usize,
    pub(crate) outward: VecDeque<(Duration, Message)>,
    pub(crate) homeward: VecDeque<(Duration, Message)>,
}

pub(crate) struct TwoSites {
    pub(crate) now: Duration,
    pub(crate) sites: [Site; 2],
    pub(crate) test_links: Vec<TestLink>,
    pub(crate) links: u64,
    pub(crate) incarnations: u64,
    /// The socket takes nothing: no offer is written whole.
    pub(crate) stuck: bool,
    /// Requests that are forwarded, by site and number.
    pub(crate) names: BTreeMap<(usize, ForwardedRequestId), LocalRequestId>,
}

pub(crate) fn config(peer: &str, shares: bool) -> Config {
    let peer = PeerConfig { shares_keys: shares, max_open_requests: 100, ..PeerConfig::new(peer) };
    Config { peers: vec![peer], ..Config::default() }
}

impl TwoSites {
    pub(crate) fn new(shares: bool) -> Self {
        let site = |n: u64| Site {
            gateway: Gateway::new(config(["b", "a"][n as usize], shares), Incarnation(1 + n)),
            free: 0.0,
            waiting: 0,
            fates: BTreeMap::new(),
            inbound: BTreeMap::new(),
            return_reasons: Vec::new(),
            kept_local: Vec::new(),
            accepted: 0,
        };
        let (sites, test_links, names) = ([site(0), site(1)], Vec::new(), BTreeMap::new());
        TwoSites { now: ms(1), sites, test_links, links: 0, incarnations: 10, stuck: false, names }
    }

    /// Both links up, and site 1 with free capacity.
    pub(crate) fn with_capacity() -> Self {
        let mut pair = TwoSites::new(false);
        (0..2).for_each(|from| pair.dial(from));
        pair.sites[1].free = 10.0;
        pair.run(ms(400));
        pair
    }

    pub(crate) fn dial(&mut self, from: usize) {
        let to = 1 - from;
        self.links += 1;
        let link = LinkId(self.links);
        let site = SiteId(0);
        self.test_links.push(TestLink { link, from, outward: VecDeque::new(), homeward: VecDeque::new() });
        let incarnations = [0, 1].map(|n| self.sites[n].gateway.incarnation());
        self.handle_event(to, Event::InboundLinkUp { link, site, incarnation: incarnations[from] });
        self.handle_event(from, Event::OutboundLinkUp { link, site, incarnation: incarnations[to] });
        self.handle_event(from, Event::RoundTripMeasured(link, 2 * ONE_WAY));
    }

    /// Breaks the link that `from` has dialled; what is under way on it is lost.
    pub(crate) fn cut(&mut self, from: usize) {
        let Some(at) = self.test_links.iter().position(|test_link| test_link.from == from) else { return };
        let link = self.test_links.remove(at).link;
        self.handle_event(from, Event::OutboundLinkDown(link));
        self.handle_event(1 - from, Event::InboundLinkDown(link));
    }

    /// The process of a site dies; a new one begins, which remembers nothing.
    pub(crate) fn restart(&mut self, n: usize) {
        self.cut(0);
        self.cut(1);
        self.incarnations += 1;
        self.sites[n].gateway = Gateway::new(config(["b", "a"][n], false), Incarnation(self.incarnations));
        self.sites[n].inbound.clear();
        // Its clients see the connection break.
        self.sites[n].fates.values_mut().for_each(|fate| fate.client_gone = true);
    }

    pub(crate) fn handle_event(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        self.sites[n].gateway.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(n, action);
        }
    }

    pub(crate) fn send(&mut self, n: usize, link: LinkId, message: Message) {
        let at = self.now + ONE_WAY;
        if let Some(test_link) = self.test_links.iter_mut().find(|test_link| test_link.link == link) {
            let direction =
                if test_link.from == n { &mut test_link.outward } else { &mut test_link.homeward };
            direction.push_back((at, message));
        }
    }

    pub(crate) fn perform(&mut self, n: usize, action: Action) {
        let site = &mut self.sites[n];
        match action {
            Action::Forward { request: id, link, forwarded, epoch, time_left: left } => {
                site.fates.get_mut(&id).unwrap().forwarded_count += 1;
                self.names.insert((n, forwarded), id);
                if !self.stuck {
                    self.send(n, link, Message::Offer { forwarded, epoch, left });
                    self.handle_event(n, Event::RequestWritten(link, forwarded));
                }
            }
            Action::KeepLocal(_, why) => site.kept_local.push(why),
            Action::ReturnToScheduler(id) => site.fates.get_mut(&id).unwrap().returned = true,
            Action::Answer(id, answer) => site.fates.get_mut(&id).unwrap().answers.push(answer),
            Action::GrantCapacity { link, limit, term } => {
                let epoch = site.gateway.incarnation();
                self.send(n, link, Message::Grant { epoch, limit, term });
            }
            Action::Accept { link, origin, .. } => {
                site.accepted += 1;
                let id = self.names[&(1 - n, origin.forwarded)];
                site.inbound.insert(origin, id);
                self.sites[1 - n].fates.get_mut(&id).unwrap().runs[n] += 1;
                self.send(n, link, Message::Accepted(origin.forwarded));
            }
            Action::ReturnUnstarted(link, id, why) => {
                site.return_reasons.push(why);
                self.send(n, link, Message::Returned(id));
            }
            Action::CancelInbound(origin) => {
                site.inbound.remove(&origin);
            }
            Action::SendOutcome(link, id, outcome) => self.send(n, link, Message::Ended(id, outcome)),
            Action::SendStatus(link, id, known) => self.send(n, link, Message::Status(id, known)),
            Action::SendCancel(link, id) => self.send(n, link, Message::Cancel(id)),
            Action::QueryStatus(link, ids) => self.send(n, link, Message::StatusQuery(ids)),
            Action::AcknowledgeOutcome(link, id) => self.send(n, link, Message::Acknowledge(id)),
            Action::CloseLink(link) => self.test_links.retain(|test_link| test_link.link != link),
        }
    }

    pub(crate) fn deliver(&mut self, n: usize, link: LinkId, message: Message) {
        self.handle_event(
            n,
            match message {
                Message::Offer { forwarded, epoch, left } => Event::RequestOffered {
                    link,
                    forwarded,
                    epoch,
                    slots: 1,
                    time_left: left,
                    outcome_retention: ms(40_000),
                },
                Message::Grant { epoch, limit, term } => Event::CreditGranted { link, epoch, limit, term },
                Message::Accepted(id) => Event::RequestAccepted(link, id),
                Message::Returned(id) => Event::RequestReturned(link, id),
                Message::Ended(id, outcome) => Event::RequestEnded(link, id, outcome),
                Message::Status(id, known) => Event::StatusReceived(link, id, known),
                Message::Cancel(id) => Event::RequestCancelled(link, id),
                Message::StatusQuery(ids) => Event::StatusQueried(link, ids),
                Message::Acknowledge(id) => Event::OutcomeAcknowledged(link, id),
            },
        );
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let mut due = Vec::new();
            for test_link in &mut self.test_links {
                for (direction, to) in
                    [(&mut test_link.outward, 1 - test_link.from), (&mut test_link.homeward, test_link.from)]
                {
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

    /// A request of site `n` that waits in vain.
    pub(crate) fn candidate(&mut self, n: usize, id: u32, idempotency: Idempotency) -> Candidate {
        let id = LocalRequestId(id);
        self.sites[n].fates.entry(id).or_default();
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

    /// The requests that site `n` has accepted end.
    pub(crate) fn finish(&mut self, n: usize, outcome: &Outcome) {
        for origin in std::mem::take(&mut self.sites[n].inbound).into_keys() {
            self.handle_event(n, Event::InboundRequestEnded(origin, outcome.clone()));
        }
    }

    pub(crate) fn fate(&self, n: usize, id: u32) -> &RequestFate {
        &self.sites[n].fates[&LocalRequestId(id)]
    }
}

pub(crate) fn served() -> Outcome {
    Outcome::Served(Bytes::from_static(b"map"))
}

pub(crate) fn keyed(key: &'static str) -> Idempotency {
    Idempotency::WithKey { key: Bytes::from_static(key.as_bytes()), window: ms(40_000) }
}
