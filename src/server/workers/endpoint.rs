//! A worker from the endpoint list: its address, whether it accepts requests, and the connections to it.
//!
//! An attempt gets a pooled connection on which nothing has arrived, or else a new one. Connections are also kept in
//! reserve for cancellations: a `DELETE` must be written even if the worker has stopped responding, and no new
//! connection to it can be established then.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::server::workers::connection::WorkerConnection;
use crate::server::workers::connection_pool::ConnectionPool;
use crate::server::workers::connector::{ConnectError, PoolPolicy, WorkerConnector};

/// Maximum number of connections per worker kept in reserve for cancellations.
const MAX_RESERVE_CONNECTIONS: usize = 4;

/// The purpose of a connection, which determines whether a long-idle pooled connection may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPurpose {
    /// Sending a request. If the connection turns out to be stale, the request may have run, so a connection that has
    /// been idle for long is not used: the saved handshake is not worth the risk.
    Request,
    /// Sending a `DELETE`, which can safely be repeated. Any pooled connection is used, because no new connection can
    /// be established to a worker that has stopped responding.
    Cancellation,
}

/// A worker and the connections to it.
pub struct WorkerEndpoint {
    /// Name of the worker in the endpoint list.
    pub name: String,
    address: Cell<SocketAddr>,
    active: Cell<bool>,
    /// When the worker last started, as listed; 0 for long ago.
    started_s: Cell<f64>,
    pool: ConnectionPool,
    /// Requests from this scheduler that the worker has accepted and not finished.
    accepted_requests: Cell<usize>,
    /// Reserve connections being established.
    reserve_connecting: Cell<usize>,
    connector: Rc<WorkerConnector>,
}

impl WorkerEndpoint {
    /// Creates a worker that is inactive until [`update`](Self::update) is called.
    pub fn new(name: String, address: SocketAddr, connector: Rc<WorkerConnector>) -> Self {
        WorkerEndpoint {
            name,
            address: Cell::new(address),
            active: Cell::new(false),
            started_s: Cell::new(0.0),
            pool: ConnectionPool::default(),
            accepted_requests: Cell::new(0),
            reserve_connecting: Cell::new(0),
            connector,
        }
    }

    /// Applies the worker's entry in the endpoint list. Clears the pool if the address changed or the worker restarted.
    pub fn update(&self, address: SocketAddr, active: bool, started_s: f64) {
        self.active.set(active);
        let has_restarted = self.started_s.replace(started_s) < started_s;
        let has_moved = self.address.replace(address) != address;
        if has_moved || has_restarted {
            self.pool.clear();
        }
    }

    /// Marks the worker as no longer listed. Its connections stay open while an attempt may still need one for a
    /// cancellation.
    pub fn deactivate(&self) {
        self.active.set(false);
    }

    /// Address that the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Whether the worker accepts new requests.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }

    /// Time limit for responses that require no work from the worker.
    pub fn response_timeout(&self) -> Duration {
        self.connector.connect_timeout()
    }

    /// Returns a pooled connection on which nothing has arrived, or else opens a new one.
    ///
    /// # Errors
    /// If no connection could be opened. Nothing has been sent in that case.
    pub async fn acquire_connection(
        this: &Rc<Self>,
        purpose: ConnectionPurpose,
    ) -> Result<WorkerConnection, ConnectError> {
        this.close_idle_connections();
        let max_idle = match purpose {
            ConnectionPurpose::Request => Some(this.connector.trusted_idle()),
            ConnectionPurpose::Cancellation => None,
        };
        while let Some(mut connection) = this.pool.take(max_idle) {
            // A close or a late response in the receive buffer would be taken for the response to the next request.
            if !connection.http.is_open_and_idle() {
                continue;
            }
            this.connector.count_reuse();
            connection.mark_reused();
            Self::fill_reserve(this);
            return Ok(connection);
        }
        this.connector.connect(this.address()).await
    }

    /// Returns a connection to the pool. Its last response must have been read completely.
    pub fn return_to_pool(&self, connection: WorkerConnection) {
        self.pool.add(connection, self.address());
        self.apply_pool_policy();
    }

    /// Closes the pooled connections that the connector's [`PoolPolicy`] does not keep.
    pub fn apply_pool_policy(&self) {
        match self.connector.pool_policy() {
            PoolPolicy::KeepIdle => {}
            PoolPolicy::ReserveOnly => self.pool.shrink_to(self.wanted_reserve()),
        }
    }

    /// Number of pooled connections kept in reserve for cancellations of accepted requests.
    fn wanted_reserve(&self) -> usize {
        self.accepted_requests.get().min(MAX_RESERVE_CONNECTIONS)
    }

    /// Returns whether a connection that broke before a response was stale, that is, reused from the pool. If so,
    /// shortens the trusted idle time.
    pub fn record_if_stale(&self, connection: &WorkerConnection) -> bool {
        let Some(idle_for) = connection.idle_before_use() else { return false };
        self.connector.shorten_trusted_idle(idle_for);
        true
    }

    /// Counts a request as accepted by the worker until the returned guard is dropped.
    pub fn track_accepted_request(this: &Rc<Self>) -> AcceptedRequestGuard {
        this.accepted_requests.set(this.accepted_requests.get() + 1);
        Self::fill_reserve(this);
        AcceptedRequestGuard(Rc::clone(this))
    }

    /// Closes connections that have reached the maximum idle time, before the worker closes them. See
    /// [`WorkerConnector::configure`].
    pub fn close_idle_connections(&self) {
        self.pool.close_idle(self.connector.max_idle());
    }

    /// Opens connections in the background until one is pooled for each request that the worker has accepted, up to
    /// [`MAX_RESERVE_CONNECTIONS`].
    fn fill_reserve(this: &Rc<Self>) {
        let available = this.pool.len() + this.reserve_connecting.get();
        for _ in available..this.wanted_reserve() {
            this.reserve_connecting.set(this.reserve_connecting.get() + 1);
            tokio::task::spawn_local(Self::open_reserve_connection(Rc::clone(this)));
        }
    }

    async fn open_reserve_connection(this: Rc<Self>) {
        let connected = this.connector.connect(this.address()).await;
        this.reserve_connecting.set(this.reserve_connecting.get() - 1);
        // On failure, an attempt that is cancelled opens a connection itself, which may take longer.
        if let Ok(connection) = connected {
            this.return_to_pool(connection);
        }
    }
}

/// Guard for a request that a worker has accepted and not finished. Dropping it decrements the count of such requests.
pub struct AcceptedRequestGuard(Rc<WorkerEndpoint>);

impl Drop for AcceptedRequestGuard {
    fn drop(&mut self) {
        self.0.accepted_requests.set(self.0.accepted_requests.get() - 1);
        self.0.apply_pool_policy();
    }
}
