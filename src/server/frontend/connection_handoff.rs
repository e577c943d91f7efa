//! The frontend's part in an upgrade without downtime: connections go to the process that has taken over, with the
//! request whose answer is awaited on them, and come from the process before. `lifecycle/handover.rs` drives it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::client_connection::ClientConnection;
use super::connection_eviction::EvictionClass;
use super::connection_state::ConnectionState;
use super::request_handling::RequestEnd;
use super::{Frontend, InProgress};
use crate::server::engine_queue::PendingAnswer;
use crate::server::http::Connection;
use crate::server::lifecycle::handover_frames::{FrameSender, HandoverFrame};
use crate::server::messages::MigratedRequest;

/// A request that another process has handed over with its connection, and that the engine of this one has.
pub struct PendingRequest {
    /// What the other process read on the connection behind the request.
    pub read_ahead: Bytes,
    /// The connection stays open after the response.
    pub keep_alive: bool,
    /// The answer that its client awaits.
    pub answer: PendingAnswer,
    /// Time to its deadline.
    pub time_left: Duration,
}

impl Frontend {
    /// From now on that process accepts connections, and receives those that are idle here; with `None` this one does
    /// again.
    pub fn set_successor(&self, successor: Option<FrameSender>) {
        self.successor.send_replace(successor);
        while self.has_successor() && self.eviction_candidates.evict_up_to(EvictionClass::IdleAfterCallback) {
        }
    }

    /// Whether another process accepts connections in place of this one.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Serves an idle connection that another process has accepted.
    pub async fn adopt(self: Rc<Self>, stream: TcpStream, eviction_class: EvictionClass, answered: bool) {
        let _permit = self.acquire_permit().await;
        self.counters.connections_adopted.add();
        self.serve(ClientConnection::new(Connection::new(stream), eviction_class, answered)).await;
    }

    /// Hands an idle connection to the process that has taken over. What its client sends meanwhile waits in the socket.
    pub(super) fn hand_over(&self, client: ClientConnection) {
        // A process that cannot read the frame gets none: the client finds its connection closed between two requests.
        let successor = self.successor.borrow().clone().filter(FrameSender::has_same_form);
        // A socket that cannot be handed over has broken.
        if let (Some(successor), Ok(parts)) = (successor, client.http.into_parts()) {
            self.counters.connections_passed_on.add();
            let frame = HandoverFrame::IdleConnection {
                eviction_class: client.eviction_class,
                answered: client.answered,
            };
            successor.send(frame, Some(parts.socket));
        }
    }

    /// Hands a connection over with the request whose answer its client awaits.
    pub(super) fn hand_over_request(
        &self,
        connection: Connection,
        request: Box<MigratedRequest>,
        keep_alive: bool,
    ) {
        let successor = self.successor.borrow().clone();
        if let (Some(successor), Ok(parts)) = (successor, connection.into_parts()) {
            self.counters.connections_passed_on.add();
            let frame = HandoverFrame::Request { request, read_ahead: parts.read_ahead, keep_alive };
            successor.send(frame, Some(parts.socket));
        }
    }

    /// Serves a connection that another process has accepted, on which the answer to a request is awaited.
    pub async fn adopt_with_request(self: Rc<Self>, stream: TcpStream, request: PendingRequest) {
        let unanswered = InProgress::begin(&self.unanswered);
        let slack = Duration::from_secs_f64(self.settings().answer_slack_s);
        let give_up_at = Instant::now() + request.time_left + slack;
        let _permit = self.acquire_permit().await;
        self.counters.connections_adopted.add();
        let mut connection = Connection::with_read_ahead(stream, &request.read_ahead);
        let end = self.await_pending(&mut connection, request.answer, give_up_at).await;
        let state = match end {
            RequestEnd::Answered(response) => {
                self.write_response(&mut connection, response, request.keep_alive).await
            }
            RequestEnd::Migrated(migrated) => {
                ConnectionState::HandingOverRequest { migrated, keep_alive: request.keep_alive }
            }
            RequestEnd::ClientDisconnected => ConnectionState::Closed,
        };
        drop(unanswered);
        let client = ClientConnection::new(connection, EvictionClass::Idle, true);
        self.serve_from(client, state).await;
    }
}
