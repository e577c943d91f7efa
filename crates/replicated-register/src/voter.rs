//! A voter: an acceptor, a proposer that makes one change or confirmation at a time, and how the first voters begin.

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::document::{Change, Command, Electorate, Proposal, Refusal, Value};
use crate::message::{Confirmation, Message, Stage};
use crate::register::{Acceptor, Ballot, Promise, Round, Vote};
use crate::{Config, MemberId, Time};

/// Changes that wait for their turn at a voter.
const WAITING: usize = 32;
/// Holders whose confirmation waits.
const ASKING: usize = 4096;

/// What a voter has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Durable {
    /// How far it is.
    pub stage: Stage,
    /// Its memory as an acceptor.
    pub acceptor: Acceptor,
    /// Proposals that it has numbered.
    pub numbered: u64,
    /// What it joined with; 0 for a voter of the founding.
    pub key: u64,
    /// The last value chosen by the voters of the epoch before, by this attempt; none in the first epoch.
    pub floor: Option<(Ballot, Value)>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It holds, as this version.
    Made(u64),
    /// It was not made.
    Refused(Refusal),
    /// It took too long: it holds, or will, or never does. Proposed again with the same parent it is made once at
    /// the most, as no two versions have one parent.
    Unknown,
}

/// What a voter wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To be on disk, synced, before anything behind it is done.
    Persist(Durable),
    /// To be sent; it may get lost.
    Send(MemberId, Message),
    /// The change that was proposed under this number is decided.
    Verdict(u64, Verdict),
}

#[derive(Debug)]
enum What {
    /// Holders, the numbers of their questions, and what they know.
    Confirm(Vec<(MemberId, u64, Option<Ballot>)>),
    Change(u64, Command),
}

#[derive(Debug)]
struct Work {
    what: What,
    began: Time,
    again_at: Time,
    /// The attempt, once there is one.
    attempt: Option<(Ballot, Round)>,
    /// The number of the question to all acceptors, and their answers.
    query: Option<(u64, BTreeMap<MemberId, Vote>)>,
    /// What the change came to in this attempt.
    result: Option<Result<u64, Refusal>>,
}

/// See the module's page.
#[derive(Debug)]
pub struct Voter {
    config: Config,
    me: MemberId,
    durable: Durable,
    stages: BTreeMap<MemberId, Stage>,
    ask_stages_at: Time,
    /// The newest attempt heard of.
    seen: Ballot,
    /// Another one in each life of the process: an answer to a question of the life before tells of a time before
    /// this one began, since when much may have been promised.
    life: u64,
    queries: u64,
    work: Option<Work>,
    changes: VecDeque<(Time, u64, Command)>,
    asking: Vec<(MemberId, u64, Option<Ballot>)>,
    /// The last work was a change: holders come first now, however many changes wait.
    changed_last: bool,
    draws: StdRng,
}

impl Voter {
    /// A voter with what it finds on its disk, if anything. The seed is another one in each life of the process.
    pub fn new(config: Config, me: MemberId, durable: Option<Durable>, seed: u64) -> Self {
        let mut draws = StdRng::seed_from_u64(seed);
        let life = draws.random();
        Voter {
            config,
            me,
            durable: durable.unwrap_or_default(),
            stages: BTreeMap::new(),
            ask_stages_at: Time::ZERO,
            seen: Ballot::default(),
            life,
            queries: life,
            work: None,
            changes: VecDeque::new(),
            asking: Vec::new(),
            changed_last: false,
            draws,
        }
    }

    /// How far it is.
    pub fn stage(&self) -> Stage {
        self.durable.stage
    }

