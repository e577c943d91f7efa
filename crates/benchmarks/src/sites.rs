//! What both measurements need of sites with a gateway: the operator's file, the link, and the counters.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use chutesaddle_test_doubles::{client, TestSite};
use tokio::time::{sleep, Instant};

/// The log line behind which a scheduler says where it listens for other sites.
pub(crate) const SITE_LINK_ADDRESS: &str = "listening for site links address=";
/// How long a counter may take to reach a value that it must reach.
const METRIC_TIMEOUT: Duration = Duration::from_secs(10);
const METRIC_POLL: Duration = Duration::from_millis(10);

/// The operator's file of a site with one peer.
pub(crate) fn operator_file(site: &str, peer: &str, connect: SocketAddr, secret: &Path) -> String {
    let secret = secret.display().to_string();
    format!(
        "gateway {{\n    site {site:?}\n    listen \"127.0.0.1:0\"\n    secret-file {secret:?}\n    \
         peer {peer:?} {{ connect \"{connect}\"; }}\n}}\n"
    )
}

/// A counter of a scheduler.
pub(crate) struct Metric {
    pub(crate) name: String,
    pub(crate) value: u64,
}

/// The counters of a site's scheduler that are whole numbers.
///
/// # Errors
/// If it does not answer.
pub(crate) async fn metrics(operator_address: SocketAddr) -> io::Result<Vec<Metric>> {
    let text = client::operator_command(operator_address, "METRICS").await?;
    let pairs = text.lines().filter_map(|line| line.split_once('='));
    let whole =
        pairs.filter_map(|(name, value)| Some(Metric { name: name.to_owned(), value: value.parse().ok()? }));
    Ok(whole.collect())
}

/// Waits until a counter whose name begins like this has a value.
///
/// # Errors
/// If it does not come in time.
pub(crate) async fn wait_for_metric(site: &TestSite, name: &str, wanted: u64) -> io::Result<()> {
    let until = Instant::now() + METRIC_TIMEOUT;
    while Instant::now() < until {
        let metrics = metrics(site.operator_address).await?;
        if metrics.iter().any(|metric| metric.name.starts_with(name) && metric.value == wanted) {
            return Ok(());
        }
        sleep(METRIC_POLL).await;
    }
    let log = site.scheduler.log().join("\n");
    Err(io::Error::other(format!("{name} does not become {wanted}: {log}")))
}
