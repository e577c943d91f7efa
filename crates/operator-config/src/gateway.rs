//! The node `gateway`: the operators' names mapped to the settings of the gateway and its links.
//!
//! | node | settings |
//! | --- | --- |
//! | `site`, `listen`, `secret-file` | [`GatewaySettings`] |
//! | `peer` | [`PeerAddress`], [`PeerConfig`] |
//! | `room` | how much capacity is granted ([`Config`]) |
//! | `crossing` | which requests are forwarded ([`Config`]) |
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
const PERCENTAGE: &str = "a share such as \"25%\"";
const SIZE: &str = "a size such as \"64KiB\"";

const MOST_NAME_BYTES: usize = 128;
/// Peers at most: each is a link, and the sites of a group are all linked to each other.
const MOST_PEERS: usize = 64;
/// The bounds of the operator's numbers.
const MOST_OPEN: i128 = 4096;
const MOST_KEYS: i128 = 10_000_000;
const MOST_KEPT: i128 = 1_000_000;
const LEAST_TERM: Duration = Duration::from_millis(10);
const LEAST_PAUSE: Duration = Duration::from_millis(1);
const LEAST_FRAME_BYTES: usize = 1024;

/// What the file says of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// What this site calls itself to others.
    pub site: String,
    /// Where peers dial; without it this site accepts no requests of others.
    pub listen: Option<SocketAddr>,
    /// The file that holds the secret.
    pub secret: PathBuf,
    /// Where peers are dialled.
    pub peers: Vec<PeerAddress>,
    /// The settings of the decisions, the peers' among them.
    pub decisions: Config,
    /// The settings of the links.
    pub link: chutesaddle_site_link::Config,
}

/// Where a peer is.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddress {
    /// The name that it gives itself.
    pub name: String,
    /// Where it is dialled; without it nothing is forwarded to it.
    pub connect: Option<SocketAddr>,
}

pub(crate) fn read(node: &KdlNode, reader: &mut Reader) -> GatewaySettings {
    reader.no_argument(node);
    let names = ["site", "listen", "secret-file", "peer", "room", "crossing", "link"];
    let nodes = reader.children(node, &names);
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
    for peer in nodes.all("peer") {
        read_peer(peer, &mut settings, reader);
    }
    if settings.peers.is_empty() {
        reader.error(node.name().span(), "at least one peer in it", "none");
    }
    read_granting(&nodes, &mut settings.decisions, reader);
    read_forwarding(&nodes, &mut settings.decisions, reader);
    read_link(&nodes, &mut settings.link, reader);
    settings
}

fn read_peer(node: &KdlNode, settings: &mut GatewaySettings, reader: &mut Reader) {
    let nodes = reader.children(node, &["connect", "shares-keys", "most-open"]);
    let Some(value) = reader.argument(node, SITE_NAME) else { return };
    let Some(name) = reader.require(node, value, SITE_NAME, value.as_string().and_then(parse_name)) else {
        return;
    };
    if name == settings.site {
        return reader.error(node.span(), "the name of another site", "this one's own");
    }
    let is_listed_already = settings.peers.iter().any(|peer| peer.name == name);
    if is_listed_already || settings.peers.len() >= MOST_PEERS {
        let expected = format!("each peer once, {MOST_PEERS} at most");
        return reader.error(node.span(), expected, format!("{name:?}"));
    }
    let mut decisions = PeerConfig::new(name.clone());
    set_boolean(&nodes, "shares-keys", &mut decisions.shares_keys, reader);
    set_integer(&nodes, "most-open", &mut decisions.max_open_requests, 0..=MOST_OPEN, reader);
    let connect = read_address(&nodes, "connect", reader);
    settings.peers.push(PeerAddress { name, connect });
    settings.decisions.peers.push(decisions);
}

/// The node `room`: how much capacity is granted to peers.
fn read_granting(nodes: &Nodes, config: &mut Config, reader: &mut Reader) {
    let Some(node) = nodes.one("room", reader) else { return };
    let errors_before = reader.errors.len();
    reader.no_argument(node);
    let nodes = reader.children(node, &["open-at", "close-at", "reserve", "term", "settle"]);
    set_percentage(&nodes, "open-at", &mut config.open_at, reader);
    set_percentage(&nodes, "close-at", &mut config.close_at, reader);
    set_percentage(&nodes, "reserve", &mut config.reserved_fraction, reader);
    set_duration(&nodes, "term", &mut config.grant_term, reader);
    set_duration(&nodes, "settle", &mut config.settle_time, reader);
    if reader.errors.len() > errors_before {
        return; // the checks below would report the same values again
    }
    if config.close_at >= config.open_at {
        reader.error(node.span(), "a close-at below open-at", "one that leaves no gap");
    }
    if config.grant_term < LEAST_TERM {
        reader.error(node.span(), "a term of 10ms or more", format!("{:?}", config.grant_term));
    }
}

