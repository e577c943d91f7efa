//! The engine: a single task that owns the scheduling state and tracks every request from acceptance to answer.
//!
//! Every network event reaches the engine as an [`EngineMessage`] through its [`EngineQueue`]. Messages are
//! independent of the protocol, so that other frontends can be added beside HTTP. The engine notifies the
//! dispatcher ([`crate::scheduling`]) of events, performs the actions that the dispatcher returns, maintains
//! the clock and the timers, and gives each request exactly one [`FinalAnswer`]. It makes no placement,
//! admission or retry decisions, and it does no I/O: separate tasks do, and report back through the queue.
//!
//! Because a single task owns all of this state, each event is handled completely before the next one.
//! `docs/races.md` lists the events that can occur in either order.
//!
//! `TrackedRequest`, `Attempt`, `RequestTable` and `Timer` exist both here and in [`crate::scheduling`]. The
//! types here hold network state (reply channels, attempt tasks, timers); the types there hold the
//! inputs of scheduling decisions.
//!
//! | module | purpose |
//! | --- | --- |
//! | `requests` | accepts requests, and handles client disconnects and expired deadlines |
//! | `request_table` | stores the tracked requests and whether their clients are waiting |
//! | `attempt_state` | tracks whether an attempt is running, being cancelled, or has ended |
//! | `attempts` | dispatches, cancels and ends attempts |
//! | `callbacks` | applies callbacks from workers |
//! | `late_callbacks` | tells which callbacks may still follow the end of an attempt |
//! | `answers` | gives each request its final answer and removes finished requests |
//! | `endpoint_list` | maintains the set of workers |
//! | `known_list` | keeps the endpoint list in use, to send it to other processes |
//! | `migration` | migrates requests between the processes of an upgrade |
//! | `recent_sends` | remembers recently sent work for processes that join |
//! | `site_forwarding` | forwards requests to other sites and runs theirs |
//! | `clock`, `timers` | provide the current time and the pending timers |

mod answers;
mod attempt_state;
mod attempts;
mod callbacks;
mod clock;
mod endpoint_list;
mod known_list;
mod late_callbacks;
mod migration;
mod recent_sends;
mod request_table;
mod requests;
mod site_forwarding;
mod timers;
mod zones;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_gateway::Gateway;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use clock::Clock;
use known_list::KnownList;
use migration::MigrationState;
use recent_sends::RecentSends;
use request_table::RequestTable;
use site_forwarding::SiteForwarding;
use timers::{Timer, Timers};
use zones::ZoneNumbers;

use crate::config::endpoint_list::EndpointListUpdate;
use crate::scheduling::{Action, Dispatcher, Event, RequestId, Settings, Timer as DispatcherTimer, WorkerId};
use crate::server::engine_queue::{EngineMessage, EngineQueue, QueuedMessage};
use crate::server::lifecycle::peer_processes::PeerProcesses;
use crate::server::messages::FinalAnswer;
use crate::server::metrics::Counters;
use crate::server::peers::gossip_transport::GossipSender;
use crate::server::workers::connector::WorkerConnector;
use crate::server::workers::endpoint::WorkerEndpoint;

/// Interval between cleanups of idle connections and unused worker IDs.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which requests are checked for migration while a successor accepts them.
const MIGRATION_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum delay of a dispatcher timer.
const MAX_TIMER_S: f64 = 24.0 * 3600.0;

/// Owns the dispatcher, the tracked requests and the workers.
pub struct Engine {
    dispatcher: Dispatcher,
    settings: Settings,
    clock: Clock,
    timers: Timers,
    receiver: mpsc::UnboundedReceiver<QueuedMessage>,
    /// Cloned into the tasks that report to this engine.
    queue: EngineQueue,
    counters: Rc<Counters>,
    requests: RequestTable,
    connector: Rc<WorkerConnector>,
    /// The workers on the endpoint list.
    workers: BTreeMap<WorkerId, Rc<WorkerEndpoint>>,
    /// Worker IDs by name. A name keeps its ID while the worker is listed or has an attempt.
    worker_ids: HashMap<String, WorkerId>,
    /// The endpoint list in use, as it is sent to other processes.
    known_list: KnownList,
    last_worker_id: u64,
    zones: ZoneNumbers,
    recent_sends: RecentSends,
    /// The other processes of an upgrade.
    peers: PeerProcesses,
    migration: MigrationState,
    /// `None` if no gateway to other sites is configured.
    forwarding: Option<Box<SiteForwarding>>,
    /// `None` if this site has no other schedulers.
    gossip: Option<GossipSender>,
}

