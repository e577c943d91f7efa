//! The scheduler on sockets: everything between the network and the decisions in [`crate::scheduling`].
//!
//! | module | question it answers |
//! | --- | --- |
//! | [`frontend`] | how a client's request comes in and its answer goes out |
//! | [`engine`] | who owns the decisions, and what happens to a request from acceptance to answer |
//! | [`workers`] | how an attempt reaches a worker, and how it ends |
//! | [`discovery`] | how the endpoint list is followed, and when it is polled again |
//! | [`lifecycle`] | how the process starts, reloads, drains, is replaced and stops |
//! | [`peers`] | what schedulers and sites send each other |
//!
//! The other modules are shared by these: messages, the queue to the engine, HTTP, descriptor budgets and metrics.

pub mod discovery;
pub mod engine;
pub mod frontend;
pub mod lifecycle;
pub mod peers;
pub mod workers;

pub mod attempt_end;
pub mod descriptor_budget;
pub mod engine_queue;
pub mod http;
pub mod load_report;
pub mod messages;
pub mod metrics;
