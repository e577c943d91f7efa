//! How connections to workers come up: connect time-out, descriptor budget, and how long an idle connection is
//! trusted. One for all workers.

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

/// A pooled connection that has been idle for less than this is always trusted with a request.
const MIN_TRUSTED_IDLE: Duration = Duration::from_millis(100);
/// Factor by which the trusted idle time recovers each second.
const TRUSTED_IDLE_RECOVERY: f64 = 1.05;
/// `ENFILE`: the machine has no file descriptor left (errno(3)).
const ENFILE: i32 = 23;
/// `EMFILE`: the process has no file descriptor left (errno(3)).
const EMFILE: i32 = 24;

/// Why no connection came up. Nothing was sent then.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The descriptor budget, the process or the machine is exhausted.
    #[error("no file descriptor left for a connection to a worker")]
    NoDescriptor,
    /// The worker's machine refused, or the network reported a failure.
    #[error("connection to the worker at {address} refused")]
    Refused {
        /// Where to.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The connect time-out passed.
    #[error("connection to the worker at {address} not up within {limit:?}")]
    TimedOut {
        /// Where to.
        address: SocketAddr,
        /// The time-out.
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

/// Opens connections to workers.
pub struct WorkerConnector {
    /// Descriptors that connections to workers may use.
    budget: Rc<DescriptorBudget>,
    connect_timeout: Cell<Duration>,
    /// A pooled connection is closed after this.
    max_idle: Cell<Duration>,
    /// A pooled connection that has been idle for longer gets no request: workers, and what lies between, may close
    /// idle connections sooner than configured, and without notice.
    trusted_idle: Cell<Duration>,
    counters: Rc<Counters>,
}

impl WorkerConnector {
    /// Opens connections within `budget` to workers that close idle ones after `connection_idle_timeout_s`.
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
            counters,
        };
        connector.configure(connect_timeout_s, connection_idle_timeout_s);
        connector
    }

    /// Applies changed settings, to open connections as well. A pooled connection is closed after half the worker's
    /// own time-out: a request that crosses the worker's close ends as a reset, and may have run.
    pub fn configure(&self, connect_timeout_s: f64, connection_idle_timeout_s: f64) {
        self.connect_timeout.set(Duration::from_secs_f64(connect_timeout_s.clamp(0.001, 60.0)));
        self.max_idle.set(Duration::from_secs_f64((connection_idle_timeout_s / 2.0).clamp(0.0, 3600.0)));
    }

    /// Within what time a connection comes up, and a worker answers what needs no work.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// Called once a second: the trusted idle time, shortened by stale connections, recovers.
    pub fn recover_trusted_idle(&self) {
        let trusted_idle = self.trusted_idle.get().min(self.max_idle.get());
        self.trusted_idle.set(trusted_idle.mul_f64(TRUSTED_IDLE_RECOVERY));
    }

    /// A connection that had been idle for this long was stale: such a time is trusted no more.
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

    /// Opens a connection.
    ///
    /// # Errors
    /// Why none came up.
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
