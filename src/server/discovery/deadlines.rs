//! Time limits for discovery, each with its source.
//!
//! A change of the endpoint list counts as notified when it should have arrived, whether it has arrived or not. From
//! then on nothing may be sent to a worker that the change takes out of service. A related limit is in the settings:
//! `contract.drain_grace_s` is the time after a notification in which requests may still be sent to a draining worker.

use std::time::Duration;

/// Interval between the empty lines that discovery sends on a watch while nothing changes (protocol page, "Discovery").
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A change missed by a silent watch counts as notified this long after discovery sent it (protocol page, "Figures").
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// The list at a new address counts as notified this long after the SIGHUP that set the address (operators' page).
pub const NOTIFIED_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Maximum time that a poll waits in discovery's queue before it fails. There is no setting for it; the known
/// deployments use this value.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(3);
