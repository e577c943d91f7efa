//! `chutesaddle serve`: start-up, signals, exit.

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle::config::{Config, ConfigError};
use chutesaddle::server::descriptor_budget::DescriptorBudgets;
use chutesaddle::server::discovery::watch::DiscoveryWatch;
use chutesaddle::server::discovery::watch_supervisor::WatchSupervisor;
use chutesaddle::server::engine::Engine;
use chutesaddle::server::frontend::Frontend;
use chutesaddle::server::lifecycle::handover::{self, Handover};
use chutesaddle::server::lifecycle::operator_interface::OperatorInterface;
use chutesaddle::server::lifecycle::peer_processes::PeerProcesses;
use chutesaddle::server::lifecycle::reload::{operator, Reload};
use chutesaddle::server::lifecycle::{Lifecycle, LifecycleEvent, Phase};
use chutesaddle::server::metrics::Counters;
use chutesaddle::server::peers::gossip_transport::{self, GossipTransport};
use chutesaddle::server::peers::site_links::{new_incarnation, SiteLinks};
use chutesaddle::server::workers::endpoint::WorkerConnector;
use chutesaddle_gateway::Gateway;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

use super::{logs, Serve};

/// How often to look whether the last request is answered.
const LOOK: Duration = Duration::from_millis(10);
/// Clients may take so long to see that their connections are closed, once all they asked is answered; the platform
/// waits 0.7 s longer than the longest deadline.
const CLOSES: Duration = Duration::from_millis(500);

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("NODE_CONFIG is not set, and no --config is given")]
    NoConfig,
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
    #[error("cannot start: {0}")]
    Runtime(std::io::Error),
    #[error("cannot wait for signals: {0}")]
    Signal(std::io::Error),
    #[error(transparent)]
    Operator(#[from] operator::OperatorError),
    #[error("the engine has stopped")]
    EngineStopped,
}

/// Serves until SIGTERM.
pub(super) fn run(arguments: Serve) -> ExitCode {
    logs::start(arguments.log, arguments.log_level);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let served = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, serve(arguments)),
        Err(error) => Err(StartError::Runtime(error)),
    };
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::info!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(arguments: Serve) -> Result<(), StartError> {
    let path = arguments.config.ok_or(StartError::NoConfig)?;
    let config = Config::load(&path)?;
    let said = arguments.operator.as_deref().map(operator::load).transpose()?.flatten();
    // Before anything answers: without a handler either signal ends the process on the spot.
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
    let hangup = signal(SignalKind::hangup()).map_err(StartError::Signal)?;
    let ops = config.operator_listen.or(arguments.ops);
    let door = match ops {
        Some(address) => {
            let door = TcpListener::bind(address).await;
            Some(door.map_err(|error| StartError::Listen(address, error))?)
        }
        None => None,
    };
    let (counters, lifecycle) = (Rc::new(Counters::default()), Rc::new(Lifecycle::default()));
    if let Some(door) = door {
        let address = door.local_addr().ok().or(ops);
        tracing::info!("operators call at {}", address.map(|a| a.to_string()).unwrap_or_default());
        spawn_local(OperatorInterface::new(Rc::clone(&lifecycle), Rc::clone(&counters)).run(door));
    }
    let socket_path = handover::socket_path();
    let listener = handover::take_listener(socket_path.as_deref(), config.listen).await;
    let (listener, old) = listener.map_err(|error| StartError::Listen(config.listen, error))?;

    let settings = config.settings;
    let (shares, peers) =
        (Rc::new(DescriptorBudgets::new(config.descriptor_limit)), PeerProcesses::default());
    let (connect_timeout_s, conn_idle_s) = (settings.connect_timeout_s, settings.connection_idle_timeout_s);
    let dialer =
        Rc::new(WorkerConnector::new(shares.members(), connect_timeout_s, conn_idle_s, Rc::clone(&counters)));
    let (engine, queue) =
        Engine::new(settings.clone(), config.seed, Rc::clone(&dialer), Rc::clone(&counters), peers.clone());
    let (outbox, notes) = gossip_transport::channel();
    let engine = engine.with_notes(outbox);
    let (engine, sites) = match said {
        Some(said) => {
            let (instance, origin) = (new_incarnation(), Instant::now());
            let decisions = Gateway::new(said.file.decisions.clone(), instance);
            let sites = SiteLinks::new(said, instance, origin, queue.clone(), Rc::clone(&lifecycle));
            (engine.with_gateway(decisions, origin), Some(sites))
        }
        None => (engine, None),
    };
    let watch = DiscoveryWatch::new(
        config.discovery,
        config.known_endpoints.version,
        queue.clone(),
        Rc::clone(&counters),
        WatchSupervisor::new(&settings, config.seed, Duration::ZERO),
    );
    let front = Rc::new(Frontend::new(
        settings.clone(),
        queue.clone(),
        Rc::clone(&counters),
        Rc::clone(&lifecycle),
        shares.clients(),
    ));
    let (discovery, addresses) = watch::channel(config.discovery);
    let (between, ways) = watch::channel(config.gossip);
    let notes = GossipTransport::new(notes, queue.clone(), Rc::clone(&counters), lifecycle.watch(), ways);
    let reload = Reload {
        notes: between,
        path,
        operator: arguments.operator,
        sites: sites.clone(),
        name: config.name.clone(),
        listen: config.listen,
        ops: config.operator_listen,
        settings,
        discovery,
        front: Rc::clone(&front),
        queue: queue.clone(),
        dialer,
        shares: Rc::clone(&shares),
    };
    let handover = Handover {
        socket_path,
        listener: Rc::new(listener),
        frontend: Rc::clone(&front),
        lifecycle: Rc::clone(&lifecycle),
        queue,
        peers: peers.clone(),
        budgets: shares,
        counters: Rc::clone(&counters),
    };
    let mut engine = spawn_local(engine.run(config.known_endpoints));
    spawn_local(watch.run(addresses));
    spawn_local(notes.run());
    spawn_local(reload.run(hangup));
    spawn_local(Rc::clone(&front).clear());
    let address = handover.listener.local_addr().unwrap_or(config.listen);
    spawn_local(Rc::new(handover).run(old));
    sites.iter().for_each(SiteLinks::start);
    let mut phase = lifecycle.watch();
    let started = async {
        let _ = phase.wait_for(|phase| *phase != Phase::Starting).await;
        tracing::info!("{} serves on {address}", config.name);
        std::future::pending::<()>().await
    };

    tokio::select! {
        // Without its engine the scheduler would take work and answer none: better to be started anew.
        _ = &mut engine => return Err(StartError::EngineStopped),
        _ = terminate.recv() => {}
        () = started => {}
    }
    tracing::info!("stopping, {} requests wait for their answer", front.waiting());
    lifecycle.notify(LifecycleEvent::Terminated);
    // Also what was under way to this process when the taking stopped is read, and told to go elsewhere.
    let mut empty_since = None;
    loop {
        sleep(LOOK).await;
        let empty = front.is_empty() && peers.is_flushed() && counters.gateway.is_idle();
        if lifecycle.admission_is_open() || !lifecycle.closes_idle_connections() || !empty {
            empty_since = None;
            continue;
        }
        let since = *empty_since.get_or_insert_with(Instant::now);
        if front.is_closed() || since.elapsed() >= CLOSES {
            break;
        }
    }
    tracing::info!("stopped; the counters:\n{}", counters.to_string().trim_end());
    Ok(())
}
