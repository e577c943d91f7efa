//! The one state machine of a site: events in, actions out.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::book::Book;
use crate::credit::Credit;
use crate::crossing::{Crossing, News, Stage, Verdict};
use crate::keys::{Keys, Place};
use crate::room::Room;
use crate::stance::{Footing, Stance};
use crate::{
    Action, Back, Candidate, Config, CrossingId, Effect, Event, Instance, JobId, Known, LinkId, Origin,
    Outcome, SiteId, Stay, Time,
};

/// Room is told anew this many times in a term, so that one lost wake-up does not end it.
const RENEWALS: u32 = 2;
/// A grant may be drawn on by what was sent at the end of its term: so many terms after it was given.
const GRACE: u32 = 3;

#[derive(Debug)]
struct Site {
    name: String,
    shares_keys: bool,
    most_open: usize,
    /// False once the operator has taken it out.
    listed: bool,
}

/// A link on which work is sent away.
#[derive(Debug)]
struct Out {
    site: SiteId,
    instance: Instance,
    credit: Credit,
    round_trip: Option<Time>,
    open: usize,
}

/// A link on which work comes in.
#[derive(Debug)]
struct In {
    site: SiteId,
    instance: Instance,
    room: Room,
    told: u32,
    renew_at: Time,
}

/// What has happened, for the operators. All but the last three only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Crossings that left.
    pub crossed: u64,
    /// Of these, given back unstarted by the peer or by a link that broke before the last byte.
    pub returned: u64,
    /// Of these, asked about after a break of the link.
    pub resumed: u64,
    /// Of these, ended without anything known of them.
    pub unknown: u64,
    /// Crossings that came in and were taken.
    pub taken: u64,
    /// Crossings that came in and were given back by this gateway.
    pub given_back: u64,
    /// Crossings that came in again, and were not run again.
    pub duplicates: u64,
    /// Crossings of this site that are open.
    pub open_out: usize,
    /// Crossings of others that are with the module here.
    pub open_in: usize,
    /// Slots granted to others and not used.
    pub room: u64,
}

/// The gateway of one process.
#[derive(Debug)]
pub struct Gateway {
    config: Config,
    instance: Instance,
    footing: Footing,
    draining: bool,
    sites: Vec<Site>,
    outs: BTreeMap<LinkId, Out>,
    ins: BTreeMap<LinkId, In>,
    crossings: BTreeMap<CrossingId, Crossing>,
    jobs: BTreeMap<JobId, CrossingId>,
    next: u64,
    keys: Keys,
    book: Book,
    figures: Figures,
}

impl Gateway {
    /// A gateway that knows nobody yet. `instance` must differ from every earlier life of this process.
    pub fn new(config: Config, instance: Instance) -> Self {
        let mut gateway = Gateway {
            config: Config::default(),
            instance,
            footing: Footing::default(),
            draining: false,
            sites: Vec::new(),
            outs: BTreeMap::new(),
            ins: BTreeMap::new(),
            crossings: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next: 0,
            keys: Keys::default(),
            book: Book::default(),
            figures: Figures::default(),
        };
        gateway.configure(config);
        gateway
    }

    /// Which life of the process this is.
    pub fn instance(&self) -> Instance {
        self.instance
    }

    /// The number of a peer that the operator lists.
    pub fn site(&self, name: &str) -> Option<SiteId> {
        let at = self.sites.iter().position(|site| site.listed && site.name == name)?;
        Some(SiteId(at as u16))
    }

    /// Whether the operator lists that peer.
    pub fn is_listed(&self, site: SiteId) -> bool {
        self.sites.get(usize::from(site.0)).is_some_and(|site| site.listed)
    }

    /// Whether crossings to that site are open.
    pub fn needs(&self, site: SiteId) -> bool {
        self.is_listed(site) || self.crossings.values().any(|crossing| crossing.site == site)
    }

    /// Whether a crossing could leave now, if a candidate were there.
    pub fn wants_candidates(&self, now: Time) -> bool {
        let room = |out: &Out| out.credit.left(now) > 0 && self.is_listed(out.site);
        !self.draining && self.footing.may_shed(now, &self.config) && self.outs.values().any(room)
    }

    /// Whether a transaction with this key may run at another site only, as an earlier one may have run there.
    /// Given to the module here, it could run at both.
    pub fn bound_elsewhere(&self, now: Time, key: &Bytes) -> bool {
        match self.keys.place(now, key) {
            Some(Place::There(site)) => !self.sites[usize::from(site.0)].shares_keys,
            _ => false,
        }
    }

