//! Reads request and response heads from a connection.

use super::head::{Head, HeadSpans};
use super::{Connection, HttpError, MAX_HEAD_BYTES};

impl Connection {
    /// Reads a request head.
    ///
    /// # Errors
    /// Returns [`HttpError::Closed`] if the peer closed the connection before sending any of it.
    pub async fn request_head(&mut self) -> Result<Head, HttpError> {
        self.head(HeadSpans::parse_request).await
    }

    /// Reads a response head, skipping interim responses (RFC 9110, section 15.2).
    ///
    /// # Errors
    /// Returns [`HttpError::Closed`] if the peer closed the connection before sending any of it.
    pub async fn response_head(&mut self) -> Result<Head, HttpError> {
        loop {
            let head = self.head(HeadSpans::parse_response).await?;
            let is_interim = (100..200).contains(&head.status);
            if !is_interim {
                return Ok(head);
            }
        }
    }

    async fn head(
        &mut self,
        parse: impl Fn(&[u8]) -> Result<Option<HeadSpans>, HttpError>,
    ) -> Result<Head, HttpError> {
        let mut parsed_bytes = 0;
        loop {
            // A head can only be complete after a line feed. Parsing only then keeps a head that arrives byte by byte
            // from being parsed once per byte.
            let never_parsed = parsed_bytes == 0 && !self.buffer.is_empty();
            if never_parsed || self.buffer[parsed_bytes..].contains(&b'\n') {
                parsed_bytes = self.buffer.len();
                self.head_parses += 1;
                if let Some(spans) = parse(&self.buffer)? {
                    let bytes = self.take(spans.length());
                    return spans.into_head(&bytes);
                }
            }
            if self.buffer.len() >= MAX_HEAD_BYTES {
                return Err(HttpError::HeadTooLong);
            }
            if self.receive().await? == 0 {
                let nothing_received = self.buffer.is_empty();
                return Err(if nothing_received { HttpError::Closed } else { HttpError::Truncated });
            }
        }
    }
}
