//! Reads message bodies: by length, in chunks (RFC 9112, section 7.1), or until the connection is closed.

use bytes::{Buf, Bytes, BytesMut};

use super::head::Framing;
use super::{Connection, Head, HttpError, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Maximum length of a chunk-size line, including chunk extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

impl Connection {
    /// Reads the whole body of the message with this `head`.
    ///
    /// # Errors
    /// Returns [`HttpError::BodyTooLong`] as soon as the body is known to exceed [`MAX_BODY_BYTES`].
    pub async fn body(&mut self, head: &Head) -> Result<Bytes, HttpError> {
        match head.framing {
            Framing::Length(_) if head.declares_oversized_body() => Err(HttpError::BodyTooLong),
            Framing::Length(length) => self.read_exact(length).await,
            Framing::Chunked => self.chunked_body().await,
            Framing::UntilClose => self.body_until_close().await,
        }
    }

    async fn chunked_body(&mut self) -> Result<Bytes, HttpError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk(MAX_BODY_BYTES - body.len()).await? {
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    async fn body_until_close(&mut self) -> Result<Bytes, HttpError> {
        while self.receive().await? > 0 {
            if self.buffer.len() > MAX_BODY_BYTES {
                return Err(HttpError::BodyTooLong);
            }
        }
        Ok(self.buffer.split().freeze())
    }

    /// Reads the next chunk of a chunked body. Returns `None` after the last one.
    ///
    /// # Errors
    /// Returns [`HttpError::BodyTooLong`] if the chunk has more than `limit` bytes.
    pub async fn chunk(&mut self, limit: usize) -> Result<Option<Bytes>, HttpError> {
        let (start, length) = loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete(found)) => break found,
                Ok(httparse::Status::Partial) if self.buffer.len() < MAX_CHUNK_LINE_BYTES => {
                    self.receive_some().await?;
                }
                Ok(httparse::Status::Partial) | Err(_) => {
                    return Err(HttpError::Malformed("invalid chunk size"));
                }
            }
        };
        let length = usize::try_from(length).ok().filter(|length| *length <= limit);
        let length = length.ok_or(HttpError::BodyTooLong)?;
        self.buffer.advance(start);
        if length == 0 {
            self.skip_trailer().await?;
            return Ok(None);
        }
        let chunk = self.read_exact(length).await?;
        if self.read_exact(2).await?.as_ref() != b"\r\n" {
            return Err(HttpError::Malformed("chunk data not followed by CRLF"));
        }
        Ok(Some(chunk))
    }

    /// Skips the trailer section of a chunked body (RFC 9112, section 7.1.2).
    async fn skip_trailer(&mut self) -> Result<(), HttpError> {
        let mut searched_bytes = 0;
        loop {
            let line_end = self.buffer[searched_bytes..].iter().position(|byte| *byte == b'\n');
            if let Some(line_end) = line_end {
                let line = self.buffer.split_to(searched_bytes + line_end + 1);
                searched_bytes = 0;
                if line.as_ref() == b"\r\n" {
                    return Ok(());
                }
                continue;
            }
            if self.buffer.len() >= MAX_HEAD_BYTES {
                return Err(HttpError::HeadTooLong);
            }
            searched_bytes = self.buffer.len();
            self.receive_some().await?;
        }
    }

    /// Takes the next `length` bytes, waiting until they have been received.
    async fn read_exact(&mut self, length: usize) -> Result<Bytes, HttpError> {
        while self.buffer.len() < length {
            self.receive_some().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn receive_some(&mut self) -> Result<(), HttpError> {
        if self.receive().await? == 0 {
            return Err(HttpError::Truncated);
        }
        Ok(())
    }
}
