//! HTTP/1.1 over a single connection: zero-copy head parsing, bounded bodies and vectored writes.
//!
//! The frontend uses it to read client requests; `src/server/workers` and `src/server/discovery` use it to read
//! responses. It follows RFC 9112 (message syntax and framing) and RFC 9110 (semantics) and rejects ambiguous framing,
//! which could be used for request smuggling. It knows nothing about jobs or workers. Timeouts and reconnects are up to
//! the caller.
//!
//! - `connection`: the socket, its read buffer, writes and closing. Start here.
//! - `head_reader`, `head`, `headers`: request and response heads, and body framing.
//! - `body_reader`: bodies framed by length, in chunks, or by the end of the connection.
//! - `arrivals`: receive times of buffered bytes.
//! - `error`: errors while reading a message.

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

/// Maximum size of a message head, and of one line in the trailer section of a chunked body.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a message body, set by the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
