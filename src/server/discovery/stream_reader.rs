//! Cuts the body of a watch into JSON values: lists may be indented, and chunks may end anywhere.
//!
//! It knows nothing of endpoint lists; [`watch`](super::watch) parses the values.

use bytes::BytesMut;
use serde_json::value::RawValue;

#[cfg(test)]
mod tests;

/// The bytes of a watch that are not yet a complete value.
#[derive(Debug, Default)]
pub struct StreamReader {
    buffer: BytesMut,
    /// The buffer holds the beginning of a value.
    incomplete: bool,
}

/// What a watch has brought.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A complete JSON value.
    Value(Vec<u8>),
    /// A line that is not JSON.
    MalformedLine,
}

impl StreamReader {
    /// Adds a chunk and returns what it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<StreamItem> {
        self.buffer.extend_from_slice(chunk);
        let mut items = Vec::new();
        // No list ends without a bracket: a list of many chunks is not parsed again with each of them.
        let ends_nothing = !chunk.iter().any(|byte| matches!(byte, b'}' | b']'));
        if self.incomplete && ends_nothing {
            return items;
        }
        while self.read_values(&mut items) == Progress::AtMalformed && self.skip_line() {
            items.push(StreamItem::MalformedLine);
        }
        self.incomplete = !self.buffer.trim_ascii().is_empty();
        if !self.incomplete {
            self.buffer.clear();
        }
        items
    }

    /// Whether a value has begun that has not ended.
    pub fn is_incomplete(&self) -> bool {
        self.incomplete
    }

    /// Bytes of the value that has begun.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether no value has begun.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Moves the complete values at the front of the buffer to `items`.
    fn read_values(&mut self, items: &mut Vec<StreamItem>) -> Progress {
        let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<&RawValue>();
        let progress = loop {
            match values.next() {
                Some(Ok(value)) => items.push(StreamItem::Value(value.get().as_bytes().to_vec())),
                Some(Err(error)) if !error.is_eof() => break Progress::AtMalformed,
                Some(Err(_)) | None => break Progress::AtEnd,
            }
        };
        let read = values.byte_offset();
        let _ = self.buffer.split_to(read);
        progress
    }

    /// Drops the first line of the buffer that is not empty; false if it has not ended yet. The value after a
    /// malformed one begins on a line of its own.
    fn skip_line(&mut self) -> bool {
        let start = self.buffer.iter().position(|byte| !byte.is_ascii_whitespace()).unwrap_or_default();
        let Some(length) = self.buffer[start..].iter().position(|byte| *byte == b'\n') else { return false };
        let _ = self.buffer.split_to(start + length + 1);
        true
    }
}

/// Where reading has stopped.
#[derive(PartialEq, Eq)]
enum Progress {
    /// Before bytes that are not JSON.
    AtMalformed,
    /// Where the bytes end, possibly inside a value.
    AtEnd,
}
