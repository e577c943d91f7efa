//! The workers that run requests, as the sockets see them: one attempt of a request at one worker, the connections
//! to it, and capacity probes.
//!
//! | question | file |
//! | --- | --- |
//! | what one attempt sends, reads and ends with; how it is cancelled | [`attempt`] |
//! | a worker's address and state, and which connection an attempt gets | [`endpoint`] |
//! | which connections are pooled, and for how long | [`connection_pool`] |
//! | how a connection comes up; time-outs and the descriptor budget | [`connector`] |
//! | one connection: new, pooled, reused | [`connection`] |
//! | how a worker is asked for its load | [`capacity_probe`] |
//!
//! Which worker gets a request, whether a request is retried, hedged or cancelled, and which worker is ejected is
//! decided by the scheduling module and carried out by the engine. A worker's callbacks come in at the frontend and
//! go to the engine directly; nothing here sees them.

pub mod attempt;
pub mod capacity_probe;
pub mod connection;
pub mod connection_pool;
pub mod connector;
pub mod endpoint;
