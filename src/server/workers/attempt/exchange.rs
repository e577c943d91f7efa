//! Sends a request to a worker and reads the response.

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

/// One request and its response.
pub(super) struct Exchange<'a> {
    pub(super) worker: &'a Rc<WorkerEndpoint>,
    pub(super) payload: &'a RequestPayload,
    pub(super) deadline: Instant,
    /// Counts requests that are written to their last byte.
    pub(super) attempts: &'a Counter,
    /// Follows the exchange, for a cancellation that drops it.
    pub(super) state: &'a Cell<AttemptState>,
}

/// What the response says.
pub(super) enum ExchangeResult {
    /// 202: callbacks report the result.
    Accepted,
    /// The attempt is over.
    Ended(AttemptResult),
}

impl Exchange<'_> {
    /// Runs the exchange.
    pub(super) async fn run(self) -> ExchangeResult {
        let result = match self.response().await {
            Ok(result) => result,
            Err(end) => ExchangeResult::Ended(AttemptResult::without_report(end)),
        };
        if let ExchangeResult::Ended(_) = result {
            self.advance(AttemptEvent::Finished);
        }
        result
    }

    async fn response(&self) -> Result<ExchangeResult, AttemptEnd> {
        let mut connection = WorkerEndpoint::connection(self.worker, ConnectionPurpose::Request).await?;
        // The connect took time: a worker that has begun to drain meanwhile must not get the first byte (rule 3).
        if !self.worker.is_active() {
            self.worker.return_to_pool(connection);
            return Err(AttemptEnd::WorkerInactive);
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
            Err(error) => return Err(self.end_without_response(&error, &connection)),
        };
        // The head alone says what became of the request. If the body breaks off, only the connection is lost.
        if head.status == 202 {
            self.advance(AttemptEvent::AcceptedByWorker);
        }
        let result = read_head(&head);
        finish_response(self.worker, connection, &head).await;
        Ok(result)
    }

    fn end_without_response(&self, error: &HttpError, connection: &WorkerConnection) -> AttemptEnd {
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
            HttpError::Truncated | HttpError::TimedOut => AttemptEnd::ResetWhileWaiting,
        }
    }

    fn advance(&self, event: AttemptEvent) {
        self.state.set(self.state.get().after(event));
    }
}

/// What the head of a response says (protocol page, "Schedulers to workers").
fn read_head(head: &Head) -> ExchangeResult {
    let not_run = head.headers.get("x-not-run") == Some("1");
    let end = match head.status {
        202 => return ExchangeResult::Accepted,
        503 | 504 if not_run => AttemptEnd::RejectedByWorker,
        _ => AttemptEnd::Failed,
    };
    let load_report = head.headers.get("x-load").map(str::to_owned);
    ExchangeResult::Ended(AttemptResult { end, load_report })
}

/// Writes the request as the client sent it, with the time that is left until its deadline.
async fn write_request(
    http: &mut Connection,
    payload: &RequestPayload,
    time_left: Duration,
) -> io::Result<()> {
    let lengths =
        format!("\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n", time_left.as_millis(), payload.body.len());
    let mut parts: Vec<&[u8]> =
        vec![b"POST ", &payload.target, b" HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: "];
    parts.extend([&payload.name[..], lengths.as_bytes()]);
    if let Some(key) = &payload.key {
        parts.extend([&b"Idempotency-Key: "[..], key, b"\r\n"]);
    }
    if let Some(content_type) = &payload.content_type {
        parts.extend([&b"Content-Type: "[..], content_type, b"\r\n"]);
    }
    parts.extend([&b"\r\n"[..], &payload.body]);
    http.write(&parts).await
}

/// Reads the body of a response, of which nothing is needed, and pools the connection.
pub(super) async fn finish_response(worker: &WorkerEndpoint, mut connection: WorkerConnection, head: &Head) {
    if head.keep_alive && connection.http.body(head).await.is_ok() {
        worker.return_to_pool(connection);
    }
}
