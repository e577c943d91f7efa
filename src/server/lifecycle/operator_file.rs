//! The operator's own file: read at the start and at SIGHUP.
//!
//! Its format and its mistakes are in the crate `operator-config`; this module adds the secret that the file names. It is apart
//! from the platform's configuration ([`crate::config`]): without it, all that it switches on is off.

use std::path::{Path, PathBuf};

use crate::server::peers::site_links::{read_secret, SecretError, SiteLinkSettings};

/// Why the operator's file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    File(PathBuf, #[source] std::io::Error),
    /// The file has mistakes, written one to a line.
    #[error("{0}")]
    Mistakes(#[from] chutesaddle_operator_config::ConfigErrors),
    /// The secret that the file names cannot be used.
    #[error(transparent)]
    Secret(#[from] SecretError),
}

/// Reads the operator's file, if one is named, and the secret that it names; `None`: nothing is switched on.
///
/// # Errors
/// Names the file, and each mistake with its line and column.
pub fn load_if_named(path: Option<&Path>) -> Result<Option<SiteLinkSettings>, OperatorFileError> {
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
