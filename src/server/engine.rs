//! The engine: the one task that owns the decisions and every request from acceptance to answer.
//!
//! All that happens on the network reaches it as an [`EngineMessage`] through its [`EngineQueue`]; the
//! messages know no protocol, so that another frontend can stand beside HTTP. It notifies the dispatcher
//! ([`crate::scheduling`]) of events, performs the actions that the dispatcher decides on, keeps the clock and
//! the timers, and gives each request one [`FinalAnswer`]. It decides
//! nothing about placement, admission or retries, and it does no I/O: tasks of their own do, and report back
//! through the queue.
//!
//! Because one task owns all of this state, an event is handled completely before the next one is looked at.
//! What may happen in either order is listed in `docs/races.md`.
//!
//! `TrackedRequest`, `Attempt`, `RequestTable` and `Timer` exist here and in [`crate::scheduling`]: here they hold what is on
//! sockets (who waits for the answer, the tasks of attempts, wall-clock timers), there what decisions depend on.
//!
//! | module | question it answers |
//! | --- | --- |
//! | `requests` | how a request begins, and what a disconnected client or a passed deadline does |
//! | `request_table` | which requests there are, and whether their clients wait |
//! | `attempt_state` | whether an attempt is running, being cancelled, or over |
//! | `attempts` | how an attempt is dispatched, cancelled and ended |
//! | `callbacks` | what a worker's callback does |
//! | `answers` | how a request gets its one final answer, and when it is forgotten |
//! | `endpoint_list` | which workers there are |
//! | `migration` | how requests migrate between the processes of an upgrade |
//! | `recent_sends` | what a process that joins must know of the work that workers were sent |
//! | `site_forwarding` | how requests go to other sites, and theirs come here |
//! | `clock`, `timers` | what time it is, and what is due |

mod answers;
mod attempt_state;
mod attempts;
mod callbacks;
mod clock;
mod endpoint_list;
mod migration;
mod recent_sends;
mod request_table;
mod requests;
mod site_forwarding;
mod timers;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_gateway::Gateway;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use clock::Clock;
use migration::MigrationState;
use recent_sends::RecentSends;
use request_table::RequestTable;
use site_forwarding::SiteForwarding;
use timers::{Timer, Timers};

use crate::config::endpoint_list::EndpointListUpdate;
use crate::scheduling::{Action, Dispatcher, Event, RequestId, Settings, Timer as DispatcherTimer, WorkerId};
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::lifecycle::peer_processes::PeerProcesses;
use crate::server::messages::FinalAnswer;
use crate::server::metrics::Counters;
use crate::server::peers::gossip_transport::GossipSender;
use crate::server::workers::connector::WorkerConnector;
use crate::server::workers::endpoint::WorkerEndpoint;

/// How often idle connections to workers are checked.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(1);
/// How often, during a migration, to look whether more requests can migrate.
const MIGRATION_INTERVAL: Duration = Duration::from_millis(20);
/// The longest timer that the dispatcher may set.
const MAX_TIMER_S: f64 = 24.0 * 3600.0;

/// The engine.
pub struct Engine {
    dispatcher: Dispatcher,
    settings: Settings,
    clock: Clock,
    timers: Timers,
    receiver: mpsc::UnboundedReceiver<EngineMessage>,
    /// For the tasks that report to this engine.
    queue: EngineQueue,
    counters: Rc<Counters>,
    requests: RequestTable,
    connector: Rc<WorkerConnector>,
    /// The workers of the endpoint list.
    workers: BTreeMap<WorkerId, Rc<WorkerEndpoint>>,
    /// Workers by name. A name keeps its number while the worker is listed or has an attempt.
    worker_ids: HashMap<String, WorkerId>,
    last_worker_id: u64,
    recent_sends: RecentSends,
    /// The other processes of an upgrade.
    peers: PeerProcesses,
    migration: MigrationState,
    /// Where there is a gateway to other sites.
    forwarding: Option<Box<SiteForwarding>>,
    /// Where there are other schedulers of this site.
    gossip: Option<GossipSender>,
}

