//! Metrics of the gateway between sites. The engine updates them. They are printed only if a gateway is configured.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use chutesaddle_gateway::{LoadState, Statistics};

/// The metrics of a link to another site.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkMetrics {
    /// Whether the link is up.
    pub up: bool,
    /// The measured round-trip time.
    pub round_trip: Duration,
    /// The credit limit granted on an outbound link: total slots that may be used, counted since the link came up.
    pub slot_limit: u64,
}

/// Identifies a link by its site and direction.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkKey {
    site: String,
    /// Whether this site opened the link and forwards requests on it. On an inbound link it receives them.
    outbound: bool,
}

/// The metrics of the gateway.
#[derive(Default)]
pub struct GatewayMetrics {
    enabled: Cell<bool>,
    /// Counters of the gateway's decisions.
    pub statistics: Cell<Statistics>,
    /// Whether this site grants capacity to other sites or forwards requests to them.
    pub load_state: Cell<LoadState>,
    links: RefCell<BTreeMap<LinkKey, LinkMetrics>>,
}

impl GatewayMetrics {
    /// Enables printing of the gateway metrics.
    pub fn enable(&self) {
        self.enabled.set(true);
    }

    pub(super) fn is_enabled(&self) -> bool {
        self.enabled.get()
    }

    /// Whether no requests are open in either direction: forwarded to other sites or received from them.
    pub fn is_idle(&self) -> bool {
        let totals = self.statistics.get();
        totals.outbound_open == 0 && totals.inbound_open == 0
    }

    /// Updates the metrics of a link.
    pub fn link(&self, site: &str, outbound: bool, update: impl FnOnce(&mut LinkMetrics)) {
        let key = LinkKey { site: site.to_owned(), outbound };
        update(self.links.borrow_mut().entry(key).or_default());
    }

    /// Writes the gateway metrics, except those of the classes. The printed names use legacy terms: crossed means
    /// forwarded, room means capacity, and stance means load state.
    pub(super) fn write_lines(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let totals = self.statistics.get();
        writeln!(f, "svc.gateway.crossed={}", totals.forwarded)?;
        writeln!(f, "svc.gateway.returned={}", totals.returned)?;
        writeln!(f, "svc.gateway.resumed={}", totals.resumed)?;
        writeln!(f, "svc.gateway.unknown={}", totals.unknown)?;
        writeln!(f, "svc.gateway.taken={}", totals.accepted)?;
        writeln!(f, "svc.gateway.given_back={}", totals.returned_to_peers)?;
        writeln!(f, "svc.gateway.duplicates_dropped={}", totals.duplicates)?;
        writeln!(f, "svc.gateway.open_out={}", totals.outbound_open)?;
        writeln!(f, "svc.gateway.open_in={}", totals.inbound_open)?;
        writeln!(f, "svc.gateway.room_granted={}", totals.unused_grants)?;
        writeln!(f, "svc.gateway.stance={}", load_state_name(self.load_state.get()))?;
        for (key, link) in self.links.borrow().iter() {
            write_link(f, key, link)?;
        }
        Ok(())
    }
}

/// The name of a load state in METRICS.
fn load_state_name(state: LoadState) -> &'static str {
    match state {
        LoadState::Neutral => "neutral",
        LoadState::Open => "open",
        LoadState::Shedding => "shedding",
    }
}

fn write_link(f: &mut fmt::Formatter<'_>, key: &LinkKey, link: &LinkMetrics) -> fmt::Result {
    let LinkKey { site, outbound } = key;
    if !outbound {
        return writeln!(f, "svc.gateway.in.up.{site}={}", u8::from(link.up));
    }
    writeln!(f, "svc.gateway.out.up.{site}={}", u8::from(link.up))?;
    writeln!(f, "svc.gateway.out.transit_us.{site}={}", link.round_trip.as_micros() / 2)?;
    writeln!(f, "svc.gateway.out.limit.{site}={}", link.slot_limit)
}
