//! Fault-injection tests: several processes of the real program on loopback, faults between them by a plan, and one
//! history that is judged from outside, by what workers ran and clients were answered.
//!
//! A [`plan::Plan`] comes from a seed or from a KDL file. [`fleet::Fleet`] starts the workers and the schedulers, and
//! does to them and to the network between them what the plan says. [`gossip`] plays traffic meanwhile and judges.
//! When it fails, [`plan::Plan::without_one`] gives the smaller plans to try.
//!
//! [`agreement`] plays the protocol of the replicated register on a virtual network instead, without processes.
//!
//! The command is `cargo trial`; `docs/trials.md` is its page.
#![warn(missing_docs)]

pub mod agreement;
pub mod fleet;
pub mod gossip;
pub mod gossip_network;
pub mod plan;
