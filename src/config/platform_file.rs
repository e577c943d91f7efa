//! The file that the platform writes for each scheduler before its start, and again before a reload.

use std::net::SocketAddr;
use std::path::Path;

use simd_json::prelude::*;
use simd_json::tape::Value;

use super::endpoint_list::EndpointListUpdate;
use super::flatten::read_settings;
use super::settings::SettingsError;
use crate::scheduling::Settings;

/// The file's field names, each under our term for it.
mod fields {
    pub(super) const NAME: &str = "name";
    pub(super) const LISTEN: &str = "listen";
    pub(super) const OPERATOR_LISTEN: &str = "ops";
    pub(super) const DISCOVERY: &str = "discovery";
    pub(super) const SEED: &str = "seed";
    pub(super) const LIMITS: &str = "limits";
    pub(super) const DESCRIPTOR_LIMIT: &str = "sockets";
    pub(super) const GOSSIP_LISTEN: &str = "peer_listen";
    pub(super) const GOSSIP_PEERS: &str = "peers";
    pub(super) const GOSSIP_BROADCAST: &str = "peers_all";
    pub(super) const SETTINGS: &str = "settings";
    pub(super) const KNOWN_ENDPOINTS: &str = "known";
}

/// Descriptors to count on where the file states no limit.
const DEFAULT_DESCRIPTOR_LIMIT: usize = 1024;

/// Why a scheduler cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Where it should be.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is not JSON.
    #[error("the configuration is not JSON: {0}")]
    Json(#[from] simd_json::Error),
    /// A field is missing or unreadable.
    #[error("the configuration has no usable {0:?}")]
    Field(&'static str),
    /// A setting cannot be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The configuration of one scheduler.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients send requests and workers send callbacks.
    pub listen: SocketAddr,
    /// Where operators connect; without it there is no operator interface.
    pub operator_listen: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub descriptor_limit: usize,
    /// Where gossip goes, if the settings allow it and the platform names addresses for it.
    pub gossip: Option<GossipAddresses>,
    /// The deployment's settings.
    pub settings: Settings,
    /// The endpoint list as this scheduler last had it; may be out of date.
    pub known_endpoints: EndpointListUpdate,
}

/// Where gossip messages between the schedulers go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipAddresses {
    /// Where they arrive.
    pub listen: SocketAddr,
    /// The address from which each scheduler sends, by its number.
    pub peers: Vec<SocketAddr>,
    /// What is sent here reaches all other schedulers.
    pub all: SocketAddr,
}

impl GossipAddresses {
    /// `None` where the file names no address to listen at.
    fn read(root: &Value) -> Result<Option<Self>, ConfigError> {
        let Some(listen) = root.get(fields::GOSSIP_LISTEN) else { return Ok(None) };
        let broadcast = field(root, fields::GOSSIP_BROADCAST)?;
        let peers = field(root, fields::GOSSIP_PEERS)?;
        let peers = peers.as_array().ok_or(ConfigError::Field(fields::GOSSIP_PEERS))?;
        let peers =
            peers.iter().map(|peer| address(&peer, fields::GOSSIP_PEERS)).collect::<Result<_, _>>()?;
        let listen = address(&listen, fields::GOSSIP_LISTEN)?;
        let all = address(&broadcast, fields::GOSSIP_BROADCAST)?;
        Ok(Some(GossipAddresses { listen, peers, all }))
    }
}

impl Config {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// Names the file or the field that cannot be used.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(path);
        let mut text =
            text.map_err(|source| ConfigError::File { path: path.display().to_string(), source })?;
        Self::parse(&mut text)
    }

    /// Reads the JSON in `text`, which is used as scratch space.
    ///
    /// # Errors
    /// Names the field that cannot be used.
    pub fn parse(text: &mut [u8]) -> Result<Self, ConfigError> {
        let tape = simd_json::to_tape(text)?;
        let root = tape.as_value();
        let seed = text_of(&root, fields::SEED)?;
        let mut settings = read_settings(&field(&root, fields::SETTINGS)?)?;
        // Addresses for gossip are not even read where it is not allowed: they may be nonsense there.
        let gossip = if settings.gossip_allowed { GossipAddresses::read(&root)? } else { None };
        settings.gossip_allowed = gossip.is_some();
        let known_endpoints = root.get(fields::KNOWN_ENDPOINTS);
        let known_endpoints = known_endpoints.and_then(|known| EndpointListUpdate::read(&known));
        let limits = root.get(fields::LIMITS);
        let descriptor_limit = limits.and_then(|limits| limits.get_usize(fields::DESCRIPTOR_LIMIT));
        let has_operator_listen = root.get(fields::OPERATOR_LISTEN).is_some();
        Ok(Config {
            name: text_of(&root, fields::NAME)?.to_owned(),
            listen: address_of(&root, fields::LISTEN)?,
            operator_listen: if has_operator_listen {
                Some(address_of(&root, fields::OPERATOR_LISTEN)?)
            } else {
                None
            },
            discovery: address_of(&root, fields::DISCOVERY)?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Field(fields::SEED))?,
            descriptor_limit: descriptor_limit.unwrap_or(DEFAULT_DESCRIPTOR_LIMIT),
            gossip,
            settings,
            known_endpoints: known_endpoints.unwrap_or_default(),
        })
    }
}

fn field<'tape, 'input>(
    root: &Value<'tape, 'input>,
    name: &'static str,
) -> Result<Value<'tape, 'input>, ConfigError> {
    root.get(name).ok_or(ConfigError::Field(name))
}

fn text_of<'root>(root: &'root Value, name: &'static str) -> Result<&'root str, ConfigError> {
    root.get_str(name).ok_or(ConfigError::Field(name))
}

fn address_of(root: &Value, name: &'static str) -> Result<SocketAddr, ConfigError> {
    address(&field(root, name)?, name)
}

/// The address in a value of the field of this name.
fn address(value: &Value, name: &'static str) -> Result<SocketAddr, ConfigError> {
    let address = value.as_str().and_then(|text| text.parse().ok());
    address.ok_or(ConfigError::Field(name))
}
