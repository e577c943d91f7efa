//! The node `gateway`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use chutesaddle_gateway::{Config, PeerConfig};
use kdl::KdlNode;

use crate::reader::{Nodes, Reader};
use crate::units::{bytes, duration, share};

/// What the file says of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayFile {
    /// What this site calls itself to others.
    pub site: String,
    /// Where peers dial; without it this site takes nothing in.
    pub listen: Option<SocketAddr>,
    /// The file that holds the secret.
    pub secret: PathBuf,
    /// Where peers are dialled.
    pub peers: Vec<PeerFile>,
    /// The knobs of the decisions, the peers' among them.
    pub decisions: Config,
    /// The knobs of the links.
    pub link: chutesaddle_site_link::Config,
}

/// Where a peer is.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerFile {
    /// The name that it gives itself.
    pub name: String,
    /// Where it is dialled; without it nothing is sent there.
    pub connect: Option<SocketAddr>,
}

const ADDRESS: &str = "an address such as \"10.0.0.4:7400\"";
const NAME: &str = "a site's name of 1 to 128 characters";
const TIME: &str = "a duration such as \"5ms\" or \"1.5s\"";
const SHARE: &str = "a share such as \"25%\"";
const SIZE: &str = "a size such as \"64KiB\"";
/// Peers at most: each is a link, and a group is a mesh.
const MOST_PEERS: usize = 64;

fn name(text: &str) -> Option<String> {
    (!text.is_empty() && text.len() <= 128).then(|| text.to_owned())
}

/// Sets `place` to what the node says, if it is there and makes sense.
fn set<T>(place: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *place = value;
    }
}

fn time(nodes: &Nodes, name: &str, place: &mut Duration, reader: &mut Reader) {
    set(place, nodes.one(name, reader).and_then(|node| reader.text(node, TIME, duration)));
}

fn part(nodes: &Nodes, name: &str, place: &mut f64, reader: &mut Reader) {
    set(place, nodes.one(name, reader).and_then(|node| reader.text(node, SHARE, share)));
}

fn size(nodes: &Nodes, name: &str, place: &mut usize, reader: &mut Reader) {
    set(place, nodes.one(name, reader).and_then(|node| reader.text(node, SIZE, bytes)));
}

pub(crate) fn read(node: &KdlNode, reader: &mut Reader) -> GatewayFile {
    reader.bare(node);
    let names = ["site", "listen", "secret-file", "peer", "room", "crossing", "link"];
    let nodes = reader.children(node, &names);
    let needed = |key: &str, expected: &str, reader: &mut Reader| {
        let found = nodes.one(key, reader);
        if found.is_none() {
            reader.mistake(node.name().span(), format!("{key:?} in it, {expected}"), "none");
        }
        found.and_then(|node| reader.text(node, expected, name))
    };
    let site = needed("site", NAME, reader).unwrap_or_default();
    let secret = needed("secret-file", "the path of a file", reader).map(PathBuf::from).unwrap_or_default();
    let listen = nodes.one("listen", reader).and_then(|n| reader.text(n, ADDRESS, |t| t.parse().ok()));
    let mut file = GatewayFile {
        site,
        listen,
        secret,
        peers: Vec::new(),
        decisions: Config::default(),
        link: chutesaddle_site_link::Config::default(),
    };
    for node in nodes.all("peer") {
        peer(node, &mut file, reader);
    }
    if file.peers.is_empty() {
        reader.mistake(node.name().span(), "at least one peer in it", "none");
    }
    room(&nodes, &mut file.decisions, reader);
    crossing(&nodes, &mut file.decisions, reader);
    link(&nodes, &mut file.link, reader);
    file
}

fn peer(node: &KdlNode, file: &mut GatewayFile, reader: &mut Reader) {
    let nodes = reader.children(node, &["connect", "shares-keys", "most-open"]);
    let Some(value) = reader.first(node, NAME) else { return };
    let Some(called) = reader.take(node, value, NAME, value.as_string().and_then(name)) else { return };
    if called == file.site {
        return reader.mistake(node.span(), "the name of another site", "this one's own");
    }
    if file.peers.len() >= MOST_PEERS || file.peers.iter().any(|peer| peer.name == called) {
        let expected = format!("each peer once, {MOST_PEERS} at most");
        return reader.mistake(node.span(), expected, format!("{called:?}"));
    }
    let mut decisions = PeerConfig::new(called.clone());
    set(&mut decisions.shares_keys, nodes.one("shares-keys", reader).and_then(|n| reader.flag(n)));
    set(&mut decisions.most_open, nodes.one("most-open", reader).and_then(|n| reader.whole(n, 0, 4096)));
    let connect = nodes.one("connect", reader).and_then(|n| reader.text(n, ADDRESS, |t| t.parse().ok()));
    file.peers.push(PeerFile { name: called, connect });
    file.decisions.peers.push(decisions);
}

