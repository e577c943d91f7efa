//! Gateway metrics for operators.

use super::Gateway;

/// Counters and gauges of the gateway. Fields not marked as gauges are counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Requests forwarded to peers.
    pub forwarded: u64,
    /// Forwarded requests that were returned unstarted by the peer, or because the link broke before the last
    /// byte was written.
    pub returned: u64,
    /// Forwarded requests resumed on a new link after their link broke.
    pub resumed: u64,
    /// Forwarded requests that ended without a known outcome.
    pub unknown: u64,
    /// Requests accepted from peers.
    pub accepted: u64,
    /// Requests from peers that this gateway returned.
    pub returned_to_peers: u64,
    /// Requests that a peer offered more than once and that were not run again.
    pub duplicates: u64,
    /// Gauge: forwarded requests whose clients still wait.
    pub outbound_open: usize,
    /// Gauge: requests from peers that are with the local scheduler.
    pub inbound_open: usize,
    /// Gauge: slots granted to peers and not used.
    pub unused_grants: u64,
}

impl Gateway {
    /// Returns the current counters and gauges.
    pub fn statistics(&self) -> Statistics {
        Statistics {
            outbound_open: self.forwarded_by_request.len(),
            inbound_open: self.ledger.running(),
            unused_grants: self.inbound_links.values().map(|link| link.grant.unused()).sum(),
            ..self.statistics
        }
    }
}
