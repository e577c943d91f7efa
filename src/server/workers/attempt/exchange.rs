//! The HTTP exchange of an attempt: sends the request to the worker and reads the response.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::server::attempt_end::AttemptEnd;
use crate::server::http::{Connection, Head, HttpError};
use crate::server::messages::RequestPayload;
use crate::server::metrics::Counter;
use crate::server::workers::attempt::result::AttemptResult;
use crate::server::workers::attempt::state::{AttemptEvent, AttemptState};
use crate::server::workers::connection::WorkerConnection;
use crate::server::workers::endpoint::{ConnectionPurpose, WorkerEndpoint};

/// A request to a worker and the response to it.
pub(super) struct Exchange<'a> {
    pub(super) worker: &'a Rc<WorkerEndpoint>,
    pub(super) payload: &'a RequestPayload,
    pub(super) deadline: Instant,
    /// Counts requests written up to the last byte.
    pub(super) attempts: &'a Counter,
    /// Whether the client of the request has disconnected.
    pub(super) client_disconnected: &'a Cell<bool>,
    /// Progress of the exchange, read by a cancellation after it dropped the exchange.
    pub(super) state: &'a Cell<AttemptState>,
}

/// Result of an exchange.
pub(super) enum ExchangeResult {
    /// The worker answered 202 and will report the result in a callback.
    Accepted,
    /// The attempt has ended.
    Ended(AttemptResult),
}

impl Exchange<'_> {
    /// Runs the exchange to its end.
    pub(super) async fn run(self) -> ExchangeResult {
        let result = match self.send_and_read().await {
            Ok(result) => result,
            Err(end) => ExchangeResult::Ended(AttemptResult::without_load_report(end)),
        };
        if let ExchangeResult::Ended(_) = result {
            self.advance(AttemptEvent::Finished);
        }
        result
    }

    /// Sends the request and reads the response. The error is the end of an attempt that got no response.
    async fn send_and_read(&self) -> Result<ExchangeResult, AttemptEnd> {
        let mut connection =
            WorkerEndpoint::acquire_connection(self.worker, ConnectionPurpose::Request).await?;
        // The worker may have started to drain while the connection was established. It must not get even the first
        // byte of the request then (rule 3).
        if !self.worker.is_active() {
            self.worker.return_to_pool(connection);
            return Err(AttemptEnd::WorkerInactive);
        }
        if self.client_disconnected.get() {
            self.worker.return_to_pool(connection);
            return Err(AttemptEnd::CancelledUnsent);
        }
        self.advance(AttemptEvent::Connected);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        if write_request(&mut connection.http, self.payload, time_left).await.is_err() {
            return Err(AttemptEnd::ResetWhileSending);
        }
        self.advance(AttemptEvent::RequestWritten);
        self.attempts.add();
        let head = match connection.http.response_head().await {
            Ok(head) => head,
            Err(error) => return Err(self.classify_error(&error, &connection)),
        };
        // The head alone determines the result. If the body is truncated, only the connection is lost.
        if head.status == 202 {
            self.advance(AttemptEvent::AcceptedByWorker);
        }
        let result = interpret_head(&head);
        discard_body(self.worker, connection, &head).await;
        Ok(result)
    }

    /// Classifies an exchange that failed before a response head was read.
    fn classify_error(&self, error: &HttpError, connection: &WorkerConnection) -> AttemptEnd {
        match error {
            HttpError::Malformed(_) | HttpError::HeadTooLong | HttpError::BodyTooLong => {
                AttemptEnd::MalformedResponse
            }
            HttpError::Closed | HttpError::Io(_) => {
                if self.worker.record_if_stale(connection) {
                    return AttemptEnd::StaleConnection;
                }
                AttemptEnd::ResetWhileWaiting
            }
            HttpError::Truncated | HttpError::TimedOut | HttpError::MemoryExhausted(_) => {
                AttemptEnd::ResetWhileWaiting
            }
        }
    }

    fn advance(&self, event: AttemptEvent) {
        self.state.set(self.state.get().after(event));
    }
}

/// Result of an exchange according to the response head (protocol page, "Schedulers to workers").
fn interpret_head(head: &Head) -> ExchangeResult {
    let worker_did_not_run = head.headers.get("x-not-run") == Some("1");
    let end = match head.status {
        202 => return ExchangeResult::Accepted,
        503 | 504 if worker_did_not_run => AttemptEnd::RejectedByWorker,
        _ => AttemptEnd::Failed,
    };
    let load_report = head.headers.get("x-load").map(str::to_owned);
    ExchangeResult::Ended(AttemptResult { end, load_report })
}

/// Writes the request as the client sent it, with the time left until its deadline.
async fn write_request(
    http: &mut Connection,
    payload: &RequestPayload,
    time_left: Duration,
) -> io::Result<()> {
    let numeric_headers =
        format!("\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n", time_left.as_millis(), payload.body.len());
    let mut parts: Vec<&[u8]> =
        vec![b"POST ", &payload.target, b" HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: "];
    parts.extend([&payload.name[..], numeric_headers.as_bytes()]);
    if let Some(key) = &payload.key {
        parts.extend([&b"Idempotency-Key: "[..], key, b"\r\n"]);
    }
    if let Some(content_type) = &payload.content_type {
        parts.extend([&b"Content-Type: "[..], content_type, b"\r\n"]);
    }
    parts.extend([&b"\r\n"[..], &payload.body]);
    http.write(&parts).await
}

/// Reads and discards the body of a response, then returns the connection to the pool if it can be reused.
pub(super) async fn discard_body(worker: &WorkerEndpoint, mut connection: WorkerConnection, head: &Head) {
    if head.keep_alive && connection.http.discard_body(head).await.is_ok() {
        worker.return_to_pool(connection);
    }
}