fn room(nodes: &Nodes, config: &mut Config, reader: &mut Reader) {
    let Some(node) = nodes.one("room", reader) else { return };
    let before = reader.mistakes.len();
    reader.bare(node);
    let nodes = reader.children(node, &["open-at", "close-at", "reserve", "term", "settle"]);
    part(&nodes, "open-at", &mut config.open_at, reader);
    part(&nodes, "close-at", &mut config.close_at, reader);
    part(&nodes, "reserve", &mut config.reserve, reader);
    time(&nodes, "term", &mut config.term, reader);
    time(&nodes, "settle", &mut config.settle, reader);
    if reader.mistakes.len() > before {
        return; // what follows would only repeat it
    }
    if config.close_at >= config.open_at {
        reader.mistake(node.span(), "a close-at below open-at", "one that leaves no gap");
    }
    if config.term < Duration::from_millis(10) {
        reader.mistake(node.span(), "a term of 10ms or more", format!("{:?}", config.term));
    }
}

fn crossing(nodes: &Nodes, config: &mut Config, reader: &mut Reader) {
    let Some(node) = nodes.one("crossing", reader) else { return };
    reader.bare(node);
    let names = ["starve", "hold", "margin", "lead", "over-share", "most-keys", "most-kept", "kept-bytes"];
    let nodes = reader.children(node, &names);
    time(&nodes, "starve", &mut config.starve, reader);
    time(&nodes, "hold", &mut config.shed_hold, reader);
    time(&nodes, "margin", &mut config.margin, reader);
    time(&nodes, "lead", &mut config.lead, reader);
    set(&mut config.over_share, nodes.one("over-share", reader).and_then(|n| reader.flag(n)));
    set(&mut config.most_keys, nodes.one("most-keys", reader).and_then(|n| reader.whole(n, 1, 10_000_000)));
    set(&mut config.most_kept, nodes.one("most-kept", reader).and_then(|n| reader.whole(n, 1, 1_000_000)));
    size(&nodes, "kept-bytes", &mut config.most_kept_bytes, reader);
}

fn link(nodes: &Nodes, config: &mut chutesaddle_site_link::Config, reader: &mut Reader) {
    let Some(node) = nodes.one("link", reader) else { return };
    let before = reader.mistakes.len();
    reader.bare(node);
    let names = ["heartbeat", "silence", "greeting", "reconnect-first", "reconnect-most", "frame", "queue"];
    let nodes = reader.children(node, &names);
    time(&nodes, "heartbeat", &mut config.heartbeat, reader);
    time(&nodes, "silence", &mut config.silence_timeout, reader);
    time(&nodes, "greeting", &mut config.handshake_timeout, reader);
    time(&nodes, "reconnect-first", &mut config.reconnect.first, reader);
    time(&nodes, "reconnect-most", &mut config.reconnect.longest, reader);
    size(&nodes, "frame", &mut config.most_frame_bytes, reader);
    size(&nodes, "queue", &mut config.most_queued_bytes, reader);
    if reader.mistakes.len() > before {
        return;
    }
    if config.heartbeat < Duration::from_millis(1) || config.silence_timeout < 2 * config.heartbeat {
        reader.mistake(
            node.span(),
            "a silence of two heartbeats or more",
            format!("{:?}", config.silence_timeout),
        );
    }
    if config.reconnect.first < Duration::from_millis(1) || config.reconnect.longest < config.reconnect.first
    {
        reader.mistake(node.span(), "a first wait of 1ms or more, and a longest one no shorter", "others");
    }
    if config.most_queued_bytes < config.most_frame_bytes || config.most_frame_bytes < 1024 {
        reader.mistake(node.span(), "a queue that holds a frame, of 1KiB or more", "a smaller one");
    }
}
