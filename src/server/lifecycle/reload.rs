//! SIGHUP: the configuration is read again and applied, without cutting anything that is in flight.
//!
//! Both files, the platform's and the operator's, are applied together or not at all. What can change in flight is passed on
//! to its owner (engine, frontend, connector, discovery, gossip, site links); what cannot is named in the log. This module
//! owns no rule of the configuration: [`crate::config`] reads the platform's file, the crate `operator-config` the
//! operator's.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::settings::ReconfiguredSettings;
use crate::config::{Config, ConfigError, GossipAddresses};
use crate::scheduling::Settings;
use crate::server::descriptor_budget::DescriptorBudgets;
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::frontend::Frontend;
use crate::server::lifecycle::operator_file::{self, OperatorFileError};
use crate::server::peers::site_links::{SiteLinkSettings, SiteLinks};
use crate::server::workers::connector::WorkerConnector;

/// Why a reload changes nothing.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
    #[error("the task that reads the files has failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// Both files, read and found to be in order.
struct Files {
    config: Config,
    site_links: Option<SiteLinkSettings>,
}

impl Files {
    fn load(config: &Path, operator: Option<&Path>) -> Result<Self, ReloadError> {
        let site_links = operator_file::load_if_named(operator)?;
        Ok(Files { config: Config::load(config)?, site_links })
    }
}

/// Applies a changed configuration.
pub struct Reload {
    /// The platform's file.
    pub config_path: PathBuf,
    /// The operator's file, if there is one.
    pub operator_path: Option<PathBuf>,
    /// The scheduler's name, which changes with a restart only.
    pub name: String,
    /// The address for clients, which changes with a restart only.
    pub listen: SocketAddr,
    /// The address for operators, which changes with a restart only.
    pub operator_listen: Option<SocketAddr>,
    /// The settings in force.
    pub settings: Settings,
    /// The address of discovery, which the watch follows.
    pub discovery: watch::Sender<SocketAddr>,
    /// The addresses for gossip, which its transport follows.
    pub gossip: watch::Sender<Option<GossipAddresses>>,
    /// The links to other sites, if there are any.
    pub site_links: Option<Rc<SiteLinks>>,
    /// Takes clients' requests by the settings.
    pub frontend: Rc<Frontend>,
    /// The queue to the engine.
    pub queue: EngineQueue,
    /// Connects to the workers with the time-outs of the settings.
    pub connector: Rc<WorkerConnector>,
    /// Bounds the descriptors.
    pub budgets: Rc<DescriptorBudgets>,
}

impl Reload {
    /// Reads the files again at each signal. Signals that come while they are read count as one more.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read_files().await {
                Ok(files) => self.apply(files),
                Err(error) => tracing::warn!(%error, "the configuration is not reloaded"),
            }
        }
    }

    /// Reads and parses on another thread: this one has requests to carry, and it may take long.
    async fn read_files(&self) -> Result<Files, ReloadError> {
        let config_path = self.config_path.clone();
        let operator_path = self.operator_path.clone();
        tokio::task::spawn_blocking(move || Files::load(&config_path, operator_path.as_deref())).await?
    }

    /// Applies what can change in flight. The endpoint list in the file is older than what discovery has sent
    /// since, and the seed has been used: both are passed over.
    fn apply(&mut self, files: Files) {
        let Files { config, site_links } = files;
        let fixed_keys = self.fixed_keys(&config);
        let ReconfiguredSettings { settings, lists_with_retained_names: mut unchanged } =
            self.settings.reconfigured(config.settings);
        unchanged.extend(fixed_keys);
        unchanged.extend(self.configure_site_links(site_links));
        self.budgets.configure(config.descriptor_limit);
        self.connector.configure(settings.connect_timeout_s, settings.connection_idle_timeout_s);
        // The engine takes these before any request that the frontend numbers by them.
        self.queue.send(EngineMessage::SettingsChanged(Box::new(settings.clone())));
        self.frontend.configure(settings.clone());
        self.settings = settings;
        send_if_changed(&self.discovery, config.discovery);
        send_if_changed(&self.gossip, config.gossip);
        if unchanged.is_empty() {
            tracing::info!("the configuration is reloaded");
        } else {
            let keys = unchanged.join(", ");
            tracing::info!(%keys, "the configuration is reloaded, but some keys change with a restart only");
        }
    }

    /// The keys of the process itself that differ from those it was started with.
    fn fixed_keys(&self, config: &Config) -> Vec<&'static str> {
        let mut keys = Vec::new();
        if config.name != self.name {
            keys.push("name");
        }
        if config.listen != self.listen {
            keys.push("listen");
        }
        if config.operator_listen != self.operator_listen {
            keys.push("ops");
        }
        keys
    }

    /// Passes the operator's file on to the site links, and returns the keys that change with a restart only. The
    /// gateway as a whole is switched on or off with a restart.
    fn configure_site_links(&self, settings: Option<SiteLinkSettings>) -> Vec<&'static str> {
        match (&self.site_links, settings) {
            (Some(site_links), Some(settings)) => site_links.configure(settings),
            (None, None) => Vec::new(),
            (Some(_), None) | (None, Some(_)) => vec!["gateway"],
        }
    }
}

/// Sends a value unless it is the current one: whoever follows it begins anew with each.
fn send_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| {
        let changed = *current != value;
        *current = value;
        changed
    });
}
