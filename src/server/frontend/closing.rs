//! How connections end: lingering closes, and the close of idle connections while the process drains.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::connection_eviction::EvictionClass;
use super::{Frontend, InProgress};
use crate::server::http::Connection;
use crate::server::lifecycle::LifecycleEvent;

/// How long what still arrives after the last response is read.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two reads of that, over all connections: it must not take the time of the others.
const DISCARD_INTERVAL: Duration = Duration::from_millis(1);
/// How much is read of that at a time.
pub(super) const DISCARD_BYTES: usize = 64 * 1024;
/// How often a process that drains looks for connections to close.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

impl Frontend {
    /// Closes idle connections whenever the lifecycle says so, and notifies it when none is in use.
    pub async fn close_idle_while_draining(self: Rc<Self>) {
        let mut phase = self.lifecycle.watch();
        loop {
            // Waiting fails only once the sender is gone, which lives as long as this frontend.
            let _ = phase.wait_for(|phase| phase.is_draining()).await;
            if self.lifecycle.closes_idle_connections() {
                while self.eviction_candidates.evict_up_to(EvictionClass::Idle) {}
                let event = if self.is_empty() { LifecycleEvent::Emptied } else { LifecycleEvent::Occupied };
                self.lifecycle.notify(event);
            }
            sleep(DRAIN_INTERVAL).await;
        }
    }

    /// Closes the sending side, then reads and drops what still arrives, for a while and slowly (RFC 9112, 9.6).
    ///
    /// A close with unread input makes the system send a reset, which can destroy a response on its way. A client whose
    /// next request crosses the close is to find the connection closed, and not reset.
    pub(super) async fn linger(&self, mut connection: Connection) {
        let _lingering = InProgress::begin(&self.lingering);
        connection.half_close().await;
        let candidate = self.eviction_candidates.list(EvictionClass::NeverUsed);
        tokio::select! {
            // Either way it is closed: the time is over, or the client has closed its side.
            _ = timeout(LINGER_TIMEOUT, self.discard_until_close(&connection)) => {}
            () = candidate.evicted() => {}
        }
    }

    async fn discard_until_close(&self, connection: &Connection) {
        while connection.readable().await.is_ok() {
            let mut scratch = self.scratch.lock().await;
            if !connection.discard_received(&mut scratch) {
                return;
            }
            sleep(DISCARD_INTERVAL).await; // with the lock, so that all connections share this pace
        }
    }
}
