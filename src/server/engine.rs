//! Owner of the decision module: one task that numbers transactions, keeps the clock and the timers, and
//! gives each transaction one [`FinalAnswer`]. Everything else reaches the module through its [`EngineQueue`], whose
//! messages know no protocol, so that another front can stand beside HTTP.

mod migration;
mod site_forwarding;
mod worker_list;

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use chutesaddle_gateway::Gateway;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};

use site_forwarding::{Crossings, Travel};

use crate::config::endpoint_list::EndpointListUpdate;
use crate::scheduling::Dispatcher;
use crate::scheduling::Timer;
use crate::scheduling::{Action, AttemptEnded, Event, LoadReport, Request, RequestId, Settings, WorkerId};
use crate::server::attempt_end::AttemptEnd;
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::lifecycle::peer_processes::PeerProcesses;
use crate::server::load_report;
use crate::server::messages::{
    AttemptCommand, CallbackEvent, CallbackRelay, ClientRequest, FinalAnswer, PeerProcessId, ProcessRole,
    RequestPayload, WorkerCallback,
};
use crate::server::metrics::{Counters, Gauge, Gauged};
use crate::server::peers::gossip_transport::GossipSender;
use crate::server::workers::attempt::{AttemptResult, AttemptTask};
use crate::server::workers::capacity_probe::{probe, ProbeResult};
use crate::server::workers::connector::WorkerConnector;
use crate::server::workers::endpoint::WorkerEndpoint;

/// Kept connections are looked over this often.
const HOUSEKEEPING: Duration = Duration::from_secs(1);
/// How often to look, while transactions are moved, whether more of them can be.
const MOVE_AGAIN: Duration = Duration::from_millis(20);
/// The largest wait that a timer may ask for.
const LONGEST_TIMER_S: f64 = 24.0 * 3600.0;

/// Seconds since the Unix epoch, from one reading of the wall clock and monotonic time from then on. The
/// module compares it with the members' start times and takes a time of 0 or less for long ago: a clock
/// that began with this process would make members that just started look warm.
struct Clock {
    anchor: Instant,
    anchor_s: f64,
}

impl Clock {
    fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { anchor: Instant::now(), anchor_s: wall.as_secs_f64() }
    }

    fn at(&self, instant: Instant) -> f64 {
        let since = instant.saturating_duration_since(self.anchor).as_secs_f64();
        self.anchor_s + since - self.anchor.saturating_duration_since(instant).as_secs_f64()
    }
}

/// An attempt and the flow that carries it.
struct Attempt {
    worker: WorkerId,
    /// Open until the module has been told its end.
    open: bool,
    /// The member has taken the job: nothing but call-backs is awaited.
    taken: Rc<Cell<bool>>,
    /// Given up, so that its end is on its way.
    withdrawn: bool,
    order: Option<oneshot::Sender<AttemptCommand>>,
}

impl Attempt {
    fn order(&mut self, order: AttemptCommand) {
        // A flow that has ended by itself has no ear left, and needs none.
        let _ = self.order.take().map(|sender| sender.send(order));
    }
}

/// A transaction until it is answered and no attempt of it is open.
struct Live {
    class: usize,
    hint: Option<f64>,
    reply: Option<oneshot::Sender<FinalAnswer>>,
    /// Counts it as active until it is answered.
    active: Option<Gauged>,
    payload: Rc<RequestPayload>,
    deadline: Instant,
    attempts: Vec<Attempt>,
    /// Index into the settings' tenants.
    tenant: usize,
    slots: f64,
    memory: f64,
    /// An attempt has ended after which it may have run.
    may_have_run: bool,
    /// What it has to do with other sites.
    travel: Travel,
    /// What it came to when the module took it; below 0 where it is beyond its tenant's quota.
    rank: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Deadline(RequestId),
}

