//! Limits the file descriptors used by the frontend and by worker connections. The limits can change at run time.
//!
//! Each side acquires a [`DescriptorPermit`] before it opens a socket and drops it with the socket. For the handling of
//! an exhausted budget, see `frontend/accept_loop.rs` and `workers/connector.rs`.
//!
//! # Upgrades
//!
//! The processes of an upgrade share the descriptors by what each of them holds. A process tells its successor how many
//! descriptors it and the processes before it reserve ([`DescriptorReservation`]), and the successor may use the rest.
//!
//! - Until the successor serves, a process reserves what it uses and some headroom. The successor needs few descriptors
//!   then, so the process may exceed its reservation until the next report.
//! - Once the successor serves, the reservation only shrinks, so a report that is on its way is never too low. If the
//!   process hangs, the successor still has all that the process does not hold.
//! - A client connection that is handed over takes its descriptor along ([`DescriptorBudget::adopt`]).
//!
//! A process that sends no reports, because its build does not know them, is assumed to hold half.

use std::cell::Cell;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::server::metrics::{BudgetMetrics, DescriptorMetrics};

/// Tenths of the descriptors for connections from clients and for workers' callbacks.
const FRONTEND_TENTHS: usize = 6;
/// Tenths of the descriptors for connections to workers. The remaining tenth is for the operator interface, discovery,
/// the listener, the handover link, the configuration, the runtime and the standard streams.
const WORKER_TENTHS: usize = 3;
/// While a successor starts, this fraction of a budget is reserved on top of what is in use. It covers the sockets that
/// are opened between two reports.
const STARTING_HEADROOM_DIVISOR: usize = 4;
/// Once a successor serves, this fraction of the worker budget is kept free for requests that cannot migrate, and for
/// cancellations.
const REPLACED_WORKER_HEADROOM_DIVISOR: usize = 8;
/// The part of a budget held by a process of a build that does not report its reservation.
const OTHER_BUILD_DIVISOR: usize = 2;

/// The descriptors reserved by a process and by all processes before it in an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DescriptorReservation {
    /// For connections from clients and for workers' callbacks.
    pub frontend: u32,
    /// For connections to workers.
    pub workers: u32,
}

/// The process that takes over from this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SuccessorState {
    /// There is none.
    #[default]
    Absent,
    /// It has connected and does not serve yet.
    Starting,
    /// It serves and reads reports of reservations.
    Serving,
    /// It serves and cannot read reports of reservations.
    ServingOtherBuild,
}

/// What the processes before this one hold of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PredecessorShare {
    /// There is no predecessor.
    Absent,
    /// The predecessor has not reported yet, or cannot.
    Unreported,
    /// The predecessor has reported this reservation.
    Reported(usize),
}

/// The budgets of the frontend and of worker connections.
pub struct DescriptorBudgets {
    frontend: Rc<DescriptorBudget>,
    workers: Rc<DescriptorBudget>,
    /// Notified when a reservation may have changed.
    changed: Rc<Notify>,
}

