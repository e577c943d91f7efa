//! Plans: which faults, when and for how long. A plan is drawn from a seed or read from KDL (`file`).

mod draw;
mod file;

use std::fmt;
use std::time::Duration;

/// What the network from and to a scheduler does to datagrams while it is degraded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Degradation {
    /// The fraction that is lost.
    pub lost: f64,
    /// The fraction that arrives twice.
    pub duplicated: f64,
    /// Each is delayed by up to this, drawn anew each time, so that they overtake each other.
    pub longest_delay: Duration,
}

/// A kind of fault. Schedulers go by number, from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// SIGKILL; the process is started anew afterwards.
    Kill(usize),
    /// SIGSTOP; SIGCONT afterwards.
    Pause(usize),
    /// A partition in one direction.
    PartitionOneWay {
        /// Nothing that it sends ...
        from: usize,
        /// ... reaches this one.
        to: usize,
    },
    /// A partition between these and all others.
    Partition(Vec<usize>),
    /// The network from and to a scheduler is degraded.
    Degrade(usize, Degradation),
}

impl FaultKind {
    /// Its word in a plan.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Kill(_) => "kill",
            FaultKind::Pause(_) => "stop",
            FaultKind::PartitionOneWay { .. } => "cut",
            FaultKind::Partition(_) => "split",
            FaultKind::Degrade(..) => "rough",
        }
    }

    /// What two faults must not change at the same time; `None` for partitions, which add up.
    fn target(&self) -> Option<FaultTarget> {
        match self {
            FaultKind::Kill(node) | FaultKind::Pause(node) => Some(FaultTarget::Process(*node)),
            FaultKind::Degrade(node, _) => Some(FaultTarget::NetworkOf(*node)),
            FaultKind::PartitionOneWay { .. } | FaultKind::Partition(_) => None,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FaultTarget {
    Process(usize),
    NetworkOf(usize),
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins, since the start of the traffic.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What happens.
    pub kind: FaultKind,
}

impl Fault {
    /// When it is over.
    pub fn ends_at(&self) -> Duration {
        self.at + self.lasts
    }

    /// Whether both are about the same process, or the network of the same scheduler, at overlapping times.
    fn collides_with(&self, other: &Fault) -> bool {
        let overlap = self.at < other.ends_at() && other.at < self.ends_at();
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
                let late = degradation.longest_delay.as_millis();
                write!(f, " {node} lost=\"{lost:.0}%\" doubled=\"{duplicated:.0}%\" late=\"{late}ms\"")?;
            }
        }
        write!(f, " at=\"{}ms\" for=\"{}ms\"", self.at.as_millis(), self.lasts.as_millis())
    }
}

/// Faults in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan(pub Vec<Fault>);

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

impl Plan {
    /// The plans with one fault less.
    pub fn without_one(&self) -> impl Iterator<Item = Plan> + '_ {
        (0..self.0.len()).map(|left_out| {
            let kept = self.0.iter().enumerate().filter(|(index, _)| *index != left_out);
            Plan(kept.map(|(_, fault)| fault.clone()).collect())
        })
    }
}

#[cfg(test)]
mod tests;
