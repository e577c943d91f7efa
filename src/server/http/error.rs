//! Why an HTTP message cannot be read.

use std::io;

/// Why a message cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The other side closed between two messages.
    #[error("the connection is closed")]
    Closed,
    /// The other side closed inside a message.
    #[error("the connection ended inside a message")]
    Truncated,
    /// The head, or the framing of the body, is malformed.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head is longer than this side takes.
    #[error("the head is too long")]
    HeadTooLong,
    /// The body is longer than this side takes.
    #[error("the body is too long")]
    BodyTooLong,
    /// The message did not arrive in time.
    #[error("the message did not arrive in time")]
    TimedOut,
}

impl From<httparse::Error> for HttpError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => HttpError::HeadTooLong,
            // The parser's reasons are about single bytes: who sent the head learns that the head is wrong.
            httparse::Error::HeaderName
            | httparse::Error::HeaderValue
            | httparse::Error::NewLine
            | httparse::Error::Status
            | httparse::Error::Token
            | httparse::Error::Version => HttpError::Malformed("head"),
        }
    }
}
