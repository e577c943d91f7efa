//! Handles received messages: requests are submitted to the engine and wait for its answer, callbacks are passed to the
//! engine, and `/ready` and `/counters` are answered directly.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep_until, Instant};

use super::client_connection::ClientConnection;
use super::connection_eviction::EvictionClass;
use super::connection_state::{ConnectionState, Message};
use super::request_parser::{self, ParsedMessage};
use super::response::Response;
use super::{callback_parser, CountGuard, Frontend};
use crate::server::engine_queue::{EngineMessage, PendingAnswer};
use crate::server::http::Connection;
use crate::server::memory_budget::HeldMemory;
use crate::server::messages::{ClientRequest, FinalAnswer, MigratedRequest};

/// Retry-After in seconds for requests rejected before they reach the engine.
const REJECTED_RETRY_AFTER_S: f64 = 0.5;

/// The outcome of waiting for the answer to a request.
pub(super) enum RequestOutcome {
    /// The response for the client.
    Answered(Response),
    /// The request was migrated to the successor, which answers it.
    Migrated(Box<MigratedRequest>),
    /// The client has closed its connection.
    ClientDisconnected,
}

impl Frontend {
    /// Handles a message: writes its response, or hands the connection over with its request.
    pub(super) async fn handle_message(
        &self,
        client: &mut ClientConnection,
        message: Message,
    ) -> ConnectionState {
        let _unanswered = CountGuard::increment(&self.unanswered); // until the response is written
        let Message { head, body, held } = message;
        let settings = self.settings();
        let received_at = client.http.message_received_at();
        let response = match request_parser::parse(&head, &body, received_at, &settings) {
            Ok(ParsedMessage::Request(mut request)) => {
                request.payload.held = held.clone();
                match self.handle_request(client, head.keep_alive, request).await {
                    RequestOutcome::Answered(response) => {
                        client.eviction_class = EvictionClass::Idle;
                        response
                    }
                    RequestOutcome::Migrated(migrated) => {
                        let keep_alive = head.keep_alive;
                        return ConnectionState::HandingOverRequest { migrated, keep_alive };
                    }
                    RequestOutcome::ClientDisconnected => return ConnectionState::Closed,
                }
            }
            Ok(ParsedMessage::Callback) => {
                client.eviction_class = EvictionClass::IdleAfterCallback;
                self.handle_callback(body, held.clone()).await
            }
            Ok(ParsedMessage::Readiness) => self.readiness(),
            Ok(ParsedMessage::Counters) => Response::new("200 OK", self.counters.to_string()),
            Err(error) => {
                self.counters.messages_rejected.add();
                error.into()
            }
        };
        // After a client error the connection is closed, and pipelined messages are not read.
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

    /// Passes a callback to the engine, once there is a place in its queue.
    async fn handle_callback(&self, body: Bytes, held: HeldMemory) -> Response {
        if let Some(callback) = callback_parser::parse(body) {
            let slot = self.queue.slot().await.holding(held);
            self.queue.send_in(slot, EngineMessage::CallbackReceived { callback, relay: None });
            return Response::new("200 OK", "");
        }
        // Logged for the first, second, fourth, eighth and so on, so that a faulty worker cannot flood the log.
        if self.counters.callbacks_malformed.add().is_power_of_two() {
            tracing::warn!("malformed callback");
        }
        Response::new(
            "400 Bad Request",
            "malformed callback: expected a JSON object with id, from and a known state\n",
        )
    }

    /// Submits a request to the engine and waits for its answer, or rejects it immediately.
    async fn handle_request(
        &self,
        client: &mut ClientConnection,
        keep_alive: bool,
        mut request: Box<ClientRequest>,
    ) -> RequestOutcome {
        let is_overloaded = self.unanswered.get() > self.max_unanswered();
        if !self.lifecycle.admits(client.message_started_at) || is_overloaded {
            self.counters.rejected_at_door.add();
            self.counters.class(request.class).shed.add();
            return RequestOutcome::Answered(Response::rejected(REJECTED_RETRY_AFTER_S));
        }
        let settings = self.settings();
        let longest_deadline_s = settings.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
        let longest_deadline = Duration::from_secs_f64(longest_deadline_s);
        if let Some(shutdown_deadline) = self.lifecycle.shutdown_deadline(longest_deadline) {
            request.deadline = request.deadline.min(shutdown_deadline);
        }
        // The engine answers before this. The timeout keeps an engine bug from blocking a client forever.
        let give_up_at = request.deadline + Duration::from_secs_f64(settings.answer_slack_s);
        let pending = self.queue.submit(request).await;
        self.await_answer(&mut client.http, keep_alive, pending, give_up_at).await
    }

    /// Waits for the answer to a request that was submitted to the engine. `keep_alive` is whether another message may
    /// follow on the connection.
    pub(super) async fn await_answer(
        &self,
        connection: &mut Connection,
        keep_alive: bool,
        mut pending: PendingAnswer,
        give_up_at: Instant,
    ) -> RequestOutcome {
        tokio::select! {
            biased;
            answer = pending.reply() => match answer {
                FinalAnswer::Migrated(migrated) => RequestOutcome::Migrated(migrated),
                FinalAnswer::Served(_)
                | FinalAnswer::Rejected { .. }
                | FinalAnswer::RejectedUnstarted
                | FinalAnswer::Failed
                | FinalAnswer::DuplicateId
                | FinalAnswer::RepeatedId => RequestOutcome::Answered(answer.into()),
            },
            () = sleep_until(give_up_at) => RequestOutcome::Answered(FinalAnswer::Failed.into()),
            // Dropping `pending` notifies the engine.
            () = self.wait_for_close(connection, keep_alive) => RequestOutcome::ClientDisconnected,
        }
    }

    /// Waits until the client closes its connection. Input after the last message of a connection is discarded, so that
    /// a close behind it is seen.
    async fn wait_for_close(&self, connection: &mut Connection, keep_alive: bool) {
        if keep_alive {
            connection.wait_for_close().await;
        } else {
            self.discard_until_close(connection).await;
        }
    }

    /// Maximum number of unanswered messages: three quarters of the connections. The rest is reserved for callbacks.
    /// A process that is being replaced counts with its whole share, because the requests that it still receives were
    /// begun on connections that it already had.
    fn max_unanswered(&self) -> usize {
        let share = self.connections.share();
        share - share / 4
    }
}