/// The engine.
pub struct Engine {
    dispatcher: Dispatcher,
    settings: Settings,
    clock: Clock,
    receiver: mpsc::UnboundedReceiver<EngineMessage>,
    queue: EngineQueue,
    dialer: Rc<WorkerConnector>,
    counters: Rc<Counters>,
    members: BTreeMap<WorkerId, Rc<WorkerEndpoint>>,
    /// Members by name; a name keeps its number while the member is listed or an attempt there is known.
    numbers: HashMap<String, WorkerId>,
    numbered: u64,
    live: HashMap<RequestId, Live>,
    names: HashMap<Bytes, RequestId>,
    timers: BinaryHeap<Reverse<(Instant, u64, Due)>>,
    timers_set: u64,
    peers: PeerProcesses,
    /// What members were sent lately: a process that joins must count it against the cold ones.
    sends: VecDeque<(Instant, String, usize, f64)>,
    /// Another process has taken over: transactions are moved there.
    moves: bool,
    /// Those that have been.
    moved: HashSet<Bytes>,
    /// The gateway to other sites, where there is one.
    crossings: Option<Box<Crossings>>,
    /// Where notes for other schedulers go.
    notes: Option<GossipSender>,
}

impl Engine {
    /// An engine for these settings, and the way to it.
    pub fn new(
        settings: Settings,
        seed: u64,
        dialer: Rc<WorkerConnector>,
        counters: Rc<Counters>,
        peers: PeerProcesses,
    ) -> (Self, EngineQueue) {
        counters.configure(settings.classes.iter().map(|class| class.name.as_str()));
        let (sender, receiver) = mpsc::unbounded_channel();
        let queue = EngineQueue { sender, next: Rc::default() };
        let engine = Engine {
            dispatcher: Dispatcher::new(settings.clone(), seed),
            settings,
            clock: Clock::start(),
            receiver,
            queue: queue.clone(),
            dialer,
            counters,
            members: BTreeMap::new(),
            numbers: HashMap::new(),
            numbered: 0,
            live: HashMap::new(),
            names: HashMap::new(),
            timers: BinaryHeap::new(),
            timers_set: 0,
            peers,
            sends: VecDeque::new(),
            moves: false,
            moved: HashSet::new(),
            crossings: None,
            notes: None,
        };
        (engine, queue)
    }

    /// The same with a gateway to other sites.
    pub fn with_gateway(mut self, decisions: Gateway, origin: Instant) -> Self {
        self.crossings = Some(Box::new(Crossings::new(decisions, origin, Rc::clone(&self.counters))));
        self
    }

    /// The same with a way to the other schedulers of the deployment.
    pub fn with_notes(mut self, notes: GossipSender) -> Self {
        self.notes = Some(notes);
        self
    }

