//! The states of a client connection. `client_connection` makes the transitions.

use bytes::Bytes;

use crate::server::http::Head;
use crate::server::messages::MigratedRequest;

/// The state of a client connection.
pub(super) enum ConnectionState {
    /// No part of a message has been received: the connection is new or idle between two messages.
    Idle,
    /// A message has been received in part.
    ReceivingMessage,
    /// A whole message has been received. Its response has not been written.
    AwaitingAnswer(Message),
    /// The frontend has written its last response or is closing an idle connection. Further input is read and dropped.
    Lingering,
    /// The connection is to be handed over to the successor.
    HandingOver,
    /// The connection is to be handed over to the successor together with the request on it. The successor answers the
    /// request and then keeps the connection open if `keep_alive` is set.
    HandingOverRequest { migrated: Box<MigratedRequest>, keep_alive: bool },
    /// The connection is dropped: the client has disconnected or is owed no response.
    Closed,
}

/// A message received in full.
pub(super) struct Message {
    pub(super) head: Head,
    pub(super) body: Bytes,
}
