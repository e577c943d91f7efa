//! Accepts connections within the descriptor budget.

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

/// Interval between attempts to acquire a descriptor, and delay after a failed accept.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

impl Frontend {
    /// Accepts connections until the process exits. Connections are accepted without delay, because one that waits in
    /// the backlog may carry a callback or a request whose deadline is running. While a successor has taken over, it
    /// accepts the connections instead.
    pub async fn run(self: Rc<Self>, listener: Rc<TcpListener>) {
        let mut successor = self.successor.subscribe();
        loop {
            // Fails only if the sender is dropped, and the frontend owns it.
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
                        let http = Connection::accepted(stream, &frontend.memory);
                        frontend.serve(ClientConnection::new(http, EvictionClass::NeverUsed, false)).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    // Most likely out of descriptors. The connection stays in the backlog meanwhile.
                    if self.counters.accept_failures.add().is_power_of_two() {
                        tracing::warn!(%error, "cannot accept a connection");
                    }
                    self.eviction_candidates.evict_for_new_connection();
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Acquires a permit for one more connection. If none is left, evicts another connection.
    pub(super) async fn acquire_permit(&self) -> DescriptorPermit {
        let mut is_delayed = false;
        loop {
            if let Some(permit) = DescriptorBudget::try_acquire(&self.connections) {
                return permit;
            }
            // Connections accepted just now become candidates only once their tasks have run. Without the yield, more
            // useful connections would be evicted instead.
            yield_now().await;
            if self.eviction_candidates.evict_for_new_connection() {
                self.counters.connections_shed.add();
            } else if !std::mem::replace(&mut is_delayed, true) {
                self.log_delayed_connection();
            }
            // The evicted connection may stay open because it received a message at that moment.
            if let Ok(permit) = timeout(RETRY_INTERVAL, self.next_freed_permit()).await {
                return permit;
            }
        }
    }

    fn log_delayed_connection(&self) {
        if self.counters.connections_delayed.add().is_power_of_two() {
            let (in_use, limit) = (self.connections.in_use(), self.connections.limit());
            tracing::warn!(in_use, limit, "no descriptor is free for a connection");
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
