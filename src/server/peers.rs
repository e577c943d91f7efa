//! What schedulers and sites send each other.
//!
//! | question | file |
//! | --- | --- |
//! | gossip among the schedulers of one deployment (UDP) | [`gossip_transport`] |
//! | links to other sites (TCP): dialling, accepting, handshake, frames | [`site_links`] |
//! | the messages between those links and the engine | [`site_messages`] |
//!
//! Nothing here interprets what it carries. Gossip messages are written and read by the scheduling module, frames of
//! a site link by `crates/site-link`, and which request is forwarded to another site is decided by `crates/gateway`.

pub mod gossip_transport;
pub mod site_links;
pub mod site_messages;
