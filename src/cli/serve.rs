//! `chutesaddle serve`: the order of startup and shutdown.
//!
//! Startup: read both configuration files, install the signal handlers, open the operator interface, take over the
//! client listener from a predecessor or bind it, build all components ([`build`]) and start them ([`Node::start`]).
//! The process serves clients once its phase is no longer `Starting`.
//!
//! Shutdown: SIGTERM sets the phase to `Stopping`, and the process exits once all admitted requests are answered
//! ([`drain`]).
//!
//! The components are in `src/server/`.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle::config::endpoint_list::EndpointListUpdate;
use chutesaddle::config::{Config, ConfigError};
use chutesaddle::server::descriptor_budget::DescriptorBudgets;
use chutesaddle::server::discovery::list_tracker::ListTracker;
use chutesaddle::server::discovery::watch::DiscoveryWatch;
use chutesaddle::server::discovery::watch_supervisor::WatchSupervisor;
use chutesaddle::server::engine::Engine;
use chutesaddle::server::engine_queue::EngineQueue;
use chutesaddle::server::frontend::{Frontend, FrontendBudgets};
use chutesaddle::server::lifecycle::handover::{self, AcquiredListener, Handover, Predecessor};
use chutesaddle::server::lifecycle::operator_file::{self, OperatorFileError};
use chutesaddle::server::lifecycle::operator_interface::OperatorInterface;
use chutesaddle::server::lifecycle::peer_processes::PeerProcesses;
use chutesaddle::server::lifecycle::reload::ConfigReloader;
use chutesaddle::server::lifecycle::{Lifecycle, LifecycleEvent, Phase};
use chutesaddle::server::memory_budget::MemoryBudget;
use chutesaddle::server::metrics::Counters;
use chutesaddle::server::peers::gossip_transport::{self, GossipSender, GossipTransport};
use chutesaddle::server::peers::site_links::{new_incarnation, SiteLinkSettings, SiteLinks};
use chutesaddle::server::workers::connector::WorkerConnector;
use chutesaddle_gateway::Gateway;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};

use super::{logs, ServeArguments};

/// Interval between checks whether all requests are answered.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time that clients have to notice that their connections are closed after all requests are answered. After
/// SIGTERM, the platform waits 0.7 s longer than the longest deadline for the process to exit.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the process exits with code 1.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("NODE_CONFIG is not set, and no --config is given")]
    NoConfig,
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, #[source] std::io::Error),
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] std::io::Error),
    #[error("cannot wait for signals: {0}")]
    Signal(#[source] std::io::Error),
    #[error("the engine has stopped")]
    EngineStopped,
}

/// Serves clients until SIGTERM.
pub(super) fn run(arguments: ServeArguments) -> ExitCode {
    logs::init(arguments.log, arguments.log_level);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, serve(arguments)),
        Err(error) => Err(ServeError::Runtime(error)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::info!(%error, "cannot serve");
            ExitCode::FAILURE
        }
    }
}

async fn serve(arguments: ServeArguments) -> Result<(), ServeError> {
    let files = LoadedFiles::read(arguments)?;
    let mut signals = Signals::install()?;
    let shared = SharedState::new(&files.config);
    open_operator_interface(files.operator_listen, &shared).await?;

    let address = files.config.listen;
    let socket_path = handover::socket_path();
    let AcquiredListener { listener, predecessor } =
        handover::acquire_listener(socket_path.as_deref(), address)
            .await
            .map_err(|error| ServeError::Listen(address, error))?;
    let address = listener.local_addr().unwrap_or(address);
    let name = files.config.name.clone();

    let node = build(files, ClientListener { listener, socket_path }, &shared);
    let frontend = Rc::clone(&node.frontend);
    let engine = node.start(signals.hangup, predecessor);
    tokio::select! {
        // Without its engine, the scheduler would admit requests but answer none. Exit so that it is restarted.
        _ = engine => return Err(ServeError::EngineStopped),
        _ = signals.terminate.recv() => {}
        () = log_when_serving(&shared.lifecycle, address, &name) => {}
    }
    tracing::info!(waiting_requests = frontend.unanswered_messages(), "stopping");
    shared.lifecycle.notify(LifecycleEvent::Terminated);
    drain(&frontend, &shared).await;
    let counters = shared.counters.to_string();
    tracing::info!(counters = %format_args!("\n{}", counters.trim_end()), "stopped");
    Ok(())
}

/// The parsed platform and operator files.
struct LoadedFiles {
    config: Config,
    config_path: PathBuf,
    operator_path: Option<PathBuf>,
    /// The settings of the gateway to other sites, if the operator file enables it.
    site_links: Option<SiteLinkSettings>,
    /// Listen address of the operator interface: the one in the platform file takes precedence over the one from the
    /// command line or the environment.
    operator_listen: Option<SocketAddr>,
}

