//! The idle connections to one worker. The one that was used last is used first, so that the others age and close.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use crate::server::workers::connection::WorkerConnection;

/// Idle connections to one worker. More are seldom needed at once: a connection is free again as soon as the worker
/// has accepted the request.
const MAX_POOLED: usize = 8;

/// The idle connections to one worker, the longest idle first.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: RefCell<Vec<WorkerConnection>>,
}

impl ConnectionPool {
    /// Number of idle connections.
    pub(super) fn len(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Takes out the connection that was used last, if it has been idle for less than `max_idle`; `None` for any
    /// time.
    pub(super) fn take(&self, max_idle: Option<Duration>) -> Option<WorkerConnection> {
        let is_trusted =
            |connection: &mut WorkerConnection| max_idle.is_none_or(|max| connection.pooled_for() < max);
        self.idle.borrow_mut().pop_if(is_trusted)
    }

    /// Adds a connection, unless it leads to another address than `address` or something has arrived on it: a close,
    /// or a response too many, which would be taken for the next one. The longest idle one makes room.
    pub(super) fn add(&self, mut connection: WorkerConnection, address: SocketAddr) {
        let is_reusable = connection.address() == address && connection.http.is_open_and_idle();
        if !is_reusable {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_POOLED {
            idle.remove(0);
        }
        connection.mark_pooled();
        idle.push(connection);
    }

    /// Closes all.
    pub(super) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes those that have been idle for `max_idle`.
    pub(super) fn close_idle_for(&self, max_idle: Duration) {
        self.idle.borrow_mut().retain(|connection| connection.pooled_for() < max_idle);
    }
}
