//! Time limits for discovery, each with its source.
//!
//! A change of the endpoint list counts as notified when it should have arrived, whether it has arrived or not. From
//! then on nothing may be sent to a worker that the change takes out of service. A related limit is in the settings:
//! `contract.drain_grace_s` is the time after a notification in which requests may still be sent to a draining worker.

use std::time::Duration;

/// Interval between the empty lines that discovery sends on a watch while nothing changes (protocol page, "Discovery").
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a change missed by a silent watch counts as notified, from when discovery sent it (protocol page,
/// "Figures").
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Time after which the list at a new address counts as notified, from the SIGHUP that set the address (operators'
/// page).
pub const NOTIFIED_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Time after which a poll that is still in discovery's queue fails. No setting contains it; the known deployments use
/// this value.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(3);
