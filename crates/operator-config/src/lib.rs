//! The operator's own settings file: KDL in, typed settings or a report of every error out.
//!
//! The platform's JSON says where a scheduler is and what its deployment is like; this file says what the operators
//! have switched on beyond that. Begin with [`read`]. A node or property that is not known is an error, as a
//! misspelt name would otherwise switch something off without a word. Units are written out (`"5ms"`, `"64KiB"`,
//! `"25%"`).
//!
//! The operators' names for the settings of `chutesaddle-gateway` and `chutesaddle-site-link` are mapped in
//! `gateway.rs`, and only there.
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

/// All that the file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// The gateway to other sites, if there is to be one.
    pub gateway: Option<GatewaySettings>,
}

/// Reads the text of a file; `name` is what its errors call it.
///
/// # Errors
/// All errors of the file, in its order.
pub fn read(name: &str, text: &str) -> Result<OperatorConfig, ConfigErrors> {
    let document =
        KdlDocument::parse_v2(text).map_err(|error| ConfigErrors::new(name, text, syntax_errors(&error)))?;
    let mut reader = Reader::default();
    let nodes = reader.nodes(&document, &["gateway"]);
    let gateway = nodes.one("gateway", &mut reader).map(|node| gateway::read(node, &mut reader));
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
