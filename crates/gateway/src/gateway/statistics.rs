//! What the gateway counts for the operators.

use super::Gateway;

/// Counters, which only grow, and gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Requests forwarded.
    pub forwarded: u64,
    /// Of these, returned unstarted by the peer or by a link that broke before the last byte.
    pub returned: u64,
    /// Of these, asked about after a break of the link.
    pub resumed: u64,
    /// Of these, ended without a known outcome.
    pub unknown: u64,
    /// Requests of other sites that were accepted.
    pub accepted: u64,
    /// Requests of other sites that this gateway returned.
    pub returned_to_peers: u64,
    /// Requests of other sites that were offered again, and not run again.
    pub duplicates: u64,
    /// Gauge: forwarded requests of this site whose client still waits.
    pub outbound_open: usize,
    /// Gauge: requests of other sites that are with the scheduler here.
    pub inbound_open: usize,
    /// Gauge: slots granted to other sites and not used.
    pub unused_grants: u64,
}

impl Gateway {
    /// The counters and gauges as they are now.
    pub fn statistics(&self) -> Statistics {
        Statistics {
            outbound_open: self.forwarded_by_request.len(),
            inbound_open: self.ledger.running(),
            unused_grants: self.inbound_links.values().map(|link| link.grant.unused()).sum(),
            ..self.statistics
        }
    }
}
