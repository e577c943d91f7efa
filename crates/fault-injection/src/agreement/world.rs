//! The members, their clocks and disks, the virtual network, and the queue of events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use chutesaddle_replicated_register::{
    Config, Digest, Learner, MemberId, Message, Output, PersistentState, Voter,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The rates of the members' clocks differ by up to this fraction.
const CLOCK_DRIFT: f64 = 0.02;
/// Clocks begin at up to this time.
const MOST_CLOCK_OFFSET_S: f64 = 100.0;
/// There are faults until then, and calm from then on.
pub(super) const FAULTS_END_S: f64 = 20.0;
pub(super) const END_S: f64 = 32.0;
/// The chance that a process dies in the middle of what a voter wants done, and after how long it starts again.
const DEATH_CHANCE: f64 = 0.0005;
const RESTART_AFTER_S: f64 = 0.5;
/// Members beyond the first voters.
const SPARE_MEMBERS: usize = 4;
const LEAST_DELAY_S: f64 = 0.001;
const MOST_DELAY_S: f64 = 0.03;
/// The longest delay of a late message.
const MOST_LATE_DELAY_S: f64 = 0.8;
/// A timer is set this much later than it is due, so that it is not found undue by rounding.
const TIMER_MARGIN_S: f64 = 1e-5;

/// Something that happens in the world.
pub(super) enum Event {
    Arrives {
        from: MemberId,
        to: MemberId,
        message: Message,
    },
    /// A timer of a process, in that incarnation of it.
    TimerDue {
        member: usize,
        incarnation: u64,
    },
    Propose {
        member: usize,
    },
    /// A member proposes that another joins the voters, in the place of a third or in addition.
    Replace {
        proposer: usize,
        new: usize,
        old: Option<usize>,
    },
    Kill {
        member: usize,
        loses_disk: bool,
    },
    Start {
        member: usize,
    },
    Halt {
        member: usize,
        until: f64,
    },
    /// From now on, members on one side do not reach those on the other.
    Partition {
        side: Vec<bool>,
    },
    /// All faults end.
    Heal,
}

impl Event {
    /// The member whose process handles it, if one does. A halted process handles it when it goes on.
    pub(super) fn process(&self) -> Option<usize> {
        match self {
            Event::Arrives { to, .. } => Some(usize::from(to.0)),
            Event::TimerDue { member, .. } | Event::Propose { member } => Some(*member),
            Event::Replace { proposer, .. } => Some(*proposer),
            Event::Kill { .. }
            | Event::Start { .. }
            | Event::Halt { .. }
            | Event::Partition { .. }
            | Event::Heal => None,
        }
    }
}

/// The process of a member.
pub(super) struct Process {
    pub(super) voter: Voter,
    pub(super) learner: Learner,
    pub(super) incarnation: u64,
    pub(super) halted_until: f64,
    next_timer_at: f64,
    /// By the number of a question: the newest version that had been reported as committed when it was asked.
    pub(super) committed_when_asked: BTreeMap<u64, u64>,
}

/// A member's own clock against the world's time.
#[derive(Clone, Copy)]
struct Clock {
    rate: f64,
    offset_s: f64,
}

impl Clock {
    fn at(self, world_s: f64) -> Duration {
        Duration::from_secs_f64(self.offset_s + world_s * self.rate)
    }

    fn to_world_s(self, own: Duration) -> f64 {
        (own.as_secs_f64() - self.offset_s) / self.rate
    }
}

/// When an event happens, in microseconds, and its number, which orders events of the same time.
type QueueKey = (u64, u64);

/// The world of one seed. Vectors are by member.
pub(super) struct World {
    pub(super) config: Config,
    pub(super) random: StdRng,
    pub(super) now_s: f64,
    queue: BinaryHeap<Reverse<QueueKey>>,
    events: BTreeMap<u64, Event>,
    pub(super) last_event: u64,
    pub(super) processes: Vec<Option<Process>>,
    pub(super) disks: Vec<Option<PersistentState>>,
    clocks: Vec<Clock>,
    pub(super) partition_side: Vec<bool>,
    /// The chance that a message is lost.
    pub(super) loss: f64,
    last_incarnation: u64,
    /// The body of each version that a learner was told of.
    pub(super) bodies: BTreeMap<u64, Digest>,
    /// The newest version that was reported as committed.
    pub(super) newest_committed: u64,
    pub(super) newest_epoch: u64,
    /// Checks of a process that acted on one version alone.
    pub(super) checks_of_current: u64,
    pub(super) lost_disks: usize,
    pub(super) broken: Vec<String>,
}

fn config(voters: usize) -> Config {
    Config {
        voters: (0..voters as u16).map(MemberId).collect(),
        retry_interval: Duration::from_millis(100),
        timeout: Duration::from_secs(2),
        validity_period: Duration::from_millis(1500),
        clock_drift: CLOCK_DRIFT,
    }
}

