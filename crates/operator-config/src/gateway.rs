//! The node `gateway`: maps node names to the settings of the gateway and its links.
//!
//! | node | settings |
//! | --- | --- |
//! | `site`, `listen`, `secret-file` | [`GatewaySettings`] |
//! | `peer` | [`PeerAddress`], [`PeerConfig`] |
//! | `room` | capacity granted to peers ([`Config`]) |
//! | `crossing` | forwarding of requests ([`Config`]) |
//! | `link` | [`chutesaddle_site_link::Config`] |

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use chutesaddle_gateway::{Config, PeerConfig};
use kdl::KdlNode;

use crate::reader::{Nodes, Reader};
use crate::units::{bytes, duration, percentage};

const ADDRESS: &str = "an address such as \"10.0.0.4:7400\"";
const SITE_NAME: &str = "a site's name of 1 to 128 characters";
const DURATION: &str = "a duration such as \"5ms\" or \"1.5s\"";
const PERCENTAGE: &str = "a percentage such as \"25%\"";
const SIZE: &str = "a size such as \"64KiB\"";

/// Maximum length of a site name, as in the handshake of the link.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of peers. Each needs a link, and all sites of a group are linked to each other.
const MAX_PEERS: usize = 64;
/// Bounds of the values in the file.
const MAX_OPEN_REQUESTS: i128 = 4096;
const MAX_KEYS: i128 = 10_000_000;
const MAX_KEPT_RESULTS: i128 = 1_000_000;
const MIN_TERM: Duration = Duration::from_millis(10);
const MIN_INTERVAL: Duration = Duration::from_millis(1);
const MIN_FRAME_BYTES: usize = 1024;

/// The settings of the gateway and its links.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of this site, sent to peers.
    pub site: String,
    /// Address on which links from peers are accepted. Without it this site accepts no requests of other sites.
    pub listen: Option<SocketAddr>,
    /// Path of the file with the shared secret.
    pub secret: PathBuf,
    /// The peers and their addresses.
    pub peers: Vec<PeerAddress>,
    /// Settings of granting and forwarding, including those of each peer.
    pub decisions: Config,
    /// Settings of the links.
    pub link: chutesaddle_site_link::Config,
}

/// A peer and its address.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddress {
    /// Name of the peer's site.
    pub name: String,
    /// Address to dial. Without it no requests are forwarded to the peer.
    pub connect: Option<SocketAddr>,
}

pub(crate) fn read(node: &KdlNode, reader: &mut Reader) -> GatewaySettings {
    reader.reject_arguments(node);
    let names = ["site", "listen", "secret-file", "peer", "room", "crossing", "link"];
    let nodes = reader.known_children(node, &names);
    let mut settings = GatewaySettings {
        site: required_text(node, &nodes, "site", SITE_NAME, reader).unwrap_or_default(),
        secret: required_text(node, &nodes, "secret-file", "the path of a file", reader)
            .map(PathBuf::from)
            .unwrap_or_default(),
        listen: read_address(&nodes, "listen", reader),
        peers: Vec::new(),
        decisions: Config::default(),
        link: chutesaddle_site_link::Config::default(),
    };
    for peer in nodes.named("peer") {
        read_peer(peer, &mut settings, reader);
    }
    if settings.peers.is_empty() {
        reader.error(node.name().span(), "at least one \"peer\" node", "none");
    }
    read_granting(&nodes, &mut settings.decisions, reader);
    read_forwarding(&nodes, &mut settings.decisions, reader);
    read_link(&nodes, &mut settings.link, reader);
    settings
}

