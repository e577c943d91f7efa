//! Opens connections to workers, within the connect timeout and the descriptor budget. Also tracks how long a pooled
//! connection may be idle and still be trusted with a request. One connector serves all workers.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::server::attempt_end::AttemptEnd;
use crate::server::descriptor_budget::DescriptorBudget;
use crate::server::http::Connection;
use crate::server::metrics::Counters;
use crate::server::workers::connection::WorkerConnection;

/// Lower bound of the trusted idle time. A pooled connection that has been idle for less may always be reused.
const MIN_TRUSTED_IDLE: Duration = Duration::from_millis(100);
/// Factor by which the trusted idle time grows each second until it reaches its maximum again.
const TRUSTED_IDLE_GROWTH: f64 = 1.05;
/// `ENFILE`: the system-wide limit on open files is reached (errno(3)).
const ENFILE: i32 = 23;
/// `EMFILE`: the per-process limit on open files is reached (errno(3)).
const EMFILE: i32 = 24;

/// Error while connecting to a worker. Nothing has been sent to the worker.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The descriptor budget, or the limit of the process or the system, is exhausted.
    #[error("no file descriptor available for a connection to a worker")]
    NoDescriptor,
    /// The worker's host refused the connection, or the network reported a failure.
    #[error("cannot connect to the worker at {address}: {source}")]
    Refused {
        /// Address of the worker.
        address: SocketAddr,
        /// Error reported by the operating system.
        source: io::Error,
    },
    /// The connection was not established within the connect timeout.
    #[error("connecting to the worker at {address} timed out after {limit:?}")]
    TimedOut {
        /// Address of the worker.
        address: SocketAddr,
        /// The connect timeout.
        limit: Duration,
    },
}

impl From<ConnectError> for AttemptEnd {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::NoDescriptor => AttemptEnd::NoDescriptor,
            ConnectError::Refused { .. } => AttemptEnd::ConnectRefused,
            ConnectError::TimedOut { .. } => AttemptEnd::ConnectTimedOut,
        }
    }
}

/// Which connections to a worker stay open while no attempt uses them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PoolPolicy {
    /// Idle connections are pooled for further requests.
    #[default]
    KeepIdle,
    /// Only connections that a cancellation of an accepted request may need are kept.
    ReserveOnly,
}

/// Opens connections to workers.
pub struct WorkerConnector {
    /// Descriptor budget for connections to workers.
    budget: Rc<DescriptorBudget>,
    connect_timeout: Cell<Duration>,
    /// Idle time after which a pooled connection is closed.
    max_idle: Cell<Duration>,
    /// Idle time up to which a pooled connection is used for requests. Adaptive, because workers and middleboxes may
    /// close idle connections earlier than configured and without notice.
    trusted_idle: Cell<Duration>,
    pool_policy: Cell<PoolPolicy>,
    counters: Rc<Counters>,
}

impl WorkerConnector {
    /// Creates a connector that opens connections within `budget`, to workers that close idle connections after
    /// `connection_idle_timeout_s`.
    pub fn new(
        budget: Rc<DescriptorBudget>,
        connect_timeout_s: f64,
        connection_idle_timeout_s: f64,
        counters: Rc<Counters>,
    ) -> Self {
        let connector = WorkerConnector {
            budget,
            connect_timeout: Cell::default(),
            max_idle: Cell::default(),
            trusted_idle: Cell::new(Duration::MAX),
            pool_policy: Cell::default(),
            counters,
        };
        connector.configure(connect_timeout_s, connection_idle_timeout_s);
        connector
    }

    /// Applies changed settings, also to open connections.
    ///
    /// Pooled connections are closed after half the worker's own idle timeout. If the worker closed one while a request
    /// was on its way, the attempt would end with a reset, and the request might have run.
    pub fn configure(&self, connect_timeout_s: f64, connection_idle_timeout_s: f64) {
        self.connect_timeout.set(Duration::from_secs_f64(connect_timeout_s.clamp(0.001, 60.0)));
        self.max_idle.set(Duration::from_secs_f64((connection_idle_timeout_s / 2.0).clamp(0.0, 3600.0)));
    }

    /// Time limit for connecting, and for responses that require no work from the worker.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// Sets which idle connections stay open. Each worker applies it to its pool when that changes, or on
    /// [`WorkerEndpoint::apply_pool_policy`](super::endpoint::WorkerEndpoint::apply_pool_policy).
    pub fn set_pool_policy(&self, policy: PoolPolicy) {
        self.pool_policy.set(policy);
    }

    /// Which idle connections stay open now. No surplus is kept above a descriptor limit that has been lowered.
    pub(super) fn pool_policy(&self) -> PoolPolicy {
        if self.budget.is_exceeded() {
            return PoolPolicy::ReserveOnly;
        }
        self.pool_policy.get()
    }

    /// Lets the trusted idle time recover after stale connections have shortened it. Called once a second.
    pub fn recover_trusted_idle(&self) {
        let trusted_idle = self.trusted_idle.get().min(self.max_idle.get());
        self.trusted_idle.set(trusted_idle.mul_f64(TRUSTED_IDLE_GROWTH));
    }

    /// Shortens the trusted idle time to at most half of `idle_for`, the idle time of a connection that was stale.
    pub(super) fn shorten_trusted_idle(&self, idle_for: Duration) {
        let half = self.trusted_idle.get().min(idle_for) / 2;
        self.trusted_idle.set(half.max(MIN_TRUSTED_IDLE));
    }

    pub(super) fn max_idle(&self) -> Duration {
        self.max_idle.get()
    }

    pub(super) fn trusted_idle(&self) -> Duration {
        self.trusted_idle.get()
    }

    pub(super) fn count_reuse(&self) {
        self.counters.member_reuses.add();
    }

    /// Opens a connection to the worker at `address`.
    ///
    /// # Errors
    /// If no descriptor is available, or the connection fails or times out.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<WorkerConnection, ConnectError> {
        let Some(permit) = DescriptorBudget::try_acquire(&self.budget) else {
            return Err(ConnectError::NoDescriptor);
        };
        self.counters.member_connects.add();
        let limit = self.connect_timeout();
        match timeout(limit, Connection::connect(address)).await {
            Ok(Ok(http)) => Ok(WorkerConnection::new(http, address, permit)),
            Ok(Err(error)) if matches!(error.raw_os_error(), Some(ENFILE | EMFILE)) => {
                Err(ConnectError::NoDescriptor)
            }
            Ok(Err(source)) => Err(ConnectError::Refused { address, source }),
            Err(_) => Err(ConnectError::TimedOut { address, limit }),
        }
    }
}
