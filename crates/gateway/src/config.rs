//! Gateway settings, with their units and defaults. `crates/operator-config` maps the names in the operator's
//! file to these fields.

use std::time::Duration;

/// Settings of one peer site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerConfig {
    /// The name that the peer sends in its handshake.
    pub name: String,
    /// Whether the workers of both sites deduplicate requests by idempotency key across the two sites.
    /// Default: false. If false, a key never runs at both sites.
    pub shares_keys: bool,
    /// Maximum number of requests forwarded to this peer that are open at once. Default 64, which limits how
    /// many clients a broken link leaves without a known outcome.
    pub max_open_requests: usize,
}

impl PeerConfig {
    /// Creates a peer with default settings.
    pub fn new(name: impl Into<String>) -> Self {
        PeerConfig { name: name.into(), shares_keys: false, max_open_requests: 64 }
    }
}

/// Settings of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The peers. A peer removed from the list keeps its open requests and receives no new ones.
    pub peers: Vec<PeerConfig>,
    /// How long granted capacity may be used. Default 400 ms, which is two heartbeats: nothing is forwarded
    /// to a peer that has been silent for longer.
    pub grant_term: Duration,
    /// The site starts to grant capacity when at least this fraction of its slots is spare. Default 0.25.
    pub open_at: f64,
    /// The site stops granting capacity when less than this fraction of its slots is spare. Default 0.1. The
    /// gap to `open_at` keeps a site from alternating between granting and withdrawing.
    pub close_at: f64,
    /// Fraction of the slots that is never granted, reserved for the site's own requests. Default 0.1.
    pub reserved_fraction: f64,
    /// How long the spare fraction must stay at or above `open_at` before the site grants capacity. Default
    /// 200 ms, which is longer than a lull between two bursts.
    pub settle_time: Duration,
    /// How long a site must have no free slot before it forwards requests. Default 20 ms, so that a slot that
    /// is about to be released does not cause forwarding.
    pub starvation_time: Duration,
    /// How long a site grants no capacity after it last forwarded a request. Default 1 s, which is longer
    /// than a round trip plus a request, so that two sites never pass requests back and forth.
    pub shedding_hold: Duration,
    /// Time that forwarding costs in addition to the round trip. Default 15 ms, which is one round of the
    /// remote scheduler.
    pub forwarding_margin: Duration,
    /// A waiting request may be forwarded when the time left before it must start exceeds the cost of
    /// forwarding by no more than this, or earlier if the backlog is longer than the request can wait.
    /// Default 60 ms, which is a few rounds of the local scheduler, each of which may place the request here.
    pub forwarding_lead: Duration,
    /// Whether requests over their tenant's quota may be forwarded. Default: false, because such requests are
    /// worth less than forwarding costs.
    pub forward_over_quota: bool,
    /// Maximum number of outcomes stored for their senders. Default 4,096.
    pub max_stored_outcomes: usize,
    /// Maximum total size, in bytes, of the results stored for their senders. Default 16 MiB.
    pub max_stored_bytes: usize,
    /// Maximum number of idempotency keys stored. Default 65,536. When the store is full, no request with a
    /// key that is not stored is forwarded for one deduplication window.
    pub max_keys: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            peers: Vec::new(),
            grant_term: Duration::from_millis(400),
            open_at: 0.25,
            close_at: 0.1,
            reserved_fraction: 0.1,
            settle_time: Duration::from_millis(200),
            starvation_time: Duration::from_millis(20),
            shedding_hold: Duration::from_secs(1),
            forwarding_margin: Duration::from_millis(15),
            forwarding_lead: Duration::from_millis(60),
            forward_over_quota: false,
            max_stored_outcomes: 4096,
            max_stored_bytes: 16 * 1024 * 1024,
            max_keys: 65_536,
        }
    }
}
