//! Fault plans: the faults to inject with their start times and durations. A plan is generated from a seed (`draw`) or
//! read from a KDL file (`file`).

mod draw;
mod file;

use std::fmt;
use std::time::Duration;

/// Degradation of the network paths from and to a scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Degradation {
    /// Fraction of datagrams lost.
    pub lost: f64,
    /// Fraction of datagrams duplicated.
    pub duplicated: f64,
    /// Maximum additional delay. Each datagram gets a random delay up to this, so datagrams are reordered.
    pub max_delay: Duration,
}

/// A kind of fault. Schedulers are numbered from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// SIGKILL; the process is restarted when the fault ends.
    Kill(usize),
    /// SIGSTOP; SIGCONT when the fault ends.
    Pause(usize),
    /// A one-way partition.
    PartitionOneWay {
        /// Scheduler whose datagrams are dropped.
        from: usize,
        /// Scheduler that no longer receives them.
        to: usize,
    },
    /// A partition between these schedulers and all others.
    Partition(Vec<usize>),
    /// Degradation of the network paths from and to a scheduler.
    Degrade(usize, Degradation),
}

impl FaultKind {
    /// Name of the fault in a plan file.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Kill(_) => "kill",
            FaultKind::Pause(_) => "stop",
            FaultKind::PartitionOneWay { .. } => "cut",
            FaultKind::Partition(_) => "split",
            FaultKind::Degrade(..) => "rough",
        }
    }

    /// The target that only one fault may affect at a time; `None` for partitions, which may overlap.
    fn target(&self) -> Option<FaultTarget> {
        match self {
            FaultKind::Kill(node) | FaultKind::Pause(node) => Some(FaultTarget::Process(*node)),
            FaultKind::Degrade(node, _) => Some(FaultTarget::Network(*node)),
            FaultKind::PartitionOneWay { .. } | FaultKind::Partition(_) => None,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FaultTarget {
    Process(usize),
    Network(usize),
}

/// A fault and when it is active.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start of the fault, relative to the start of the traffic.
    pub starts_at: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// Kind of fault.
    pub kind: FaultKind,
}

impl Fault {
    /// Returns the end of the fault, relative to the start of the traffic.
    pub fn ends_at(&self) -> Duration {
        self.starts_at + self.duration
    }

    /// Returns whether both faults affect the same process, or the network of the same scheduler, at overlapping times.
    fn conflicts_with(&self, other: &Fault) -> bool {
        let overlap = self.starts_at < other.ends_at() && other.starts_at < self.ends_at();
        let target = self.kind.target();
        overlap && target.is_some() && target == other.kind.target()
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.kind.name())?;
        match &self.kind {
            FaultKind::Kill(node) | FaultKind::Pause(node) => write!(f, " {node}")?,
            FaultKind::PartitionOneWay { from, to } => write!(f, " {from} {to}")?,
            FaultKind::Partition(nodes) => {
                for node in nodes {
                    write!(f, " {node}")?;
                }
            }
            FaultKind::Degrade(node, degradation) => {
                let (lost, duplicated) = (degradation.lost * 100.0, degradation.duplicated * 100.0);
                let max_delay_ms = degradation.max_delay.as_millis();
                write!(
                    f,
                    " {node} lost=\"{lost:.0}%\" doubled=\"{duplicated:.0}%\" late=\"{max_delay_ms}ms\""
                )?;
            }
        }
        write!(f, " at=\"{}ms\" for=\"{}ms\"", self.starts_at.as_millis(), self.duration.as_millis())
    }
}

/// Faults to inject, ordered by start time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultPlan(pub Vec<Fault>);

impl fmt::Display for FaultPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

impl FaultPlan {
    /// Returns every plan that results from removing one fault.
    pub fn with_one_fault_removed(&self) -> impl Iterator<Item = FaultPlan> + '_ {
        (0..self.0.len()).map(|removed| {
            let kept = self.0.iter().enumerate().filter(|(index, _)| *index != removed);
            FaultPlan(kept.map(|(_, fault)| fault.clone()).collect())
        })
    }
}

#[cfg(test)]
mod tests;
