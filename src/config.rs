//! What the platform tells a scheduler at its start: addresses, limits, the known pool and the settings.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

use simd_json::prelude::*;
use simd_json::tape::Value;

use crate::config::endpoint_list::EndpointListUpdate;
use crate::scheduling::Settings;

pub mod endpoint_list;
pub mod settings;

use self::settings::SettingsError;

/// Why a scheduler cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    File(String, std::io::Error),
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
    /// Where clients and call-backs connect.
    pub listen: SocketAddr,
    /// Where operators connect; without it there is no door for them.
    pub operator_listen: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub descriptor_limit: usize,
    /// The ways between the schedulers, where the platform has any.
    pub gossip: Option<GossipAddresses>,
    /// The deployment's settings.
    pub settings: Settings,
    /// The pool as this scheduler last had it; may be out of date.
    pub known_endpoints: EndpointListUpdate,
}

/// Where datagrams between the schedulers go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipAddresses {
    /// Where they arrive.
    pub listen: SocketAddr,
    /// From where each scheduler's come, by its number.
    pub peers: Vec<SocketAddr>,
    /// What is sent there goes to all.
    pub all: SocketAddr,
}

impl GossipAddresses {
    /// `None` where the configuration names no address to listen at.
    fn read(root: &Value) -> Result<Option<Self>, ConfigError> {
        let Some(listen) = root.get("peer_listen") else { return Ok(None) };
        let address = |value: &Value, key| {
            let address = value.as_str().and_then(|text| text.parse().ok());
            address.ok_or(ConfigError::Field(key))
        };
        let all = root.get("peers_all").ok_or(ConfigError::Field("peers_all"))?;
        let peers = root.get("peers").ok_or(ConfigError::Field("peers"))?;
        let peers = peers.as_array().ok_or(ConfigError::Field("peers"))?;
        let peers = peers.iter().map(|peer| address(&peer, "peers")).collect::<Result<_, _>>()?;
        let (listen, all) = (address(&listen, "peer_listen")?, address(&all, "peers_all")?);
        Ok(Some(GossipAddresses { listen, peers, all }))
    }
}

/// Descriptors to count on where the configuration states no limit.
const SOCKETS: usize = 1024;

impl Config {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// Names the file or the field that cannot be used.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(path);
        Self::parse(&mut text.map_err(|error| ConfigError::File(path.display().to_string(), error))?)
    }

    /// Reads the JSON in `text`, which is used as scratch space.
    ///
    /// # Errors
    /// Names the field that cannot be used.
    pub fn parse(text: &mut [u8]) -> Result<Self, ConfigError> {
        let tape = simd_json::to_tape(text)?;
        let root = tape.as_value();
        let string = |key| root.get_str(key).ok_or(ConfigError::Field(key));
        let address = |key| string(key)?.parse().map_err(|_| ConfigError::Field(key));
        let seed = string("seed")?;
        let settings = root.get("settings").ok_or(ConfigError::Field("settings"))?;
        let mut settings = read_settings(&settings)?;
        // Where none are allowed, what it says of ways is nobody's business.
        let notes = if settings.gossip_allowed { GossipAddresses::read(&root)? } else { None };
        settings.gossip_allowed = notes.is_some();
        let known = root.get("known").map(|known| EndpointListUpdate::read(&known));
        Ok(Config {
            name: string("name")?.to_owned(),
            listen: address("listen")?,
            operator_listen: root.get("ops").map(|_| address("ops")).transpose()?,
            discovery: address("discovery")?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Field("seed"))?,
            descriptor_limit: root.get("limits").and_then(|l| l.get_usize("sockets")).unwrap_or(SOCKETS),
            gossip: notes,
            settings,
            known_endpoints: known.flatten().unwrap_or_default(),
        })
    }
}

/// The settings come nested here and as lines of `path=value` on the simulator's wire: flattened to those
/// lines, both go through one reader and one type.
fn read_settings(value: &Value) -> Result<Settings, SettingsError> {
    let mut lines = String::new();
    flatten("", value, &mut lines);
    lines.parse()
}

fn flatten(path: &str, value: &Value, lines: &mut String) {
    let join = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    if let Some(object) = value.as_object() {
        object.iter().for_each(|(key, value)| flatten(&join(key), &value, lines));
    } else if let Some(array) = value.as_array() {
        if array.iter().any(|item| item.is_object()) {
            let _ = writeln!(lines, "{}={}", join("count"), array.len());
            let items = array.iter().enumerate();
            items.for_each(|(i, item)| flatten(&join(&i.to_string()), &item, lines));
        } else {
            let items: Vec<String> = array.iter().filter_map(|item| plain(&item)).collect();
            let _ = writeln!(lines, "{path}={}", items.join(","));
        }
    } else if let Some(value) = plain(value) {
        let _ = writeln!(lines, "{path}={value}");
    }
}

/// A value as the wire writes it. Null stands for a key that is not there.
fn plain(value: &Value) -> Option<String> {
    if let Some(text) = value.as_str() {
        return Some(text.replace([' ', ',', '\n'], "_"));
    }
    if let Some(flag) = value.as_bool() {
        return Some(flag.to_string());
    }
    let whole = value.as_i128().map(|n| n.to_string());
    whole.or_else(|| value.as_f64().map(|n| n.to_string()))
}
