//! Fault-injection tests: several scheduler processes run on loopback while a plan injects faults into the processes
//! and the network. The results are checked from the outside: by the runs at the workers and the responses to clients.
//!
//! A [`plan::FaultPlan`] is generated from a seed or read from a KDL file. [`fleet::Fleet`] starts the workers and the
//! schedulers and applies the plan. [`gossip`] generates the traffic and checks the invariants. When a plan fails,
//! [`plan::FaultPlan::with_one_fault_removed`] yields smaller plans to try.
//!
//! [`callbacks`] runs one scheduler whose workers hand requests back, lose some and repeat their callbacks.
//!
//! [`agreement`] simulates the replicated register protocol on a virtual network instead, without processes.
//!
//! The tests run with `cargo trial`; see `docs/trials.md`.
#![warn(missing_docs)]

pub mod agreement;
pub mod callbacks;
pub mod fleet;
pub mod gossip;
pub mod gossip_network;
pub mod plan;