impl Engine {
    /// An engine for these settings, and its queue.
    pub fn new(
        settings: Settings,
        seed: u64,
        connector: Rc<WorkerConnector>,
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
            timers: Timers::default(),
            receiver,
            queue: queue.clone(),
            counters,
            requests: RequestTable::default(),
            connector,
            workers: BTreeMap::new(),
            worker_ids: HashMap::new(),
            last_worker_id: 0,
            recent_sends: RecentSends::default(),
            peers,
            migration: MigrationState::default(),
            forwarding: None,
            gossip: None,
        };
        (engine, queue)
    }

    /// Adds a gateway to other sites, whose clock begins at `clock_origin`.
    pub fn with_gateway(mut self, gateway: Gateway, clock_origin: Instant) -> Self {
        let forwarding = SiteForwarding::new(gateway, clock_origin, Rc::clone(&self.counters));
        self.forwarding = Some(Box::new(forwarding));
        self
    }

    /// Adds a way to the other schedulers of the site.
    pub fn with_gossip(mut self, gossip: GossipSender) -> Self {
        self.gossip = Some(gossip);
        self
    }

    /// Applies the endpoint list that was cached by an earlier run, then runs until the queue closes.
    pub async fn run(mut self, cached: EndpointListUpdate) {
        self.endpoint_list_changed(cached, true);
        let mut next_clean_up = Instant::now() + CLEAN_UP_INTERVAL;
        loop {
            let wake_up = self.next_wake_up(next_clean_up);
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = sleep_until(wake_up) => {}
            }
            let now = Instant::now();
            self.expire_timers(now);
            self.migrate_requests();
            self.update_gateway_load(now);
            if now >= next_clean_up {
                self.clean_up_workers();
                next_clean_up = now + CLEAN_UP_INTERVAL;
            }
        }
    }

    fn next_wake_up(&self, next_clean_up: Instant) -> Instant {
        let mut wake_up = next_clean_up;
        if let Some(due) = self.timers.next_due() {
            wake_up = wake_up.min(due);
        }
        if self.migration.is_migrating() {
            wake_up = wake_up.min(Instant::now() + MIGRATION_INTERVAL);
        }
        if let Some(forwarding) = &self.forwarding {
            wake_up = wake_up.min(forwarding.next_load_update());
        }
        wake_up
    }

    fn expire_timers(&mut self, now: Instant) {
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::Dispatcher(tag) => self.notify_dispatcher(Event::TimerExpired(tag)),
                Timer::Deadline(id) => self.deadline_passed(id),
            }
        }
    }

    /// One line for each message; the functions are in the modules listed above.
    fn handle_message(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::RequestSubmitted { id, request, reply } => {
                self.accept_request(id, *request, reply)
            }
            EngineMessage::ClientDisconnected(id) => self.client_disconnected(id),
            EngineMessage::CallbackReceived { callback, relay } => self.callback(callback, relay),
            EngineMessage::RequestMigrated { id, request, reply } => self.take_over(id, *request, reply),
            EngineMessage::SuccessorChanged { accepts_requests } => self.successor_changed(accepts_requests),
            EngineMessage::PeerProcessJoined { peer, role } => self.peer_process_joined(peer, role),
            EngineMessage::LearnedState { learned, worker_names } => {
                self.state_learned(*learned, &worker_names)
            }
            EngineMessage::SentByOtherProcess { worker_name, class, work_s } => {
                self.sent_by_other_process(&worker_name, class, work_s);
            }
            EngineMessage::AttemptEnded { request, attempt, end, load_report } => {
                self.attempt_task_ended(request, attempt, end, load_report);
            }
            EngineMessage::ProbeEnded { worker, end, load_report } => {
                self.probe_ended(worker, end, &load_report);
            }
            EngineMessage::GossipReceived { from, bytes } => {
                self.notify_dispatcher(Event::GossipReceived { from, bytes });
            }
            EngineMessage::SiteLink(event) => self.site_link_event(*event),
            EngineMessage::EndpointListChanged(update) => self.endpoint_list_changed(update, false),
            EngineMessage::SettingsChanged(settings) => self.settings_changed(*settings),
        }
    }

    fn settings_changed(&mut self, settings: Settings) {
        self.dispatcher.configure(settings.clone());
        self.counters.configure(settings.classes.iter().map(|class| class.name.as_str()));
        self.settings = settings;
        self.notify_dispatcher(Event::TimerExpired(DispatcherTimer::Gossip.tag()));
        // gossip may be allowed from now on
    }

    /// Another process of an upgrade has sent work to a worker.
    fn sent_by_other_process(&mut self, worker_name: &str, class: usize, work: f64) {
        if let Some(&worker) = self.worker_ids.get(worker_name) {
            self.notify_dispatcher(Event::SentByOtherProcess { worker, class, work });
        }
    }

    /// Notifies the dispatcher of an event, and performs the actions that it decides on. Actions that fail on
    /// the spot are events in turn.
    fn notify_dispatcher(&mut self, event: Event) {
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

    /// Performs an action; the event that it returns, if any, follows at once.
    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Dispatch { request, worker } => return self.dispatch(request, worker),
            Action::Reject { request, retry_after_s } => self.reject(request, retry_after_s),
            Action::Fail(request) => self.fail(request),
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::SetTimer { after_s, tag } => {
                let after = Duration::from_secs_f64(after_s.clamp(0.0, MAX_TIMER_S));
                self.timers.set(Instant::now() + after, Timer::Dispatcher(tag));
            }
            Action::Probe(worker) => return self.probe_worker(worker),
            Action::BroadcastGossip(message) => self.broadcast_gossip(message),
            Action::WatchEndpointList => {} // discovery follows the endpoint list all the time
        }
        None
    }

    /// The dispatcher rejects a request: it is forwarded to another site, or is answered.
    fn reject(&mut self, id: RequestId, retry_after_s: f64) {
        if self.forward_rejected(id, retry_after_s) {
            return;
        }
        self.answer(id, self.rejection(id, retry_after_s));
        self.forget_if_done(id);
    }

    fn fail(&mut self, id: RequestId) {
        self.answer(id, FinalAnswer::Failed);
        self.forget_if_done(id);
    }

    /// Without other schedulers, the message counts as lost.
    fn broadcast_gossip(&self, message: Vec<u8>) {
        if let Some(gossip) = &self.gossip {
            gossip.send_replace(message);
        }
    }
}
