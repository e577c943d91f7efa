//! Reloads the configuration on SIGHUP without interrupting requests in flight.
//!
//! The platform's file and the operator's file are applied together or not at all. Settings that can change at runtime are
//! passed to their owners (engine, frontend, connector, discovery, gossip, site links). Changed keys that require a restart
//! are logged. The files are parsed and validated elsewhere: the platform's by [`crate::config`], the operator's by the
//! crate `operator-config`.

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
use crate::server::memory_budget::MemoryBudget;
use crate::server::peers::site_links::{SiteLinkSettings, SiteLinks};
use crate::server::workers::connector::WorkerConnector;

/// An error that prevents a reload. The current configuration stays in force.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
    #[error("configuration loading task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// Both configuration files, loaded and validated.
struct ReloadedFiles {
    config: Config,
    site_links: Option<SiteLinkSettings>,
}

impl ReloadedFiles {
    fn load(config: &Path, operator: Option<&Path>) -> Result<Self, ReloadError> {
        let site_links = operator_file::load_optional(operator)?;
        Ok(ReloadedFiles { config: Config::load(config)?, site_links })
    }
}

/// Reloads the configuration files and applies changes.
pub struct ConfigReloader {
    /// Path of the platform's file.
    pub config_path: PathBuf,
    /// Path of the operator's file, if there is one.
    pub operator_path: Option<PathBuf>,
    /// Name of the scheduler. A change requires a restart.
    pub name: String,
    /// Listen address for clients. A change requires a restart.
    pub listen: SocketAddr,
    /// Listen address of the operator interface. A change requires a restart.
    pub operator_listen: Option<SocketAddr>,
    /// The current settings.
    pub settings: Settings,
    /// Publishes the discovery address to the discovery watch.
    pub discovery: watch::Sender<SocketAddr>,
    /// Publishes the gossip addresses to the gossip transport.
    pub gossip: watch::Sender<Option<GossipAddresses>>,
    /// The site links, if the gateway is enabled.
    pub site_links: Option<Rc<SiteLinks>>,
    /// Accepts client requests according to the settings.
    pub frontend: Rc<Frontend>,
    /// Queue of messages to the engine.
    pub queue: EngineQueue,
    /// Connects to workers, using the timeouts of the settings.
    pub connector: Rc<WorkerConnector>,
    /// Descriptor budgets, derived from the configured descriptor limit.
    pub budgets: Rc<DescriptorBudgets>,
    /// Memory budget for messages, derived from the configured memory limit.
    pub message_memory: Rc<MemoryBudget>,
}

impl ConfigReloader {
    /// Reloads the files on each signal. Signals received during a reload are coalesced into one further reload.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read_files().await {
                Ok(files) => self.apply(files),
                Err(error) => tracing::warn!(%error, "the configuration is not reloaded"),
            }
        }
    }

    /// Loads the files on a blocking thread, so that slow reads or parsing do not delay requests.
    async fn read_files(&self) -> Result<ReloadedFiles, ReloadError> {
        let config_path = self.config_path.clone();
        let operator_path = self.operator_path.clone();
        tokio::task::spawn_blocking(move || ReloadedFiles::load(&config_path, operator_path.as_deref()))
            .await?
    }

    /// Applies the settings that can change at runtime. The endpoint list in the file is ignored because discovery has
    /// sent newer ones, and the seed because the random number generator has already been seeded.
    fn apply(&mut self, files: ReloadedFiles) {
        let ReloadedFiles { config, site_links } = files;
        let changed_restart_only_keys = self.changed_restart_only_keys(&config);
        let ReconfiguredSettings { settings, lists_with_retained_names: mut unchanged } =
            self.settings.reconfigured(config.settings);
        unchanged.extend(changed_restart_only_keys);
        unchanged.extend(self.configure_site_links(site_links));
        self.budgets.configure(config.limits.descriptors);
        self.message_memory.configure(config.limits);
        self.connector.configure(settings.connect_timeout_s, settings.connection_idle_timeout_s);
        // The engine must receive the new settings before any request whose class index refers to them.
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

    /// Process-level keys that have changed but take effect only after a restart.
    fn changed_restart_only_keys(&self, config: &Config) -> Vec<&'static str> {
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

    /// Passes the operator's settings to the site links. Returns the changed keys that require a restart. Enabling or
    /// disabling the gateway requires a restart.
    fn configure_site_links(&self, settings: Option<SiteLinkSettings>) -> Vec<&'static str> {
        match (&self.site_links, settings) {
            (Some(site_links), Some(settings)) => site_links.configure(settings),
            (None, None) => Vec::new(),
            (Some(_), None) | (None, Some(_)) => vec!["gateway"],
        }
    }
}

/// Publishes a value only if it differs from the current one, because receivers restart on every update.
fn send_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| {
        let changed = *current != value;
        *current = value;
        changed
    });
}
