//! Pool of the idle connections to one worker. The most recently used connection is reused first, so that surplus
//! connections become idle long enough to be closed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use crate::server::workers::connection::WorkerConnection;

/// Maximum number of idle connections to one worker. More are seldom needed at once, because a connection is free again
/// as soon as the worker has accepted the request.
const MAX_POOLED_CONNECTIONS: usize = 8;

/// Idle connections to one worker.
#[derive(Default)]
pub(super) struct ConnectionPool {
    /// Ordered by idle time, longest first.
    idle: RefCell<Vec<WorkerConnection>>,
}

impl ConnectionPool {
    /// Number of idle connections.
    pub(super) fn len(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Takes the most recently used connection from the pool if it has been idle for less than `max_idle`. `None`
    /// allows any idle time.
    pub(super) fn take(&self, max_idle: Option<Duration>) -> Option<WorkerConnection> {
        let is_recent =
            |connection: &mut WorkerConnection| max_idle.is_none_or(|max| connection.time_in_pool() < max);
        self.idle.borrow_mut().pop_if(is_recent)
    }

    /// Adds a connection and, if the pool is full, closes the one that has been idle longest.
    ///
    /// A connection to an address other than `address`, or on which anything has arrived, is closed instead. Such data
    /// is a close, or an extra response that would be taken for the response to the next request.
    pub(super) fn add(&self, mut connection: WorkerConnection, address: SocketAddr) {
        let is_reusable = connection.address() == address && connection.http.is_open_and_idle();
        if !is_reusable {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_POOLED_CONNECTIONS {
            idle.remove(0);
        }
        connection.mark_pooled();
        idle.push(connection);
    }

    /// Closes the connections that have been idle longest until at most `count` are left.
    pub(super) fn shrink_to(&self, count: usize) {
        let mut idle = self.idle.borrow_mut();
        let surplus = idle.len().saturating_sub(count);
        idle.drain(..surplus);
    }

    /// Closes all idle connections.
    pub(super) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for `max_idle` or longer.
    pub(super) fn close_idle(&self, max_idle: Duration) {
        self.idle.borrow_mut().retain(|connection| connection.time_in_pool() < max_idle);
    }
}
