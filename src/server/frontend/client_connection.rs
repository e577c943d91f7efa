//! The lifetime of one client connection: its states, and the one function that leads from each to the next.
//!
//! Clients and workers use the same listener. A connection carries one message at a time; what is sent ahead waits in
//! its buffer or in the system's. What happens when two events cross in a state is in `docs/races.md`.

use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{timeout_at, Instant};

use super::connection_eviction::EvictionClass;
use super::connection_state::{ConnectionState, Message};
use super::response::Response;
use super::Frontend;
use crate::server::http::{Connection, HttpError};

/// A connection that is idle between two messages for longer is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// A message must have arrived whole within this time: the first one on a connection from the accept, so
/// that neither silence nor a byte now and then holds it; later ones from their first byte.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2400);

/// A connection and what the frontend knows of it.
pub(super) struct ClientConnection {
    pub(super) http: Connection,
    /// Which connections are closed before it when descriptors run short.
    pub(super) eviction_class: EvictionClass,
    /// A response has been written on it.
    pub(super) answered: bool,
    /// When the message that arrives, or that arrived last, began. Before the first message: when it was accepted.
    pub(super) message_began: Instant,
}

impl ClientConnection {
    pub(super) fn new(http: Connection, eviction_class: EvictionClass, answered: bool) -> Self {
        ClientConnection { http, eviction_class, answered, message_began: Instant::now() }
    }
}

impl Frontend {
    /// Serves a connection until it is closed or another process has it.
    pub(super) async fn serve(&self, client: ClientConnection) {
        self.serve_from(client, ConnectionState::Idle).await;
    }

    /// Serves a connection from `state` on. All transitions are here; only the first state comes from the caller.
    pub(super) async fn serve_from(&self, mut client: ClientConnection, mut state: ConnectionState) {
        loop {
            state = match state {
                ConnectionState::Idle => self.await_message(&mut client).await,
                ConnectionState::ReceivingMessage => self.receive_message(&mut client).await,
                ConnectionState::AwaitingAnswer(message) => self.answer(&mut client, message).await,
                ConnectionState::Lingering => return self.linger(client.http).await,
                ConnectionState::HandingOver => return self.hand_over(client),
                ConnectionState::HandingOverRequest { migrated, keep_alive } => {
                    return self.hand_over_request(client.http, migrated, keep_alive);
                }
                ConnectionState::Closed => return,
            };
        }
    }

    /// Waits for the first byte of a message.
    async fn await_message(&self, client: &mut ClientConnection) -> ConnectionState {
        if client.http.has_input() {
            return ConnectionState::ReceivingMessage; // sent ahead
        }
        let idle_until = match client.answered {
            true => Instant::now() + IDLE_TIMEOUT,
            false => client.message_began + MESSAGE_TIMEOUT,
        };
        if !self.has_successor() {
            let candidate = self.eviction_candidates.list(client.eviction_class);
            tokio::select! {
                biased;
                received = timeout_at(idle_until, client.http.receive()) => {
                    return match received {
                        Ok(Ok(0) | Err(_)) => ConnectionState::Closed, // the client closed it, or it broke
                        Ok(Ok(_)) => ConnectionState::ReceivingMessage,
                        Err(_elapsed) => closed_by_us(client),
                    };
                }
                () = candidate.evicted() => yield_now().await,
            }
        }
        // A message that has arrived, but has not been read yet, must not be lost to the close.
        if client.http.receive_available() {
            return ConnectionState::ReceivingMessage;
        }
        if self.has_successor() {
            return ConnectionState::HandingOver;
        }
        closed_by_us(client)
    }

    /// Receives a message whole, unless its connection is evicted meanwhile.
    async fn receive_message(&self, client: &mut ClientConnection) -> ConnectionState {
        if client.answered {
            client.message_began = Instant::now();
        }
        let due = client.message_began + MESSAGE_TIMEOUT;
        let received = {
            let candidate = self.eviction_candidates.list_arriving(client.http.last_received());
            tokio::select! {
                biased;
                message = timeout_at(due, read_message(&mut client.http)) => {
                    message.unwrap_or(Err(HttpError::TimedOut))
                }
                () = candidate.evicted() => return ConnectionState::Closed,
            }
        };
        match received {
            Ok(message) => ConnectionState::AwaitingAnswer(message),
            Err(error) => self.reject_unreadable(client, &error).await,
        }
    }

    /// Tells the client what is wrong with its message, then closes: where the next message would begin is not known.
    async fn reject_unreadable(&self, client: &mut ClientConnection, error: &HttpError) -> ConnectionState {
        let Some(response) = Response::to_unreadable_message(error) else {
            return ConnectionState::Closed;
        };
        self.counters.messages_rejected.add();
        self.write_response(&mut client.http, response, false).await
    }
}

/// What follows when this side closes an idle connection. A client that has had a response may be sending its next
/// request, and must see an orderly close (FIN), not a reset. Before its first response the connection may be dropped.
fn closed_by_us(client: &ClientConnection) -> ConnectionState {
    if client.answered {
        return ConnectionState::Lingering;
    }
    ConnectionState::Closed
}

/// Reads a message; a client that waits for it is told to go on (RFC 9110, 10.1.1).
async fn read_message(connection: &mut Connection) -> Result<Message, HttpError> {
    let head = connection.request_head().await?;
    if head.expects_continue() && !connection.has_input() && !head.declares_oversized_body() {
        connection.write(&[b"HTTP/1.1 100 Continue\r\n\r\n"]).await?;
    }
    let body = connection.body(&head).await?;
    Ok(Message { head, body })
}
