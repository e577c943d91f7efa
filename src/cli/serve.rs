//! `chutesaddle serve`: the order of start-up and of exit.
//!
//! Start-up: both files are read, signal handlers installed, the operator interface opened, the listener for clients taken
//! over from a predecessor or bound, all parts built ([`build`]) and started ([`Node::start`]). The process serves when its
//! phase leaves `Starting`. Exit: SIGTERM sets the phase to `Stopping`, and the process ends once all that it admitted is
//! answered ([`drain`]). What each part does is in its own module under `src/server/`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle::config::endpoint_list::EndpointListUpdate;
use chutesaddle::config::{Config, ConfigError};
use chutesaddle::server::descriptor_budget::DescriptorBudgets;
use chutesaddle::server::discovery::watch::DiscoveryWatch;
use chutesaddle::server::discovery::watch_supervisor::WatchSupervisor;
use chutesaddle::server::engine::Engine;
use chutesaddle::server::engine_queue::EngineQueue;
use chutesaddle::server::frontend::Frontend;
use chutesaddle::server::lifecycle::handover::{self, AcquiredListener, Handover, Predecessor};
use chutesaddle::server::lifecycle::operator_file::{self, OperatorFileError};
use chutesaddle::server::lifecycle::operator_interface::OperatorInterface;
use chutesaddle::server::lifecycle::peer_processes::PeerProcesses;
use chutesaddle::server::lifecycle::reload::ConfigReloader;
use chutesaddle::server::lifecycle::{Lifecycle, LifecycleEvent, Phase};
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

use super::{logs, Serve};

/// How often to check whether the last request is answered.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long clients have to see that their connections are closed, once all requests are answered. The platform waits
/// 0.7 s longer than the longest deadline.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the process ends with exit code 1.
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

/// Serves until SIGTERM.
pub(super) fn run(arguments: Serve) -> ExitCode {
    logs::start(arguments.log, arguments.log_level);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let served = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, serve(arguments)),
        Err(error) => Err(ServeError::Runtime(error)),
    };
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::info!(%error, "cannot serve");
            ExitCode::FAILURE
        }
    }
}

