//! Errors while reading an HTTP message.

use std::io;

use super::head::MAX_HEADERS;
use super::MAX_HEAD_BYTES;
use crate::server::memory_budget::MemoryExhausted;

/// An error while reading a message.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection between two messages.
    #[error("connection closed by peer")]
    Closed,
    /// The peer closed the connection in the middle of a message.
    #[error("connection closed in the middle of a message")]
    Truncated,
    /// The head, or the framing of the body, is malformed.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head or a trailer line exceeds `MAX_HEAD_BYTES`, or the head has more than `MAX_HEADERS` headers.
    #[error("message head exceeds {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} headers")]
    HeadTooLong,
    /// The body, or a chunk of it, exceeds the reader's limit.
    #[error("message body exceeds the size limit")]
    BodyTooLong,
    /// The memory for messages is used up.
    #[error(transparent)]
    MemoryExhausted(#[from] MemoryExhausted),
    /// The message was not received in time.
    #[error("timed out before the whole message was received")]
    TimedOut,
}

impl From<httparse::Error> for HttpError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => HttpError::HeadTooLong,
            // httparse reports errors about single bytes; the sender is only told that the head is malformed.
            httparse::Error::HeaderName
            | httparse::Error::HeaderValue
            | httparse::Error::NewLine
            | httparse::Error::Status
            | httparse::Error::Token
            | httparse::Error::Version => HttpError::Malformed("invalid head"),
        }
    }
}
