//! Closing of connections: lingering closes, and closing of idle connections while the process drains.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::connection_eviction::EvictionClass;
use super::{CountGuard, Frontend};
use crate::server::http::Connection;
use crate::server::lifecycle::LifecycleEvent;

/// How long to keep reading and dropping input after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after each read of dropped input, shared by all connections, so that lingering ones take little time from the
/// others.
const DISCARD_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum size of one read of dropped input.
pub(super) const DISCARD_BYTES: usize = 64 * 1024;
/// How often a draining process looks for idle connections to close.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

impl Frontend {
    /// Closes idle connections while the lifecycle asks for it, and reports to the lifecycle whether any messages are
    /// left.
    pub async fn close_idle_while_draining(self: Rc<Self>) {
        let mut phase = self.lifecycle.watch();
        loop {
            // Fails only if the sender is dropped, and the lifecycle owns it.
            let _ = phase.wait_for(|phase| phase.is_draining()).await;
            if self.lifecycle.should_close_idle_connections() {
                while self.eviction_candidates.evict_up_to(EvictionClass::Idle) {}
                let event =
                    if self.is_empty() { LifecycleEvent::FrontendIdle } else { LifecycleEvent::FrontendBusy };
                self.lifecycle.notify(event);
            }
            sleep(DRAIN_INTERVAL).await;
        }
    }

    /// Shuts down the write side, then slowly reads and drops input until a timeout (RFC 9112, section 9.6).
    ///
    /// Closing a socket with unread input makes the kernel send a reset, which can destroy a response in transit. A
    /// client that sends its next request during the close must see the connection closed, not reset.
    pub(super) async fn linger(&self, mut connection: Connection) {
        let _lingering = CountGuard::increment(&self.lingering);
        connection.half_close().await;
        let candidate = self.eviction_candidates.register_idle(EvictionClass::NeverUsed);
        tokio::select! {
            // The connection is closed both on the timeout and when the client has closed its side.
            _ = timeout(LINGER_TIMEOUT, self.discard_until_close(&connection)) => {}
            _ = candidate.evicted() => {}
        }
    }

    /// Reads and drops input until the client has closed its side or the connection has failed.
    pub(super) async fn discard_until_close(&self, connection: &Connection) {
        while connection.readable().await.is_ok() {
            let mut buffer = self.discard_buffer.lock().await;
            if !connection.discard_received(&mut buffer) {
                return;
            }
            sleep(DISCARD_INTERVAL).await; // holds the lock, so that all connections share the rate limit
        }
    }
}
