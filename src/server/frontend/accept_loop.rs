//! Accepts connections, within the descriptor budget.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use super::client_connection::ClientConnection;
use super::connection_eviction::EvictionClass;
use super::Frontend;
use crate::server::descriptor_budget::{DescriptorBudget, DescriptorPermit};
use crate::server::http::Connection;

/// How long to wait for a descriptor, or after a failed accept, before trying again.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

impl Frontend {
    /// Accepts connections as long as the process runs, each at once: one that waits in the backlog could carry a
    /// callback, or a client whose time runs. While another process has taken over, that one accepts them.
    pub async fn run(self: Rc<Self>, listener: Rc<TcpListener>) {
        let mut successor = self.successor.subscribe();
        loop {
            // Waiting fails only once the sender is gone, which lives as long as this frontend.
            let _ = successor.wait_for(Option::is_none).await;
            let permit = self.acquire_permit().await;
            let accepted = tokio::select! {
                biased;
                _ = successor.wait_for(Option::is_some) => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    self.counters.connections_accepted.add();
                    let frontend = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        let http = Connection::new(stream);
                        frontend.serve(ClientConnection::new(http, EvictionClass::NeverUsed, false)).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    // Out of descriptors, most likely. The connection stays in the backlog meanwhile.
                    if self.counters.accept_failures.add().is_power_of_two() {
                        tracing::warn!(%error, "cannot accept a connection");
                    }
                    self.eviction_candidates.evict_for_new_connection();
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// A permit for one more connection. Where none is left, another connection is evicted.
    pub(super) async fn acquire_permit(&self) -> DescriptorPermit {
        loop {
            if let Some(permit) = DescriptorBudget::try_acquire(&self.connections) {
                return permit;
            }
            // Connections that were accepted last become candidates once their tasks have run; without them, useful
            // ones would go in their place.
            yield_now().await;
            if self.eviction_candidates.evict_for_new_connection() {
                self.counters.connections_shed.add();
            }
            // A connection that was asked to close may have received a message at that moment, and stay.
            if let Ok(permit) = timeout(RETRY_INTERVAL, self.next_freed_permit()).await {
                return permit;
            }
        }
    }

    async fn next_freed_permit(&self) -> DescriptorPermit {
        loop {
            self.connections.freed().await;
            if let Some(permit) = DescriptorBudget::try_acquire(&self.connections) {
                return permit;
            }
        }
    }
}
