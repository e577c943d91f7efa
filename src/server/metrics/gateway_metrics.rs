//! The metrics of the gateway between sites. The engine sets them; operators see them if there is a gateway.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use chutesaddle_gateway::{LoadState, Statistics};

/// The state of a link to another site.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkMetrics {
    /// It is up.
    pub up: bool,
    /// The measured round-trip time.
    pub round_trip: Duration,
    /// Slots that it may carry in all, of a link on which requests are forwarded.
    pub slot_limit: u64,
}

/// Names a link: which site, and who dialled.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkKey {
    site: String,
    /// This site dialled, and forwards requests on the link; else it receives them.
    dialled: bool,
}

/// The metrics of the gateway.
#[derive(Default)]
pub struct GatewayMetrics {
    enabled: Cell<bool>,
    /// The counters of the gateway's decisions.
    pub statistics: Cell<Statistics>,
    /// Whether this site grants capacity to others, or forwards requests to them.
    pub load_state: Cell<LoadState>,
    links: RefCell<BTreeMap<LinkKey, LinkMetrics>>,
}

impl GatewayMetrics {
    /// There is a gateway: its metrics are shown.
    pub fn enable(&self) {
        self.enabled.set(true);
    }

    pub(super) fn is_enabled(&self) -> bool {
        self.enabled.get()
    }

    /// Whether no request of this site is at another one, and none of another one is here.
    pub fn is_idle(&self) -> bool {
        let totals = self.statistics.get();
        totals.outbound_open == 0 && totals.inbound_open == 0
    }

    /// Changes the state of a link.
    pub fn link(&self, site: &str, dialled: bool, change: impl FnOnce(&mut LinkMetrics)) {
        let key = LinkKey { site: site.to_owned(), dialled };
        change(self.links.borrow_mut().entry(key).or_default());
    }

    /// Writes the lines of the gateway, but for those of the classes. The names are the operators'; the glossary has the
    /// terms for them: crossed is forwarded, room is capacity, stance is mode.
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

/// The load state as METRICS names it.
fn load_state_name(state: LoadState) -> &'static str {
    match state {
        LoadState::Neutral => "neutral",
        LoadState::Open => "open",
        LoadState::Shedding => "shedding",
    }
}

fn write_link(f: &mut fmt::Formatter<'_>, key: &LinkKey, link: &LinkMetrics) -> fmt::Result {
    let LinkKey { site, dialled } = key;
    if !dialled {
        return writeln!(f, "svc.gateway.in.up.{site}={}", u8::from(link.up));
    }
    writeln!(f, "svc.gateway.out.up.{site}={}", u8::from(link.up))?;
    writeln!(f, "svc.gateway.out.transit_us.{site}={}", link.round_trip.as_micros() / 2)?;
    writeln!(f, "svc.gateway.out.limit.{site}={}", link.slot_limit)
}
