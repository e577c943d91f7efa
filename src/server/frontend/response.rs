//! What the HTTP front answers, and how replies and errors become answers.

use bytes::Bytes;

use crate::server::frontend::request_parser::RequestError;
use crate::server::messages::FinalAnswer;

/// An answer to write.
pub(super) struct Answer {
    pub status: &'static str,
    pub headers: String,
    pub body: Bytes,
}

impl Answer {
    pub(super) fn new(status: &'static str, body: impl Into<Bytes>) -> Self {
        Answer { status, headers: String::new(), body: body.into() }
    }

    fn header(mut self, name: &str, value: impl std::fmt::Display) -> Self {
        self.headers.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    pub(super) fn reject(hold_off_s: f64) -> Self {
        let answer = Answer::new("503 Service Unavailable", "rejected, come back later\n");
        if hold_off_s > 0.0 {
            answer.header("Retry-After", format_args!("{hold_off_s:.3}"))
        } else {
            answer
        }
    }
}

impl From<FinalAnswer> for Answer {
    fn from(reply: FinalAnswer) -> Self {
        match reply {
            FinalAnswer::Served(result) => Answer::new("200 OK", result),
            FinalAnswer::Rejected { retry_after_s: hold_off_s } => Answer::reject(hold_off_s),
            FinalAnswer::RejectedUnstarted => Answer::reject(0.0),
            FinalAnswer::Failed | FinalAnswer::Migrated(_) => {
                Answer::new("502 Bad Gateway", "failed, the job may have run\n")
            }
            FinalAnswer::DuplicateId => Answer::new("409 Conflict", "this X-Request-Id is in use\n"),
        }
    }
}

impl From<RequestError> for Answer {
    fn from(error: RequestError) -> Self {
        let answer = Answer::new(error.status(), format!("{error}\n"));
        match error {
            RequestError::Method(allowed) => answer.header("Allow", allowed),
            _ => answer,
        }
    }
}
