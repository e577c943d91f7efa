//! What a message that has arrived whole leads to: a request goes to the engine and waits for its answer, a callback
//! goes to the engine, and `/ready` and `/counters` are answered here.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep_until, Instant};

use super::client_connection::ClientConnection;
use super::connection_eviction::EvictionClass;
use super::connection_state::{ConnectionState, Message};
use super::request_parser::{self, ParsedRequest};
use super::response::Response;
use super::{callback_parser, Frontend, InProgress};
use crate::server::engine_queue::{EngineMessage, PendingAnswer};
use crate::server::http::Connection;
use crate::server::messages::{ClientRequest, FinalAnswer, MigratedRequest};

/// The Retry-After of a request that is rejected before it reaches the engine, in seconds.
const REJECTED_RETRY_AFTER_S: f64 = 0.5;

/// How the wait for a request's answer ends.
pub(super) enum RequestEnd {
    /// With a response for its client.
    Answered(Response),
    /// The process that has taken over is to answer.
    Migrated(Box<MigratedRequest>),
    /// The client has closed its connection.
    ClientDisconnected,
}

impl Frontend {
    /// Answers a message, or passes its request on with the connection.
    pub(super) async fn answer(&self, client: &mut ClientConnection, message: Message) -> ConnectionState {
        let _unanswered = InProgress::begin(&self.unanswered); // until the response is written
        let Message { head, body } = message;
        let settings = self.settings();
        let received_at = client.http.message_received_at();
        let response = match request_parser::parse(&head, &body, received_at, &settings) {
            Ok(ParsedRequest::Work(request)) => match self.await_answer_to(client, request).await {
                RequestEnd::Answered(response) => {
                    client.eviction_class = EvictionClass::Idle;
                    response
                }
                RequestEnd::Migrated(migrated) => {
                    let keep_alive = head.keep_alive;
                    return ConnectionState::HandingOverRequest { migrated, keep_alive };
                }
                RequestEnd::ClientDisconnected => return ConnectionState::Closed,
            },
            Ok(ParsedRequest::Callback) => {
                client.eviction_class = EvictionClass::IdleAfterCallback;
                self.take_callback(body)
            }
            Ok(ParsedRequest::Readiness) => self.readiness(),
            Ok(ParsedRequest::Counters) => Response::new("200 OK", self.counters.to_string()),
            Err(error) => {
                self.counters.messages_rejected.add();
                error.into()
            }
        };
        // A client that sends what cannot be used neither keeps its connection nor has what it sent behind that read.
        let keep_alive = head.keep_alive && !response.is_client_error();
        let next = self.write_response(&mut client.http, response, keep_alive).await;
        client.answered = true;
        next
    }

    fn readiness(&self) -> Response {
        if self.lifecycle.is_serving() || self.has_successor() {
            return Response::new("200 OK", "ready\n");
        }
        Response::not_serving(self.lifecycle.phase().name())
    }

    /// Passes a callback to the engine.
    fn take_callback(&self, body: Bytes) -> Response {
        if let Some(callback) = callback_parser::parse(body) {
            self.queue.send(EngineMessage::CallbackReceived { callback, relay: None });
            return Response::new("200 OK", "");
        }
        // Logged at the first, second, fourth and so on: a worker that sends nonsense must not fill the log.
        if self.counters.callbacks_malformed.add().is_power_of_two() {
            tracing::warn!("malformed callback");
        }
        Response::new("400 Bad Request", "no call-back\n")
    }

    /// Admits a request and waits for its answer, or rejects it at once.
    async fn await_answer_to(
        &self,
        client: &mut ClientConnection,
        mut request: Box<ClientRequest>,
    ) -> RequestEnd {
        let too_many_wait = self.unanswered.get() > self.max_unanswered();
        if !self.lifecycle.admits(client.message_began) || too_many_wait {
            self.counters.rejected_at_door.add();
            self.counters.class(request.class).shed.add();
            return RequestEnd::Answered(Response::rejected(REJECTED_RETRY_AFTER_S));
        }
        let settings = self.settings();
        let longest_deadline_s = settings.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
        let longest_deadline = Duration::from_secs_f64(longest_deadline_s);
        if let Some(shutdown_deadline) = self.lifecycle.answer_deadline(longest_deadline) {
            request.deadline = request.deadline.min(shutdown_deadline);
        }
        // The engine answers before this; the bound keeps a fault there from holding a client for good.
        let give_up_at = request.deadline + Duration::from_secs_f64(settings.answer_slack_s);
        let pending = self.queue.submit(request);
        self.await_pending(&mut client.http, pending, give_up_at).await
    }

    /// Waits for the answer to a request that the engine has.
    pub(super) async fn await_pending(
        &self,
        connection: &mut Connection,
        mut pending: PendingAnswer,
        give_up_at: Instant,
    ) -> RequestEnd {
        tokio::select! {
            biased;
            answer = pending.reply() => match answer {
                FinalAnswer::Migrated(migrated) => RequestEnd::Migrated(migrated),
                FinalAnswer::Served(_)
                | FinalAnswer::Rejected { .. }
                | FinalAnswer::RejectedUnstarted
                | FinalAnswer::Failed
                | FinalAnswer::DuplicateId => RequestEnd::Answered(answer.into()),
            },
            () = sleep_until(give_up_at) => RequestEnd::Answered(FinalAnswer::Failed.into()),
            // Dropping what is pending notifies the engine.
            () = connection.wait_for_close() => RequestEnd::ClientDisconnected,
        }
    }

    /// Messages that may await their answers at once: the other connections are left for callbacks.
    fn max_unanswered(&self) -> usize {
        self.connections.limit() - self.connections.limit() / 4
    }
}
