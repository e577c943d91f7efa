//! The times that discovery is held to, each with its source.
//!
//! A change of the endpoint list counts as notified when it should have arrived, not when it arrives: from then on
//! nothing may be sent to a worker that the change takes out of service. One more time stands beside these, in the
//! settings: `contract.drain_grace_s` is how long after a notification a request may still be sent to a draining
//! worker.

use std::time::Duration;

/// While nothing changes, a watch brings an empty line this often (protocol page, "Discovery").
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A change that a silent watch has missed counts as notified this long after discovery sent it (protocol page,
/// "Figures").
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// The list at another address counts as notified this long after SIGHUP named the address (operators' page).
pub const NOTIFIED_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// A poll waits no longer than this in discovery's queue: it fails then. No setting states it; the known deployments
/// have this value.
pub const POLL_TIMEOUT: Duration = Duration::from_secs(3);
