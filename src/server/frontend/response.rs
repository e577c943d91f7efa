//! What the frontend answers, how final answers and errors become responses, and how a response is written.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use super::connection_state::ConnectionState;
use super::Frontend;
use crate::server::frontend::request_parser::RequestError;
use crate::server::http::{Connection, HttpError};
use crate::server::messages::FinalAnswer;

/// A client must have taken its response within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

const SERVICE_UNAVAILABLE: &str = "503 Service Unavailable";

/// A response to write.
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

    /// Says that the process does not serve, and in which phase it is.
    pub(super) fn not_serving(phase: &str) -> Self {
        Response::new(SERVICE_UNAVAILABLE, format!("{phase}\n"))
    }

    /// Rejects a request of which nothing has run; Retry-After is left out where it would be 0.
    pub(super) fn rejected(retry_after_s: f64) -> Self {
        let response = Response::new(SERVICE_UNAVAILABLE, "rejected, come back later\n");
        if retry_after_s > 0.0 {
            return response.with_header("Retry-After", format_args!("{retry_after_s:.3}"));
        }
        response
    }

    /// The response to a message that cannot be read; `None` where the connection is gone.
    pub(super) fn to_unreadable_message(error: &HttpError) -> Option<Self> {
        let status = match error {
            HttpError::Io(_) | HttpError::Closed | HttpError::Truncated => return None,
            HttpError::Malformed(_) => "400 Bad Request",
            HttpError::HeadTooLong => "431 Request Header Fields Too Large",
            HttpError::BodyTooLong => "413 Content Too Large",
            HttpError::TimedOut => "408 Request Timeout",
        };
        Some(Response::new(status, format!("{error}\n")))
    }

    /// Whether it says that the client's message was wrong.
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
        }
    }
}

impl From<RequestError> for Response {
    fn from(error: RequestError) -> Self {
        let response = Response::new(error.status(), format!("{error}\n"));
        match error {
            // RFC 9110, 15.5.6: a 405 names the methods that are allowed.
            RequestError::Method(allowed) => response.with_header("Allow", allowed),
            RequestError::Path
            | RequestError::Missing(_)
            | RequestError::Header(_)
            | RequestError::Tenant => response,
        }
    }
}

impl Frontend {
    /// Writes a response. The connection stays open where `keep_alive` says so and the process does not drain; a process
    /// that is replaced keeps it open to hand it over.
    pub(super) async fn write_response(
        &self,
        connection: &mut Connection,
        response: Response,
        keep_alive: bool,
    ) -> ConnectionState {
        let is_draining = self.lifecycle.phase().is_draining();
        let keep_alive = keep_alive && (self.has_successor() || !is_draining);
        match write_within_time(connection, response, keep_alive).await {
            Ok(()) if keep_alive => ConnectionState::Idle,
            Ok(()) => ConnectionState::Lingering,
            Err(_) => ConnectionState::Closed, // the client has gone, or takes nothing: nobody is left to be told
        }
    }
}

async fn write_within_time(
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