impl DescriptorBudgets {
    /// Splits `limit` descriptors for a single process.
    pub fn new(limit: usize, metrics: &DescriptorMetrics) -> Self {
        let changed = Rc::new(Notify::new());
        let budget = |metrics: &Rc<BudgetMetrics>, headroom_divisor| {
            DescriptorBudget::with(headroom_divisor, Rc::clone(&changed), Rc::clone(metrics))
        };
        let frontend = budget(&metrics.frontend, None); // a replaced process accepts no connections
        let workers = budget(&metrics.workers, Some(REPLACED_WORKER_HEADROOM_DIVISOR));
        let budgets = DescriptorBudgets { frontend, workers, changed };
        budgets.configure(limit);
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

    /// Sets the number of descriptors that the platform allows to all processes together.
    pub fn configure(&self, limit: usize) {
        self.frontend.set_total(limit * FRONTEND_TENTHS / 10);
        self.workers.set_total(limit * WORKER_TENTHS / 10);
    }

    /// Records that this process takes over from a predecessor.
    pub fn predecessor_joined(&self) {
        self.frontend.set_predecessor_share(PredecessorShare::Unreported);
        self.workers.set_predecessor_share(PredecessorShare::Unreported);
    }

    /// Records what the predecessor and the processes before it reserve.
    pub fn predecessor_reported(&self, reservation: DescriptorReservation) {
        let DescriptorReservation { frontend, workers } = reservation;
        self.frontend.set_predecessor_share(PredecessorShare::Reported(frontend as usize));
        self.workers.set_predecessor_share(PredecessorShare::Reported(workers as usize));
    }

    /// Records that the predecessor has exited.
    pub fn predecessor_exited(&self) {
        self.frontend.set_predecessor_share(PredecessorShare::Absent);
        self.workers.set_predecessor_share(PredecessorShare::Absent);
    }

    /// Records a change of the process that takes over from this one.
    pub fn set_successor(&self, successor: SuccessorState) {
        self.frontend.set_successor(successor);
        self.workers.set_successor(successor);
    }

    /// What this process and the processes before it reserve, to be reported to the successor.
    pub fn reservation(&self) -> DescriptorReservation {
        let saturating = |descriptors: usize| u32::try_from(descriptors).unwrap_or(u32::MAX);
        DescriptorReservation {
            frontend: saturating(self.frontend.reserved_with_predecessors()),
            workers: saturating(self.workers.reserved_with_predecessors()),
        }
    }

    /// Waits until a reservation may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

/// A limited number of descriptors, of which some are in use. The processes of an upgrade share it.
pub struct DescriptorBudget {
    /// The descriptors of all processes together.
    total: Cell<usize>,
    in_use: Cell<usize>,
    predecessor_share: Cell<PredecessorShare>,
    successor: Cell<SuccessorState>,
    /// What this process may use while its successor serves. It only shrinks, except with adopted descriptors.
    reserved: Cell<usize>,
    /// The fraction of `total` that is reserved on top of what is in use once a successor serves.
    replaced_headroom_divisor: Option<usize>,
    freed: Notify,
    changed: Rc<Notify>,
    metrics: Rc<BudgetMetrics>,
}

impl DescriptorBudget {
    /// Creates a budget with no descriptor in use.
    pub fn new(total: usize) -> Rc<Self> {
        let budget = Self::with(None, Rc::default(), Rc::default());
        budget.set_total(total);
        budget
    }

    fn with(
        replaced_headroom_divisor: Option<usize>,
        changed: Rc<Notify>,
        metrics: Rc<BudgetMetrics>,
    ) -> Rc<Self> {
        Rc::new(DescriptorBudget {
            total: Cell::new(0),
            in_use: Cell::new(0),
            predecessor_share: Cell::new(PredecessorShare::Absent),
            successor: Cell::default(),
            reserved: Cell::new(0),
            replaced_headroom_divisor,
            freed: Notify::new(),
            changed,
            metrics,
        })
    }

    /// Acquires one descriptor. Returns `None` if this process may use no more.
    pub fn try_acquire(this: &Rc<Self>) -> Option<DescriptorPermit> {
        if this.in_use.get() >= this.limit() {
            return None;
        }
        this.set_in_use(this.in_use.get() + 1);
        Some(DescriptorPermit(Rc::clone(this)))
    }

    /// Counts a descriptor that the predecessor has handed over. It always succeeds, because the descriptor is already
    /// open: it moves from the predecessor's reservation to this process.
    pub fn adopt(this: &Rc<Self>) -> DescriptorPermit {
        if let PredecessorShare::Reported(held) = this.predecessor_share.get() {
            this.predecessor_share.set(PredecessorShare::Reported(held.saturating_sub(1)));
        }
        this.reserved.set(this.reserved.get() + 1);
        this.set_in_use(this.in_use.get() + 1);
        DescriptorPermit(Rc::clone(this))
    }

    /// Waits until a descriptor is released or the limit changes.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Returns the number of descriptors in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Returns the maximum number of descriptors in use. Permits above a lowered limit stay valid until they are
    /// dropped.
    pub fn limit(&self) -> usize {
        match self.successor.get() {
            SuccessorState::Absent | SuccessorState::Starting => self.share(),
            SuccessorState::Serving => self.share().min(self.reserved.get()),
            SuccessorState::ServingOtherBuild => self.share().min(self.total.get() / OTHER_BUILD_DIVISOR),
        }
    }

    /// Whether more descriptors are in use than the limit allows, because it was lowered.
    pub fn is_exceeded(&self) -> bool {
        self.in_use.get() > self.limit()
    }

    /// Returns the number of descriptors that the processes before this one do not hold. Unlike [`Self::limit`], it
    /// does not shrink while a successor serves.
    pub fn share(&self) -> usize {
        self.total.get().saturating_sub(self.held_by_predecessors())
    }

    fn held_by_predecessors(&self) -> usize {
        match self.predecessor_share.get() {
            PredecessorShare::Absent => 0,
            PredecessorShare::Unreported => self.total.get() / OTHER_BUILD_DIVISOR,
            PredecessorShare::Reported(held) => held,
        }
    }

    /// What this process and the processes before it reserve.
    fn reserved_with_predecessors(&self) -> usize {
        let reserved_here = match self.successor.get() {
            SuccessorState::Absent | SuccessorState::Starting => {
                self.in_use_and(self.total.get() / STARTING_HEADROOM_DIVISOR)
            }
            SuccessorState::Serving => self.reserved.get(),
            SuccessorState::ServingOtherBuild => self.limit(),
        };
        reserved_here + self.held_by_predecessors()
    }

    /// What is in use, and headroom as far as the share allows it.
    fn in_use_and(&self, headroom: usize) -> usize {
        let in_use = self.in_use.get();
        in_use.max(self.share().min(in_use + headroom))
    }

    fn replaced_headroom(&self) -> usize {
        self.replaced_headroom_divisor.map_or(0, |divisor| self.total.get().div_ceil(divisor))
    }

    fn set_total(&self, total: usize) {
        self.total.set(total);
        self.limit_changed();
    }

    fn set_predecessor_share(&self, share: PredecessorShare) {
        self.predecessor_share.set(share);
        self.limit_changed();
    }

    fn set_successor(&self, successor: SuccessorState) {
        if self.successor.replace(successor) != successor {
            self.reserved.set(self.in_use_and(self.replaced_headroom()));
        }
        self.limit_changed();
    }

    fn set_in_use(&self, in_use: usize) {
        self.in_use.set(in_use);
        self.metrics.in_use.set(in_use);
        self.update_reservation();
    }

    /// A raised limit frees descriptors.
    fn limit_changed(&self) {
        self.update_reservation();
        self.freed.notify_one();
    }

    fn update_reservation(&self) {
        self.reserved.set(self.reserved.get().min(self.in_use_and(self.replaced_headroom())));
        self.metrics.limit.set(self.limit());
        self.changed.notify_one();
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

#[cfg(test)]
mod tests;
