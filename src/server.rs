//! The network side of the scheduler: connects sockets to the decisions made in [`crate::scheduling`].
//!
//! | module | purpose |
//! | --- | --- |
//! | [`frontend`] | reads clients' requests and writes the answers |
//! | [`engine`] | owns the scheduling state and tracks each request from acceptance to answer |
//! | [`workers`] | sends attempts to workers and determines how each one ends |
//! | [`discovery`] | watches or polls the endpoint list |
//! | [`lifecycle`] | starts, reloads, drains, replaces and stops the process |
//! | [`peers`] | exchanges messages with other schedulers and sites |
//!
//! The remaining modules are shared: message types, the engine queue, HTTP, descriptor budgets and metrics.

pub mod discovery;
pub mod engine;
pub mod frontend;
pub mod lifecycle;
pub mod peers;
pub mod workers;

pub mod attempt_end;
pub mod descriptor_budget;
pub mod engine_queue;
pub mod executed_requests;
pub mod http;
pub mod load_report;
pub mod memory_budget;
pub mod messages;
pub mod metrics;
