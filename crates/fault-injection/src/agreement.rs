//! `agreement-network`: voters and holders on a virtual network, by seed: messages are lost, late, doubled and overtaken,
//! members are cut off, killed, started anew with their disk or without it, and halted; voters come and go; each
//! member counts time on a clock of its own.
//!
//! Judged from outside, at every event: a version has one body, a change that was reported as made is seen by whoever
//! asks afterwards, and no two processes act plainly on different versions. At the end, after a calm, all act plainly on
//! the newest.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use chutesaddle_replicated_register::{
    Change, Config, Digest, Durable, Holder, MemberId, Message, Output, Stage, Stance, Verdict, Voter,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

const DRIFT: f64 = 0.02;
/// Faults until then, and calm from then on.
const FAULTS: f64 = 20.0;
const END: f64 = 32.0;

fn config(voters: usize) -> Config {
    Config {
        voters: (0..voters as u16).map(MemberId).collect(),
        retry: Duration::from_millis(100),
        patience: Duration::from_secs(2),
        term: Duration::from_millis(1500),
        drift: DRIFT,
    }
}

enum Event {
    Arrives(MemberId, MemberId, Message),
    /// Timers of a process; it is that life's.
    Due(usize, u64),
    Propose(usize),
    /// By the first: the second joins, in the place of the third.
    Replace(usize, usize, Option<usize>),
    Kill(usize, bool),
    Start(usize),
    Halt(usize, f64),
    Cut(Vec<bool>),
    Heal,
}

struct Process {
    voter: Voter,
    holder: Holder,
    life: u64,
    halted_until: f64,
    due: f64,
    /// When it asked, what had been reported as made by then.
    asked: BTreeMap<u64, u64>,
}

