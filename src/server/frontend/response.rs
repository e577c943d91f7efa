//! Responses: conversion from final answers and errors, and writing.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use super::connection_state::ConnectionState;
use super::Frontend;
use crate::server::frontend::request_parser::RequestError;
use crate::server::http::{Connection, HttpError, MAX_BODY_BYTES};
use crate::server::messages::FinalAnswer;

/// Time within which a response must be written to the client's socket.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry-After in seconds for messages that were not received for lack of memory.
const MEMORY_RETRY_AFTER_S: f64 = 0.5;

const SERVICE_UNAVAILABLE: &str = "503 Service Unavailable";

/// An HTTP response.
pub(super) struct Response {
    pub(super) status: &'static str,
    /// Complete header lines.
    headers: String,
    body: Bytes,
}

impl Response {
    pub(super) fn new(status: &'static str, body: impl Into<Bytes>) -> Self {
        Response { status, headers: String::new(), body: body.into() }
    }

    /// The response to a readiness check while the process is not serving. The body names its lifecycle phase.
    pub(super) fn not_serving(phase: &str) -> Self {
        Response::new(SERVICE_UNAVAILABLE, format!("{phase}\n"))
    }

    /// Rejects a request that was not run on any worker. Omits Retry-After if it would be 0.
    pub(super) fn rejected(retry_after_s: f64) -> Self {
        let response = Response::new(SERVICE_UNAVAILABLE, "rejected, come back later\n");
        if retry_after_s > 0.0 {
            return response.with_header("Retry-After", format_args!("{retry_after_s:.3}"));
        }
        response
    }

    /// The response to a message that could not be read. `None` if the connection is closed.
    pub(super) fn for_unreadable_message(error: &HttpError) -> Option<Self> {
        let status = match error {
            HttpError::Io(_) | HttpError::Closed | HttpError::Truncated => return None,
            HttpError::Malformed(_) => "400 Bad Request",
            HttpError::HeadTooLong => "431 Request Header Fields Too Large",
            HttpError::BodyTooLong => "413 Content Too Large",
            HttpError::TimedOut => "408 Request Timeout",
            HttpError::MemoryExhausted(_) => return Some(Response::rejected(MEMORY_RETRY_AFTER_S)),
        };
        let reason = match error {
            HttpError::BodyTooLong => format!("request body exceeds {MAX_BODY_BYTES} bytes\n"),
            _ => format!("{error}\n"),
        };
        Some(Response::new(status, reason))
    }

    /// Whether the status is 4xx.
    pub(super) fn is_client_error(&self) -> bool {
        self.status.starts_with('4')
    }

    fn with_header(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        self.headers.push_str(&format!("{name}: {value}\r\n"));
        self
    }
}

impl From<FinalAnswer> for Response {
    fn from(answer: FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Served(result) => Response::new("200 OK", result),
            FinalAnswer::Rejected { retry_after_s } => Response::rejected(retry_after_s),
            FinalAnswer::RejectedUnstarted => Response::rejected(0.0),
            FinalAnswer::Failed | FinalAnswer::Migrated(_) => {
                Response::new("502 Bad Gateway", "failed, the job may have run\n")
            }
            FinalAnswer::DuplicateId => Response::new("409 Conflict", "this X-Request-Id is in use\n"),
            FinalAnswer::RepeatedId => {
                Response::new("409 Conflict", "the request with this X-Request-Id may have run\n")
            }
        }
    }
}

impl From<RequestError> for Response {
    fn from(error: RequestError) -> Self {
        let response = Response::new(error.status(), format!("{error}\n"));
        match error {
            // A 405 response must list the allowed methods (RFC 9110, section 15.5.6).
            RequestError::MethodNotAllowed(allowed) => response.with_header("Allow", allowed),
            RequestError::UnknownPath
            | RequestError::MissingHeader(_)
            | RequestError::InvalidHeader(_)
            | RequestError::UnknownTenant => response,
        }
    }
}

impl Frontend {
    /// Writes a response. The connection stays open if `keep_alive` is set and the process is not draining. A process
    /// with a successor keeps it open even while draining, to hand it over.
    pub(super) async fn write_response(
        &self,
        connection: &mut Connection,
        response: Response,
        keep_alive: bool,
    ) -> ConnectionState {
        let is_draining = self.lifecycle.phase().is_draining();
        let keep_alive = keep_alive && (self.has_successor() || !is_draining);
        let _held = self.memory.adopt(response.body.len());
        match write_with_timeout(connection, response, keep_alive).await {
            Ok(()) if keep_alive => ConnectionState::Idle,
            Ok(()) => ConnectionState::Lingering,
            Err(_) => ConnectionState::Closed, // the client has disconnected or does not read
        }
    }
}

async fn write_with_timeout(
    connection: &mut Connection,
    response: Response,
    keep_alive: bool,
) -> io::Result<()> {
    let Response { status, headers, body } = response;
    let close = if keep_alive { "" } else { "Connection: close\r\n" };
    let head = format!("HTTP/1.1 {status}\r\n{headers}{close}Content-Length: {}\r\n\r\n", body.len());
    let parts: [&[u8]; 2] = [head.as_bytes(), &body];
    let written = timeout(WRITE_TIMEOUT, connection.write(&parts)).await;
    written.unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()))
}
