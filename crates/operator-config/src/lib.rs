//! Parses the operator's settings file (KDL) into typed settings, or reports every error in it.
//!
//! The platform's JSON configuration describes the scheduler and its deployment. This file enables optional features on
//! top of it. Start with [`read`]. Unknown nodes and properties are errors, because a misspelt name would otherwise
//! silently disable a feature. Values are written with their units (`"5ms"`, `"64KiB"`, `"25%"`).
//!
//! `gateway.rs` is the only place that maps node names to the settings of `chutesaddle-gateway` and
//! `chutesaddle-site-link`.
#![warn(missing_docs)]

mod error;
mod gateway;
pub mod reader;
mod units;

use kdl::{KdlDocument, KdlError};

pub use error::{ConfigError, ConfigErrors};
pub use gateway::{GatewaySettings, PeerAddress};
use reader::Reader;
pub use units::{duration, percentage};

/// The settings from the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Settings of the gateway to other sites, or `None` if the gateway is disabled.
    pub gateway: Option<GatewaySettings>,
}

/// Parses the text of a file. `name` is the file name in error messages.
///
/// # Errors
/// Returns all errors, sorted by their position in the file.
pub fn read(name: &str, text: &str) -> Result<OperatorConfig, ConfigErrors> {
    let document =
        KdlDocument::parse_v2(text).map_err(|error| ConfigErrors::new(name, text, syntax_errors(&error)))?;
    let mut reader = Reader::default();
    let nodes = reader.known_nodes(&document, &["gateway"]);
    let gateway = nodes.unique("gateway", &mut reader).map(|node| gateway::read(node, &mut reader));
    if !reader.errors.is_empty() {
        return Err(ConfigErrors::new(name, text, reader.errors));
    }
    Ok(OperatorConfig { gateway })
}

fn syntax_errors(error: &KdlError) -> Vec<ConfigError> {
    let to_error = |found: &kdl::KdlDiagnostic| {
        let message = found.message.clone().unwrap_or_else(|| "a KDL document".to_owned());
        let help = found.help.clone().unwrap_or_default();
        ConfigError::new(found.span, "well-formed KDL", format!("{message} {help}").trim())
    };
    error.diagnostics.iter().map(to_error).collect()
}
