//! How many file descriptors each side of the scheduler may hold. The figures may change while it runs.
//!
//! A side takes a [`DescriptorPermit`] before it opens a socket and drops it with the socket. What happens when none is
//! left is the side's own matter: see `frontend/accept_loop.rs` and `workers/connector.rs`.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Of ten descriptors, those for connections of clients and of workers' callbacks.
const FRONTEND_TENTHS: usize = 6;
/// Of ten descriptors, those for connections to workers. The rest is for the operator interface, discovery, the
/// listener, the link of an upgrade, the configuration, the runtime and the standard streams.
const WORKER_TENTHS: usize = 3;

/// The descriptors that the platform allows, split between the sides of the scheduler. The processes of an upgrade have
/// equal parts of them.
pub struct DescriptorBudgets {
    limit: Cell<usize>,
    processes: Cell<usize>,
    frontend: Rc<DescriptorBudget>,
    workers: Rc<DescriptorBudget>,
}

impl DescriptorBudgets {
    /// Splits `limit` descriptors for a process that is alone.
    pub fn new(limit: usize) -> Self {
        let budgets = DescriptorBudgets {
            limit: Cell::new(limit),
            processes: Cell::new(1),
            frontend: DescriptorBudget::new(0),
            workers: DescriptorBudget::new(0),
        };
        budgets.apply();
        budgets
    }

    /// For connections of clients and of workers' callbacks.
    pub fn frontend(&self) -> Rc<DescriptorBudget> {
        Rc::clone(&self.frontend)
    }

    /// For connections to workers.
    pub fn workers(&self) -> Rc<DescriptorBudget> {
        Rc::clone(&self.workers)
    }

    /// Sets how many descriptors the platform allows.
    pub fn configure(&self, limit: usize) {
        self.limit.set(limit);
        self.apply();
    }

    /// Sets how many processes share the descriptors.
    pub fn set_processes(&self, processes: usize) {
        self.processes.set(processes);
        self.apply();
    }

    fn apply(&self) {
        let limit = self.limit.get() / self.processes.get().max(1);
        self.frontend.set_limit(limit * FRONTEND_TENTHS / 10);
        self.workers.set_limit(limit * WORKER_TENTHS / 10);
    }
}

/// A number of descriptors and how many of them are in use.
#[derive(Debug)]
pub struct DescriptorBudget {
    limit: Cell<usize>,
    in_use: Cell<usize>,
    freed: Notify,
}

impl DescriptorBudget {
    /// A budget of which nothing is in use.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(DescriptorBudget { limit: Cell::new(limit), in_use: Cell::new(0), freed: Notify::new() })
    }

    /// Takes one descriptor; `None` where all are in use.
    pub fn try_acquire(this: &Rc<Self>) -> Option<DescriptorPermit> {
        if this.in_use.get() >= this.limit.get() {
            return None;
        }
        this.in_use.set(this.in_use.get() + 1);
        Some(DescriptorPermit(Rc::clone(this)))
    }

    /// Waits until one has been given back, or the limit has changed.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// How many may be in use.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Sets how many may be in use. What is in use beyond a lower limit stays in use until it is given back.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.freed.notify_one(); // some may be free now
    }
}

/// One descriptor of a budget, given back when dropped.
#[derive(Debug)]
pub struct DescriptorPermit(Rc<DescriptorBudget>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
        self.0.freed.notify_one();
    }
}
