//! The settings of the gateway. Each has its unit, its default and the reason for it. The operator's names for
//! them are mapped in `crates/operator-config`.

use std::time::Duration;

/// A peer site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerConfig {
    /// Its name, as it gives it in its handshake.
    pub name: String,
    /// Whether the workers of both sites drop each other's repeats of an idempotency key. Default: no. Where it is
    /// not so, a key never runs at both.
    pub shares_keys: bool,
    /// Requests forwarded to it that may be open at once. Default 64: a link that breaks leaves no more clients
    /// than this in doubt.
    pub max_open_requests: usize,
}

impl PeerConfig {
    /// A peer with the defaults.
    pub fn new(name: impl Into<String>) -> Self {
        PeerConfig { name: name.into(), shares_keys: false, max_open_requests: 64 }
    }
}

/// All settings of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The peers. One that is left out keeps its open requests and gets no new ones.
    pub peers: Vec<PeerConfig>,
    /// How long granted capacity may be used. Default 400 ms: two heartbeats, so that nothing is forwarded to a
    /// peer that has been silent for longer.
    pub grant_term: Duration,
    /// Capacity is granted once this fraction of the slots is spare. Default 0.25.
    pub open_at: f64,
    /// Nothing is granted any more once less than this fraction is spare. Default 0.1; the gap to `open_at` keeps
    /// a site from granting and withdrawing by turns.
    pub close_at: f64,
    /// Fraction of the slots that is kept back from grants for the site's own requests. Default 0.1.
    pub reserved_fraction: f64,
    /// How long a site must have had that much spare before it grants. Default 200 ms: longer than a lull between
    /// two bursts.
    pub settle_time: Duration,
    /// How long a site must have had no free slot before it forwards. Default 20 ms: a slot that is just being
    /// released is no reason.
    pub starvation_time: Duration,
    /// How long a site grants nothing after it last forwarded a request. Default 1 s: longer than a round trip and
    /// a request, so that two sites never pass requests back and forth.
    pub shedding_hold: Duration,
    /// Time that forwarding costs beside the round trip. Default 15 ms: a round of the scheduler there.
    pub forwarding_margin: Duration,
    /// A waiting request is forwarded when it has no more time than this beyond what forwarding costs, or earlier
    /// when the backlog takes longer than it can wait. Default 60 ms: a few rounds of the scheduler, each of which
    /// may place it here.
    pub forwarding_lead: Duration,
    /// Whether requests beyond a tenant's quota may be forwarded. Default: no, they are worth less than it costs.
    pub forward_over_quota: bool,
    /// Outcomes kept for their senders, at most. Default 4,096.
    pub max_stored_outcomes: usize,
    /// Bytes of the results kept for their senders, at most. Default 16 MiB.
    pub max_stored_bytes: usize,
    /// Idempotency keys recorded, at most. Default 65,536; beyond that no request with a key is forwarded for a
    /// window.
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