/// The node `crossing`: which requests are forwarded, and what is remembered of them.
fn read_forwarding(nodes: &Nodes, config: &mut Config, reader: &mut Reader) {
    let Some(node) = nodes.one("crossing", reader) else { return };
    reader.no_argument(node);
    let names = ["starve", "hold", "margin", "lead", "over-share", "most-keys", "most-kept", "kept-bytes"];
    let nodes = reader.children(node, &names);
    set_duration(&nodes, "starve", &mut config.starvation_time, reader);
    set_duration(&nodes, "hold", &mut config.shedding_hold, reader);
    set_duration(&nodes, "margin", &mut config.forwarding_margin, reader);
    set_duration(&nodes, "lead", &mut config.forwarding_lead, reader);
    set_boolean(&nodes, "over-share", &mut config.forward_over_quota, reader);
    set_integer(&nodes, "most-keys", &mut config.max_keys, 1..=MOST_KEYS, reader);
    set_integer(&nodes, "most-kept", &mut config.max_stored_outcomes, 1..=MOST_KEPT, reader);
    set_bytes(&nodes, "kept-bytes", &mut config.max_stored_bytes, reader);
}

fn read_link(nodes: &Nodes, config: &mut chutesaddle_site_link::Config, reader: &mut Reader) {
    let Some(node) = nodes.one("link", reader) else { return };
    let errors_before = reader.errors.len();
    reader.no_argument(node);
    let names = ["heartbeat", "silence", "greeting", "reconnect-first", "reconnect-most", "frame", "queue"];
    let nodes = reader.children(node, &names);
    set_duration(&nodes, "heartbeat", &mut config.heartbeat, reader);
    set_duration(&nodes, "silence", &mut config.silence_timeout, reader);
    set_duration(&nodes, "greeting", &mut config.handshake_timeout, reader);
    set_duration(&nodes, "reconnect-first", &mut config.reconnect.first, reader);
    set_duration(&nodes, "reconnect-most", &mut config.reconnect.longest, reader);
    set_bytes(&nodes, "frame", &mut config.most_frame_bytes, reader);
    set_bytes(&nodes, "queue", &mut config.most_queued_bytes, reader);
    if reader.errors.len() > errors_before {
        return; // the checks below would report the same values again
    }
    let silence = config.silence_timeout;
    if config.heartbeat < LEAST_PAUSE || silence < 2 * config.heartbeat {
        reader.error(node.span(), "a silence of two heartbeats or more", format!("{silence:?}"));
    }
    if config.reconnect.first < LEAST_PAUSE || config.reconnect.longest < config.reconnect.first {
        reader.error(node.span(), "a first wait of 1ms or more, and a longest one no shorter", "others");
    }
    if config.most_queued_bytes < config.most_frame_bytes || config.most_frame_bytes < LEAST_FRAME_BYTES {
        reader.error(node.span(), "a queue that holds a frame, of 1KiB or more", "a smaller one");
    }
}

/// The text of a node that must be there.
fn required_text(
    parent: &KdlNode,
    nodes: &Nodes,
    name: &str,
    expected: &str,
    reader: &mut Reader,
) -> Option<String> {
    let Some(node) = nodes.one(name, reader) else {
        reader.error(parent.name().span(), format!("{name:?} in it, {expected}"), "none");
        return None;
    };
    reader.text(node, expected, parse_name)
}

fn parse_name(text: &str) -> Option<String> {
    (!text.is_empty() && text.len() <= MOST_NAME_BYTES).then(|| text.to_owned())
}

fn read_address(nodes: &Nodes, name: &str, reader: &mut Reader) -> Option<SocketAddr> {
    let node = nodes.one(name, reader)?;
    reader.text(node, ADDRESS, |text| text.parse().ok())
}

/// Sets a duration if its node is there and can be read; else it keeps its default.
fn set_duration(nodes: &Nodes, name: &str, setting: &mut Duration, reader: &mut Reader) {
    let Some(node) = nodes.one(name, reader) else { return };
    if let Some(value) = reader.text(node, DURATION, duration) {
        *setting = value;
    }
}

fn set_percentage(nodes: &Nodes, name: &str, setting: &mut f64, reader: &mut Reader) {
    let Some(node) = nodes.one(name, reader) else { return };
    if let Some(value) = reader.text(node, PERCENTAGE, percentage) {
        *setting = value;
    }
}

fn set_bytes(nodes: &Nodes, name: &str, setting: &mut usize, reader: &mut Reader) {
    let Some(node) = nodes.one(name, reader) else { return };
    if let Some(value) = reader.text(node, SIZE, bytes) {
        *setting = value;
    }
}

fn set_boolean(nodes: &Nodes, name: &str, setting: &mut bool, reader: &mut Reader) {
    let Some(node) = nodes.one(name, reader) else { return };
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
    let Some(node) = nodes.one(name, reader) else { return };
    if let Some(value) = reader.integer(node, *bounds.start(), *bounds.end()) {
        *setting = value;
    }
}
