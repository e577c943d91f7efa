//! Members with their clocks and disks, the virtual network and the event queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use chutesaddle_replicated_register::{
    Config, Digest, Learner, MemberId, Message, Output, PersistentState, Voter,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Maximum difference between the rates of two members' clocks, as a fraction.
const CLOCK_DRIFT: f64 = 0.02;
/// Maximum initial value of a clock.
const MAX_CLOCK_OFFSET_S: f64 = 100.0;
/// End of the faults. The rest of the simulation is free of faults.
pub(super) const FAULTS_END_S: f64 = 20.0;
pub(super) const SIMULATION_END_S: f64 = 32.0;
/// Probability that a process crashes while it carries out the outputs of a voter.
const CRASH_PROBABILITY: f64 = 0.0005;
/// Time from a crash to the restart of the process.
const RESTART_AFTER_S: f64 = 0.5;
/// Number of members that are not voters at first.
const INITIAL_NON_VOTERS: usize = 4;
/// Minimum delay of a message.
const MIN_DELAY_S: f64 = 0.001;
/// Maximum random delay on top of the minimum.
const MAX_JITTER_S: f64 = 0.03;
/// Maximum random delay of a late message on top of the minimum.
const MAX_LATE_JITTER_S: f64 = 0.8;
/// Timers fire this much later than they are due. Without the margin, rounding could make them fire before they are
/// due.
const TIMER_MARGIN_S: f64 = 1e-5;

/// Events of the simulation.
pub(super) enum Event {
    MessageArrives {
        from: MemberId,
        to: MemberId,
        message: Message,
    },
    /// The timer of one incarnation of a process fires.
    TimerDue {
        member: usize,
        incarnation: u64,
    },
    Propose {
        member: usize,
    },
    /// The proposer proposes `new` as a voter, in place of `old` if there is one.
    ReplaceVoter {
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
    Pause {
        member: usize,
        until: f64,
    },
    /// Members on one side can no longer reach members on the other side.
    Partition {
        side: Vec<bool>,
    },
    /// All faults end and all processes are started.
    Heal,
}

impl Event {
    /// Returns the member whose process handles the event, if any. A paused process handles it when it resumes.
    pub(super) fn handled_by(&self) -> Option<usize> {
        match self {
            Event::MessageArrives { to, .. } => Some(usize::from(to.0)),
            Event::TimerDue { member, .. } | Event::Propose { member } => Some(*member),
            Event::ReplaceVoter { proposer, .. } => Some(*proposer),
            Event::Kill { .. }
            | Event::Start { .. }
            | Event::Pause { .. }
            | Event::Partition { .. }
            | Event::Heal => None,
        }
    }
}

/// Running process of a member.
pub(super) struct Process {
    pub(super) voter: Voter,
    pub(super) learner: Learner,
    pub(super) incarnation: u64,
    pub(super) paused_until: f64,
    next_timer_at: f64,
    /// Newest version that had been reported as committed when a confirmation was requested, by request number.
    pub(super) committed_at_request: BTreeMap<u64, u64>,
}

/// Local clock of a member. Converts between simulation time and the member's local time.
#[derive(Clone, Copy)]
struct Clock {
    rate: f64,
    offset_s: f64,
}

impl Clock {
    fn to_local_time(self, simulation_s: f64) -> Duration {
        Duration::from_secs_f64(self.offset_s + simulation_s * self.rate)
    }

    fn to_simulation_s(self, local_time: Duration) -> f64 {
        (local_time.as_secs_f64() - self.offset_s) / self.rate
    }
}

/// Time of an event in microseconds and its number, which orders events with the same time.
type QueueKey = (u64, u64);

/// Simulation of one seed. Vectors are indexed by member.
pub(super) struct Simulation {
    pub(super) config: Config,
    pub(super) random: StdRng,
    pub(super) now_s: f64,
    /// Scheduled events, ordered by time.
    queue: BinaryHeap<Reverse<QueueKey>>,
    /// Scheduled events by number.
    events: BTreeMap<u64, Event>,
    pub(super) last_event: u64,
    pub(super) processes: Vec<Option<Process>>,
    pub(super) disks: Vec<Option<PersistentState>>,
    clocks: Vec<Clock>,
    pub(super) partition_side: Vec<bool>,
    /// Probability that a message is lost.
    pub(super) loss_probability: f64,
    last_incarnation: u64,
    /// Digest of the body of each version that a learner has received.
    pub(super) digests: BTreeMap<u64, Digest>,
    /// Newest version reported as committed.
    pub(super) newest_committed: u64,
    pub(super) newest_epoch: u64,
    /// Number of checks that found a process acting on a single current version.
    pub(super) current_checks: u64,
    pub(super) lost_disks: usize,
    pub(super) violations: Vec<String>,
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

impl Simulation {
    pub(super) fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let voters = if random.random_bool(0.5) { 3 } else { 5 };
        let members = voters + INITIAL_NON_VOTERS;
        let mut clocks = Vec::new();
        for _ in 0..members {
            let rate = 1.0 + CLOCK_DRIFT * random.random::<f64>();
            clocks.push(Clock { rate, offset_s: MAX_CLOCK_OFFSET_S * random.random::<f64>() });
        }
        Simulation {
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
            loss_probability: 0.0,
            last_incarnation: 0,
            digests: BTreeMap::new(),
            newest_committed: 0,
            newest_epoch: 0,
            current_checks: 0,
            lost_disks: 0,
            violations: Vec::new(),
        }
    }

