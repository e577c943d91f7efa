//! One worker as the endpoint list describes it: its address, whether it accepts requests, and the connections to it.
//!
//! An attempt gets a pooled connection if there is one on which nothing has arrived, else a new one. To cancel a
//! request at a worker that no longer answers, a `DELETE` must still be written, and no new connection comes up then;
//! so connections are held in reserve for the requests that the worker has accepted.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::server::workers::connection::WorkerConnection;
use crate::server::workers::connection_pool::ConnectionPool;
use crate::server::workers::connector::{ConnectError, WorkerConnector};

/// The most connections that are held in reserve for cancellations.
const MAX_RESERVE: usize = 4;

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPurpose {
    /// A request. It may have run if a stale connection breaks under it, so a connection that has been idle for long
    /// is not worth the handshake that it saves.
    Request,
    /// A `DELETE`, which can be sent again. To a worker that no longer answers, no new connection comes up.
    Cancellation,
}

/// One worker.
pub struct WorkerEndpoint {
    /// Its name in the endpoint list.
    pub name: String,
    address: Cell<SocketAddr>,
    active: Cell<bool>,
    started_s: Cell<f64>,
    pool: ConnectionPool,
    /// Requests of this scheduler that the worker has accepted and not finished.
    accepted_requests: Cell<usize>,
    /// Reserve connections that are coming up.
    connecting: Cell<usize>,
    connector: Rc<WorkerConnector>,
}

impl WorkerEndpoint {
    /// A worker that is inactive until [`update`](Self::update).
    pub fn new(name: String, address: SocketAddr, connector: Rc<WorkerConnector>) -> Self {
        WorkerEndpoint {
            name,
            address: Cell::new(address),
            active: Cell::new(false),
            started_s: Cell::new(0.0),
            pool: ConnectionPool::default(),
            accepted_requests: Cell::new(0),
            connecting: Cell::new(0),
            connector,
        }
    }

    /// Applies its entry in the endpoint list. After a move or a restart the pooled connections lead nowhere.
    pub fn update(&self, address: SocketAddr, active: bool, started_s: f64) {
        self.active.set(active);
        let has_restarted = self.started_s.replace(started_s) < started_s;
        let has_moved = self.address.replace(address) != address;
        if has_moved || has_restarted {
            self.pool.clear();
        }
    }

    /// It is no longer listed. Its connections stay for as long as an attempt may need one for a cancellation.
    pub fn deactivate(&self) {
        self.active.set(false);
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Whether it accepts new requests.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }

    /// Within what time it answers what needs no work.
    pub fn response_timeout(&self) -> Duration {
        self.connector.connect_timeout()
    }

    /// A pooled connection on which nothing has arrived, else a new one.
    ///
    /// # Errors
    /// Why there is none; nothing was sent then.
    pub async fn connection(
        this: &Rc<Self>,
        purpose: ConnectionPurpose,
    ) -> Result<WorkerConnection, ConnectError> {
        this.close_idle_connections();
        let max_idle = match purpose {
            ConnectionPurpose::Request => Some(this.connector.trusted_idle()),
            ConnectionPurpose::Cancellation => None,
        };
        while let Some(mut connection) = this.pool.take(max_idle) {
            // A close or a late response that waits there would be taken for the next response.
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

    /// Pools a connection whose last response has been read to its end.
    pub fn return_to_pool(&self, connection: WorkerConnection) {
        self.pool.add(connection, self.address());
    }

    /// Whether a connection that broke before a response had been pooled before. If so, idle connections are trusted
    /// for a shorter time from now on.
    pub fn record_if_stale(&self, connection: &WorkerConnection) -> bool {
        let Some(idle_for) = connection.idle_before_use() else { return false };
        self.connector.shorten_trusted_idle(idle_for);
        true
    }

    /// Counts a request as accepted by the worker for as long as the result lives.
    pub fn request_accepted(this: &Rc<Self>) -> AcceptedRequest {
        this.accepted_requests.set(this.accepted_requests.get() + 1);
        Self::fill_reserve(this);
        AcceptedRequest(Rc::clone(this))
    }

    /// Closes connections that have been idle for long: the worker would close them, and a request that crosses its
    /// close ends as a reset and may have run.
    pub fn close_idle_connections(&self) {
        self.pool.close_idle_for(self.connector.max_idle());
    }

    /// Opens connections until one is pooled for each request that the worker has accepted, up to [`MAX_RESERVE`].
    /// They come up beside the traffic.
    fn fill_reserve(this: &Rc<Self>) {
        let available = this.pool.len() + this.connecting.get();
        let wanted = this.accepted_requests.get().min(MAX_RESERVE);
        for _ in available..wanted {
            this.connecting.set(this.connecting.get() + 1);
            tokio::task::spawn_local(Self::open_reserve(Rc::clone(this)));
        }
    }

    async fn open_reserve(this: Rc<Self>) {
        let connected = this.connector.connect(this.address()).await;
        this.connecting.set(this.connecting.get() - 1);
        // Without a reserve a cancellation may take longer: the attempt that needs a connection opens one itself.
        if let Ok(connection) = connected {
            this.return_to_pool(connection);
        }
    }
}

/// A request that a worker has accepted and not finished.
pub struct AcceptedRequest(Rc<WorkerEndpoint>);

impl Drop for AcceptedRequest {
    fn drop(&mut self) {
        self.0.accepted_requests.set(self.0.accepted_requests.get() - 1);
    }
}
