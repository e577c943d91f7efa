//! Connection handover during an upgrade without downtime: sends connections and their pending requests to the
//! successor, and adopts those of the predecessor. Driven by `lifecycle/handover.rs`.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::client_connection::ClientConnection;
use super::connection_eviction::EvictionClass;
use super::connection_state::ConnectionState;
use super::request_handling::RequestOutcome;
use super::{CountGuard, Frontend};
use crate::server::descriptor_budget::DescriptorBudget;
use crate::server::engine_queue::PendingAnswer;
use crate::server::http::Connection;
use crate::server::lifecycle::handover_frames::{FrameSender, HandoverFrame};
use crate::server::memory_budget::HeldMemory;
use crate::server::messages::MigratedRequest;

/// A request that the predecessor handed over with its connection. The engine of this process already has it.
pub struct PendingRequest {
    /// Bytes that the predecessor received on the connection after the request.
    pub read_ahead: Bytes,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// The answer that the client awaits.
    pub answer: PendingAnswer,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
}

impl Frontend {
    /// Stops accepting connections and hands idle ones over to `successor`. With `None`, this process accepts
    /// connections again.
    pub fn set_successor(&self, successor: Option<FrameSender>) {
        self.successor.send_replace(successor);
        while self.has_successor() && self.eviction_candidates.evict_up_to(EvictionClass::IdleAfterCallback) {
        }
    }

    /// Whether a successor accepts connections in place of this process.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Serves an idle connection that the predecessor accepted, in a task of its own.
    pub fn adopt(self: Rc<Self>, stream: TcpStream, eviction_class: EvictionClass, answered: bool) {
        let permit = DescriptorBudget::adopt(&self.connections);
        self.counters.connections_adopted.add();
        spawn_local(async move {
            let http = Connection::accepted(stream, &self.memory);
            self.serve(ClientConnection::new(http, eviction_class, answered)).await;
            drop(permit);
        });
    }

    /// Hands an idle connection over to the successor. Bytes that the client sends meanwhile wait in the socket.
    pub(super) fn hand_over(&self, client: ClientConnection) {
        // A successor that uses another frame format gets no frame: the connection is closed between two requests.
        let successor = self.successor.borrow().clone().filter(FrameSender::has_same_format);
        // `into_parts` fails only if the socket is broken.
        if let (Some(successor), Ok(parts)) = (successor, client.http.into_parts()) {
            self.counters.connections_passed_on.add();
            let frame = HandoverFrame::IdleConnection {
                eviction_class: client.eviction_class,
                answered: client.answered,
            };
            successor.send(frame, Some(parts.socket));
        }
    }

    /// Hands a connection over to the successor together with the pending request on it.
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

    /// Charges the memory of a request that the predecessor accepted.
    pub fn hold_memory(&self, bytes: usize) -> HeldMemory {
        self.memory.adopt(bytes)
    }

    /// Serves a connection that the predecessor accepted and that has a pending request, in a task of its own.
    pub fn adopt_with_request(self: Rc<Self>, stream: TcpStream, request: PendingRequest) {
        let permit = DescriptorBudget::adopt(&self.connections);
        self.counters.connections_adopted.add();
        spawn_local(async move {
            self.serve_pending_request(stream, request).await;
            drop(permit);
        });
    }

    async fn serve_pending_request(&self, stream: TcpStream, request: PendingRequest) {
        let unanswered = CountGuard::increment(&self.unanswered);
        let slack = Duration::from_secs_f64(self.settings().answer_slack_s);
        let give_up_at = Instant::now() + request.time_left + slack;
        let mut connection = Connection::with_read_ahead(stream, &request.read_ahead, &self.memory);
        let outcome =
            self.await_answer(&mut connection, request.keep_alive, request.answer, give_up_at).await;
        let state = match outcome {
            RequestOutcome::Answered(response) => {
                self.write_response(&mut connection, response, request.keep_alive).await
            }
            RequestOutcome::Migrated(migrated) => {
                ConnectionState::HandingOverRequest { migrated, keep_alive: request.keep_alive }
            }
            RequestOutcome::ClientDisconnected => ConnectionState::Closed,
        };
        drop(unanswered);
        let client = ClientConnection::new(connection, EvictionClass::Idle, true);
        self.serve_from(client, state).await;
    }
}
