//! Results of the gateway benchmark: the requirements, the printed table and the last line of JSON.

use std::collections::BTreeSet;
use std::time::Duration;

use chutesaddle_test_doubles::traffic::TrafficResult;
use chutesaddle_test_doubles::Run;
use serde::Serialize;
use tokio::time::Instant;

use super::scenario::ScenarioResult;
use super::{Arguments, DELAY};

/// Time during which repeated requests with the same idempotency key are dropped.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(40);
/// A slot counts as free capacity if it was free for this long before a request was forwarded. This covers the network
/// delay, a load report and a callback.
const MIN_FREE_TIME: Duration = Duration::from_millis(60);
/// Required gain in service at the overloaded site.
const MIN_GAIN: f64 = 0.25;
/// Maximum fraction of forwarded requests that may be forwarded while there is free capacity.
const MAX_FORWARDED_WHILE_FREE: f64 = 0.01;
/// Cost of a forwarded request, in percentage points of service.
const FORWARDING_COST: f64 = 3.0;

/// The last line of the output. Scripts read its JSON keys, so they must not change.
#[derive(Serialize)]
pub(super) struct GatewayFigures {
    measure: &'static str,
    seed: u64,
    pub(super) ok: bool,
    /// Whether free local capacity was used before forwarding: at most one in a hundred forwarded requests was
    /// forwarded while a local worker had a free slot, known to the scheduler or not.
    #[serde(rename = "room_kept")]
    capacity_used_first: bool,
    /// Fraction of the priority weight that was answered in time at the overloaded site.
    #[serde(rename = "service_alone")]
    service_without_gateway: Option<f64>,
    #[serde(rename = "service_gateway")]
    service_with_gateway: f64,
    /// The same for the other site.
    #[serde(rename = "service_alone_other")]
    peer_service_without_gateway: Option<f64>,
    #[serde(rename = "service_gateway_other")]
    peer_service_with_gateway: f64,
    asked: usize,
    answered: usize,
    lost: usize,
    duplicates: usize,
    #[serde(rename = "crossings")]
    forwarded: u64,
    #[serde(rename = "crossed_while_room")]
    forwarded_while_free: usize,
    /// Requests forwarded while their home site had a free slot and an ejected worker. The slot is attributed to the
    /// ejected worker and does not count as free capacity.
    #[serde(rename = "crossed_while_avoided")]
    forwarded_while_ejected: usize,
    forwarded_twice: usize,
    returned: u64,
    resumed: u64,
    unknown: u64,
    failed: usize,
    /// Cost of all forwarded requests, in percentage points of service.
    #[serde(rename = "price")]
    forwarding_cost: f64,
}

impl GatewayFigures {
    pub(super) fn new(
        arguments: &Arguments,
        without_gateway: Option<&ScenarioResult>,
        with_gateway: &ScenarioResult,
    ) -> Self {
        let sum = |count: fn(&TrafficResult) -> usize| with_gateway.sites.iter().map(count).sum::<usize>();
        let metric = |name: &str| with_gateway.metrics.get(name).copied().unwrap_or_default();
        let (asked, lost) = (sum(|site| site.asked), sum(|site| site.lost));
        let forwarded = metric("svc.gateway.crossed");
        let duplicates = with_gateway.journal.duplicates(DEDUPLICATION_WINDOW);
        let audit = ForwardingAudit::new(with_gateway);
        let [service, peer_service] = [with_gateway.sites[0].service, with_gateway.sites[1].service];
        let gain = without_gateway.map(|baseline| service - baseline.sites[0].service);
        let max_while_free = (MAX_FORWARDED_WHILE_FREE * forwarded as f64).max(1.0);
        let is_safe = duplicates == 0 && lost == 0 && audit.ran_at_both == 0;
        // No gain is required if network faults are injected, because the network then fails for much of the time.
        let has_gain = arguments.cuts > 0 || gain.is_none_or(|gain| gain >= MIN_GAIN);
        GatewayFigures {
            measure: "gateway",
            seed: arguments.seed,
            ok: is_safe && has_gain,
            capacity_used_first: audit.while_free as f64 <= max_while_free,
            service_without_gateway: without_gateway.map(|baseline| baseline.sites[0].service),
            service_with_gateway: service,
            peer_service_without_gateway: without_gateway.map(|baseline| baseline.sites[1].service),
            peer_service_with_gateway: peer_service,
            asked,
            answered: asked - lost,
            lost,
            duplicates,
            forwarded,
            forwarded_while_free: audit.while_free,
            forwarded_while_ejected: audit.while_ejected,
            forwarded_twice: audit.ran_at_both,
            returned: metric("svc.gateway.returned"),
            resumed: metric("svc.gateway.resumed"),
            unknown: metric("svc.gateway.unknown"),
            failed: sum(|site| site.failed),
            forwarding_cost: FORWARDING_COST * forwarded as f64 / asked.max(1) as f64,
        }
    }
}