impl Engine {
    /// Creates an engine and its queue.
    pub fn new(
        settings: Settings,
        seed: u64,
        connector: Rc<WorkerConnector>,
        counters: Rc<Counters>,
        peers: PeerProcesses,
    ) -> (Self, EngineQueue) {
        counters.configure(settings.classes.iter().map(|class| class.name.as_str()));
        let (queue, receiver) = EngineQueue::channel();
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
            known_list: KnownList::default(),
            last_worker_id: 0,
            zones: ZoneNumbers::default(),
            recent_sends: RecentSends::default(),
            peers,
            migration: MigrationState::default(),
            forwarding: None,
            gossip: None,
        };
        (engine, queue)
    }

    /// Adds a gateway to other sites. The gateway's clock starts at `clock_origin`.
    pub fn with_gateway(mut self, gateway: Gateway, clock_origin: Instant) -> Self {
        let forwarding = SiteForwarding::new(gateway, clock_origin, Rc::clone(&self.counters));
        self.forwarding = Some(Box::new(forwarding));
        self
    }

    /// Adds the gossip channel to the other schedulers of the site.
    pub fn with_gossip(mut self, gossip: GossipSender) -> Self {
        self.gossip = Some(gossip);
        self
    }

    /// Applies the endpoint list cached by an earlier run, then processes messages until the queue closes.
    pub async fn run(mut self, cached: EndpointListUpdate) {
        self.apply_cached_list(cached);
        let mut next_clean_up = Instant::now() + CLEAN_UP_INTERVAL;
        loop {
            let wake_up = self.next_wake_up(next_clean_up);
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(queued) => self.handle_message(queued.message),
                    None => return,
                },
                () = sleep_until(wake_up) => {}
            }
            self.counters.engine_queue.set(self.receiver.len());
            let now = Instant::now();
            // First, so that a request which has just been admitted is dispatched by the successor. It alone then decides
            // whether the ID of the request is in use.
            self.migrate_requests();
            self.expire_timers(now);
            self.update_gateway_load(now);
            if now >= next_clean_up {
                self.clean_up_workers();
                self.resend_missed_lists();
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

    /// Passes each message to its handler.
    fn handle_message(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::RequestSubmitted { id, request, reply } => {
                self.accept_request(id, *request, reply)
            }
            EngineMessage::ClientDisconnected(id) => self.client_disconnected(id),
            EngineMessage::CallbackReceived { callback, relay } => self.callback_received(callback, relay),
            EngineMessage::RequestMigrated { id, from, request, reply } => {
                self.peers.request_taken_over(from, &request.payload.name);
                self.take_over(id, *request, reply);
            }
            EngineMessage::SuccessorChanged(successor) => self.successor_changed(successor),
            EngineMessage::PeerProcessJoined { peer, role } => self.peer_process_joined(peer, role),
            EngineMessage::LearnedState { learned, worker_names } => {
                self.learned_state_received(*learned, &worker_names)
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
            EngineMessage::EndpointListChanged(news) => self.endpoint_list_changed(*news),
            // The send fails if the sender no longer waits.
            EngineMessage::Marker(taken) => drop(taken.send(())),
            EngineMessage::SettingsChanged(settings) => self.settings_changed(*settings),
        }
    }

    fn settings_changed(&mut self, settings: Settings) {
        self.dispatcher.configure(settings.clone());
        self.counters.configure(settings.classes.iter().map(|class| class.name.as_str()));
        self.zones.settings_changed(&settings);
        self.settings = settings;
        // The new settings may have enabled gossip.
        self.notify_dispatcher(Event::TimerExpired(DispatcherTimer::Gossip.tag()));
    }

    /// Notifies the dispatcher that another process of an upgrade has sent work to a worker.
    fn sent_by_other_process(&mut self, worker_name: &str, class: usize, work: f64) {
        if let Some(&worker) = self.worker_ids.get(worker_name) {
            self.notify_dispatcher(Event::SentByOtherProcess { worker, class, work });
        }
    }

    /// Notifies the dispatcher of an event and performs the resulting actions. An action that fails
    /// immediately produces another event, which is handled in the same call.
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

    /// Performs an action. Returns a follow-up event if the action failed immediately.
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
            Action::WatchEndpointList => {} // discovery always watches the endpoint list
        }
        None
    }

    /// Forwards a request that the dispatcher rejected to another site, or answers it with the rejection.
    fn reject(&mut self, id: RequestId, retry_after_s: f64) {
        if self.forward_rejected(id, retry_after_s) {
            return;
        }
        self.answer(id, self.rejection(id, retry_after_s));
        self.remove_if_finished(id);
    }

    fn fail(&mut self, id: RequestId) {
        self.answer(id, FinalAnswer::Failed);
        self.remove_if_finished(id);
    }

    /// Broadcasts a gossip message. Without other schedulers the message is dropped.
    fn broadcast_gossip(&self, message: Vec<u8>) {
        if let Some(gossip) = &self.gossip {
            gossip.send_replace(message);
        }
    }
}
