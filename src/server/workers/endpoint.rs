//! A pool member as the sockets see it: its address, whether it takes work, and the connections kept to it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{timeout, Instant};

use crate::server::attempt_end::AttemptEnd;
use crate::server::descriptor_budget::{DescriptorBudget, DescriptorPermit};
use crate::server::http::Connection;
use crate::server::metrics::Counters;

/// Kept connections to one member. More than these are seldom in use at once: each is free again as soon
/// as the member has taken the job.
const KEPT: usize = 8;
/// The most connections that are kept for giving up jobs.
const SPARES: usize = 4;
/// A kept connection is trusted with a job after so short a while in any case.
const LEAST_FRESH: Duration = Duration::from_millis(100);
/// Growth, in a second, of the time for which kept connections are trusted.
const FRESH_GROWTH: f64 = 1.05;
/// `EMFILE` and `ENFILE`: the process, or the machine, has no descriptor left.
const NO_DESCRIPTOR: [i32; 2] = [24, 23];

/// What all members share: the bounds on connections.
pub struct WorkerConnector {
    /// Descriptors that connections to members may hold.
    budget: Rc<DescriptorBudget>,
    connect_timeout: Cell<Duration>,
    /// A kept connection is closed after this, well before the member would.
    idle: Cell<Duration>,
    /// How long a kept connection may have stood idle to be trusted with a job. Members, and what lies
    /// between, may give idle connections up sooner than they say, and without a word.
    fresh: Cell<Duration>,
    counters: Rc<Counters>,
}

impl WorkerConnector {
    /// For connections within `budget` to members that close theirs after `conn_idle_s`.
    pub fn new(
        budget: Rc<DescriptorBudget>,
        connect_timeout_s: f64,
        conn_idle_s: f64,
        counters: Rc<Counters>,
    ) -> Self {
        let (connect_timeout, idle) = (Cell::default(), Cell::default());
        let dialer =
            WorkerConnector { budget, connect_timeout, idle, fresh: Cell::new(Duration::MAX), counters };
        dialer.configure(connect_timeout_s, conn_idle_s);
        dialer
    }

    /// Takes up new bounds, for the connections that are there as well.
    pub fn configure(&self, connect_timeout_s: f64, conn_idle_s: f64) {
        self.connect_timeout.set(Duration::from_secs_f64(connect_timeout_s.clamp(0.001, 60.0)));
        self.idle.set(Duration::from_secs_f64((conn_idle_s / 2.0).clamp(0.0, 3600.0)));
    }

    /// A connection that stood idle for so long was gone.
    fn was_stale(&self, idle: Duration) {
        self.fresh.set((self.fresh.get().min(idle) / 2).max(LEAST_FRESH));
    }

    /// A second has passed: what was learnt of stale connections fades.
    pub fn relax(&self) {
        self.fresh.set(self.fresh.get().min(self.idle.get()).mul_f64(FRESH_GROWTH));
    }

    /// How long to wait for a member that should answer at once.
    pub fn patience(&self) -> Duration {
        self.connect_timeout.get()
    }
}

/// A connection to a member, good for one request at a time.
pub struct WorkerConnection {
    /// The connection.
    pub http: Connection,
    address: SocketAddr,
    /// For how long it stood idle before this use; `None` if it is new.
    idle: Option<Duration>,
    _share: DescriptorPermit,
}

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// A job, which may have run if the connection turns out to be gone: a fresh one is worth a handshake.
    Job,
    /// A DELETE, which can be sent again. To a member that has fallen silent no new connection comes up.
    Delete,
}

/// One member of the pool.
pub struct WorkerEndpoint {
    /// Its name in the pool.
    pub name: String,
    address: Cell<SocketAddr>,
    active: Cell<bool>,
    started_s: Cell<f64>,
    kept: RefCell<Vec<(Instant, WorkerConnection)>>,
    /// Jobs of this scheduler that the member has taken.
    held: Cell<usize>,
    /// Spare connections that are coming up.
    opening: Cell<usize>,
    dialer: Rc<WorkerConnector>,
}

impl WorkerEndpoint {
    /// A member that takes no work until the pool has said where it is.
    pub fn new(name: String, address: SocketAddr, dialer: Rc<WorkerConnector>) -> Self {
        WorkerEndpoint {
            name,
            address: Cell::new(address),
            active: Cell::new(false),
            started_s: Cell::new(0.0),
            kept: RefCell::default(),
            held: Cell::new(0),
            opening: Cell::new(0),
            dialer,
        }
    }

