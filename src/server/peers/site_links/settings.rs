//! What the operator configures for the links, with the secret that it names.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use chutesaddle_gateway::Incarnation;
use chutesaddle_operator_config::GatewaySettings;
use chutesaddle_site_link::Secret;

/// Why the secret cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SecretError {
    /// It cannot be read.
    #[error("the gateway's secret {path:?} cannot be read: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// It is too short.
    #[error("the gateway's secret {path:?} has under {least} bytes", least = Secret::MIN_BYTES)]
    TooShort {
        /// The file.
        path: PathBuf,
    },
}

/// The operator's file and the secret that its `secret-file` holds.
#[derive(Clone)]
pub struct SiteLinkSettings {
    /// The file.
    pub file: GatewaySettings,
    /// The secret.
    pub secret: Secret,
}

/// Reads the secret, without the line end that an editor leaves.
///
/// # Errors
/// If it cannot be read or is too short.
pub fn read_secret(path: &Path) -> Result<Secret, SecretError> {
    let read = std::fs::read(path);
    let mut bytes = read.map_err(|source| SecretError::Unreadable { path: path.into(), source })?;
    while bytes.last().is_some_and(u8::is_ascii_whitespace) {
        bytes.pop();
    }
    Secret::new(bytes).ok_or_else(|| SecretError::TooShort { path: path.into() })
}

/// A number for this incarnation of the process. A later one has a greater number, as far as the clock does not go
/// back.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}
