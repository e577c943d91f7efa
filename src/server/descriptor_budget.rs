//! Limits the file descriptors used by the frontend and by worker connections. The limits can change at run time.
//!
//! Each side acquires a [`DescriptorPermit`] before it opens a socket and drops it with the socket. For the handling of
//! an exhausted budget, see `frontend/accept_loop.rs` and `workers/connector.rs`.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::server::metrics::{BudgetMetrics, DescriptorMetrics};

/// Tenths of the descriptors for connections from clients and for workers' callbacks.
const FRONTEND_TENTHS: usize = 6;
/// Tenths of the descriptors for connections to workers. The remaining tenth is for the operator interface, discovery,
/// the listener, the handover link, the configuration, the runtime and the standard streams.
const WORKER_TENTHS: usize = 3;

/// Splits the descriptors that the platform allows between the frontend and worker connections. The processes of an
/// upgrade share them equally.
pub struct DescriptorBudgets {
    limit: Cell<usize>,
    processes: Cell<usize>,
    frontend: Rc<DescriptorBudget>,
    workers: Rc<DescriptorBudget>,
}

impl DescriptorBudgets {
    /// Splits `limit` descriptors for a single process.
    pub fn new(limit: usize, metrics: &DescriptorMetrics) -> Self {
        let budgets = DescriptorBudgets {
            limit: Cell::new(limit),
            processes: Cell::new(1),
            frontend: DescriptorBudget::with_metrics(0, Rc::clone(&metrics.frontend)),
            workers: DescriptorBudget::with_metrics(0, Rc::clone(&metrics.workers)),
        };
        budgets.apply();
        budgets
    }

    /// Returns the budget for connections from clients and for workers' callbacks.
    pub fn frontend(&self) -> Rc<DescriptorBudget> {
        Rc::clone(&self.frontend)
    }

    /// Returns the budget for connections to workers.
    pub fn workers(&self) -> Rc<DescriptorBudget> {
        Rc::clone(&self.workers)
    }

    /// Sets the number of descriptors that the platform allows.
    pub fn configure(&self, limit: usize) {
        self.limit.set(limit);
        self.apply();
    }

    /// Sets the number of processes that share the descriptors.
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

/// A limited number of descriptors, of which some are in use.
pub struct DescriptorBudget {
    limit: Cell<usize>,
    in_use: Cell<usize>,
    freed: Notify,
    metrics: Rc<BudgetMetrics>,
}

impl DescriptorBudget {
    /// Creates a budget with no descriptor in use.
    pub fn new(limit: usize) -> Rc<Self> {
        Self::with_metrics(limit, Rc::default())
    }

    /// Creates a budget with no descriptor in use, which keeps `metrics` up to date.
    fn with_metrics(limit: usize, metrics: Rc<BudgetMetrics>) -> Rc<Self> {
        metrics.limit.set(limit);
        let (limit, in_use) = (Cell::new(limit), Cell::new(0));
        Rc::new(DescriptorBudget { limit, in_use, freed: Notify::new(), metrics })
    }

    /// Acquires one descriptor. Returns `None` if all are in use.
    pub fn try_acquire(this: &Rc<Self>) -> Option<DescriptorPermit> {
        if this.in_use.get() >= this.limit.get() {
            return None;
        }
        this.set_in_use(this.in_use.get() + 1);
        Some(DescriptorPermit(Rc::clone(this)))
    }

    /// Waits until a descriptor is released or the limit changes.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Returns the number of descriptors in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    fn set_in_use(&self, in_use: usize) {
        self.in_use.set(in_use);
        self.metrics.in_use.set(in_use);
    }

    /// Returns the maximum number of descriptors in use.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Sets the maximum number of descriptors in use. Permits above a lowered limit stay valid until they are dropped.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.metrics.limit.set(limit);
        self.freed.notify_one(); // a raised limit frees descriptors
    }
}

/// One descriptor of a budget, released on drop.
pub struct DescriptorPermit(Rc<DescriptorBudget>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.set_in_use(self.0.in_use.get() - 1);
        self.0.freed.notify_one();
    }
}
