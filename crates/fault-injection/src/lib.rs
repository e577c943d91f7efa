//! Trials: several processes of the real program on loopback, faults between them by a plan, and one history that
//! is judged from outside, by what boxes ran and clients were told.
//!
//! A [`plan::Plan`] comes from a seed or from a KDL file. [`fleet::Fleet`] starts the boxes and the schedulers,
//! and does to them and to the wires between them what the plan says. A trial, such as [`notes`], plays traffic
//! meanwhile and judges. When one fails, [`plan::Plan::without`] gives the smaller plans to try.
#![warn(missing_docs)]

pub mod agreement;
pub mod datagrams;
pub mod fleet;
pub mod notes;
pub mod plan;
