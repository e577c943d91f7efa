//! HTTP/1.1 on one connection: heads parsed where they lie, bounded bodies, gathered writes.
//!
//! Both sides of the scheduler use it: the frontend reads requests of clients, `src/server/workers` and
//! `src/server/discovery` read responses. It follows RFC 9112 (message syntax and framing) and RFC 9110 (semantics),
//! strictly where two readings would let a request be smuggled past this side. It knows neither requests for work nor
//! workers, sets no time limits of its own, and does not reconnect: the callers do.
//!
//! - `connection`: the socket, what has arrived on it, writes, and the ways to close it. Start here.
//! - `head_reader`, `head`, `headers`: request and response heads; how a body is framed.
//! - `body_reader`: bodies by length, in chunks or to the end of the connection.
//! - `arrivals`: when the bytes that wait in the buffer arrived.
//! - `error`: why a message cannot be read.

mod arrivals;
mod body_reader;
mod connection;
mod error;
mod head;
mod head_reader;
mod headers;

pub use connection::{Connection, ConnectionParts};
pub use error::HttpError;
pub use head::Head;
pub use headers::Headers;

/// The longest head, and the longest trailer section of a chunked body.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The longest body that the protocol allows.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