    /// Takes up `known` as the pool that is remembered, then runs for good.
    pub async fn run(mut self, known: EndpointListUpdate) {
        self.pool(known, true);
        let mut housekeeping = Instant::now() + HOUSEKEEPING;
        loop {
            let mut next = self.timers.peek().map_or(housekeeping, |timer| timer.0 .0.min(housekeeping));
            if self.moves {
                next = next.min(Instant::now() + MOVE_AGAIN);
            }
            if let Some(crossings) = &self.crossings {
                next = next.min(crossings.look_at());
            }
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = sleep_until(next) => {}
            }
            let now = Instant::now();
            while let Some(Reverse((_, _, due))) = self.timers.peek().filter(|t| t.0 .0 <= now).copied() {
                self.timers.pop();
                match due {
                    Due::Module(tag) => self.tell(Event::TimerExpired(tag)),
                    Due::Deadline(id) => self.deadline(id),
                }
            }
            self.move_out();
            self.look_across(now);
            if now >= housekeeping {
                self.keep_house();
                housekeeping = now + HOUSEKEEPING;
            }
        }
    }

    /// Closes connections that stood idle and forgets the names of members that are gone for good.
    fn keep_house(&mut self) {
        self.members.values().for_each(|member| member.close_idle_connections());
        self.dialer.recover_trusted_idle();
        if self.numbers.len() > self.members.len() {
            let attempts = self.live.values().flat_map(|live| &live.attempts);
            let used: HashSet<WorkerId> = attempts.map(|attempt| attempt.worker).collect();
            self.numbers.retain(|_, id| self.members.contains_key(id) || used.contains(id));
        }
    }

    fn take(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::RequestSubmitted(id, transaction, reply) => {
                self.transaction(id, *transaction, reply)
            }
            EngineMessage::ClientDisconnected(id) => self.left(id),
            EngineMessage::Callback(call_back, passed) => self.call_back(call_back, passed),
            EngineMessage::RequestMigrated(id, moved, reply) => self.take_over(id, *moved, reply),
            EngineMessage::SuccessorChanged(moves) => {
                self.moves = moves;
                if !moves {
                    self.moved.clear(); // what was there has gone with that process
                }
                self.move_out();
            }
            EngineMessage::PeerProcessJoined(peer, side) => self.joined(peer, side),
            EngineMessage::LearnedState(learnt, names) => {
                let number = |id| {
                    let name = &names.iter().find(|(known, _)| *known == id)?.1;
                    self.numbers.get(name).copied()
                };
                let learnt = learnt.renumbered(number);
                self.tell(Event::StateLearned(Box::new(learnt)));
            }
            EngineMessage::SentByOtherProcess(name, class, work) => {
                if let Some(&worker) = self.numbers.get(&name) {
                    self.tell(Event::SentByOtherProcess { worker, class, work });
                }
            }
            EngineMessage::AttemptEnded(id, attempt, end, report) => {
                let load =
                    report.map(|report| self.load(&load_report::from_header(&report))).unwrap_or_default();
                self.ended(id, attempt, end, load);
            }
            EngineMessage::ProbeEnded(worker, end, report) => {
                let load = self.load(&report);
                self.tell(Event::ProbeEnded { worker, outcome: end.outcome(), load });
            }
            EngineMessage::GossipReceived(from, bytes) => self.tell(Event::GossipReceived { from, bytes }),
            EngineMessage::SiteLink(heard) => self.heard(*heard),
            EngineMessage::EndpointListChanged(update) => self.pool(update, false),
            EngineMessage::SettingsChanged(settings) => {
                self.dispatcher.configure((*settings).clone());
                self.counters.configure(settings.classes.iter().map(|class| class.name.as_str()));
                self.settings = *settings;
                self.tell(Event::TimerExpired(Timer::Gossip.tag())); // they may have come to allow notes
            }
        }
    }

    fn transaction(
        &mut self,
        id: RequestId,
        transaction: ClientRequest,
        reply: oneshot::Sender<FinalAnswer>,
    ) {
        let ClientRequest {
            class,
            tenant,
            deadline,
            slots,
            memory,
            estimated_work_s: hint,
            affinity_key: object,
            payload,
            origin,
        } = transaction;
        let elsewhere = self.peers.has_open_request(&payload.name);
        if elsewhere || self.names.contains_key(&payload.name) || self.live.contains_key(&id) {
            // Call-backs could not tell the two apart.
            if self.counters.duplicate_ids.add().is_power_of_two() {
                tracing::warn!("a transaction's id is in use by another that is still open");
            }
            self.counters.class(class).errors.add();
            let _ = reply.send(FinalAnswer::DuplicateId);
            return;
        }
        self.counters.transactions_taken.add();
        self.names.insert(payload.name.clone(), id);
        self.peers.broadcast(None, &HandoverFrame::RequestOpened(payload.name.clone()));
        tracing::debug!(name = %payload.name.escape_ascii(), class, tenant, hint, slots, "taken");
        let live = Live {
            class,
            hint,
            reply: Some(reply),
            active: Some(Gauge::hold(&self.counters.active)),
            payload: Rc::new(payload),
            deadline,
            attempts: Vec::new(),
            tenant,
            slots,
            memory,
            may_have_run: false,
            travel: if origin.is_some() { Travel::CameIn } else { Travel::None },
            rank: -1.0,
        };
        self.live.insert(id, live);
        self.set_timer(deadline, Due::Deadline(id));
        if self.bound_elsewhere(id) {
            return; // one with its key may have run at another site: the module here must not see it
        }
        let deadline = self.clock.at(deadline);
        self.tell(Event::RequestReceived(Request {
            id,
            class,
            tenant,
            deadline,
            slots,
            memory,
            estimated_work_s: hint,
            affinity_key: object,
        }));
        if self.crossings.is_some() {
            let rank = self.dispatcher.priority(id);
            self.live.get_mut(&id).into_iter().for_each(|live| live.rank = rank.unwrap_or(live.rank));
        }
    }

    fn left(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        if live.reply.take().is_some() {
            live.active = None;
            self.counters.clients_left.add();
            self.tell(Event::ClientDisconnected(id));
            self.left_away(id);
            self.forget(id);
        }
    }

    /// The deadline has passed: what is still out is over, and the module gives its final answer, which
    /// the slack still covers. Attempts that are being given up end in their own way.
    fn deadline(&mut self, id: RequestId) {
        let attempts = self.live.get(&id).map_or(0, |live| live.attempts.len());
        for attempt in 0..attempts {
            let Some(a) = self.live.get_mut(&id).and_then(|live| live.attempts.get_mut(attempt)) else {
                return;
            };
            if a.open && !a.withdrawn {
                a.order(AttemptCommand::Cancel);
                self.ended(id, attempt, AttemptEnd::DeadlinePassed, LoadReport::default());
            }
        }
    }

    /// A call-back counts for the attempt at the member that sent it. It may come before the answer that
    /// the member took the job, twice, or for an attempt that is over.
    fn call_back(&mut self, call_back: WorkerCallback, passed: Option<CallbackRelay>) {
        self.counters.callbacks.add();
        if !self.names.contains_key(&call_back.request_name) && self.pass_on(&call_back, passed) {
            self.counters.callbacks_passed_on.add();
            return;
        }
        let load = self.load(&call_back.load_report);
        let id = self.names.get(&call_back.request_name).copied();
        let worker = self.numbers.get(&call_back.worker_name).copied();
        let found = id.and_then(|id| {
            let attempts = &self.live.get(&id)?.attempts;
            let last = |open: bool| attempts.iter().rposition(|a| Some(a.worker) == worker && a.open == open);
            last(true).or(last(false)).map(|attempt| (id, attempt, attempts[attempt].open))
        });
        match (found, call_back.event) {
            (Some((request, attempt, true)), CallbackEvent::Started) => {
                tracing::debug!(name = %call_back.request_name.escape_ascii(), attempt, "started");
                self.tell(Event::AttemptStarted { request, attempt });
            }
            (Some((request, attempt, true)), CallbackEvent::Progress(share)) => {
                self.tell(Event::AttemptProgressed { request, attempt, fraction: share });
            }
            (Some((request, attempt, true)), CallbackEvent::Ended(end)) => {
                self.ended(request, attempt, end, load)
            }
            (Some((request, attempt, open)), CallbackEvent::Completed(result)) => {
                let first = self.answer(request, FinalAnswer::Served(result));
                if open {
                    self.ended(request, attempt, AttemptEnd::Completed, load);
                } else if first {
                    // An attempt that was given up was done all the same: the client has its result, and
                    // the module gives up whatever else is out.
                    self.tell(Event::ClientDisconnected(request));
                    self.forget(request);
                }
            }
            _ => {
                self.counters.callbacks_unmatched.add();
            }
        }
    }

    /// Tells a process that has joined what it must know: the jobs that are open, and the work that cold
    /// members have been sent lately.
    fn joined(&mut self, peer: PeerProcessId, side: ProcessRole) {
        if side == ProcessRole::Successor {
            let learnt = self.dispatcher.learned_state();
            let names = learnt.workers().map(|worker| (worker, self.name(worker))).collect();
            self.peers.send(peer, HandoverFrame::LearnedState(Box::new(learnt), names));
        }
        for name in self.names.keys() {
            self.peers.send(peer, HandoverFrame::RequestOpened(name.clone()));
        }
        self.forget_sends();
        for (_, name, class, work) in &self.sends {
            self.peers.send(peer, HandoverFrame::WorkSent(name.clone(), *class, *work));
        }
    }

    fn forget_sends(&mut self) {
        let window = Duration::from_secs_f64(self.settings.overload_window_s.clamp(0.0, 60.0));
        while self.sends.front().is_some_and(|send| send.0.elapsed() > window) {
            self.sends.pop_front();
        }
    }

    /// Tells the module the end of an attempt, once.
    fn ended(&mut self, request: RequestId, attempt: usize, end: AttemptEnd, load: LoadReport) {
        let Some(live) = self.live.get_mut(&request) else { return };
        let closed = live.reply.is_none();
        let Some(a) = live.attempts.get_mut(attempt).filter(|a| a.open) else { return };
        a.open = false;
        a.order(AttemptCommand::Finish);
        let outcome = end.outcome();
        let free = load.free_slots.unwrap_or(-1.0);
        tracing::debug!(name = %live.payload.name.escape_ascii(), attempt, end = end.name(), free, "flow ended");
        live.may_have_run |= !outcome.proves_not_executed();
        self.counters.ended(end);
        self.tell(Event::AttemptEnded(AttemptEnded {
            request,
            attempt,
            outcome,
            client_answered: closed,
            load,
        }));
        self.forget(request);
    }

    /// Gives the final answer; false if there was one before.
    fn answer(&mut self, id: RequestId, reply: FinalAnswer) -> bool {
        let Some(live) = self.live.get_mut(&id) else { return false };
        let Some(sender) = live.reply.take() else { return false };
        live.active = None;
        let class = self.counters.class(live.class);
        let (all, of_class) = match reply {
            FinalAnswer::Served(_) => (&self.counters.answered_served, &class.ok),
            FinalAnswer::Rejected { .. } | FinalAnswer::RejectedUnstarted => {
                (&self.counters.answered_rejected, &class.shed)
            }
            FinalAnswer::Failed | FinalAnswer::DuplicateId | FinalAnswer::Migrated(_) => {
                (&self.counters.answered_failed, &class.errors)
            }
        };
        all.add();
        of_class.add();
        tracing::debug!(name = %live.payload.name.escape_ascii(), answer = reply.name(), "answered");
        let _ = sender.send(reply); // the client may have left this instant
        true
    }

    /// How a refusal is told: to another site also whether anything of it may have run here.
    fn rejection(&self, id: RequestId, hold_off_s: f64) -> FinalAnswer {
        let unrun = |live: &Live| !live.may_have_run && live.attempts.iter().all(|a| !a.open);
        match self.live.get(&id) {
            Some(live) if matches!(live.travel, Travel::CameIn) && unrun(live) => {
                FinalAnswer::RejectedUnstarted
            }
            _ => FinalAnswer::Rejected { retry_after_s: hold_off_s },
        }
    }

    /// Forgets a transaction that is answered and has no open attempt.
    fn forget(&mut self, id: RequestId) {
        if self.live.get(&id).is_some_and(|l| l.reply.is_none() && l.attempts.iter().all(|a| !a.open)) {
            if let Some(live) = self.live.remove(&id) {
                self.names.remove(&live.payload.name);
                self.peers.broadcast(None, &HandoverFrame::RequestClosed(live.payload.name.clone()));
            }
        }
    }

    /// Hands the module an event and carries out what it decides, and what follows from that.
    fn tell(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.dispatcher.handle(self.clock.at(Instant::now()), event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.perform(action));
            }
        }
        self.counters.pool_ejected.set(self.dispatcher.ejected_count());
    }

    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Dispatch { request, worker } => return self.route(request, worker),
            Action::Reject { request, retry_after_s: hold_off_s } => {
                if !self.crosses_instead(request, hold_off_s) {
                    self.answer(request, self.rejection(request, hold_off_s));
                    self.forget(request);
                }
            }
            Action::Fail(request) => {
                self.answer(request, FinalAnswer::Failed);
                self.forget(request);
            }
            Action::Cancel { request, attempt } => {
                let live = self.live.get_mut(&request);
                if let Some(a) = live.and_then(|l| l.attempts.get_mut(attempt)).filter(|a| a.open) {
                    a.withdrawn = true;
                    a.order(AttemptCommand::Cancel);
                }
            }
            Action::SetTimer { after_s, tag } => {
                let after = Duration::from_secs_f64(after_s.clamp(0.0, LONGEST_TIMER_S));
                self.set_timer(Instant::now() + after, Due::Module(tag));
            }
            Action::Probe(worker) => return self.probe(worker),
            Action::BroadcastGossip(note) => {
                // Where there is no way it is as good as lost.
                let _ = self.notes.as_ref().map(|notes| notes.send_replace(note));
            }
            // The watch of discovery runs all the time.
            Action::WatchEndpointList => {}
        }
        None
    }

    fn route(&mut self, request: RequestId, worker: WorkerId) -> Option<Event> {
        let live = self.live.get_mut(&request)?;
        let attempt = live.attempts.len();
        let (sender, order) = oneshot::channel();
        let member = self.members.get(&worker).filter(|_| live.reply.is_some());
        let Some(member) = member else {
            // Answered, or the member left, within this very batch: nothing is sent.
            live.attempts.push(Attempt {
                worker,
                open: false,
                taken: Rc::default(),
                withdrawn: false,
                order: None,
            });
            let outcome = AttemptEnd::WorkerInactive.outcome();
            let closed = live.reply.is_none();
            return Some(Event::AttemptEnded(AttemptEnded {
                request,
                attempt,
                outcome,
                client_answered: closed,
                load: LoadReport::default(),
            }));
        };
        let taken = Rc::new(Cell::new(false));
        let (order_sender, told) = (Some(sender), Rc::clone(&taken));
        live.attempts.push(Attempt { worker, open: true, taken, withdrawn: false, order: order_sender });
        self.counters.flows.add();
        tracing::debug!(name = %live.payload.name.escape_ascii(), attempt, member = member.name, "flow");
        if let Some(crossings) = &mut self.crossings {
            crossings.runs_here(&self.settings.classes[live.class], &live.payload);
        }
        let (name, class, work) = (member.name.clone(), live.class, live.hint.unwrap_or(0.0));
        let flow = AttemptTask {
            worker: Rc::clone(member),
            payload: Rc::clone(&live.payload),
            deadline: live.deadline,
            command: order,
            counters: Rc::clone(&self.counters),
            class: self.counters.class(live.class),
            accepted: told,
        };
        self.spawn(request, attempt, flow.run());
        self.forget_sends();
        self.peers.broadcast(None, &HandoverFrame::WorkSent(name.clone(), class, work));
        self.sends.push_back((Instant::now(), name, class, work));
        None
    }

    /// Asks a member; one that has left meanwhile answers nothing.
    fn probe(&self, worker: WorkerId) -> Option<Event> {
        let Some(member) = self.members.get(&worker) else {
            let outcome = AttemptEnd::WorkerInactive.outcome();
            return Some(Event::ProbeEnded { worker, outcome, load: LoadReport::default() });
        };
        self.counters.probes.add();
        let (member, queue) = (Rc::clone(member), self.queue.clone());
        let reports = !self.settings.load_report_names.is_empty();
        tokio::task::spawn_local(async move {
            let ProbeResult { end, load_report } = probe(member, reports).await;
            queue.send(EngineMessage::ProbeEnded(worker, end, load_report));
        });
        None
    }

    /// Runs a flow, and takes up its end.
    fn spawn(&self, request: RequestId, attempt: usize, flow: impl Future<Output = AttemptResult> + 'static) {
        let queue = self.queue.clone();
        tokio::task::spawn_local(async move {
            let AttemptResult { end, load_report } = flow.await;
            queue.send(EngineMessage::AttemptEnded(request, attempt, end, load_report));
        });
    }

    fn set_timer(&mut self, at: Instant, due: Due) {
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set, due)));
    }

    fn load(&self, report: &[(String, f64)]) -> LoadReport {
        let mut load = LoadReport::default();
        for (name, value) in report {
            if let Some(i) = self.settings.load_report_names.iter().position(|known| known == name) {
                load.set(self.settings.load_report_fields[i], *value);
            }
        }
        load
    }
}