struct World {
    config: Config,
    draws: StdRng,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    counted: u64,
    /// Of each member: its process, its disk, and the rate and offset of its clock.
    processes: Vec<Option<Process>>,
    disks: Vec<Option<Durable>>,
    clocks: Vec<(f64, f64)>,
    cut: Vec<bool>,
    lossy: f64,
    lives: u64,
    bodies: BTreeMap<u64, Digest>,
    made: u64,
    epochs: u64,
    plain: u64,
    lost: usize,
    broken: Vec<String>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut draws = StdRng::seed_from_u64(seed);
        let voters = if draws.random_bool(0.5) { 3 } else { 5 };
        let members = voters + 4;
        let clocks =
            (0..members).map(|_| (1.0 + DRIFT * draws.random::<f64>(), 100.0 * draws.random::<f64>()));
        let clocks = clocks.collect();
        World {
            config: config(voters),
            draws,
            now: 0.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            counted: 0,
            processes: (0..members).map(|_| None).collect(),
            disks: vec![None; members],
            clocks,
            cut: vec![false; members],
            lossy: 0.0,
            lives: 0,
            bodies: BTreeMap::new(),
            made: 0,
            epochs: 0,
            plain: 0,
            lost: 0,
            broken: Vec::new(),
        }
    }

    fn at(&mut self, time: f64, event: Event) {
        self.counted += 1;
        self.queue.push(Reverse(((time * 1e6).ceil() as u64, self.counted)));
        self.events.insert(self.counted, event);
    }

    /// A member's own time.
    fn clock(&self, member: usize) -> Duration {
        let (rate, offset) = self.clocks[member];
        Duration::from_secs_f64(offset + self.now * rate)
    }

    fn start(&mut self, member: usize) {
        if self.processes[member].is_some() {
            return;
        }
        self.lives += 1;
        let id = MemberId(member as u16);
        let voter = Voter::new(self.config.clone(), id, self.disks[member].clone(), self.draws.random());
        let holder = Holder::new(self.config.clone(), self.draws.random_range(0..8), self.draws.random());
        let asked = BTreeMap::new();
        self.processes[member] =
            Some(Process { voter, holder, life: self.lives, halted_until: 0.0, due: self.now, asked });
        self.at(self.now, Event::Due(member, self.lives));
    }

    fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        let crosses = self.cut[usize::from(from.0)] != self.cut[usize::from(to.0)];
        if from != to && (crosses || self.draws.random_bool(self.lossy)) {
            return;
        }
        let copies = 1 + usize::from(self.draws.random_bool(self.lossy / 2.0));
        for _ in 0..copies {
            let late = if self.draws.random_bool(self.lossy / 2.0) { 0.8 } else { 0.03 };
            let arrives = self.now + 0.001 + self.draws.random::<f64>() * late;
            self.at(arrives, Event::Arrives(from, to, message.clone()));
        }
    }

    /// Does what a voter wants done; now and then the process dies in the middle of it.
    fn carry_out(&mut self, member: usize, outputs: Vec<Output>) {
        let dies = self.now < FAULTS && self.draws.random_bool(0.0005);
        let last = if dies { self.draws.random_range(0..=outputs.len()) } else { outputs.len() };
        for output in outputs.into_iter().take(last) {
            match output {
                Output::Persist(durable) => self.disks[member] = Some(durable),
                Output::Send(to, message) => self.send(MemberId(member as u16), to, message),
                Output::Verdict(1, Verdict::Made(version)) => self.made = self.made.max(version),
                Output::Verdict(2, Verdict::Made(epoch)) => self.epochs = self.epochs.max(epoch),
                Output::Verdict(..) => {}
            }
        }
        if dies {
            self.processes[member] = None;
            self.at(self.now + 0.5, Event::Start(member));
        }
    }

    /// Hands an event to a member that is there, at its own time.
    fn act(&mut self, member: usize, act: impl FnOnce(&mut Process, Duration, &mut Vec<Output>)) {
        let clock = self.clock(member);
        let Some(process) = self.processes[member].as_mut() else { return };
        let mut outputs = Vec::new();
        act(process, clock, &mut outputs);
        let due = process.voter.due().min(process.holder.due());
        let (rate, offset) = self.clocks[member];
        let due = ((due.as_secs_f64() - offset) / rate).max(self.now) + 1e-5;
        let life = process.life;
        // A timer that was set for later, or is over, gives way to this one.
        let sets = process.due <= self.now || due < process.due;
        if sets {
            process.due = due;
        }
        if sets && due < END {
            self.at(due, Event::Due(member, life));
        }
        self.carry_out(member, outputs);
    }

    fn run(&mut self, event: Event) {
        match event {
            Event::Arrives(from, to, message) => {
                let member = usize::from(to.0);
                match message {
                    Message::Confirm(confirmation) => {
                        let Some(process) = self.processes[member].as_mut() else { return };
                        let least = process.asked.remove(&confirmation.number).unwrap_or(0);
                        if let Some(news) = &confirmation.news {
                            let newest = news.newest("rules").map_or(0, |document| document.version);
                            if newest < least {
                                self.broken
                                    .push(format!("version {least} was made and is lost: {newest} is told"));
                            }
                            for document in news.history("rules") {
                                let known = *self.bodies.entry(document.version).or_insert(document.digest);
                                if known != document.digest {
                                    self.broken.push(format!("two bodies of {}", document.version));
                                }
                            }
                        }
                        self.act(member, |process, now, _| process.holder.confirmed(now, confirmation));
                    }
                    Message::Moved(voters) => {
                        self.act(member, |process, now, _| process.holder.moved(now, voters));
                    }
                    message => {
                        self.act(member, |process, now, out| process.voter.receive(now, from, message, out))
                    }
                }
            }
            Event::Due(member, life) if self.processes[member].as_ref().is_some_and(|p| p.life == life) => {
                let made = self.made;
                let mut ask = None;
                self.act(member, |process, now, out| {
                    process.voter.tick(now, out);
                    ask = process.holder.tick(now);
                    if let Some((_, Message::Ask(number, _))) = &ask {
                        process.asked.insert(*number, made);
                    }
                });
                if let Some((to, message)) = ask {
                    self.send(MemberId(member as u16), to, message);
                }
            }
            Event::Propose(member) => {
                let body = format!("quota \"acme\" {}", self.counted);
                self.act(member, |process, now, out| {
                    let known = match process.holder.stance(now) {
                        Stance::Plain(value) => Some(value),
                        Stance::Overlap(values) | Stance::Safe(values) => values.first().copied(),
                        Stance::Nothing => None,
                    };
                    let parent = known.and_then(|value| value.newest("rules")).map_or(0, |d| d.version);
                    process.voter.propose(now, 1, "rules".to_owned(), parent, Change::Put(body), out);
                });
            }
            Event::Replace(by, new, old) => {
                let mut key = None;
                self.act(new, |process, _, out| key = process.voter.join(out));
                let id = |member: usize| MemberId(member as u16);
                let Some(key) = key else { return };
                let change = Change::Voters { add: Some((id(new), key)), remove: old.map(id) };
                self.act(by, |process, now, out| {
                    let parent = process.voter.electorate().epoch;
                    process.voter.propose(now, 2, String::new(), parent, change, out);
                });
            }
            Event::Kill(member, disk) => {
                self.processes[member] = None;
                // As many as the others can do without.
                if disk && self.lost < self.config.voters.len() / 2 && self.disks[member].is_some() {
                    self.lost += 1;
                    self.disks[member] = None;
                }
            }
            Event::Start(member) => self.start(member),
            Event::Halt(member, until) => {
                self.processes[member].iter_mut().for_each(|process| process.halted_until = until);
            }
            Event::Cut(side) => self.cut = side,
            Event::Heal => {
                self.cut.iter_mut().for_each(|cut| *cut = false);
                self.lossy = 0.0;
                (0..self.processes.len()).for_each(|member| self.start(member));
            }
            Event::Due(..) => {}
        }
    }

    /// The member whom an event is for, if it is for a process.
    fn whose(event: &Event) -> Option<usize> {
        match event {
            Event::Arrives(_, to, _) => Some(usize::from(to.0)),
            Event::Due(member, _) | Event::Propose(member) | Event::Replace(member, ..) => Some(*member),
            _ => None,
        }
    }

    /// No two processes that can act now act plainly on different versions.
    fn check(&mut self) {
        let mut found: Option<(usize, u64)> = None;
        for member in 0..self.processes.len() {
            let clock = self.clock(member);
            let Some(process) = self.processes[member].as_ref().filter(|p| p.halted_until <= self.now) else {
                continue;
            };
            let Stance::Plain(value) = process.holder.stance(clock) else { continue };
            let version = value.newest("rules").map_or(0, |document| document.version);
            self.plain += 1;
            match found {
                Some((other, known)) => {
                    if known != version {
                        self.broken.push(format!(
                            "members {other} and {member} act on {known} and {version} at {:.3}",
                            self.now
                        ));
                    }
                }
                None => found = Some((member, version)),
            }
        }
    }

    fn play(&mut self) {
        let members = self.processes.len();
        (0..members).for_each(|member| self.at(0.0, Event::Start(member)));
        let voters = self.config.voters.len();
        let faults = self.draws.random_range(2..14);
        for _ in 0..faults {
            let (at, lasts) = (2.0 + 15.0 * self.draws.random::<f64>(), 3.0 * self.draws.random::<f64>());
            let member = self.draws.random_range(0..members);
            match self.draws.random_range(0..5) {
                0 => {
                    self.at(at, Event::Kill(member, false));
                    self.at(at + lasts, Event::Start(member));
                }
                1 => {
                    self.at(at, Event::Kill(member, true));
                    self.at(at + lasts, Event::Start(member));
                }
                2 => self.at(at, Event::Halt(member, at + lasts)),
                3 => {
                    // All voters at once.
                    for voter in 0..voters {
                        self.at(at, Event::Kill(voter, false));
                        self.at(at + 0.1, Event::Start(voter));
                    }
                }
                _ => {
                    let side = (0..members).map(|_| self.draws.random_bool(0.4)).collect();
                    self.at(at, Event::Cut(side));
                    self.at(at + lasts, Event::Cut(vec![false; members]));
                }
            }
        }
        for _ in 0..30 {
            let (at, member) = (1.0 + 18.0 * self.draws.random::<f64>(), self.draws.random_range(0..voters));
            self.at(at, Event::Propose(member));
            if self.draws.random_bool(0.3) {
                let other = self.draws.random_range(0..voters);
                self.at(at, Event::Propose(other)); // two in the same instant
            }
        }
        if self.draws.random_bool(0.6) {
            // Members that did not vote take the place of others, or come in addition.
            for new in voters..voters + self.draws.random_range(1..4) {
                let (by, old) = (self.draws.random_range(0..voters), self.draws.random_range(0..voters));
                let old = self.draws.random_bool(0.7).then_some(old);
                let at = 2.0 + 14.0 * self.draws.random::<f64>();
                self.at(at, Event::Replace(by, new, old));
                // Meanwhile others propose changes of what the old voters hold.
                for voter in 0..voters {
                    let soon = at + 0.15 * self.draws.random::<f64>();
                    self.at(soon, Event::Propose(voter));
                }
                // It may lose its disk on the way.
                if self.draws.random_bool(0.3) {
                    let lost = at + 4.0 * self.draws.random::<f64>();
                    self.at(lost, Event::Kill(new, true));
                    self.at(lost + 0.3, Event::Start(new));
                }
                // An operator who heard nothing tries again, elsewhere.
                self.at(at + 3.0, Event::Replace((by + 1) % voters, new, old));
            }
        }
        self.at(FAULTS, Event::Heal);
        self.lossy = if self.draws.random_bool(0.7) { 0.3 * self.draws.random::<f64>() } else { 0.0 };
        while let Some(Reverse((time, number))) = self.queue.pop() {
            self.now = self.now.max(time as f64 / 1e6);
            if self.now >= END {
                break;
            }
            let Some(event) = self.events.remove(&number) else { continue };
            let halted = Self::whose(&event)
                .and_then(|member| self.processes[member].as_ref())
                .map_or(0.0, |process| process.halted_until);
            if halted > self.now {
                self.at(halted, event); // what came meanwhile is read when it goes on
                continue;
            }
            self.run(event);
            self.check();
            if !self.broken.is_empty() {
                return;
            }
        }
        self.check_the_end();
    }

    fn check_the_end(&mut self) {
        for member in 0..self.processes.len() {
            let clock = self.clock(member);
            let stance = self.processes[member].as_ref().map(|process| process.holder.stance(clock));
            let Some(Stance::Plain(value)) = stance else {
                self.broken.push(format!("member {member} is not plain at the end: {stance:?}"));
                continue;
            };
            let version = value.newest("rules").map_or(0, |document| document.version);
            if version < self.made {
                self.broken.push(format!("member {member} has {version} of {} at the end", self.made));
            }
        }
        let without = self.without_disk();
        if without > self.lost {
            self.broken.push(format!("{without} voters have no disk, and {} were lost", self.lost));
        }
    }

    fn without_disk(&self) -> usize {
        self.processes.iter().flatten().filter(|process| process.voter.stage() == Stage::Lost).count()
    }
}

/// What came of a number of seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seeds played.
    pub seeds: u64,
    /// Versions that were reported as made.
    pub versions: u64,
    /// Changes of the voters.
    pub epochs: u64,
    /// Looks at a process that acted plainly.
    pub plain: u64,
    /// Voters without their disk at the end.
    pub without_disk: usize,
    /// Promises broken, with the seeds that broke them. Promised: none.
    pub broken: Vec<String>,
}

/// Plays the seeds from `first` on.
pub fn play(first: u64, seeds: u64) -> Report {
    let mut report = Report { seeds, ..Report::default() };
    for seed in first..first + seeds {
        let mut world = World::new(seed);
        world.play();
        report.versions += world.made;
        report.epochs += world.epochs;
        report.plain += world.plain;
        report.without_disk += world.without_disk();
        report.broken.extend(world.broken.iter().map(|what| format!("seed {seed}: {what}")));
    }
    report
}
