//! Metrics of the descriptor budgets.

use std::fmt;
use std::rc::Rc;

use super::counter::Gauge;

/// Metrics of one descriptor budget.
#[derive(Default)]
pub struct BudgetMetrics {
    /// Descriptors in use.
    pub in_use: Gauge,
    /// Maximum number of descriptors in use. It changes during an upgrade.
    pub limit: Gauge,
}

/// Metrics of all descriptor budgets.
#[derive(Default)]
pub struct DescriptorMetrics {
    /// Connections from clients and from workers that send callbacks.
    pub frontend: Rc<BudgetMetrics>,
    /// Connections to workers.
    pub workers: Rc<BudgetMetrics>,
}

impl DescriptorMetrics {
    /// Writes the lines for the METRICS command.
    pub(super) fn write_lines(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, budget) in [("frontend", &self.frontend), ("workers", &self.workers)] {
            writeln!(f, "svc.descriptors.{name}={}", budget.in_use.get())?;
            writeln!(f, "svc.descriptors.{name}.limit={}", budget.limit.get())?;
        }
        Ok(())
    }
}