    /// Makes one that does not vote ready to: with the key that this gives it can be added to the voters. Its disk
    /// keeps the key, so that a later life on another disk cannot pass for it; asked again it gives the same one, as the
    /// change that names it may be on its way.
    pub fn join(&mut self, out: &mut Vec<Output>) -> Option<u64> {
        match self.durable.stage {
            Stage::Joining => {}
            Stage::Active | Stage::Ready => return None,
            Stage::Blank | Stage::Lost => {
                self.durable.stage = Stage::Joining;
                self.durable.key = self.draws.random_range(1..u64::MAX);
                self.durable.numbered = self.draws.random::<u64>() >> 1; // its numbers of before are forgotten
                out.push(Output::Persist(self.durable.clone()));
            }
        }
        Some(self.durable.key)
    }

    /// Who votes, as far as this one knows.
    pub fn electorate(&self) -> Electorate {
        let founded = || Value::founded(self.config.voters.iter().copied()).electorate;
        self.durable.floor.as_ref().map_or_else(founded, |floor| floor.1.electorate.clone())
    }

    fn floor(&self) -> (Ballot, Value) {
        let founded = || (Ballot::default(), Value::founded(self.config.voters.iter().copied()));
        self.durable.floor.clone().unwrap_or_else(founded)
    }

    /// Whether it votes and proposes in the newest epoch that it knows.
    fn is_elected(&self) -> bool {
        self.durable.stage == Stage::Active
            && self.electorate().voters.get(&self.me) == Some(&self.durable.key)
    }

    /// When [`Voter::tick`] is due.
    pub fn due(&self) -> Time {
        let work = self.work.as_ref().map(|w| w.again_at.min(w.began + self.config.patience));
        let stages = self.is_founding().then_some(self.ask_stages_at);
        let changes = self.changes.front().map(|c| c.0 + self.config.patience);
        [work, stages, changes].into_iter().flatten().min().unwrap_or(Time::MAX)
    }

    /// Proposes a change; its verdict comes under `number`.
    pub fn propose(
        &mut self,
        now: Time,
        number: u64,
        name: String,
        parent: u64,
        change: Change,
        out: &mut Vec<Output>,
    ) {
        if self.changes.len() >= WAITING {
            let full = Refusal::TooMuch("32 changes wait here already");
            return out.push(Output::Verdict(number, Verdict::Refused(full)));
        }
        self.durable.numbered += 1;
        let by = Proposal { member: self.me, number: self.durable.numbered };
        out.push(Output::Persist(self.durable.clone()));
        self.changes.push_back((now, number, Command { name, parent, change, by }));
        self.begin(now, out);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.is_founding() && now >= self.ask_stages_at {
            self.ask_stages_at = now + self.config.retry;
            self.others().for_each(|to| out.push(Output::Send(to, Message::AskStage(self.life))));
            self.found(out); // one that is alone has heard of all others
        }
        let patience = self.config.patience;
        while let Some((_, number, _)) = self.changes.front().filter(|c| now >= c.0 + patience) {
            out.push(Output::Verdict(*number, Verdict::Unknown));
            self.changes.pop_front();
        }
        if let Some(work) = self.work.take_if(|work| now >= work.began + patience) {
            if let What::Change(number, _) = work.what {
                out.push(Output::Verdict(number, Verdict::Unknown));
            }
        }
        if self.work.as_ref().is_some_and(|work| now >= work.again_at) {
            self.attempt(now, out);
        }
        self.begin(now, out);
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Time, from: MemberId, message: Message, out: &mut Vec<Output>) {
        let votes = self.durable.stage == Stage::Active;
        match message {
            Message::AskStage(life) => {
                out.push(Output::Send(from, Message::StageIs(life, self.durable.stage)))
            }
            Message::StageIs(life, stage) if life == self.life && self.config.voters.contains(&from) => {
                self.stages.insert(from, stage);
                self.found(out);
                self.begin(now, out);
            }
            Message::Prepare(ballot) if votes => {
                let reply = match self.durable.acceptor.prepare(ballot) {
                    Ok(promise) => {
                        out.push(Output::Persist(self.durable.clone()));
                        Message::Promise(promise)
                    }
                    Err(seen) => self.refuse(from, ballot, seen, out),
                };
                out.push(Output::Send(from, reply));
            }
            Message::Accept(ballot, value) if votes => {
                let reply = match self.durable.acceptor.accept(ballot, value) {
                    Ok(()) => {
                        out.push(Output::Persist(self.durable.clone()));
                        Message::Accepted(ballot)
                    }
                    Err(seen) => self.refuse(from, ballot, seen, out),
                };
                out.push(Output::Send(from, reply));
            }
            Message::Query(number) if votes => {
                let state = self.durable.acceptor.accepted().clone();
                out.push(Output::Send(from, Message::State(number, state)));
            }
            Message::Chosen(ballot, value) => self.adopt(now, ballot, value, out),
            Message::Promise(promise) => self.promised(now, from, promise, out),
            Message::Accepted(ballot) => self.accepted(now, from, ballot, out),
            Message::State(number, vote) => self.told(now, from, number, vote, out),
            Message::Refused(ballot, seen) => {
                self.seen = self.seen.max(seen);
                let wait = self.jitter();
                if let Some(work) =
                    self.work.as_mut().filter(|w| w.attempt.as_ref().is_some_and(|a| a.0 == ballot))
                {
                    work.attempt = None; // late answers to it count no more
                    work.again_at = now + wait;
                }
            }
            Message::Ask(..) if self.durable.floor.is_some() && !self.is_elected() => {
                let voters = self.electorate().voters.into_keys().filter(|voter| *voter != self.me).collect();
                out.push(Output::Send(from, Message::Moved(voters)));
            }
            Message::Ask(number, known) => {
                self.asking.retain(|asking| asking.0 != from); // a holder's newest question is all it waits for
                if self.asking.len() < ASKING {
                    self.asking.push((from, number, known));
                }
                self.begin(now, out);
            }
            _ => {}
        }
    }

