//! The JSON file that the platform writes for each scheduler before startup and before each reload.

use std::net::SocketAddr;
use std::path::Path;

use simd_json::prelude::*;
use simd_json::tape::Value;

use super::endpoint_list::EndpointListUpdate;
use super::flatten::parse_settings;
use super::settings::SettingsError;
use crate::scheduling::Settings;

/// Field names of the platform file in JSON.
mod fields {
    pub(super) const NAME: &str = "name";
    pub(super) const LISTEN: &str = "listen";
    pub(super) const OPERATOR_LISTEN: &str = "ops";
    pub(super) const DISCOVERY: &str = "discovery";
    pub(super) const SEED: &str = "seed";
    pub(super) const LIMITS: &str = "limits";
    pub(super) const DESCRIPTOR_LIMIT: &str = "sockets";
    /// In mebibytes.
    pub(super) const MEMORY_LIMIT_MB: &str = "memory_mb";
    pub(super) const GOSSIP_LISTEN: &str = "peer_listen";
    pub(super) const GOSSIP_PEERS: &str = "peers";
    pub(super) const GOSSIP_BROADCAST: &str = "peers_all";
    pub(super) const SETTINGS: &str = "settings";
    pub(super) const KNOWN_ENDPOINTS: &str = "known";
}

/// Assumed limit on file descriptors if the platform file specifies none.
const DEFAULT_DESCRIPTOR_LIMIT: usize = 1024;
/// Assumed memory limit in mebibytes if the platform file specifies none.
const DEFAULT_MEMORY_LIMIT_MB: usize = 192;
const BYTES_PER_MEBIBYTE: usize = 1024 * 1024;

/// Why a platform file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// The error reported by the operating system.
        source: std::io::Error,
    },
    /// The file is not valid JSON.
    #[error("the configuration is not JSON: {0}")]
    Json(#[from] simd_json::Error),
    /// The field with this name is missing or invalid.
    #[error("the configuration has no usable {0:?}")]
    Field(&'static str),
    /// A setting has an invalid value.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The configuration of one scheduler.
#[derive(Debug)]
pub struct Config {
    /// Name of the scheduler.
    pub name: String,
    /// Listen address for client requests and for the callbacks of workers.
    pub listen: SocketAddr,
    /// Listen address of the operator interface, which is disabled without one.
    pub operator_listen: Option<SocketAddr>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random number generators; differs between starts.
    pub seed: u64,
    /// What the platform allows to the scheduler.
    pub limits: ProcessLimits,
    /// Addresses for gossip, if the settings allow gossip and the file contains the addresses.
    pub gossip: Option<GossipAddresses>,
    /// The deployment's settings.
    pub settings: Settings,
    /// The last endpoint list that this scheduler knew, as stored by the platform; may be out of date.
    pub known_endpoints: EndpointListUpdate,
}

/// What the platform allows to all processes of a scheduler together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum number of open file descriptors.
    pub descriptors: usize,
    /// Memory in bytes.
    pub memory_bytes: usize,
}

/// Addresses for gossip messages between schedulers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipAddresses {
    /// Address at which this scheduler receives messages.
    pub listen: SocketAddr,
    /// Source address of each scheduler's messages, by scheduler index.
    pub peers: Vec<SocketAddr>,
    /// Messages sent to this address are delivered to all other schedulers.
    pub broadcast: SocketAddr,
}

impl GossipAddresses {
    /// Parses the addresses; `None` if the file contains no listen address for gossip.
    fn parse(root: &Value) -> Result<Option<Self>, ConfigError> {
        let Some(listen) = root.get(fields::GOSSIP_LISTEN) else { return Ok(None) };
        let broadcast = required_field(root, fields::GOSSIP_BROADCAST)?;
        let peers = required_field(root, fields::GOSSIP_PEERS)?;
        let peers = peers.as_array().ok_or(ConfigError::Field(fields::GOSSIP_PEERS))?;
        let peers =
            peers.iter().map(|peer| parse_address(&peer, fields::GOSSIP_PEERS)).collect::<Result<_, _>>()?;
        let listen = parse_address(&listen, fields::GOSSIP_LISTEN)?;
        let broadcast = parse_address(&broadcast, fields::GOSSIP_BROADCAST)?;
        Ok(Some(GossipAddresses { listen, peers, broadcast }))
    }
}

impl Config {
    /// Reads and parses the file at `path`.
    ///
    /// # Errors
    /// Fails if the file cannot be read, is not JSON or has a missing or invalid field.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(path);
        let mut text =
            text.map_err(|source| ConfigError::File { path: path.display().to_string(), source })?;
        Self::parse(&mut text)
    }

    /// Parses JSON. The contents of `text` are overwritten in the process.
    ///
    /// # Errors
    /// Fails if the text is not JSON or has a missing or invalid field.
    pub fn parse(text: &mut [u8]) -> Result<Self, ConfigError> {
        let tape = simd_json::to_tape(text)?;
        let root = tape.as_value();
        let seed = required_str(&root, fields::SEED)?;
        let mut settings = parse_settings(&required_field(&root, fields::SETTINGS)?)?;
        // Without permission for gossip, its addresses may be invalid and are ignored.
        let gossip = if settings.gossip_allowed { GossipAddresses::parse(&root)? } else { None };
        settings.gossip_allowed = gossip.is_some();
        let known_endpoints = root.get(fields::KNOWN_ENDPOINTS);
        let known_endpoints = known_endpoints.and_then(|known| EndpointListUpdate::parse(&known));
        let limits = root.get(fields::LIMITS);
        let descriptor_limit = limits.and_then(|limits| limits.get_usize(fields::DESCRIPTOR_LIMIT));
        let memory_limit_mb = limits.and_then(|limits| limits.get_usize(fields::MEMORY_LIMIT_MB));
        let memory_limit_mb = memory_limit_mb.unwrap_or(DEFAULT_MEMORY_LIMIT_MB);
        let has_operator_listen = root.get(fields::OPERATOR_LISTEN).is_some();
        Ok(Config {
            name: required_str(&root, fields::NAME)?.to_owned(),
            listen: required_address(&root, fields::LISTEN)?,
            operator_listen: if has_operator_listen {
                Some(required_address(&root, fields::OPERATOR_LISTEN)?)
            } else {
                None
            },
            discovery: required_address(&root, fields::DISCOVERY)?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Field(fields::SEED))?,
            limits: ProcessLimits {
                descriptors: descriptor_limit.unwrap_or(DEFAULT_DESCRIPTOR_LIMIT),
                memory_bytes: memory_limit_mb.saturating_mul(BYTES_PER_MEBIBYTE),
            },
            gossip,
            settings,
            known_endpoints: known_endpoints.unwrap_or_default(),
        })
    }
}

fn required_field<'tape, 'input>(
    root: &Value<'tape, 'input>,
    name: &'static str,
) -> Result<Value<'tape, 'input>, ConfigError> {
    root.get(name).ok_or(ConfigError::Field(name))
}

fn required_str<'root>(root: &'root Value, name: &'static str) -> Result<&'root str, ConfigError> {
    root.get_str(name).ok_or(ConfigError::Field(name))
}

fn required_address(root: &Value, name: &'static str) -> Result<SocketAddr, ConfigError> {
    parse_address(&required_field(root, name)?, name)
}

/// Parses an address; `name` is the field that an error refers to.
fn parse_address(value: &Value, name: &'static str) -> Result<SocketAddr, ConfigError> {
    let address = value.as_str().and_then(|text| text.parse().ok());
    address.ok_or(ConfigError::Field(name))
}
