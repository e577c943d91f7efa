//! The operator's own settings file: KDL in, typed settings or a report of every mistake out.
//!
//! The platform's JSON says where a scheduler is and what its deployment is like; this file says what the
//! operators have switched on beyond that. Begin with [`read`]. Every node and property has its place here: one
//! that has not is a mistake, as a misspelt name would otherwise switch something off without a word. Units are
//! written out (`"5ms"`, `"64KiB"`, `"25%"`).
#![warn(missing_docs)]

mod gateway;
mod mistake;
pub mod reader;
mod units;

use kdl::KdlDocument;

pub use gateway::{GatewayFile, PeerFile};
pub use mistake::{Mistake, Mistakes};
use reader::Reader;
pub use units::{duration, share};

/// All that the file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// The gateway to other sites, if there is to be one.
    pub gateway: Option<GatewayFile>,
}

/// Reads the text of a file; `name` is what mistakes call it.
///
/// # Errors
/// All mistakes of the file, in its order.
pub fn read(name: &str, text: &str) -> Result<Operator, Mistakes> {
    let document: KdlDocument = match KdlDocument::parse_v2(text) {
        Ok(document) => document,
        Err(error) => {
            let mistakes = error.diagnostics.iter().map(|found| {
                let what = found.message.clone().unwrap_or_else(|| "a KDL document".to_owned());
                let help = found.help.clone().unwrap_or_default();
                Mistake::new(found.span, "well-formed KDL", format!("{what} {help}").trim())
            });
            return Err(Mistakes::new(name, text, mistakes.collect()));
        }
    };
    let mut reader = Reader::default();
    let nodes = reader.nodes(&document, &["gateway"]);
    let operator =
        Operator { gateway: nodes.one("gateway", &mut reader).map(|n| gateway::read(n, &mut reader)) };
    match reader.mistakes {
        mistakes if mistakes.is_empty() => Ok(operator),
        mistakes => Err(Mistakes::new(name, text, mistakes)),
    }
}