async fn serve(arguments: Serve) -> Result<(), ServeError> {
    let files = Files::read(arguments)?;
    let mut signals = Signals::install()?;
    let shared = Shared::new(&files.config);
    open_operator_interface(files.operator_listen, &shared).await?;

    let address = files.config.listen;
    let socket_path = handover::socket_path();
    let AcquiredListener { listener, predecessor } =
        handover::acquire_listener(socket_path.as_deref(), address)
            .await
            .map_err(|error| ServeError::Listen(address, error))?;
    let address = listener.local_addr().unwrap_or(address);
    let name = files.config.name.clone();

    let node = build(files, Listening { listener, socket_path }, &shared);
    let frontend = Rc::clone(&node.frontend);
    let engine = node.start(signals.hangup, predecessor);
    tokio::select! {
        // Without its engine the scheduler would admit requests and answer none: better to be started anew.
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

/// Both files, read and found to be in order.
struct Files {
    config: Config,
    config_path: PathBuf,
    operator_path: Option<PathBuf>,
    /// The settings of the gateway to other sites, if the operator's file has any.
    site_links: Option<SiteLinkSettings>,
    /// The address for operators: that of the configuration, or else that of the environment or the command line.
    operator_listen: Option<SocketAddr>,
}

impl Files {
    fn read(arguments: Serve) -> Result<Self, ServeError> {
        let config_path = arguments.config.ok_or(ServeError::NoConfig)?;
        let config = Config::load(&config_path)?;
        let site_links = operator_file::load_optional(arguments.operator.as_deref())?;
        let operator_listen = config.operator_listen.or(arguments.ops);
        Ok(Files { config, config_path, operator_path: arguments.operator, site_links, operator_listen })
    }
}

/// The signals that the process waits for. They are installed before anything answers: without a handler either of
/// them ends the process at once.
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

/// What nearly every part of the process uses.
struct Shared {
    counters: Rc<Counters>,
    lifecycle: Rc<Lifecycle>,
    budgets: Rc<DescriptorBudgets>,
    peers: PeerProcesses,
}

impl Shared {
    fn new(config: &Config) -> Self {
        Shared {
            counters: Rc::default(),
            lifecycle: Rc::default(),
            budgets: Rc::new(DescriptorBudgets::new(config.descriptor_limit)),
            peers: PeerProcesses::default(),
        }
    }
}

/// Opens the operator interface, if it has an address.
async fn open_operator_interface(address: Option<SocketAddr>, shared: &Shared) -> Result<(), ServeError> {
    let Some(address) = address else { return Ok(()) };
    let listener = TcpListener::bind(address).await.map_err(|error| ServeError::Listen(address, error))?;
    let address = listener.local_addr().unwrap_or(address);
    tracing::info!(%address, "listening for operators");
    let interface = OperatorInterface::new(Rc::clone(&shared.lifecycle), Rc::clone(&shared.counters));
    spawn_local(interface.run(listener));
    Ok(())
}

/// Logs the address once the process serves, then waits for good.
async fn log_when_serving(lifecycle: &Lifecycle, address: SocketAddr, name: &str) {
    let mut phase = lifecycle.watch();
    // The sender lives as long as the process.
    let _ = phase.wait_for(|phase| *phase != Phase::Starting).await;
    tracing::info!(%address, scheduler = %name, "serving clients");
    std::future::pending::<()>().await;
}

/// The listener for clients, and where a successor finds this process.
struct Listening {
    listener: TcpListener,
    socket_path: Option<PathBuf>,
}

/// All parts of the process, built and not yet started.
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

fn build(files: Files, listening: Listening, shared: &Shared) -> Node {
    let Files { config, config_path, operator_path, site_links, .. } = files;
    let (gossip_sender, gossip_queue) = gossip_transport::channel();
    let EngineParts { engine, queue, connector } = build_engine(&config, gossip_sender, shared);
    let (engine, site_links) = add_gateway(engine, site_links, &queue, &shared.lifecycle);
    let discovery_watch = build_discovery_watch(&config, &queue, shared);
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
    let handover = build_handover(listening, &frontend, &queue, shared);
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

/// The engine, the queue to it, and what connects its attempts to the workers.
struct EngineParts {
    engine: Engine,
    queue: EngineQueue,
    connector: Rc<WorkerConnector>,
}

fn build_engine(config: &Config, gossip: GossipSender, shared: &Shared) -> EngineParts {
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
    EngineParts { engine: engine.with_gossip(gossip), queue, connector }
}

fn build_discovery_watch(config: &Config, queue: &EngineQueue, shared: &Shared) -> DiscoveryWatch {
    DiscoveryWatch::new(
        config.discovery,
        config.known_endpoints.version,
        queue.clone(),
        Rc::clone(&shared.counters),
        WatchSupervisor::new(&config.settings, config.seed, Duration::ZERO),
    )
}

fn build_frontend(config: &Config, queue: &EngineQueue, shared: &Shared) -> Rc<Frontend> {
    Rc::new(Frontend::new(
        config.settings.clone(),
        queue.clone(),
        Rc::clone(&shared.counters),
        Rc::clone(&shared.lifecycle),
        shared.budgets.frontend(),
    ))
}

/// Adds the gateway to other sites, if the operator's file has one.
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
    listening: Listening,
    frontend: &Rc<Frontend>,
    queue: &EngineQueue,
    shared: &Shared,
) -> Rc<Handover> {
    Rc::new(Handover {
        socket_path: listening.socket_path,
        listener: Rc::new(listening.listener),
        frontend: Rc::clone(frontend),
        lifecycle: Rc::clone(&shared.lifecycle),
        queue: queue.clone(),
        peers: shared.peers.clone(),
        budgets: Rc::clone(&shared.budgets),
        counters: Rc::clone(&shared.counters),
    })
}

impl Node {
    /// Starts a task for each part; the engine's is returned, as the process cannot go on without it.
    fn start(self, hangup: Signal, predecessor: Option<Predecessor>) -> JoinHandle<()> {
        let engine = spawn_local(self.engine.run(self.known_endpoints));
        spawn_local(self.discovery_watch.run(self.discovery_address));
        spawn_local(self.gossip.run());
        spawn_local(self.reload.run(hangup));
        spawn_local(self.frontend.close_idle_while_draining());
        spawn_local(self.handover.run(predecessor));
        if let Some(site_links) = self.site_links {
            site_links.start();
        }
        engine
    }
}

/// Waits until every request is answered that was admitted, or that was on its way when admission ended, and until the
/// clients have seen their connections closed.
async fn drain(frontend: &Frontend, shared: &Shared) {
    let Shared { counters, lifecycle, peers, .. } = shared;
    let mut empty_since = None;
    loop {
        sleep(DRAIN_CHECK_INTERVAL).await;
        let admission_over = !lifecycle.admission_is_open() && lifecycle.should_close_idle_connections();
        let empty = frontend.is_empty() && peers.is_flushed() && counters.gateway.is_idle();
        if !admission_over || !empty {
            empty_since = None;
            continue;
        }
        let empty_since = *empty_since.get_or_insert_with(Instant::now);
        if frontend.has_no_lingering_connections() || empty_since.elapsed() >= CLOSE_TIMEOUT {
            return;
        }
    }
}