    /// What a site does about the others.
    pub fn stance(&self) -> Stance {
        self.footing.stance()
    }

    /// Whether nothing of this site is elsewhere, and nothing of others is here.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.book.running() == 0
    }

    /// The figures.
    pub fn figures(&self) -> Figures {
        Figures {
            open_out: self.jobs.len(),
            open_in: self.book.running(),
            room: self.ins.values().map(|link| link.room.open()).sum(),
            ..self.figures
        }
    }

    /// When [`Event::Tick`] is due at the latest.
    pub fn due(&self, now: Time) -> Option<Time> {
        let ends = self.crossings.values().map(|crossing| crossing.until).min();
        let renew = self.ins.values().filter(|link| link.told > 0).map(|link| link.renew_at).min();
        [ends, renew, self.book.due(), self.footing.due(now, &self.config)].into_iter().flatten().min()
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Pressure(pressure) => self.footing.told(now, pressure, &self.config),
            Event::Candidates(candidates) => self.candidates(now, candidates, out),
            Event::RanHere { key, window } => {
                self.keys.note(now, &key, Place::Here, window, self.config.most_keys);
            }
            Event::ClientDisconnected(job) => self.left(job, out),
            Event::Drain(draining) => self.draining = draining,
            Event::Configure(config) => self.configure(config),
            Event::Tick => self.tick(now, out),
            Event::Up { link, site, instance } => self.up(link, site, instance, out),
            Event::Down(link) => self.down(link, out),
            Event::RoundTrip(link, round_trip) => {
                self.outs.entry(link).and_modify(|out| out.round_trip = Some(round_trip));
            }
            Event::Granted { link, epoch, limit, term } => {
                // One from another life of that process counts what this one has never seen.
                if let Some(out) = self.outs.get_mut(&link).filter(|out| out.instance == epoch) {
                    out.credit.granted(limit, now + term.min(self.config.term));
                }
            }
            Event::Written(link, id) => self.news(link, id, News::Written, out),
            Event::Taken(link, id) => self.news(link, id, News::Taken, out),
            Event::Returned(link, id) => self.news(link, id, News::Returned, out),
            Event::AttemptEnded(link, id, outcome) => self.news(link, id, News::Ended(outcome), out),
            Event::Told(link, id, known) => self.news(link, id, News::Told(known), out),
            Event::Joined { link, site, instance } => self.joined(now, link, site, instance, out),
            Event::Parted(link) => {
                self.ins.remove(&link);
            }
            Event::Offered { link, crossing, epoch, slots, left, keep } => {
                self.offered(now, link, crossing, (epoch, slots, left, keep), out);
            }
            Event::Withdrawn(link, crossing) => {
                let origin = self.origin(link, crossing);
                out.extend(origin.filter(|o| self.book.withdraw(*o)).map(Action::Drop));
            }
            Event::Asked(link, crossings) => self.asked(link, crossings, out),
            Event::Acknowledged(link, crossing) => {
                if let Some(origin) = self.origin(link, crossing) {
                    self.book.acknowledged(origin);
                }
            }
            Event::Finished(origin, outcome) => self.finished(now, origin, outcome, out),
        }
        self.footing.settle(now, &self.config);
        self.grant(now, out);
    }

    /// Peers keep their numbers; those that are not named any more are kept for what is open.
    fn configure(&mut self, config: Config) {
        self.sites.iter_mut().for_each(|site| site.listed = false);
        for peer in &config.peers {
            let (shares_keys, most_open) = (peer.shares_keys, peer.most_open);
            let new = Site { name: peer.name.clone(), shares_keys, most_open, listed: true };
            match self.sites.iter_mut().find(|site| site.name == peer.name) {
                Some(site) => *site = new,
                None => self.sites.push(new),
            }
        }
        self.config = config;
    }

    // ---- Sending away ----

    fn candidates(&mut self, now: Time, mut candidates: Vec<Candidate>, out: &mut Vec<Action>) {
        // Inside its quota first, then by worth; among equals the one that can wait least.
        candidates.sort_by(|a, b| {
            let rank = b.rank.total_cmp(&a.rank).then(a.start_in.cmp(&b.start_in));
            b.inside.cmp(&a.inside).then(rank).then(a.job.cmp(&b.job))
        });
        for candidate in candidates {
            let job = candidate.job;
            match self.route(now, &candidate) {
                Ok(link) => self.cross(now, candidate, link, out),
                Err(why) => out.push(Action::Stay(job, why)),
            }
        }
    }

    /// The link on which a candidate crosses, or why it stays.
    fn route(&self, now: Time, candidate: &Candidate) -> Result<LinkId, Stay> {
        if self.draining {
            return Err(Stay::Draining);
        }
        if candidate.travelled || self.jobs.contains_key(&candidate.job) {
            return Err(Stay::Crossed);
        }
        let key = match &candidate.effect {
            Effect::Repeatable => None,
            Effect::Keyed { key, .. } => Some(key),
            Effect::Once => return Err(Stay::Once),
        };
        let place = key.and_then(|key| self.keys.place(now, key));
        // Where an earlier one with its key may have run, it must go, whatever room there is here.
        let bound = key.is_some_and(|key| self.bound_elsewhere(now, key));
        if !bound && !candidate.inside && !self.config.over_share {
            return Err(Stay::OverShare);
        }
        if !bound && !self.footing.may_shed(now, &self.config) {
            return Err(Stay::RoomHere);
        }
        let shares = |site: SiteId| self.sites[usize::from(site.0)].shares_keys;
        let may_run = |site: SiteId| match place {
            None => true,
            Some(Place::Here) => shares(site),
            Some(Place::There(other)) => site == other || shares(site) && shares(other),
            Some(Place::Anywhere) => false,
        };
        let mut why = if bound { Stay::Key } else { Stay::NoRoom };
        let mut best: Option<(Time, LinkId)> = None;
        for (&link, out) in &self.outs {
            let open = out.open < self.sites[usize::from(out.site.0)].most_open;
            let enough = out.credit.left(now) >= u64::from(candidate.slots);
            let Some(round_trip) = out.round_trip.filter(|_| open && enough && self.is_listed(out.site))
            else {
                continue;
            };
            if !may_run(out.site) {
                why = Stay::Key;
                continue;
            }
            let in_time = candidate.start_in > round_trip / 2 + self.config.margin || bound;
            let soon = candidate.start_in <= round_trip / 2 + self.config.margin + self.config.lead
                || self.footing.too_long_for(candidate.start_in);
            if !soon && !candidate.refused && !bound {
                why = Stay::Early;
                continue;
            }
            if !in_time || candidate.left <= round_trip + self.config.margin {
                why = Stay::Late;
                continue;
            }
            // Each crossing costs the same: the nearest site with room is the best.
            best = best.filter(|best| best.0 <= round_trip).or(Some((round_trip, link)));
        }
        best.map(|best| best.1).ok_or(why)
    }

    fn cross(&mut self, now: Time, candidate: Candidate, link: LinkId, out: &mut Vec<Action>) {
        let Candidate { job, effect, slots, left, .. } = candidate;
        let Some(way) = self.outs.get_mut(&link) else { return };
        let (site, most_keys) = (way.site, self.config.most_keys);
        let note = match &effect {
            Effect::Keyed { key, window } => {
                // Until the window is over, counted from the last moment at which it could begin there.
                match self.keys.note(now, key, Place::There(site), left + *window, most_keys) {
                    Some(note) => Some(note),
                    None => return out.push(Action::Stay(job, Stay::Key)),
                }
            }
            _ => None,
        };
        if !way.credit.take(now, slots) {
            return out.push(Action::Stay(job, Stay::NoRoom)); // `route` has seen it: not reached
        }
        way.open += 1;
        self.next += 1;
        let (crossing, instance) = (CrossingId(self.next), way.instance);
        let there = left - way.round_trip.unwrap_or_default() - self.config.margin;
        self.crossings.insert(
            crossing,
            Crossing {
                job: Some(job),
                site,
                link,
                instance,
                effect,
                note,
                shares_keys: self.sites[usize::from(site.0)].shares_keys,
                until: now + left - self.config.margin / 4,
                stage: Stage::Unsent,
            },
        );
        self.jobs.insert(job, crossing);
        self.figures.crossed += 1;
        self.footing.shed(now);
        out.push(Action::Cross { job, link, crossing, epoch: instance, left: there });
    }

    fn left(&mut self, job: JobId, out: &mut Vec<Action>) {
        let Some(id) = self.jobs.remove(&job) else { return };
        let Some(crossing) = self.crossings.get_mut(&id) else { return };
        crossing.job = None;
        if crossing.stage != Stage::Doubt {
            out.push(Action::Withdraw(crossing.link, id));
        }
    }

    fn up(&mut self, link: LinkId, site: SiteId, instance: Instance, out: &mut Vec<Action>) {
        // A second link to the same life replaces the first, which is dead without this side knowing yet.
        let same = |l: &&Out| (l.site, l.instance) == (site, instance);
        let old: Vec<LinkId> = self.outs.iter().filter(|(_, l)| same(l)).map(|(id, _)| *id).collect();
        for old in old {
            self.down(old, out);
            out.push(Action::Close(old));
        }
        let new = Out { site, instance, credit: Credit::default(), round_trip: None, open: 0 };
        self.outs.insert(link, new);
        let doubtful = |c: &Crossing| c.site == site && c.stage == Stage::Doubt;
        let ids: Vec<CrossingId> =
            self.crossings.iter().filter(|(_, c)| doubtful(c)).map(|(id, _)| *id).collect();
        let mut ask = Vec::new();
        for id in ids {
            let Some(crossing) = self.crossings.get_mut(&id) else { continue };
            if crossing.instance != instance {
                self.advance(id, News::PeerRestarted, out);
                continue;
            }
            crossing.link = link;
            self.figures.resumed += 1;
            self.outs.entry(link).and_modify(|out| out.open += 1);
            match crossing.job {
                Some(_) => ask.push(id),
                None => out.push(Action::Withdraw(link, id)),
            }
        }
        out.extend((!ask.is_empty()).then_some(Action::Ask(link, ask)));
    }

    fn down(&mut self, link: LinkId, out: &mut Vec<Action>) {
        if self.outs.remove(&link).is_none() {
            return;
        }
        let of_link = self.crossings.iter().filter(|(_, c)| c.link == link && c.stage != Stage::Doubt);
        for id in of_link.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.advance(id, News::LinkDown, out);
        }
    }

    /// News of a crossing that came on a link; it must be the one that the crossing is on.
    fn news(&mut self, link: LinkId, id: CrossingId, news: News, out: &mut Vec<Action>) {
        if self.crossings.get(&id).is_some_and(|crossing| crossing.link == link) {
            self.advance(id, news, out);
        } else if matches!(news, News::Ended(_)) {
            out.push(Action::Acknowledge(link, id)); // it has had its answer; nobody needs this any more
        }
    }

    /// The only place where a crossing changes or ends.
    fn advance(&mut self, id: CrossingId, news: News, out: &mut Vec<Action>) {
        let Some(crossing) = self.crossings.get_mut(&id) else { return };
        let gives_up = matches!(news, News::DeadlineNear) && crossing.stage != Stage::Doubt;
        let verdict = crossing.step(news);
        if verdict == Verdict::Wait {
            return;
        }
        let Some(crossing) = self.crossings.remove(&id) else { return };
        self.outs.entry(crossing.link).and_modify(|out| out.open = out.open.saturating_sub(1));
        let job = crossing.job.filter(|job| self.jobs.remove(job).is_some());
        match verdict {
            Verdict::Wait => {}
            Verdict::Return => {
                self.figures.returned += 1;
                if let (Effect::Keyed { key, .. }, Some(note)) = (&crossing.effect, crossing.note) {
                    self.keys.clear(key, note);
                }
                out.extend(job.map(Action::Return));
            }
            Verdict::Answer { answer, known } => {
                self.figures.unknown += u64::from(!known);
                if known {
                    out.push(Action::Acknowledge(crossing.link, id));
                } else if gives_up {
                    out.push(Action::Withdraw(crossing.link, id));
                }
                out.extend(job.map(|job| Action::Answer(job, answer)));
            }
        }
    }

    // ---- Taking in ----

    fn joined(&mut self, now: Time, link: LinkId, site: SiteId, instance: Instance, out: &mut Vec<Action>) {
        // A sender that dials again has lost its old link, whether or not this side has noticed. What still
        // comes on that one must not be taken any more: the sender has been told what had arrived.
        let same = |l: &In| (l.site, l.instance) == (site, instance);
        let old: Vec<LinkId> = self.ins.iter().filter(|(_, l)| same(l)).map(|(id, _)| *id).collect();
        for old in old {
            self.ins.remove(&old);
            out.push(Action::Close(old));
        }
        self.ins.insert(link, In { site, instance, room: Room::default(), told: 0, renew_at: now });
    }

    /// How a crossing that comes in on a link is named here; also of a peer that is listed no more.
    pub fn origin(&self, link: LinkId, crossing: CrossingId) -> Option<Origin> {
        self.ins.get(&link).map(|l| Origin { site: l.site, instance: l.instance, crossing })
    }

    fn offered(
        &mut self,
        now: Time,
        link: LinkId,
        crossing: CrossingId,
        (epoch, slots, left, keep): (Instance, u32, Time, Time),
        out: &mut Vec<Action>,
    ) {
        let (own, draining, shedding) =
            (self.instance, self.draining, self.footing.stance() == Stance::Shedding);
        let Some(way) = self.ins.get_mut(&link) else { return };
        let (site, instance) = (way.site, way.instance);
        let covered = way.room.received(now, slots) && epoch == own;
        let origin = Origin { site, instance, crossing };
        let refused = if draining || !self.is_listed(site) {
            Some(Back::Closed)
        } else if shedding {
            Some(Back::Shedding)
        } else if !covered {
            Some(Back::Overdrawn)
        } else if left.is_zero() {
            Some(Back::Late)
        } else {
            None
        };
        let (known, outcome) = self.book.known(origin);
        if known != Known::Never {
            // It is here already: what is known of it is said again, and nothing runs twice.
            self.figures.duplicates += 1;
            out.push(match outcome {
                Some(outcome) => Action::Tell(link, crossing, outcome),
                None => Action::Say(link, crossing, known),
            });
        } else if let Some(why) = refused {
            self.figures.given_back += 1;
            out.push(Action::GiveBack(link, crossing, why));
        } else {
            self.book.take(origin, keep);
            self.figures.taken += 1;
            self.footing.took(slots);
            out.push(Action::Take { link, origin, left });
        }
    }

    fn asked(&mut self, link: LinkId, crossings: Vec<CrossingId>, out: &mut Vec<Action>) {
        for crossing in crossings {
            let Some(origin) = self.origin(link, crossing) else { return };
            let (known, outcome) = self.book.known(origin);
            out.push(match outcome {
                Some(outcome) => Action::Tell(link, crossing, outcome),
                None => Action::Say(link, crossing, known),
            });
        }
    }

    fn finished(&mut self, now: Time, origin: Origin, outcome: Outcome, out: &mut Vec<Action>) {
        if !self.book.end(now, origin, outcome.clone()) {
            return;
        }
        let on = |link: &In| (link.site, link.instance) == (origin.site, origin.instance);
        if let Some((&link, _)) = self.ins.iter().find(|(_, link)| on(link)) {
            out.push(match outcome {
                Outcome::Unstarted => Action::GiveBack(link, origin.crossing, Back::Refused),
                outcome => Action::Tell(link, origin.crossing, outcome),
            });
        }
        self.book.forget(now, self.config.most_kept, self.config.most_kept_bytes);
    }

    // ---- Time ----

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let over = self.crossings.iter().filter(|(_, crossing)| crossing.until <= now);
        for id in over.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.advance(id, News::DeadlineNear, out);
        }
        self.book.forget(now, self.config.most_kept, self.config.most_kept_bytes);
        // A site that was taken out of the settings keeps its links until nothing of it is open.
        let idle_out = |link: &Out| !self.is_listed(link.site) && !self.needs(link.site);
        let idle_in = |link: &In| !self.is_listed(link.site) && !self.book.runs_for(link.site);
        let outs = self.outs.iter().filter(|(_, link)| idle_out(link)).map(|(id, _)| *id);
        let ins = self.ins.iter().filter(|(_, link)| idle_in(link)).map(|(id, _)| *id);
        out.extend(outs.chain(ins).map(Action::Close));
    }

    /// Tells every link in what room it has now, where that changed or is about to run out.
    fn grant(&mut self, now: Time, out: &mut Vec<Action>) {
        let all = if self.draining { 0 } else { self.footing.to_grant(&self.config) };
        let listed: Vec<LinkId> =
            self.ins.iter().filter(|(_, l)| self.is_listed(l.site)).map(|(id, _)| *id).collect();
        let parts = listed.len().max(1) as u32;
        for (&link, way) in &mut self.ins {
            let turn = listed.iter().position(|id| *id == link);
            let slots = turn.map_or(0, |turn| all / parts + u32::from((turn as u32) < all % parts));
            // More room can wait for the next renewal; none left, or none any more, is told at once.
            let spent = slots > 0 && way.room.open() == 0;
            let withdrawn = slots == 0 && way.told > 0;
            let renewal = slots > 0 && now >= way.renew_at;
            let soon = spent && now + self.config.term / (2 * RENEWALS) >= way.renew_at;
            if withdrawn || renewal || soon {
                let term = if slots > 0 { self.config.term } else { Time::ZERO };
                let limit = way.room.grant(slots, now + GRACE * self.config.term);
                way.told = slots;
                way.renew_at = now + self.config.term / RENEWALS;
                out.push(Action::Grant { link, limit, term });
            }
        }
    }
}
