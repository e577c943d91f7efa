//! One connection to a worker, which carries one request at a time.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::server::descriptor_budget::DescriptorPermit;
use crate::server::http::Connection;

#[cfg(test)]
mod tests;

/// A connection to a worker.
pub struct WorkerConnection {
    /// The connection.
    pub http: Connection,
    address: SocketAddr,
    state: ConnectionState,
    _permit: DescriptorPermit,
}

/// The lifetime of a connection once it is up. While it connects there is no value yet, and closing it drops the
/// value.
///
/// | state | into the pool | out of the pool |
/// | --- | --- | --- |
/// | `New` | `Pooled` | cannot: stays `New` |
/// | `Pooled` | cannot: stays `Pooled` | `Reused` |
/// | `Reused` | `Pooled` | cannot: stays `Reused` |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// In use for the first time.
    New,
    /// Idle in the pool.
    Pooled { since: Instant },
    /// In use again, after it was idle for this long.
    Reused { idle_for: Duration },
}

/// What changes the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEvent {
    IntoPool { now: Instant },
    OutOfPool { now: Instant },
}

impl ConnectionState {
    /// The state after `event`: the only place where it changes.
    fn after(self, event: ConnectionEvent) -> Self {
        match (self, event) {
            (
                ConnectionState::New | ConnectionState::Reused { .. },
                ConnectionEvent::IntoPool { now: since },
            ) => ConnectionState::Pooled { since },
            (ConnectionState::Pooled { since }, ConnectionEvent::OutOfPool { now }) => {
                ConnectionState::Reused { idle_for: now.duration_since(since) }
            }
            (ConnectionState::Pooled { since }, ConnectionEvent::IntoPool { .. }) => {
                ConnectionState::Pooled { since }
            }
            (ConnectionState::New, ConnectionEvent::OutOfPool { .. }) => ConnectionState::New,
            (ConnectionState::Reused { idle_for }, ConnectionEvent::OutOfPool { .. }) => {
                ConnectionState::Reused { idle_for }
            }
        }
    }
}

impl WorkerConnection {
    /// A connection that has just come up.
    pub(super) fn new(http: Connection, address: SocketAddr, permit: DescriptorPermit) -> Self {
        WorkerConnection { http, address, state: ConnectionState::New, _permit: permit }
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How long it had been idle before its current use; `None` in its first use.
    pub fn idle_before_use(&self) -> Option<Duration> {
        match self.state {
            ConnectionState::Reused { idle_for } => Some(idle_for),
            ConnectionState::New | ConnectionState::Pooled { .. } => None,
        }
    }

    /// How long it has been idle in the pool; zero while it is in use.
    pub(super) fn pooled_for(&self) -> Duration {
        match self.state {
            ConnectionState::Pooled { since } => since.elapsed(),
            ConnectionState::New | ConnectionState::Reused { .. } => Duration::ZERO,
        }
    }

    pub(super) fn mark_pooled(&mut self) {
        self.state = self.state.after(ConnectionEvent::IntoPool { now: Instant::now() });
    }

    pub(super) fn mark_reused(&mut self) {
        self.state = self.state.after(ConnectionEvent::OutOfPool { now: Instant::now() });
    }
}