/// Forwarded requests, classified by the runs at the workers.
#[derive(Default)]
struct ForwardingAudit {
    /// Forwarded while their home site had a free slot and no ejected worker.
    while_free: usize,
    /// Forwarded while their home site had a free slot and an ejected worker.
    while_ejected: usize,
    /// Run at both sites, which the gateway must prevent.
    ran_at_both: usize,
}

impl ForwardingAudit {
    fn new(result: &ScenarioResult) -> Self {
        let mut audit = ForwardingAudit::default();
        let runs = result.journal.runs();
        let (mut at_home, mut away) = (BTreeSet::new(), BTreeSet::new());
        for run in &runs {
            let id = run.request_id.as_str();
            if run.site == home_site(id) {
                at_home.insert(id);
                continue;
            }
            away.insert(id);
            audit.count_forwarded(result, run);
        }
        audit.ran_at_both = at_home.intersection(&away).count();
        audit
    }

    fn count_forwarded(&mut self, result: &ScenarioResult, run: &Run) {
        let home = home_site(&run.request_id);
        let sent_at: Instant = run.started_at - *DELAY.end();
        let had_free_slot = result.journal.had_free_slot(home, sent_at, MIN_FREE_TIME);
        // The time of sending cannot be derived from the arrival of a request that a network fault delayed.
        if !had_free_slot || result.faults.may_have_delayed(run.started_at) {
            return;
        }
        match result.ejected.any(home, run.started_at) {
            true => self.while_ejected += 1,
            false => self.while_free += 1,
        }
    }
}

/// Returns the site whose client sent the request.
fn home_site(request_id: &str) -> usize {
    usize::from(request_id.starts_with('b'))
}

pub(super) fn print_table(without_gateway: Option<&ScenarioResult>, with_gateway: &ScenarioResult) {
    println!(
        "{:<18}{:>7}{:>8}{:>9}{:>10}{:>8}{:>6}{:>9}{:>9}{:>9}",
        "", "asked", "served", "in time", "rejected", "failed", "lost", "service", "p50 ms", "p95 ms"
    );
    if let Some(baseline) = without_gateway {
        print_rows("alone", baseline);
    }
    print_rows("with gateway", with_gateway);
}

fn print_rows(name: &str, scenario: &ScenarioResult) {
    for (site, result) in ["a", "b"].into_iter().zip(&scenario.sites) {
        let TrafficResult { asked, served, in_time, rejected, failed, lost, service, latency } = result;
        let [p50, p95] = [0.5, 0.95].map(|quantile| latency.value_at_quantile(quantile));
        let row = format!("{name}, site {site}");
        println!(
            "{row:<18}{asked:>7}{served:>8}{in_time:>9}{rejected:>10}{failed:>8}{lost:>6}{service:>9.3}{p50:>9}{p95:>9}"
        );
    }
}

#[cfg(test)]
mod tests;
