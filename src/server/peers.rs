//! What schedulers and sites send each other: gossip among the schedulers of a deployment, and links to other sites.

pub mod gossip_transport;
pub mod site_links;
pub mod site_messages;