impl LoadedFiles {
    fn read(arguments: ServeArguments) -> Result<Self, ServeError> {
        let config_path = arguments.config.ok_or(ServeError::NoConfig)?;
        let config = Config::load(&config_path)?;
        let site_links = operator_file::load_optional(arguments.operator.as_deref())?;
        let operator_listen = config.operator_listen.or(arguments.ops);
        Ok(LoadedFiles {
            config,
            config_path,
            operator_path: arguments.operator,
            site_links,
            operator_listen,
        })
    }
}

/// The signals that the process handles. The handlers are installed before any listener is opened, because without
/// a handler each of these signals kills the process.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> Result<Self, ServeError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).map_err(ServeError::Signal)?,
            hangup: signal(SignalKind::hangup()).map_err(ServeError::Signal)?,
        })
    }
}

/// State shared by most components.
struct SharedState {
    counters: Rc<Counters>,
    lifecycle: Rc<Lifecycle>,
    budgets: Rc<DescriptorBudgets>,
    message_memory: Rc<MemoryBudget>,
    peers: PeerProcesses,
}

impl SharedState {
    fn new(config: &Config) -> Self {
        let counters: Rc<Counters> = Rc::default();
        let budgets = DescriptorBudgets::new(config.limits.descriptors, &counters.descriptors);
        let message_memory = MemoryBudget::new(config.limits, Rc::clone(&counters.message_memory));
        SharedState {
            counters,
            message_memory,
            lifecycle: Rc::default(),
            budgets: Rc::new(budgets),
            peers: PeerProcesses::default(),
        }
    }
}

/// Opens the operator interface if an address is configured.
async fn open_operator_interface(
    address: Option<SocketAddr>,
    shared: &SharedState,
) -> Result<(), ServeError> {
    let Some(address) = address else { return Ok(()) };
    let listener = TcpListener::bind(address).await.map_err(|error| ServeError::Listen(address, error))?;
    let address = listener.local_addr().unwrap_or(address);
    tracing::info!(%address, "listening for operators");
    let interface = OperatorInterface::new(Rc::clone(&shared.lifecycle), Rc::clone(&shared.counters));
    spawn_local(interface.run(listener));
    Ok(())
}

/// Logs the address once the process serves clients, then never returns.
async fn log_when_serving(lifecycle: &Lifecycle, address: SocketAddr, name: &str) {
    let mut phase = lifecycle.watch();
    // Cannot fail: the sender lives as long as the process.
    let _ = phase.wait_for(|phase| *phase != Phase::Starting).await;
    tracing::info!(%address, scheduler = %name, "serving clients");
    std::future::pending::<()>().await;
}

/// The listener for clients, and the path of the socket at which a successor takes it over.
struct ClientListener {
    listener: TcpListener,
    socket_path: Option<PathBuf>,
}

/// All components of the process, not yet started.
struct Node {
    engine: Engine,
    known_endpoints: EndpointListUpdate,
    discovery_watch: DiscoveryWatch,
    discovery_address: watch::Receiver<SocketAddr>,
    gossip: GossipTransport,
    reload: ConfigReloader,
    frontend: Rc<Frontend>,
    handover: Rc<Handover>,
    site_links: Option<Rc<SiteLinks>>,
}

fn build(files: LoadedFiles, listener: ClientListener, shared: &SharedState) -> Node {
    let LoadedFiles { config, config_path, operator_path, site_links, .. } = files;
    let (gossip_sender, gossip_queue) = gossip_transport::channel();
    let EngineWithQueue { engine, queue, connector } = build_engine(&config, gossip_sender, shared);
    let (engine, site_links) = add_gateway(engine, site_links, &queue, &shared.lifecycle);
    let list_tracker = build_list_tracker(&config, &queue, shared);
    let discovery_watch = build_discovery_watch(&config, &list_tracker, shared);
    let frontend = build_frontend(&config, &queue, shared);
    let (discovery, discovery_address) = watch::channel(config.discovery);
    let (gossip, gossip_addresses) = watch::channel(config.gossip);
    let gossip_transport = GossipTransport::new(
        gossip_queue,
        queue.clone(),
        Rc::clone(&shared.counters),
        shared.lifecycle.watch(),
        gossip_addresses,
    );
    let handover = build_handover(listener, &frontend, list_tracker, &queue, shared);
    let reload = ConfigReloader {
        config_path,
        operator_path,
        name: config.name,
        listen: config.listen,
        operator_listen: config.operator_listen,
        settings: config.settings,
        discovery,
        gossip,
        site_links: site_links.clone(),
        frontend: Rc::clone(&frontend),
        queue,
        connector,
        budgets: Rc::clone(&shared.budgets),
        message_memory: Rc::clone(&shared.message_memory),
    };
    let known_endpoints = config.known_endpoints;
    Node {
        engine,
        known_endpoints,
        discovery_watch,
        discovery_address,
        gossip: gossip_transport,
        reload,
        frontend,
        handover,
        site_links,
    }
}

