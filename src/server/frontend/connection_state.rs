//! The states of a client connection. `client_connection.rs` makes the transitions.
//!
//! A message is any HTTP request on the connection: a client's request for a worker, a worker's callback, or a query
//! for readiness or counters. Each message gets one HTTP response. The successor is the new process of this scheduler
//! in an upgrade.

use bytes::Bytes;

use crate::server::http::Head;
use crate::server::memory_budget::HeldMemory;
use crate::server::messages::MigratedRequest;

/// The state of a client connection.
pub(super) enum ConnectionState {
    /// No part of a message has been received: the connection is new or idle between two messages.
    Idle,
    /// A message is being received.
    ReceivingMessage,
    /// A whole message has been received and its response has not been written.
    AwaitingAnswer(Message),
    /// The frontend has written the last response or is closing an idle connection. The write side is shut down, and
    /// further input is read and dropped.
    Lingering,
    /// The connection is to be handed over to the successor.
    HandingOver,
    /// The connection is to be handed over to the successor together with its pending request. The successor writes the
    /// response and then keeps the connection open if `keep_alive` is set.
    HandingOverRequest { migrated: Box<MigratedRequest>, keep_alive: bool },
    /// The connection is dropped without a further response: it has broken, the client has closed it or does not read,
    /// it was evicted in the middle of a message, or it is closed while idle before its first response.
    Closed,
}

/// A message received in full.
pub(super) struct Message {
    pub(super) head: Head,
    pub(super) body: Bytes,
    /// The memory of both.
    pub(super) held: HeldMemory,
}
