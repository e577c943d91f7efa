//! The states of a client connection. `client_connection` has the one function that changes them.

use bytes::Bytes;

use crate::server::http::Head;
use crate::server::messages::MigratedRequest;

/// Where a client connection stands.
pub(super) enum ConnectionState {
    /// Nothing of a message has arrived: the connection is new, or idle between two messages.
    Idle,
    /// A message has begun to arrive.
    ReceivingMessage,
    /// A message has arrived whole; its response is not written yet.
    AwaitingAnswer(Message),
    /// The last response is written, or this side closes an idle connection: what still arrives is read and dropped.
    Lingering,
    /// Another process is to serve it.
    HandingOver,
    /// Another process is to answer the request on it, and to serve it then if `keep_alive`.
    HandingOverRequest { migrated: Box<MigratedRequest>, keep_alive: bool },
    /// It is closed by being dropped: the client has gone, or nothing is owed on it.
    Closed,
}

/// A message that has arrived whole.
pub(super) struct Message {
    pub(super) head: Head,
    pub(super) body: Bytes,
}
