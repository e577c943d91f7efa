//! Network communication with other schedulers and other sites.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`gossip_transport`] | gossip between the schedulers of one deployment (UDP) |
//! | [`site_links`] | links to other sites (TCP): dialling, accepting, handshake, frames |
//! | [`site_messages`] | messages between the site links and the engine |
//!
//! These modules only transport messages. The scheduling module encodes and decodes gossip messages, `crates/site-link`
//! the frames of site links. `crates/gateway` decides which requests are forwarded to another site.

pub mod gossip_transport;
pub mod site_links;
pub mod site_messages;