/// The engine, its queue, and the connector for its connections to workers.
struct EngineWithQueue {
    engine: Engine,
    queue: EngineQueue,
    connector: Rc<WorkerConnector>,
}

fn build_engine(config: &Config, gossip: GossipSender, shared: &SharedState) -> EngineWithQueue {
    let settings = &config.settings;
    let connector = Rc::new(WorkerConnector::new(
        shared.budgets.workers(),
        settings.connect_timeout_s,
        settings.connection_idle_timeout_s,
        Rc::clone(&shared.counters),
    ));
    let (engine, queue) = Engine::new(
        settings.clone(),
        config.seed,
        Rc::clone(&connector),
        Rc::clone(&shared.counters),
        shared.peers.clone(),
    );
    EngineWithQueue { engine: engine.with_gossip(gossip), queue, connector }
}

fn build_list_tracker(config: &Config, queue: &EngineQueue, shared: &SharedState) -> Rc<ListTracker> {
    let (version, counters) = (config.known_endpoints.version, Rc::clone(&shared.counters));
    Rc::new(ListTracker::new(config.discovery, version, queue.clone(), counters))
}

fn build_discovery_watch(config: &Config, list: &Rc<ListTracker>, shared: &SharedState) -> DiscoveryWatch {
    DiscoveryWatch::new(
        Rc::clone(list),
        Rc::clone(&shared.counters),
        WatchSupervisor::new(&config.settings, config.seed, Duration::ZERO),
    )
}

fn build_frontend(config: &Config, queue: &EngineQueue, shared: &SharedState) -> Rc<Frontend> {
    Rc::new(Frontend::new(
        config.settings.clone(),
        queue.clone(),
        Rc::clone(&shared.counters),
        Rc::clone(&shared.lifecycle),
        FrontendBudgets { connections: shared.budgets.frontend(), memory: Rc::clone(&shared.message_memory) },
    ))
}

/// Adds the gateway to other sites if the operator file enables it.
fn add_gateway(
    engine: Engine,
    settings: Option<SiteLinkSettings>,
    queue: &EngineQueue,
    lifecycle: &Rc<Lifecycle>,
) -> (Engine, Option<Rc<SiteLinks>>) {
    let Some(settings) = settings else { return (engine, None) };
    let incarnation = new_incarnation();
    let time_origin = Instant::now();
    let gateway = Gateway::new(settings.file.decisions.clone(), incarnation);
    let site_links = SiteLinks::new(settings, incarnation, time_origin, queue.clone(), Rc::clone(lifecycle));
    (engine.with_gateway(gateway, time_origin), Some(site_links))
}

fn build_handover(
    listener: ClientListener,
    frontend: &Rc<Frontend>,
    endpoint_list: Rc<ListTracker>,
    queue: &EngineQueue,
    shared: &SharedState,
) -> Rc<Handover> {
    Rc::new(Handover {
        socket_path: listener.socket_path,
        listener: Rc::new(listener.listener),
        frontend: Rc::clone(frontend),
        lifecycle: Rc::clone(&shared.lifecycle),
        queue: queue.clone(),
        peers: shared.peers.clone(),
        budgets: Rc::clone(&shared.budgets),
        endpoint_list,
        counters: Rc::clone(&shared.counters),
        has_initial_state: Cell::new(true),
    })
}

impl Node {
    /// Spawns a task for each component and returns that of the engine, without which the process cannot continue.
    fn start(self, hangup: Signal, predecessor: Option<Predecessor>) -> JoinHandle<()> {
        let engine = spawn_local(self.engine.run(self.known_endpoints));
        spawn_local(self.discovery_watch.run(self.discovery_address));
        spawn_local(self.gossip.run());
        spawn_local(self.reload.run(hangup));
        spawn_local(Rc::clone(&self.frontend).reclaim_memory());
        spawn_local(self.frontend.close_idle_while_draining());
        spawn_local(self.handover.run(predecessor));
        if let Some(site_links) = self.site_links {
            site_links.start();
        }
        engine
    }
}

/// Waits until all requests are answered, including those that arrived while admission was ending, until a predecessor
/// has exited if there is also a successor, and until the clients have noticed that their connections are closed or
/// [`CLOSE_TIMEOUT`] has passed.
async fn drain(frontend: &Frontend, shared: &SharedState) {
    let SharedState { counters, lifecycle, peers, .. } = shared;
    let mut drained_at = None;
    loop {
        sleep(DRAIN_CHECK_INTERVAL).await;
        let admission_ended = !lifecycle.admission_is_open() && lifecycle.should_close_idle_connections();
        let drained = frontend.is_empty() && peers.is_flushed() && counters.gateway.is_idle();
        if !admission_ended || !drained || peers.is_between_processes() {
            drained_at = None;
            continue;
        }
        let drained_at = *drained_at.get_or_insert_with(Instant::now);
        if frontend.has_no_lingering_connections() || drained_at.elapsed() >= CLOSE_TIMEOUT {
            return;
        }
    }
}
