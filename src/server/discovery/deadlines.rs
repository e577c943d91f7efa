//! The clocks that discovery's news is held against, each with its source. Beside them stands a setting, the grace
//! `contract.drain_grace_s`: nothing may be sent to who drains once it has passed.

use std::time::Duration;

/// While nothing changes, an empty line comes this often (the protocol page).
pub const BEAT: Duration = Duration::from_secs(2);
/// What a watch misses counts as told so long after it fell silent, and any news so long after it (the protocol page,
/// and the operators' one clock for silence).
pub const TOLD: Duration = Duration::from_secs(6);
/// What discovery tells at another address counts as told so long after SIGHUP named it (the operators).
pub const RELOADED: Duration = Duration::from_secs(4);
/// A call waits no longer for its turn where discovery is asked: it fails then. The settings do not tell; this is what
/// the deployments that we know have.
pub const CALL: Duration = Duration::from_secs(3);