    fn others(&self) -> impl Iterator<Item = MemberId> + use<> {
        let me = self.me;
        self.electorate().voters.into_keys().filter(move |voter| *voter != me)
    }

    fn is_founding(&self) -> bool {
        self.config.voters.contains(&self.me) && self.durable.stage < Stage::Active
    }

    /// Says no, and to one that does not know yet who votes now, who does.
    fn refuse(&self, from: MemberId, ballot: Ballot, seen: Ballot, out: &mut Vec<Output>) -> Message {
        if let Some((chosen, value)) =
            self.durable.floor.clone().filter(|f| f.1.electorate.epoch > ballot.epoch)
        {
            out.push(Output::Send(from, Message::Chosen(chosen, value)));
        }
        Message::Refused(ballot, seen)
    }

    /// Goes on with the voters of the next epoch, whom this value, chosen by those before, names.
    fn adopt(&mut self, now: Time, ballot: Ballot, value: Value, out: &mut Vec<Output>) {
        if value.electorate.epoch <= self.electorate().epoch {
            return;
        }
        let key = value.electorate.voters.get(&self.me);
        self.durable.stage = match self.durable.stage {
            Stage::Joining if key == Some(&self.durable.key) => Stage::Active,
            // It is another life that they mean.
            Stage::Blank | Stage::Ready if key.is_some() => Stage::Lost,
            Stage::Active if key.is_some_and(|key| *key != self.durable.key) => Stage::Lost,
            stage => stage,
        };
        self.durable.floor = Some((ballot, value));
        out.push(Output::Persist(self.durable.clone()));
        if let Some(work) = self.work.as_mut() {
            (work.attempt, work.query, work.again_at) = (None, None, now);
        }
    }

    /// Up to twice the wait for an answer, so that proposers that met do not meet again.
    fn jitter(&mut self) -> Time {
        self.config.retry.mul_f64(self.draws.random_range(0.2..2.0))
    }

