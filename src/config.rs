//! What the platform says to a scheduler: addresses, limits, the known endpoint list and the deployment's settings.
//!
//! Each module maps the field names of one format to our terms, in one table, so that no other module knows the names on
//! the wire:
//!
//! - `platform_file`: the JSON file that the platform writes before a start or a reload; [`Config`] is what it says.
//! - [`settings`]: the deployment's settings as lines of `path=value`; `flatten` turns the file's nested ones into these.
//! - [`endpoint_list`]: the list of workers as discovery writes it.
//!
//! Nothing here opens a socket or acts on what it reads. See `src/cli/serve.rs` for the start and
//! `src/server/lifecycle/reload.rs` for changes while the process runs.

pub mod endpoint_list;
mod flatten;
mod platform_file;
pub mod settings;

pub use platform_file::{Config, ConfigError, GossipAddresses};
