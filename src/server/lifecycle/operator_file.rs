//! Loads the operator's configuration file at startup and on SIGHUP.
//!
//! The crate `operator-config` parses and validates the file; this module also reads the secret file that it refers to.
//! The file is separate from the platform's configuration ([`crate::config`]). Without it, the features that it configures
//! are disabled.

use std::path::{Path, PathBuf};

use crate::server::peers::site_links::{read_secret, SecretError, SiteLinkSettings};

/// An error while loading the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    File(PathBuf, #[source] std::io::Error),
    /// The file is invalid. The message has one line for each error.
    #[error("{0}")]
    Invalid(#[from] chutesaddle_operator_config::ConfigErrors),
    /// The secret file cannot be used.
    #[error(transparent)]
    Secret(#[from] SecretError),
}

/// Loads the operator's file and its secret if a path is given. Returns `None` if there is no file or it does not configure
/// a gateway.
///
/// # Errors
/// Returns an error if a file cannot be read or is invalid. Validation errors give their line and column.
pub fn load_optional(path: Option<&Path>) -> Result<Option<SiteLinkSettings>, OperatorFileError> {
    match path {
        Some(path) => load(path),
        None => Ok(None),
    }
}

fn load(path: &Path) -> Result<Option<SiteLinkSettings>, OperatorFileError> {
    let text = std::fs::read_to_string(path).map_err(|error| OperatorFileError::File(path.into(), error))?;
    let file = chutesaddle_operator_config::read(&path.display().to_string(), &text)?;
    let Some(file) = file.gateway else { return Ok(None) };
    let secret = read_secret(&file.secret)?;
    Ok(Some(SiteLinkSettings { file, secret }))
}