    /// Whether what the others have told takes this voter further.
    fn found(&mut self, out: &mut Vec<Output>) {
        loop {
            let told: Vec<_> = self.others().map(|voter| self.stages.get(&voter).copied()).collect();
            let all = |stages: &[Stage]| told.iter().all(|s| s.is_some_and(|stage| stages.contains(&stage)));
            let next = match self.durable.stage {
                Stage::Blank if told.contains(&Some(Stage::Active)) => Stage::Lost,
                Stage::Blank if all(&[Stage::Blank, Stage::Ready]) => Stage::Ready,
                Stage::Ready if all(&[Stage::Ready, Stage::Active]) => Stage::Active,
                _ => return,
            };
            self.durable.stage = next;
            out.push(Output::Persist(self.durable.clone()));
        }
    }

    /// Takes up what waits, if nothing is under way: changes and confirmations in turn, all confirmations at once.
    fn begin(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.work.is_some() || !self.is_elected() {
            return;
        }
        let holders_first = self.changed_last && !self.asking.is_empty();
        let what = match self.changes.pop_front_if(|_| !holders_first) {
            Some((_, number, command)) => What::Change(number, command),
            None if self.asking.is_empty() => return,
            None => What::Confirm(std::mem::take(&mut self.asking)),
        };
        self.changed_last = matches!(what, What::Change(..));
        self.work = Some(Work { what, began: now, again_at: now, attempt: None, query: None, result: None });
        self.attempt(now, out);
    }

    /// Makes an attempt: a question to all is enough to confirm, as long as their answers agree.
    fn attempt(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.is_elected() {
            return; // what is under way runs out of patience
        }
        let again_at = now + self.config.retry + self.jitter();
        let Some(work) = self.work.as_mut() else { return };
        work.again_at = again_at;
        if matches!(work.what, What::Change(..)) || work.query.is_some() {
            return self.prepare(out, now);
        }
        self.queries = self.queries.wrapping_add(1);
        let number = self.queries;
        work.query = Some((number, BTreeMap::new()));
        self.others().for_each(|to| out.push(Output::Send(to, Message::Query(number))));
        let own = self.durable.acceptor.accepted().clone();
        self.told(now, self.me, number, own, out);
    }

    fn prepare(&mut self, out: &mut Vec<Output>, now: Time) {
        let ballot = self.seen.max(self.durable.acceptor.promised()).next(self.me, self.electorate().epoch);
        // Its own promise, on disk before anything is sent, keeps a process that restarts from using it again.
        let Ok(own) = self.durable.acceptor.prepare(ballot) else { return };
        out.push(Output::Persist(self.durable.clone()));
        let Some(work) = self.work.as_mut() else { return };
        (work.attempt, work.result) = (Some((ballot, Round::start())), None);
        for to in self.others() {
            // Who comes new, or was away, has to know that it is one of the voters.
            let floor = self.durable.floor.clone();
            out.extend(floor.map(|(chosen, value)| Output::Send(to, Message::Chosen(chosen, value))));
            out.push(Output::Send(to, Message::Prepare(ballot)));
        }
        self.promised(now, self.me, own, out);
    }

    fn promised(&mut self, now: Time, from: MemberId, promise: Promise, out: &mut Vec<Output>) {
        let (electorate, floor) = (self.electorate(), self.floor());
        let Some(work) = self.work.as_mut().filter(|_| electorate.voters.contains_key(&from)) else { return };
        let Some((ballot, round)) = work.attempt.as_mut().filter(|a| a.0 == promise.ballot) else { return };
        let Some(newest) = round.promised(from, promise.accepted, electorate.majority()) else { return };
        let mut value = newest.filter(|vote| vote.0 > floor.0).unwrap_or(floor).1;
        match &work.what {
            // Also what is refused is written back: it is refused because of what may not be chosen yet. A value that
            // names other voters is the last of these: it is written back, and the change is for those others.
            What::Change(_, command) if value.electorate.epoch == electorate.epoch => {
                work.result = Some(value.apply(command));
            }
            _ => {}
        }
        let ballot = *ballot;
        *round = Round::Accepting(value.clone(), Default::default());
        if self.durable.acceptor.accept(ballot, value.clone()).is_err() {
            return; // it has promised a newer attempt meanwhile
        }
        out.push(Output::Persist(self.durable.clone()));
        self.others().for_each(|to| out.push(Output::Send(to, Message::Accept(ballot, value.clone()))));
        self.accepted(now, self.me, ballot, out);
    }

