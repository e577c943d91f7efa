//! Takes up the configuration file anew on SIGHUP, without cutting anything that is under way.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::settings::Reconfigured;
use crate::config::{Config, ConfigError, GossipAddresses};
use crate::scheduling::Settings;
use crate::server::descriptor_budget::DescriptorBudgets;
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::frontend::Frontend;
use crate::server::peers::site_links::{SiteLinkSettings, SiteLinks};
use crate::server::workers::endpoint::WorkerConnector;

#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Operator(#[from] operator::OperatorError),
}

/// The operator's own file.
pub mod operator {
    use std::path::{Path, PathBuf};

    use crate::server::peers::site_links::{read_secret, SecretError, SiteLinkSettings};

    /// Why it cannot be used.
    #[derive(Debug, thiserror::Error)]
    pub enum OperatorError {
        /// It cannot be read.
        #[error("cannot read {0}: {1}")]
        File(PathBuf, std::io::Error),
        /// What is wrong with it, a mistake to a line.
        #[error("{0}")]
        Mistakes(#[from] chutesaddle_operator_config::ConfigErrors),
        /// What it names cannot be used.
        #[error(transparent)]
        Gateway(#[from] SecretError),
    }

    /// Reads it, with the secret that it names; `None` if it switches nothing on.
    ///
    /// # Errors
    /// Names the file, and each mistake with its place.
    pub fn load(path: &Path) -> Result<Option<SiteLinkSettings>, OperatorError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| OperatorError::File(path.into(), error))?;
        let file = chutesaddle_operator_config::read(&path.display().to_string(), &text)?;
        let Some(file) = file.gateway else { return Ok(None) };
        let secret = read_secret(&file.secret)?;
        Ok(Some(SiteLinkSettings { file, secret }))
    }
}

/// What follows a changed configuration, and what the running one says.
pub struct Reload {
    /// The file.
    pub path: PathBuf,
    /// The operator's file, if there is one.
    pub operator: Option<PathBuf>,
    /// The links to other sites, if there are any.
    pub sites: Option<Rc<SiteLinks>>,
    /// What was told at the start and holds until the end.
    pub name: String,
    /// The same.
    pub listen: SocketAddr,
    /// The same.
    pub ops: Option<SocketAddr>,
    /// The settings that are in force.
    pub settings: Settings,
    /// Where discovery is followed.
    pub discovery: watch::Sender<SocketAddr>,
    /// The ways between the schedulers.
    pub notes: watch::Sender<Option<GossipAddresses>>,
    /// The front, the way to the engine, and the bounds on connections to members.
    pub front: Rc<Frontend>,
    /// See `front`.
    pub queue: EngineQueue,
    /// See `front`.
    pub dialer: Rc<WorkerConnector>,
    /// See `front`.
    pub shares: Rc<DescriptorBudgets>,
}

impl Reload {
    /// Reads the file anew at each signal. Signals that come while it is read count as one more.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            let (path, file) = (self.path.clone(), self.operator.clone());
            // Reading and parsing may take long for this one thread, which has transactions to carry.
            let load = move || -> Result<_, ReloadError> {
                let said = file.as_deref().map(operator::load).transpose()?.flatten();
                Ok((Config::load(&path)?, said))
            };
            // Both files or neither: half of a change is nothing that anybody asked for.
            match tokio::task::spawn_blocking(load).await {
                Ok(Ok((config, said))) => self.take(config, said),
                Ok(Err(error)) => tracing::warn!("the configuration stays as it is: {error}"),
                Err(error) => tracing::warn!("the configuration stays as it is: {error}"),
            }
        }
    }

    /// Takes up what can change in flight. The list that the file knows is older than what discovery has
    /// told since, and the seed is spent: both are passed over.
    fn take(&mut self, config: Config, said: Option<SiteLinkSettings>) {
        let Reconfigured { settings, lists_with_kept_names: mut kept } =
            self.settings.reconfigured(config.settings);
        kept.extend((config.name != self.name).then_some("name"));
        kept.extend((config.listen != self.listen).then_some("listen"));
        kept.extend((config.operator_listen != self.ops).then_some("ops"));
        match (&self.sites, said) {
            (Some(sites), Some(said)) => kept.extend(sites.configure(said)),
            (None, None) => {}
            _ => kept.push("gateway"),
        }
        self.shares.configure(config.descriptor_limit);
        self.dialer.configure(settings.connect_timeout_s, settings.connection_idle_timeout_s);
        // The engine takes these up before any transaction that the front numbers by them.
        self.queue.send(EngineMessage::SettingsChanged(Box::new(settings.clone())));
        self.front.configure(settings.clone());
        self.settings = settings;
        self.discovery
            .send_if_modified(|address| std::mem::replace(address, config.discovery) != config.discovery);
        self.notes.send_if_modified(|notes| {
            *notes != config.gossip && {
                *notes = config.gossip;
                true
            }
        });
        match kept.as_slice() {
            [] => tracing::info!("the configuration is taken up"),
            kept => tracing::info!(
                "the configuration is taken up, but these change with a restart only: {}",
                kept.join(", ")
            ),
        }
    }
}
