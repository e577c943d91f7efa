//! Configuration of a scheduler, as provided by the platform: addresses, limits, the known endpoint list and
//! the deployment's settings.
//!
//! Each module has a table that maps the external field names of one format to the terms used in this project,
//! so that no other module depends on the external names:
//!
//! - `platform_file`: the JSON file that the platform writes before a start or a reload, parsed into [`Config`].
//! - [`settings`]: the deployment's settings as `path=value` lines. `flatten` converts the nested settings of the
//!   platform file to this format.
//! - [`endpoint_list`]: the list of workers in the format of discovery.
//! - [`names`]: comparison of names from elsewhere with those in the settings.
//!
//! This module only parses: it opens no sockets and applies nothing. See `src/cli/serve.rs` for startup and
//! `src/server/lifecycle/reload.rs` for reloads of a running process.

pub mod endpoint_list;
mod flatten;
pub mod names;
mod platform_file;
pub mod settings;

pub use platform_file::{Config, ConfigError, GossipAddresses, ProcessLimits};
