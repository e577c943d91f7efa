//! The workers that run requests: connections to them, attempts sent there, and capacity probes.

pub mod attempt;
pub mod capacity_probe;
pub mod endpoint;
