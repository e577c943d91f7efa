//! A connection to a worker. It carries one request at a time.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::server::descriptor_budget::DescriptorPermit;
use crate::server::http::Connection;

#[cfg(test)]
mod tests;

/// A connection to a worker, with its pooling state and descriptor permit.
pub struct WorkerConnection {
    /// The HTTP connection.
    pub http: Connection,
    address: SocketAddr,
    state: ConnectionState,
    _permit: DescriptorPermit,
}

/// State of an established connection. The value is created after connecting and dropped to close the connection.
///
/// | state | returned to pool | taken from pool |
/// | --- | --- | --- |
/// | `New` | `Pooled` | does not occur: stays `New` |
/// | `Pooled` | does not occur: stays `Pooled` | `Reused` |
/// | `Reused` | `Pooled` | does not occur: stays `Reused` |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// In use for the first time.
    New,
    /// Idle in the pool.
    Pooled { pooled_at: Instant },
    /// In use again, after being idle in the pool for `idle_for`.
    Reused { idle_for: Duration },
}

/// An event that changes the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEvent {
    ReturnedToPool { now: Instant },
    TakenFromPool { now: Instant },
}

impl ConnectionState {
    /// Returns the state after `event`. All transitions are made here.
    fn after(self, event: ConnectionEvent) -> Self {
        match (self, event) {
            (
                ConnectionState::New | ConnectionState::Reused { .. },
                ConnectionEvent::ReturnedToPool { now: pooled_at },
            ) => ConnectionState::Pooled { pooled_at },
            (ConnectionState::Pooled { pooled_at }, ConnectionEvent::TakenFromPool { now }) => {
                ConnectionState::Reused { idle_for: now.duration_since(pooled_at) }
            }
            (ConnectionState::Pooled { pooled_at }, ConnectionEvent::ReturnedToPool { .. }) => {
                ConnectionState::Pooled { pooled_at }
            }
            (ConnectionState::New, ConnectionEvent::TakenFromPool { .. }) => ConnectionState::New,
            (ConnectionState::Reused { idle_for }, ConnectionEvent::TakenFromPool { .. }) => {
                ConnectionState::Reused { idle_for }
            }
        }
    }
}

impl WorkerConnection {
    /// Wraps a newly established connection.
    pub(super) fn new(http: Connection, address: SocketAddr, permit: DescriptorPermit) -> Self {
        WorkerConnection { http, address, state: ConnectionState::New, _permit: permit }
    }

    /// Remote address of the connection.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How long the connection was idle before its current use, or `None` in its first use.
    pub fn idle_before_use(&self) -> Option<Duration> {
        match self.state {
            ConnectionState::Reused { idle_for } => Some(idle_for),
            ConnectionState::New | ConnectionState::Pooled { .. } => None,
        }
    }

    /// How long the connection has been in the pool; zero while it is in use.
    pub(super) fn time_in_pool(&self) -> Duration {
        match self.state {
            ConnectionState::Pooled { pooled_at } => pooled_at.elapsed(),
            ConnectionState::New | ConnectionState::Reused { .. } => Duration::ZERO,
        }
    }

    pub(super) fn mark_pooled(&mut self) {
        self.state = self.state.after(ConnectionEvent::ReturnedToPool { now: Instant::now() });
    }

    pub(super) fn mark_reused(&mut self) {
        self.state = self.state.after(ConnectionEvent::TakenFromPool { now: Instant::now() });
    }
}
