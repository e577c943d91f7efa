//! Helpers for benchmarks of sites with a gateway: operator file, site link and metrics.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use chutesaddle_test_doubles::{client, TestSite};
use tokio::time::{sleep, Instant};

/// Prefix of the log line with the address on which a scheduler accepts site links.
pub(crate) const SITE_LINK_LOG_PREFIX: &str = "listening for site links address=";
/// Maximum time to wait for a metric to reach its expected value.
const METRIC_TIMEOUT: Duration = Duration::from_secs(10);
const METRIC_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the operator file of a site with one peer.
pub(crate) fn operator_file(site: &str, peer: &str, connect: SocketAddr, secret: &Path) -> String {
    let secret = secret.display().to_string();
    format!(
        "gateway {{\n    site {site:?}\n    listen \"127.0.0.1:0\"\n    secret-file {secret:?}\n    \
         peer {peer:?} {{ connect \"{connect}\"; }}\n}}\n"
    )
}

/// An integer metric of a scheduler.
pub(crate) struct Metric {
    pub(crate) name: String,
    pub(crate) value: u64,
}

/// Returns the integer metrics of a site's scheduler.
///
/// # Errors
/// Returns an error if the scheduler does not respond.
pub(crate) async fn metrics(operator_address: SocketAddr) -> io::Result<Vec<Metric>> {
    let text = client::operator_command(operator_address, "METRICS").await?;
    let pairs = text.lines().filter_map(|line| line.split_once('='));
    let integers =
        pairs.filter_map(|(name, value)| Some(Metric { name: name.to_owned(), value: value.parse().ok()? }));
    Ok(integers.collect())
}

/// Waits until a metric whose name starts with `prefix` has the expected value.
///
/// # Errors
/// Returns an error if no such metric reaches the value in time, or if the scheduler does not respond.
pub(crate) async fn wait_for_metric(site: &TestSite, prefix: &str, expected: u64) -> io::Result<()> {
    let deadline = Instant::now() + METRIC_TIMEOUT;
    while Instant::now() < deadline {
        let metrics = metrics(site.operator_address).await?;
        if metrics.iter().any(|metric| metric.name.starts_with(prefix) && metric.value == expected) {
            return Ok(());
        }
        sleep(METRIC_POLL_INTERVAL).await;
    }
    let log = site.scheduler.log().join("\n");
    Err(io::Error::other(format!(
        "metric {prefix} did not reach {expected} within {METRIC_TIMEOUT:?}: {log}"
    )))
}