    /// Takes up what the pool says now. With a new address, or a later start of its process, the kept
    /// connections lead nowhere.
    pub fn update(&self, address: SocketAddr, active: bool, started_s: f64) {
        self.active.set(active);
        let restarted = self.started_s.replace(started_s) < started_s;
        if self.address.replace(address) != address || restarted {
            self.kept.borrow_mut().clear();
        }
    }

    /// It left the pool. Its connections stay for as long as a flow may need one to give up its job.
    pub fn left(&self) {
        self.active.set(false);
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Whether it takes work.
    pub fn is_active(&self) -> bool {
        self.active.get()
    }

    /// How long to wait for it where it should answer at once.
    pub fn patience(&self) -> Duration {
        self.dialer.patience()
    }

    /// A kept connection on which nothing has arrived, else a new one, within the connect timeout.
    ///
    /// # Errors
    /// Why there is none; nothing was sent then.
    pub async fn connection(this: &Rc<Self>, wanted: Use) -> Result<WorkerConnection, AttemptEnd> {
        this.prune();
        loop {
            // The last one is the one that was in use last.
            let trusted = |since: Instant| wanted == Use::Delete || since.elapsed() < this.dialer.fresh.get();
            let last = this.kept.borrow_mut().pop_if(|(since, _)| trusted(*since));
            let Some((since, mut kept)) = last else { break };
            // A close or a late answer that is waiting there would be taken for the next answer.
            if kept.http.is_quiet() {
                this.dialer.counters.member_reuses.add();
                kept.idle = Some(since.elapsed());
                Self::stock(this);
                return Ok(kept);
            }
        }
        this.connect().await
    }

    /// Whether a connection that broke before anything came was a kept one; what that teaches is noted.
    pub fn is_stale(&self, connection: &WorkerConnection) -> bool {
        connection.idle.inspect(|&idle| self.dialer.was_stale(idle)).is_some()
    }

    async fn connect(&self) -> Result<WorkerConnection, AttemptEnd> {
        let share = DescriptorBudget::take(&self.dialer.budget).ok_or(AttemptEnd::NoDescriptor)?;
        let address = self.address.get();
        self.dialer.counters.member_connects.add();
        match timeout(self.dialer.patience(), Connection::connect(address)).await {
            Ok(Ok(http)) => Ok(WorkerConnection { http, address, idle: None, _share: share }),
            Ok(Err(error)) if error.raw_os_error().is_some_and(|e| NO_DESCRIPTOR.contains(&e)) => {
                Err(AttemptEnd::NoDescriptor)
            }
            Ok(Err(_)) => Err(AttemptEnd::ConnectRefused),
            Err(_) => Err(AttemptEnd::ConnectTimedOut),
        }
    }

    /// Counts a job as taken by the member for as long as the value lives.
    pub fn hold(this: &Rc<Self>) -> Held {
        this.held.set(this.held.get() + 1);
        Self::stock(this);
        Held(Rc::clone(this))
    }

    /// Sees to it that a connection is kept for each job that the member holds. To give up a job at a member
    /// that has fallen silent, a DELETE must be written, and by then no new connection comes up, while those
    /// that are there are taken by requests that wait in vain. The spare ones come up beside the traffic.
    fn stock(this: &Rc<Self>) {
        let there = this.kept.borrow().len() + this.opening.get();
        for _ in there..this.held.get().min(SPARES) {
            this.opening.set(this.opening.get() + 1);
            let this = Rc::clone(this);
            tokio::task::spawn_local(async move {
                let connection = this.connect().await;
                this.opening.set(this.opening.get() - 1);
                // Without it, giving up may take longer; the flow that needs one tries for itself.
                let _ = connection.map(|connection| this.keep(connection));
            });
        }
    }

    /// Keeps a connection whose last answer has been read whole.
    pub fn keep(&self, connection: WorkerConnection) {
        let mut kept = self.kept.borrow_mut();
        if connection.address == self.address.get() && connection.http.is_quiet() {
            if kept.len() >= KEPT {
                kept.remove(0); // it has stood idle for longest
            }
            kept.push((Instant::now(), connection));
        }
    }

    /// Closes connections that stood idle for long: the member would close them, and a request that
    /// crosses that close ends as a reset that may have run.
    pub fn prune(&self) {
        self.kept.borrow_mut().retain(|(since, _)| since.elapsed() < self.dialer.idle.get());
    }
}

/// A job that the member has taken.
pub struct Held(Rc<WorkerEndpoint>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.held.set(self.0.held.get() - 1);
    }
}