    /// Runs the simulation until its end or until an invariant is violated.
    pub(super) fn run(&mut self) {
        self.schedule_all();
        while let Some((at_s, event)) = self.next_event() {
            self.now_s = self.now_s.max(at_s);
            if self.now_s >= SIMULATION_END_S {
                break;
            }
            let paused_until = self.paused_until(&event);
            if paused_until > self.now_s {
                self.schedule_at(paused_until, event); // handled when the process resumes
                continue;
            }
            self.handle_event(event);
            self.check_current_versions();
            if !self.violations.is_empty() {
                return;
            }
        }
        self.check_final_state();
    }

    fn next_event(&mut self) -> Option<(f64, Event)> {
        let Reverse((at_us, number)) = self.queue.pop()?;
        let event = self.events.remove(&number)?;
        Some((at_us as f64 / 1e6, event))
    }

    /// Returns the time until which the process that handles the event is paused.
    fn paused_until(&self, event: &Event) -> f64 {
        let process = event.handled_by().and_then(|member| self.processes[member].as_ref());
        process.map_or(0.0, |process| process.paused_until)
    }

    /// Schedules an event.
    pub(super) fn schedule_at(&mut self, time_s: f64, event: Event) {
        self.last_event += 1;
        self.queue.push(Reverse(((time_s * 1e6).ceil() as u64, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    /// Returns a member's local time.
    pub(super) fn local_time(&self, member: usize) -> Duration {
        self.clocks[member].to_local_time(self.now_s)
    }

    /// Starts a member's process with the state on its disk, unless it is already running.
    pub(super) fn start(&mut self, member: usize) {
        if self.processes[member].is_some() {
            return;
        }
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let id = MemberId(member as u16);
        let voter = Voter::new(self.config.clone(), id, self.disks[member].clone(), self.random.random());
        let first_voter = self.random.random_range(0..8);
        let learner = Learner::new(self.config.clone(), first_voter, self.random.random());
        self.processes[member] = Some(Process {
            voter,
            learner,
            incarnation,
            paused_until: 0.0,
            next_timer_at: self.now_s,
            committed_at_request: BTreeMap::new(),
        });
        self.schedule_at(self.now_s, Event::TimerDue { member, incarnation });
    }

    /// Sends a message over the network, which may lose, delay or duplicate it.
    pub(super) fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        let side = |member: MemberId| self.partition_side[usize::from(member.0)];
        let is_partitioned = side(from) != side(to);
        if from != to && (is_partitioned || self.random.random_bool(self.loss_probability)) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.loss_probability / 2.0));
        for _ in 0..copies {
            let is_late = self.random.random_bool(self.loss_probability / 2.0);
            let max_jitter_s = if is_late { MAX_LATE_JITTER_S } else { MAX_JITTER_S };
            let arrives_s = self.now_s + MIN_DELAY_S + self.random.random::<f64>() * max_jitter_s;
            self.schedule_at(arrives_s, Event::MessageArrives { from, to, message: message.clone() });
        }
    }

    /// Calls `action` with a member's process, if it is running, and its local time. Then sets the next timer and
    /// carries out the outputs.
    pub(super) fn with_process(
        &mut self,
        member: usize,
        action: impl FnOnce(&mut Process, Duration, &mut Vec<Output>),
    ) {
        let local_time = self.local_time(member);
        let Some(process) = self.processes[member].as_mut() else { return };
        let mut outputs = Vec::new();
        action(process, local_time, &mut outputs);
        let local_due = process.voter.next_tick_at().min(process.learner.next_tick_at());
        let due_s = self.clocks[member].to_simulation_s(local_due).max(self.now_s) + TIMER_MARGIN_S;
        let incarnation = process.incarnation;
        // Replaces a timer that is set for a later time or has already fired.
        let sets_timer = process.next_timer_at <= self.now_s || due_s < process.next_timer_at;
        if sets_timer {
            process.next_timer_at = due_s;
        }
        if sets_timer && due_s < SIMULATION_END_S {
            self.schedule_at(due_s, Event::TimerDue { member, incarnation });
        }
        self.carry_out(member, outputs);
    }

    /// Carries out the outputs of a voter. The process may crash before all of them are done.
    fn carry_out(&mut self, member: usize, outputs: Vec<Output>) {
        let crashes = self.now_s < FAULTS_END_S && self.random.random_bool(CRASH_PROBABILITY);
        let output_count = if crashes { self.random.random_range(0..=outputs.len()) } else { outputs.len() };
        for output in outputs.into_iter().take(output_count) {
            match output {
                Output::Persist(state) => self.disks[member] = Some(state),
                Output::Send(to, message) => self.send(MemberId(member as u16), to, message),
                Output::Decided(number, decision) => self.handle_decision(number, &decision),
            }
        }
        if crashes {
            self.processes[member] = None;
            self.schedule_at(self.now_s + RESTART_AFTER_S, Event::Start { member });
        }
    }
}
