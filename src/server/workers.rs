//! HTTP client for workers: attempts, connections and capacity probes.
//!
//! | module | contents |
//! | --- | --- |
//! | [`attempt`] | one attempt of a request at a worker, and its cancellation |
//! | [`endpoint`] | address and state of a worker; selects the connection for an attempt |
//! | [`connection_pool`] | idle connections to a worker |
//! | [`connector`] | opens connections; timeouts and the descriptor budget |
//! | [`connection`] | a single connection: new, pooled or reused |
//! | [`capacity_probe`] | asks a worker for its health or load |
//!
//! The scheduling module decides which worker gets a request, whether a request is retried, hedged or cancelled, and
//! which workers are ejected; the engine carries these decisions out. Callbacks from workers arrive at the frontend
//! and go directly to the engine, not through this module.

pub mod attempt;
pub mod capacity_probe;
pub mod connection;
pub mod connection_pool;
pub mod connector;
pub mod endpoint;