    fn accepted(&mut self, now: Time, from: MemberId, ballot: Ballot, out: &mut Vec<Output>) {
        let electorate = self.electorate();
        let Some(work) = self.work.as_mut().filter(|_| electorate.voters.contains_key(&from)) else { return };
        let Some((_, round)) = work.attempt.as_mut().filter(|a| a.0 == ballot) else { return };
        let Some(value) = round.accepted(from, electorate.majority()).cloned() else { return };
        let decided = work.result.is_some();
        if value.electorate.epoch > electorate.epoch {
            let both = electorate.voters.into_keys().chain(value.electorate.voters.keys().copied());
            let told: std::collections::BTreeSet<_> = both.filter(|voter| *voter != self.me).collect();
            told.into_iter()
                .for_each(|to| out.push(Output::Send(to, Message::Chosen(ballot, value.clone()))));
            self.adopt(now, ballot, value.clone(), out);
            if !decided {
                return self.attempt(now, out);
            }
        }
        self.finish(now, Some(ballot), &value, out);
    }

    fn told(&mut self, now: Time, from: MemberId, number: u64, vote: Vote, out: &mut Vec<Output>) {
        let (electorate, floor) = (self.electorate(), self.floor());
        let asked = |work: &&mut Work| work.attempt.is_none() && electorate.voters.contains_key(&from);
        let Some(work) = self.work.as_mut().filter(asked) else { return };
        let Some((_, votes)) = work.query.as_mut().filter(|query| query.0 == number) else { return };
        votes.insert(from, vote);
        if votes.len() < electorate.majority() {
            return;
        }
        let ballots: Vec<_> = votes.values().map(|vote| vote.as_ref().map(|vote| vote.0)).collect();
        if ballots.iter().all(|ballot| *ballot == ballots[0]) {
            // Accepted by a majority, and nothing newer chosen before the question: that would show in one of them.
            let newest = votes.values().flatten().next().filter(|vote| vote.0 > floor.0).cloned();
            let (ballot, value) = newest.unwrap_or(floor);
            if ballot.epoch > electorate.epoch {
                return self.prepare(out, now); // of later voters, whose majority is another: it will be told who they are
            }
            if value.electorate.epoch > electorate.epoch {
                self.adopt(now, ballot, value, out);
                return self.attempt(now, out);
            }
            self.finish(now, Some(ballot).filter(|ballot| *ballot != Ballot::default()), &value, out);
        } else {
            self.prepare(out, now);
        }
    }

    fn finish(&mut self, now: Time, ballot: Option<Ballot>, value: &Value, out: &mut Vec<Output>) {
        let Some(work) = self.work.take() else { return };
        match (work.what, work.result) {
            (What::Change(number, _), Some(Ok(version))) => {
                out.push(Output::Verdict(number, Verdict::Made(version)));
            }
            (What::Change(number, _), Some(Err(refusal))) => {
                out.push(Output::Verdict(number, Verdict::Refused(refusal)));
            }
            (What::Change(number, _), None) => out.push(Output::Verdict(number, Verdict::Unknown)),
            (What::Confirm(asking), _) => {
                for (holder, number, known) in asking {
                    let news = (known != ballot || known.is_none()).then(|| value.clone());
                    let confirmation = Confirmation { number, ballot, news };
                    out.push(Output::Send(holder, Message::Confirm(confirmation)));
                }
            }
        }
        self.begin(now, out);
    }
}
