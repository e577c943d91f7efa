//! Splits the response body of a watch into JSON values. Values may span several lines, and chunks may end anywhere.
//!
//! [`watch`](super::watch) parses the values as endpoint lists.

use bytes::BytesMut;
use serde_json::value::RawValue;

#[cfg(test)]
mod tests;

/// Buffers the bytes of a stream until they form a complete value.
#[derive(Debug, Default)]
pub struct StreamReader {
    buffer: BytesMut,
    /// Whether the buffer contains the beginning of a value.
    incomplete: bool,
}

/// An item read from a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A complete JSON value.
    Value(Vec<u8>),
    /// A line that is not JSON.
    MalformedLine,
}

impl StreamReader {
    /// Adds a chunk and returns the items that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<StreamItem> {
        self.buffer.extend_from_slice(chunk);
        let mut items = Vec::new();
        // An endpoint list ends with a bracket. Chunks without one are not parsed, so that a list of many chunks is not
        // parsed again for each of them.
        let completes_nothing = !chunk.iter().any(|byte| matches!(byte, b'}' | b']'));
        if self.incomplete && completes_nothing {
            return items;
        }
        while self.read_values(&mut items) == Progress::Malformed && self.skip_malformed_line() {
            items.push(StreamItem::MalformedLine);
        }
        self.incomplete = !self.buffer.trim_ascii().is_empty();
        if !self.incomplete {
            self.buffer.clear();
        }
        items
    }

    /// Whether a value has started but not ended.
    pub fn is_incomplete(&self) -> bool {
        self.incomplete
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Moves the complete values at the front of the buffer to `items`.
    fn read_values(&mut self, items: &mut Vec<StreamItem>) -> Progress {
        let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<&RawValue>();
        let progress = loop {
            match values.next() {
                Some(Ok(value)) => items.push(StreamItem::Value(value.get().as_bytes().to_vec())),
                Some(Err(error)) if !error.is_eof() => break Progress::Malformed,
                Some(Err(_)) | None => break Progress::EndOfBuffer,
            }
        };
        let read = values.byte_offset();
        let _ = self.buffer.split_to(read);
        progress
    }

    /// Drops the first non-empty line of the buffer, which is malformed. The next value starts on a new line. Returns
    /// false if the line is still incomplete.
    fn skip_malformed_line(&mut self) -> bool {
        let start = self.buffer.iter().position(|byte| !byte.is_ascii_whitespace()).unwrap_or_default();
        let Some(length) = self.buffer[start..].iter().position(|byte| *byte == b'\n') else { return false };
        let _ = self.buffer.split_to(start + length + 1);
        true
    }
}

/// Where parsing stopped.
#[derive(PartialEq, Eq)]
enum Progress {
    /// At bytes that are not JSON.
    Malformed,
    /// At the end of the buffer, possibly inside a value.
    EndOfBuffer,
}
