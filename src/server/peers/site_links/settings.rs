//! The operator's settings of the site links, with the secret.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use chutesaddle_gateway::Incarnation;
use chutesaddle_operator_config::GatewaySettings;
use chutesaddle_site_link::Secret;

/// An error while loading the secret.
#[derive(Debug, thiserror::Error)]
pub enum SecretError {
    /// The file cannot be read.
    #[error("cannot read gateway secret file {path:?}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The secret is too short.
    #[error("gateway secret in {path:?} is shorter than {min_bytes} bytes", min_bytes = Secret::LEAST_BYTES)]
    TooShort {
        /// The file.
        path: PathBuf,
    },
}

/// The gateway section of the operator's file and the secret from its `secret-file`.
#[derive(Clone)]
pub struct SiteLinkSettings {
    /// The settings in the file.
    pub file: GatewaySettings,
    /// The secret.
    pub secret: Secret,
}

/// Reads the secret. Trailing ASCII whitespace is removed, because editors append a newline.
///
/// # Errors
/// Returns an error if the file cannot be read or the secret is too short.
pub fn read_secret(path: &Path) -> Result<Secret, SecretError> {
    let read = std::fs::read(path);
    let mut bytes = read.map_err(|source| SecretError::Unreadable { path: path.into(), source })?;
    while bytes.last().is_some_and(u8::is_ascii_whitespace) {
        bytes.pop();
    }
    Secret::new(bytes).ok_or_else(|| SecretError::TooShort { path: path.into() })
}

/// Creates the incarnation number of this process, derived from the wall clock. A later process has a greater number
/// unless the clock is set back.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}