impl World {
    pub(super) fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let voters = if random.random_bool(0.5) { 3 } else { 5 };
        let members = voters + SPARE_MEMBERS;
        let mut clocks = Vec::new();
        for _ in 0..members {
            let rate = 1.0 + CLOCK_DRIFT * random.random::<f64>();
            clocks.push(Clock { rate, offset_s: MOST_CLOCK_OFFSET_S * random.random::<f64>() });
        }
        World {
            config: config(voters),
            random,
            now_s: 0.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            processes: (0..members).map(|_| None).collect(),
            disks: vec![None; members],
            clocks,
            partition_side: vec![false; members],
            loss: 0.0,
            last_incarnation: 0,
            bodies: BTreeMap::new(),
            newest_committed: 0,
            newest_epoch: 0,
            checks_of_current: 0,
            lost_disks: 0,
            broken: Vec::new(),
        }
    }

    /// Plays until a promise is broken or the end.
    pub(super) fn play(&mut self) {
        self.schedule();
        while let Some((at_s, event)) = self.next_event() {
            self.now_s = self.now_s.max(at_s);
            if self.now_s >= END_S {
                break;
            }
            let halted_until = self.halted_until(&event);
            if halted_until > self.now_s {
                self.at(halted_until, event); // what came meanwhile is handled when the process goes on
                continue;
            }
            self.run(event);
            self.check_versions_in_use();
            if !self.broken.is_empty() {
                return;
            }
        }
        self.check_the_end();
    }

    fn next_event(&mut self) -> Option<(f64, Event)> {
        let Reverse((at_us, number)) = self.queue.pop()?;
        let event = self.events.remove(&number)?;
        Some((at_us as f64 / 1e6, event))
    }

    /// Until when the process is halted that an event is for.
    fn halted_until(&self, event: &Event) -> f64 {
        let process = event.process().and_then(|member| self.processes[member].as_ref());
        process.map_or(0.0, |process| process.halted_until)
    }

    /// Lets an event happen at that time.
    pub(super) fn at(&mut self, time_s: f64, event: Event) {
        self.last_event += 1;
        self.queue.push(Reverse(((time_s * 1e6).ceil() as u64, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    /// A member's own time.
    pub(super) fn own_time(&self, member: usize) -> Duration {
        self.clocks[member].at(self.now_s)
    }

    /// Starts a member's process with what is on its disk, unless it runs.
    pub(super) fn start(&mut self, member: usize) {
        if self.processes[member].is_some() {
            return;
        }
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let id = MemberId(member as u16);
        let voter = Voter::new(self.config.clone(), id, self.disks[member].clone(), self.random.random());
        let turn = self.random.random_range(0..8);
        let learner = Learner::new(self.config.clone(), turn, self.random.random());
        self.processes[member] = Some(Process {
            voter,
            learner,
            incarnation,
            halted_until: 0.0,
            next_timer_at: self.now_s,
            committed_when_asked: BTreeMap::new(),
        });
        self.at(self.now_s, Event::TimerDue { member, incarnation });
    }

    /// Puts a message on the network, which may lose, delay or duplicate it.
    pub(super) fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        let side = |member: MemberId| self.partition_side[usize::from(member.0)];
        let is_partitioned = side(from) != side(to);
        if from != to && (is_partitioned || self.random.random_bool(self.loss)) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.loss / 2.0));
        for _ in 0..copies {
            let is_late = self.random.random_bool(self.loss / 2.0);
            let most_s = if is_late { MOST_LATE_DELAY_S } else { MOST_DELAY_S };
            let arrives_s = self.now_s + LEAST_DELAY_S + self.random.random::<f64>() * most_s;
            self.at(arrives_s, Event::Arrives { from, to, message: message.clone() });
        }
    }

    /// Lets the process of a member act, if it runs, at its own time, and carries out what it wants done.
    pub(super) fn act(&mut self, member: usize, act: impl FnOnce(&mut Process, Duration, &mut Vec<Output>)) {
        let own_time = self.own_time(member);
        let Some(process) = self.processes[member].as_mut() else { return };
        let mut outputs = Vec::new();
        act(process, own_time, &mut outputs);
        let own_due = process.voter.next_tick_at().min(process.learner.next_tick_at());
        let due_s = self.clocks[member].to_world_s(own_due).max(self.now_s) + TIMER_MARGIN_S;
        let incarnation = process.incarnation;
        // A timer that was set for later, or is over, gives way to this one.
        let sets_timer = process.next_timer_at <= self.now_s || due_s < process.next_timer_at;
        if sets_timer {
            process.next_timer_at = due_s;
        }
        if sets_timer && due_s < END_S {
            self.at(due_s, Event::TimerDue { member, incarnation });
        }
        self.carry_out(member, outputs);
    }

    /// Does what a voter wants done; now and then the process dies in the middle of it.
    fn carry_out(&mut self, member: usize, outputs: Vec<Output>) {
        let dies = self.now_s < FAULTS_END_S && self.random.random_bool(DEATH_CHANCE);
        let done = if dies { self.random.random_range(0..=outputs.len()) } else { outputs.len() };
        for output in outputs.into_iter().take(done) {
            match output {
                Output::Persist(state) => self.disks[member] = Some(state),
                Output::Send(to, message) => self.send(MemberId(member as u16), to, message),
                Output::Decided(number, decision) => self.decided(number, &decision),
            }
        }
        if dies {
            self.processes[member] = None;
            self.at(self.now_s + RESTART_AFTER_S, Event::Start { member });
        }
    }
}
