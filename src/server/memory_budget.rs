//! Limits the memory that messages of clients and workers hold, whatever they send and however slowly.
//!
//! The budget is a part of the memory that the platform allows to the scheduler. Each connection may hold
//! [`UNCHARGED_BYTES`] beyond it, so that small messages are received however short the memory is; the descriptor budget
//! limits the number of connections. What exceeds that is charged: while a message is received to its connection, later to
//! the message itself ([`HeldMemory`]), until nothing refers to it any more.
//!
//! Received messages may hold half of the budget. Above three quarters, connections that are still receiving are evicted
//! ([`MemoryBudget::excess`]); at the limit a message that needs more is rejected.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::config::ProcessLimits;
use crate::server::metrics::BudgetMetrics;

#[cfg(test)]
mod tests;

/// Memory of a connection that is not charged, in bytes.
pub const UNCHARGED_BYTES: usize = 4096;
/// Memory of the two processes of an upgrade without connections, in bytes.
const PROCESSES_BYTES: usize = 16 * 1024 * 1024;
/// Memory of a connection besides what is charged, in bytes.
const CONNECTION_BYTES: usize = 8 * 1024;
/// The part of the remaining memory that the budget takes, as a divisor. Two processes of an upgrade have one each, and the
/// allocator needs more than is charged.
const BUDGET_DIVISOR: usize = 3;
/// The budget is not smaller than this however little memory there is, in bytes.
const MIN_BUDGET_BYTES: usize = 1024 * 1024;

/// The budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for messages is used up")]
pub struct MemoryExhausted;

/// The memory budget of a process.
pub struct MemoryBudget {
    limit: Cell<usize>,
    used: Cell<usize>,
    /// The part of `used` that received messages hold.
    held: Cell<usize>,
    short: Notify,
    metrics: Rc<BudgetMetrics>,
}

impl MemoryBudget {
    /// Creates a budget for a scheduler with these limits.
    pub fn new(limits: ProcessLimits, metrics: Rc<BudgetMetrics>) -> Rc<Self> {
        let budget = MemoryBudget::of(0, metrics);
        budget.configure(limits);
        budget
    }

    fn of(limit: usize, metrics: Rc<BudgetMetrics>) -> Rc<Self> {
        Rc::new(MemoryBudget {
            limit: Cell::new(limit),
            used: Cell::new(0),
            held: Cell::new(0),
            short: Notify::new(),
            metrics,
        })
    }

    /// Sets the limits of the scheduler.
    pub fn configure(&self, limits: ProcessLimits) {
        let fixed = PROCESSES_BYTES + limits.descriptors.saturating_mul(CONNECTION_BYTES);
        let budget = limits.memory_bytes.saturating_sub(fixed) / BUDGET_DIVISOR;
        self.limit.set(budget.max(MIN_BUDGET_BYTES));
        self.metrics.limit.set(self.limit.get());
    }

    /// Bytes that are charged.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Maximum number of bytes that are charged.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// How many bytes should be freed by evicting connections.
    pub fn excess(&self) -> usize {
        self.used.get().saturating_sub(self.limit.get() / 4 * 3)
    }

    /// Waits until memory is short: [`MemoryBudget::excess`] is not 0, or was so since the last call.
    pub async fn short(&self) {
        self.short.notified().await;
    }

    /// A charge of 0 bytes.
    pub fn charge(self: &Rc<Self>) -> MemoryCharge {
        MemoryCharge { budget: Rc::clone(self), bytes: Rc::default() }
    }

    /// Charges a message of another process, which has admitted it. May exceed the limit.
    pub fn adopt(self: &Rc<Self>, bytes: usize) -> HeldMemory {
        let mut charge = self.charge();
        charge.set(bytes.saturating_sub(UNCHARGED_BYTES));
        HeldMemory::of(charge)
    }

    fn set_used(&self, used: usize) {
        self.used.set(used);
        self.metrics.in_use.set(used);
        if self.excess() > 0 {
            self.short.notify_one();
        }
    }
}

/// Bytes charged to a budget until the charge is dropped.
pub struct MemoryCharge {
    budget: Rc<MemoryBudget>,
    bytes: Rc<Cell<usize>>,
}

impl MemoryCharge {
    /// Changes the charge.
    ///
    /// # Errors
    /// Returns an error, and changes nothing, if the charge would grow beyond the limit of the budget.
    pub fn try_set(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let used = self.budget.used.get() - self.bytes.get() + bytes;
        if bytes > self.bytes.get() && used > self.budget.limit.get() {
            return Err(MemoryExhausted);
        }
        self.set(bytes);
        Ok(())
    }

    /// Changes the charge, also beyond the limit of the budget.
    pub fn set(&mut self, bytes: usize) {
        let used = self.budget.used.get() - self.bytes.get() + bytes;
        self.bytes.set(bytes);
        self.budget.set_used(used);
    }

    /// The charged bytes. The cell shows later changes too.
    pub fn bytes(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.bytes)
    }

    /// Moves the charge to the message that was received, and leaves a charge of 0 bytes.
    ///
    /// # Errors
    /// Returns an error, and changes nothing, if received messages hold too much already.
    pub fn move_to_message(&mut self) -> Result<HeldMemory, MemoryExhausted> {
        let held = self.budget.held.get() + self.bytes.get();
        if self.bytes.get() > 0 && held > self.budget.limit.get() / 2 {
            return Err(MemoryExhausted);
        }
        let empty = self.budget.charge();
        Ok(HeldMemory::of(std::mem::replace(self, empty)))
    }
}

impl std::fmt::Debug for MemoryCharge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "MemoryCharge({})", self.bytes.get())
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// The charge of a message, shared by those who refer to the message. Without a charge for a small message.
#[derive(Clone, Default)]
pub struct HeldMemory {
    charge: Option<Rc<HeldCharge>>,
}

impl HeldMemory {
    fn of(charge: MemoryCharge) -> Self {
        if charge.bytes.get() == 0 {
            return HeldMemory::default();
        }
        let held = &charge.budget.held;
        held.set(held.get() + charge.bytes.get());
        HeldMemory { charge: Some(Rc::new(HeldCharge(charge))) }
    }
}

impl std::fmt::Debug for HeldMemory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let bytes = self.charge.as_ref().map_or(0, |held| held.0.bytes.get());
        write!(f, "HeldMemory({bytes})")
    }
}

/// A charge that counts as held by a received message. It never changes.
struct HeldCharge(MemoryCharge);

impl Drop for HeldCharge {
    fn drop(&mut self) {
        let held = &self.0.budget.held;
        held.set(held.get() - self.0.bytes.get());
    }
}
