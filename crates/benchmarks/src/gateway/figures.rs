//! The printed result: the table, the last line, and whether the promises were kept.

use std::collections::BTreeSet;
use std::time::Duration;

use chutesaddle_test_doubles::traffic::TrafficResult;
use chutesaddle_test_doubles::Run;
use serde::Serialize;
use tokio::time::Instant;

use super::play::Played;
use super::{Arguments, DELAY};

/// Repeats of a key are dropped for this long.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(40);
/// A slot that was free for this long before a request was forwarded was free capacity: the way, a look at the load and
/// a callback.
const FREE_BEFORE: Duration = Duration::from_millis(60);
/// What is promised of the gain in service.
const LEAST_GAIN: f64 = 0.25;
/// What is promised of requests forwarded while there was free capacity, as a fraction.
const MOST_FORWARDED_WHILE_FREE: f64 = 0.01;
/// Points of service in 100 that a forwarded request costs.
const PRICE: f64 = 3.0;

/// The last line. Its keys are printed, and keep their names.
#[derive(Serialize)]
pub(super) struct Figures {
    measure: &'static str,
    seed: u64,
    pub(super) ok: bool,
    /// Fewer than one request in a hundred was forwarded while a worker here had a slot free, known to the scheduler
    /// or not.
    #[serde(rename = "room_kept")]
    capacity_used_first: bool,
    service_alone: Option<f64>,
    service_gateway: f64,
    service_alone_other: Option<f64>,
    service_gateway_other: f64,
    asked: usize,
    answered: usize,
    lost: usize,
    duplicates: usize,
    #[serde(rename = "crossings")]
    forwarded: u64,
    #[serde(rename = "crossed_while_room")]
    forwarded_while_free: usize,
    /// While a slot was free on a worker that the scheduler of that site had ejected, which is no free capacity.
    #[serde(rename = "crossed_while_avoided")]
    forwarded_while_ejected: usize,
    forwarded_twice: usize,
    returned: u64,
    resumed: u64,
    unknown: u64,
    failed: usize,
    /// Points of service in 100 that forwarding cost.
    price: f64,
}

impl Figures {
    pub(super) fn new(arguments: &Arguments, alone: Option<&Played>, with: &Played) -> Self {
        let sum = |count: fn(&TrafficResult) -> usize| with.sites.iter().map(count).sum::<usize>();
        let metric = |name: &str| with.metrics.get(name).copied().unwrap_or_default();
        let (asked, lost) = (sum(|site| site.asked), sum(|site| site.lost));
        let forwarded = metric("svc.gateway.crossed");
        let duplicates = with.journal.duplicates(DEDUPLICATION_WINDOW);
        let audit = ForwardingAudit::of(with);
        let [service, service_other] = [with.sites[0].service, with.sites[1].service];
        let gain = alone.map(|alone| service - alone.sites[0].service);
        let most_while_free = (MOST_FORWARDED_WHILE_FREE * forwarded as f64).max(1.0);
        let is_safe = duplicates == 0 && lost == 0 && audit.ran_at_both == 0;
        // With the network failing for a good part of the time, only safety is promised.
        let gains = arguments.cuts > 0 || gain.is_none_or(|gain| gain >= LEAST_GAIN);
        Figures {
            measure: "gateway",
            seed: arguments.seed,
            ok: is_safe && gains,
            capacity_used_first: audit.while_free as f64 <= most_while_free,
            service_alone: alone.map(|alone| alone.sites[0].service),
            service_gateway: service,
            service_alone_other: alone.map(|alone| alone.sites[1].service),
            service_gateway_other: service_other,
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
            price: PRICE * forwarded as f64 / asked.max(1) as f64,
        }
    }
}

/// What the runs at the workers say of forwarded requests.
#[derive(Default)]
struct ForwardingAudit {
    /// Forwarded while a slot was free where they came from.
    while_free: usize,
    /// Forwarded while a slot was free only on a worker that was ejected.
    while_ejected: usize,
    /// Run at both sites.
    ran_at_both: usize,
}

impl ForwardingAudit {
    fn of(played: &Played) -> Self {
        let mut audit = ForwardingAudit::default();
        let runs = played.journal.runs();
        let (mut at_home, mut away) = (BTreeSet::new(), BTreeSet::new());
        for run in &runs {
            let id = run.request_id.as_str();
            if run.site == home_site(id) {
                at_home.insert(id);
                continue;
            }
            away.insert(id);
            audit.add_forwarded(played, run);
        }
        audit.ran_at_both = at_home.intersection(&away).count();
        audit
    }

    fn add_forwarded(&mut self, played: &Played, run: &Run) {
        let home = home_site(&run.request_id);
        let sent_at: Instant = run.started_at - *DELAY.end();
        let had_free_slot = played.journal.had_free_slot(home, sent_at, FREE_BEFORE);
        // What a failing network held back was sent at a time that cannot be told from its arrival.
        if !had_free_slot || played.faults.may_have_held_back(run.started_at) {
            return;
        }
        match played.ejected.any(home, run.started_at) {
            true => self.while_ejected += 1,
            false => self.while_free += 1,
        }
    }
}

/// The site whose client sent a request.
fn home_site(request_id: &str) -> usize {
    usize::from(request_id.starts_with('b'))
}

pub(super) fn print_table(alone: Option<&Played>, with: &Played) {
    println!(
        "{:<18}{:>7}{:>8}{:>9}{:>10}{:>8}{:>6}{:>9}{:>9}{:>9}",
        "", "asked", "served", "in time", "rejected", "failed", "lost", "service", "p50 ms", "p95 ms"
    );
    if let Some(alone) = alone {
        print_rows("alone", alone);
    }
    print_rows("with gateway", with);
}

fn print_rows(name: &str, played: &Played) {
    for (site, result) in ["a", "b"].into_iter().zip(&played.sites) {
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
