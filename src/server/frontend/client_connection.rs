//! The state machine of a client connection.
//!
//! Clients and workers use the same listener. A connection processes one message at a time; pipelined messages wait in
//! its buffer or in the kernel's. `docs/races.md` describes races between events in each state.

use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{timeout_at, Instant};

use super::connection_eviction::{EvictionClass, EvictionReason};
use super::connection_state::{ConnectionState, Message};
use super::response::Response;
use super::Frontend;
use crate::server::http::{Connection, HttpError};
use crate::server::memory_budget::MemoryExhausted;

/// A connection is closed if it is idle between two messages for longer than this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time within which a whole message must be received. For the first message it counts from the accept, so that neither
/// a silent client nor one that sends a byte now and then holds the connection; for later ones from their first byte.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2400);

/// A client connection and its state in the frontend.
pub(super) struct ClientConnection {
    pub(super) http: Connection,
    /// Determines which connections are closed before this one when descriptors run short.
    pub(super) eviction_class: EvictionClass,
    /// Whether a response has been written on it.
    pub(super) answered: bool,
    /// When the current or most recent message began to arrive. For the first message, when the connection was
    /// accepted.
    pub(super) message_started_at: Instant,
}

impl ClientConnection {
    pub(super) fn new(http: Connection, eviction_class: EvictionClass, answered: bool) -> Self {
        ClientConnection { http, eviction_class, answered, message_started_at: Instant::now() }
    }
}

impl Frontend {
    /// Serves a connection until it is closed or handed over to another process.
    pub(super) async fn serve(&self, client: ClientConnection) {
        self.serve_from(client, ConnectionState::Idle).await;
    }

    /// Serves a connection, starting in `state`. All later state transitions are made here.
    pub(super) async fn serve_from(&self, mut client: ClientConnection, mut state: ConnectionState) {
        loop {
            state = match state {
                ConnectionState::Idle => self.await_message(&mut client).await,
                ConnectionState::ReceivingMessage => self.receive_message(&mut client).await,
                ConnectionState::AwaitingAnswer(message) => self.handle_message(&mut client, message).await,
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
        client.http.release_allocation();
        if client.http.has_input() {
            return ConnectionState::ReceivingMessage; // pipelined
        }
        let idle_deadline = match client.answered {
            true => Instant::now() + IDLE_TIMEOUT,
            false => client.message_started_at + MESSAGE_TIMEOUT,
        };
        if !self.has_successor() {
            let candidate = self.eviction_candidates.register_idle(client.eviction_class);
            tokio::select! {
                biased;
                received = timeout_at(idle_deadline, client.http.receive()) => {
                    return match received {
                        Ok(Ok(0) | Err(_)) => ConnectionState::Closed, // closed by the client or broken
                        Ok(Ok(_)) => ConnectionState::ReceivingMessage,
                        Err(_elapsed) => close_idle(client),
                    };
                }
                _ = candidate.evicted() => yield_now().await,
            }
        }
        // Do not lose a message that has arrived in the socket but has not been read.
        if client.http.receive_available() {
            return ConnectionState::ReceivingMessage;
        }
        if self.has_successor() {
            return ConnectionState::HandingOver;
        }
        close_idle(client)
    }

    /// Receives a whole message, unless the connection is evicted meanwhile.
    async fn receive_message(&self, client: &mut ClientConnection) -> ConnectionState {
        if client.answered {
            client.message_started_at = Instant::now();
        }
        let deadline = client.message_started_at + MESSAGE_TIMEOUT;
        let received = {
            let (last_received, charged) = (client.http.last_received(), client.http.charged_bytes());
            let candidate = self.eviction_candidates.register_receiving(last_received, charged);
            tokio::select! {
                biased;
                message = timeout_at(deadline, read_message(&mut client.http)) => {
                    message.unwrap_or(Err(HttpError::TimedOut))
                }
                reason = candidate.evicted() => match reason {
                    EvictionReason::Descriptors => return ConnectionState::Closed,
                    EvictionReason::Memory => Err(HttpError::MemoryExhausted(MemoryExhausted)),
                },
            }
        };
        match received {
            Ok(message) => ConnectionState::AwaitingAnswer(message),
            Err(error) => self.reject_unreadable(client, &error).await,
        }
    }

    /// Responds to an unreadable message with the reason, then closes: the start of the next message is unknown.
    async fn reject_unreadable(&self, client: &mut ClientConnection, error: &HttpError) -> ConnectionState {
        let Some(response) = Response::for_unreadable_message(error) else {
            return ConnectionState::Closed;
        };
        client.http.drop_input();
        match error {
            HttpError::MemoryExhausted(_) => self.count_memory_shortage(),
            _ => drop(self.counters.messages_rejected.add()),
        }
        self.write_response(&mut client.http, response, false).await
    }
}

/// The next state of an idle connection that the frontend closes. A client that has received a response may be sending
/// its next request and must see an orderly close (FIN), not a reset. Before the first response a reset is acceptable.
fn close_idle(client: &ClientConnection) -> ConnectionState {
    if client.answered {
        return ConnectionState::Lingering;
    }
    ConnectionState::Closed
}

/// Reads a message. Sends `100 Continue` to a client that waits for it (RFC 9110, section 10.1.1).
async fn read_message(connection: &mut Connection) -> Result<Message, HttpError> {
    let head = connection.request_head().await?;
    if head.expects_continue() && !connection.has_input() && !head.declares_oversized_body() {
        connection.write(&[b"HTTP/1.1 100 Continue\r\n\r\n"]).await?;
    }
    let body = connection.body(&head).await?;
    let held = connection.move_charge_to_message()?;
    Ok(Message { head, body, held })
}