fn read_peer(node: &KdlNode, settings: &mut GatewaySettings, reader: &mut Reader) {
    let nodes = reader.known_children(node, &["connect", "shares-keys", "most-open"]);
    let Some(value) = reader.argument(node, SITE_NAME) else { return };
    let Some(name) = reader.require(node, value, SITE_NAME, value.as_string().and_then(parse_name)) else {
        return;
    };
    if name == settings.site {
        return reader.error(
            node.span(),
            "the name of another site",
            format!("this site's own name {name:?}"),
        );
    }
    let is_duplicate = settings.peers.iter().any(|peer| peer.name == name);
    if is_duplicate || settings.peers.len() >= MAX_PEERS {
        let expected = format!("each peer once, at most {MAX_PEERS} peers");
        return reader.error(node.span(), expected, format!("{name:?}"));
    }
    let mut decisions = PeerConfig::new(name.clone());
    set_boolean(&nodes, "shares-keys", &mut decisions.shares_keys, reader);
    set_integer(&nodes, "most-open", &mut decisions.max_open_requests, 0..=MAX_OPEN_REQUESTS, reader);
    let connect = read_address(&nodes, "connect", reader);
    settings.peers.push(PeerAddress { name, connect });
    settings.decisions.peers.push(decisions);
}

/// The node `room`: capacity granted to peers.
fn read_granting(nodes: &Nodes, config: &mut Config, reader: &mut Reader) {
    let Some(node) = nodes.unique("room", reader) else { return };
    let errors_before = reader.errors.len();
    reader.reject_arguments(node);
    let nodes = reader.known_children(node, &["open-at", "close-at", "reserve", "term", "settle"]);
    set_percentage(&nodes, "open-at", &mut config.open_at, reader);
    set_percentage(&nodes, "close-at", &mut config.close_at, reader);
    set_percentage(&nodes, "reserve", &mut config.reserved_fraction, reader);
    set_duration(&nodes, "term", &mut config.grant_term, reader);
    set_duration(&nodes, "settle", &mut config.settle_time, reader);
    if reader.errors.len() > errors_before {
        return; // avoids follow-on errors for values that were already reported
    }
    let Config { close_at, open_at, .. } = *config;
    if close_at >= open_at {
        reader.error(
            node.span(),
            "a close-at below open-at",
            format!("close-at {close_at}, open-at {open_at}"),
        );
    }
    if config.grant_term < MIN_TERM {
        reader.error(node.span(), "a term of 10ms or more", format!("{:?}", config.grant_term));
    }
}

/// The node `crossing`: forwarding of requests, and what is retained about them.
fn read_forwarding(nodes: &Nodes, config: &mut Config, reader: &mut Reader) {
    let Some(node) = nodes.unique("crossing", reader) else { return };
    reader.reject_arguments(node);
    let names = ["starve", "hold", "margin", "lead", "over-share", "most-keys", "most-kept", "kept-bytes"];
    let nodes = reader.known_children(node, &names);
    set_duration(&nodes, "starve", &mut config.starvation_time, reader);
    set_duration(&nodes, "hold", &mut config.shedding_hold, reader);
    set_duration(&nodes, "margin", &mut config.forwarding_margin, reader);
    set_duration(&nodes, "lead", &mut config.forwarding_lead, reader);
    set_boolean(&nodes, "over-share", &mut config.forward_over_quota, reader);
    set_integer(&nodes, "most-keys", &mut config.max_keys, 1..=MAX_KEYS, reader);
    set_integer(&nodes, "most-kept", &mut config.max_stored_outcomes, 1..=MAX_KEPT_RESULTS, reader);
    set_bytes(&nodes, "kept-bytes", &mut config.max_stored_bytes, reader);
}

