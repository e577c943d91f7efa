//! Reads message bodies: by length, in chunks (RFC 9112, section 7.1), or until the connection is closed.

use bytes::{Buf, Bytes, BytesMut};

use super::head::Framing;
use super::{Connection, Head, HttpError, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// The line end after the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";
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

    /// Reads the whole body of the message with this `head` and drops it as it is received.
    ///
    /// # Errors
    /// Returns [`HttpError::BodyTooLong`] as soon as the body is known to exceed [`MAX_BODY_BYTES`].
    pub async fn discard_body(&mut self, head: &Head) -> Result<(), HttpError> {
        match head.framing {
            Framing::Length(_) if head.declares_oversized_body() => Err(HttpError::BodyTooLong),
            Framing::Length(length) => self.discard(length).await,
            Framing::Chunked => self.discard_chunks().await,
            Framing::UntilClose => self.body_until_close().await.map(drop),
        }
    }

    async fn discard_chunks(&mut self) -> Result<(), HttpError> {
        let mut left = MAX_BODY_BYTES;
        loop {
            let length = self.chunk_size(left).await?;
            if length == 0 {
                return self.skip_trailer().await;
            }
            self.discard(length).await?;
            self.skip_chunk_end().await?;
            left -= length;
        }
    }

    async fn discard(&mut self, length: usize) -> Result<(), HttpError> {
        let mut left = length;
        while left > 0 {
            if self.buffer.is_empty() {
                self.receive_some().await?;
            }
            let received = left.min(self.buffer.len());
            self.buffer.advance(received);
            left -= received;
        }
        Ok(())
    }

    async fn chunked_body(&mut self) -> Result<Bytes, HttpError> {
        let mut body = BytesMut::new();
        loop {
            let length = self.chunk_size(MAX_BODY_BYTES - body.len()).await?;
            if length == 0 {
                self.skip_trailer().await?;
                return Ok(body.freeze());
            }
            self.append_chunk(&mut body, length).await?;
        }
    }

    /// Appends the data of a chunk to the body, as it is received.
    async fn append_chunk(&mut self, body: &mut BytesMut, length: usize) -> Result<(), HttpError> {
        let mut left = length;
        while left > 0 {
            if self.buffer.is_empty() {
                self.receive_some().await?;
            }
            let received = left.min(self.buffer.len());
            let capacity = body.len() + received;
            if capacity > body.capacity() {
                // Growth is charged before it happens, with what the allocator doubles.
                self.charge_assembled(capacity.max(2 * body.capacity()))?;
            }
            body.extend_from_slice(&self.buffer[..received]);
            self.buffer.advance(received);
            left -= received;
        }
        self.skip_chunk_end().await
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
        let length = self.chunk_size(limit).await?;
        if length == 0 {
            self.skip_trailer().await?;
            return Ok(None);
        }
        let chunk = self.read_exact(length).await?;
        self.skip_chunk_end().await?;
        Ok(Some(chunk))
    }

    /// Reads the size line of the next chunk. The last chunk has size 0.
    async fn chunk_size(&mut self, limit: usize) -> Result<usize, HttpError> {
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
        Ok(length)
    }

    /// Skips the line end after the data of a chunk.
    async fn skip_chunk_end(&mut self) -> Result<(), HttpError> {
        while self.buffer.len() < CHUNK_END.len() {
            self.receive_some().await?;
        }
        if !self.buffer.starts_with(CHUNK_END) {
            return Err(HttpError::Malformed("chunk data not followed by CRLF"));
        }
        self.buffer.advance(CHUNK_END.len());
        Ok(())
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
        Ok(self.take(length))
    }

    async fn receive_some(&mut self) -> Result<(), HttpError> {
        if self.receive().await? == 0 {
            return Err(HttpError::Truncated);
        }
        Ok(())
    }
}