fn read_link(nodes: &Nodes, config: &mut chutesaddle_site_link::Config, reader: &mut Reader) {
    let Some(node) = nodes.unique("link", reader) else { return };
    let errors_before = reader.errors.len();
    reader.reject_arguments(node);
    let names = ["heartbeat", "silence", "greeting", "reconnect-first", "reconnect-most", "frame", "queue"];
    let nodes = reader.known_children(node, &names);
    set_duration(&nodes, "heartbeat", &mut config.heartbeat, reader);
    set_duration(&nodes, "silence", &mut config.silence_timeout, reader);
    set_duration(&nodes, "greeting", &mut config.handshake_timeout, reader);
    set_duration(&nodes, "reconnect-first", &mut config.reconnect.first, reader);
    set_duration(&nodes, "reconnect-most", &mut config.reconnect.longest, reader);
    set_bytes(&nodes, "frame", &mut config.max_frame_bytes, reader);
    set_bytes(&nodes, "queue", &mut config.max_queued_bytes, reader);
    if reader.errors.len() > errors_before {
        return; // avoids follow-on errors for values that were already reported
    }
    let silence = config.silence_timeout;
    if config.heartbeat < MIN_INTERVAL || silence < 2 * config.heartbeat {
        reader.error(
            node.span(),
            "a silence of two heartbeats or more, and a heartbeat of 1ms or more",
            format!("silence {silence:?}, heartbeat {:?}", config.heartbeat),
        );
    }
    if config.reconnect.first < MIN_INTERVAL || config.reconnect.longest < config.reconnect.first {
        reader.error(
            node.span(),
            "a reconnect-first of 1ms or more, and a reconnect-most no shorter",
            format!(
                "reconnect-first {:?}, reconnect-most {:?}",
                config.reconnect.first, config.reconnect.longest
            ),
        );
    }
    if config.max_queued_bytes < config.max_frame_bytes || config.max_frame_bytes < MIN_FRAME_BYTES {
        reader.error(
            node.span(),
            "a frame of 1KiB or more, and a queue no smaller",
            format!("frame {}B, queue {}B", config.max_frame_bytes, config.max_queued_bytes),
        );
    }
}

/// Reads the string argument of a mandatory node.
fn required_text(
    parent: &KdlNode,
    nodes: &Nodes,
    name: &str,
    expected: &str,
    reader: &mut Reader,
) -> Option<String> {
    let Some(node) = nodes.unique(name, reader) else {
        reader.error(parent.name().span(), format!("a {name:?} node with {expected}"), "none");
        return None;
    };
    reader.text(node, expected, parse_name)
}

fn parse_name(text: &str) -> Option<String> {
    (!text.is_empty() && text.len() <= MAX_NAME_BYTES).then(|| text.to_owned())
}

fn read_address(nodes: &Nodes, name: &str, reader: &mut Reader) -> Option<SocketAddr> {
    let node = nodes.unique(name, reader)?;
    reader.text(node, ADDRESS, |text| text.parse().ok())
}

/// Sets a duration if its node is present and valid. Otherwise the setting keeps its default.
fn set_duration(nodes: &Nodes, name: &str, setting: &mut Duration, reader: &mut Reader) {
    let Some(node) = nodes.unique(name, reader) else { return };
    if let Some(value) = reader.text(node, DURATION, duration) {
        *setting = value;
    }
}

fn set_percentage(nodes: &Nodes, name: &str, setting: &mut f64, reader: &mut Reader) {
    let Some(node) = nodes.unique(name, reader) else { return };
    if let Some(value) = reader.text(node, PERCENTAGE, percentage) {
        *setting = value;
    }
}

fn set_bytes(nodes: &Nodes, name: &str, setting: &mut usize, reader: &mut Reader) {
    let Some(node) = nodes.unique(name, reader) else { return };
    if let Some(value) = reader.text(node, SIZE, bytes) {
        *setting = value;
    }
}

fn set_boolean(nodes: &Nodes, name: &str, setting: &mut bool, reader: &mut Reader) {
    let Some(node) = nodes.unique(name, reader) else { return };
    if let Some(value) = reader.boolean(node) {
        *setting = value;
    }
}

fn set_integer(
    nodes: &Nodes,
    name: &str,
    setting: &mut usize,
    bounds: std::ops::RangeInclusive<i128>,
    reader: &mut Reader,
) {
    let Some(node) = nodes.unique(name, reader) else { return };
    if let Some(value) = reader.integer(node, *bounds.start(), *bounds.end()) {
        *setting = value;
    }
}
