//! Cuts what a watch writes into its values: lists that may be indented, and chunks that end anywhere.

use bytes::BytesMut;
use serde_json::value::RawValue;

/// What has come and is not yet a whole value.
#[derive(Debug, Default)]
pub struct StreamReader {
    rest: BytesMut,
    /// A value began before what came last and has not ended with it.
    open: bool,
}

/// What stands next in it.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A whole JSON value.
    Value(Vec<u8>),
    /// A line that is no JSON.
    Nonsense,
}

impl StreamReader {
    /// Takes up what has come and hands out what it completes.
    pub fn take(&mut self, chunk: &[u8]) -> Vec<StreamItem> {
        self.rest.extend_from_slice(chunk);
        let mut pieces = Vec::new();
        // A list in many chunks is not read anew with each: none ends without a bracket.
        if self.open && !chunk.iter().any(|byte| matches!(byte, b'}' | b']')) {
            return pieces;
        }
        loop {
            let mut values = serde_json::Deserializer::from_slice(&self.rest).into_iter::<&RawValue>();
            let failed = loop {
                match values.next() {
                    Some(Ok(value)) => pieces.push(StreamItem::Value(value.get().as_bytes().to_vec())),
                    Some(Err(error)) if error.is_eof() => break None,
                    Some(Err(_)) => break Some(()),
                    None => break None,
                }
            };
            let read = values.byte_offset();
            let _ = self.rest.split_to(read);
            // What follows nonsense begins on a line of its own.
            let line = failed.and_then(|()| {
                let start = self.rest.iter().position(|byte| !byte.is_ascii_whitespace()).unwrap_or_default();
                self.rest[start..].iter().position(|byte| *byte == b'\n').map(|end| start + end + 1)
            });
            let Some(line) = line else { break };
            let _ = self.rest.split_to(line);
            pieces.push(StreamItem::Nonsense);
        }
        self.open = !self.rest.trim_ascii().is_empty();
        if !self.open {
            self.rest.clear();
        }
        pieces
    }

    /// Whether a value has begun that has not ended.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Bytes of what has begun.
    pub fn len(&self) -> usize {
        self.rest.len()
    }

    /// Whether nothing has begun.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIST: &str =
        "{\n  \"version\": 43,\n  \"servers\": [\n    {\"id\": \"a } \\\" ]\\n\"},\n\n    {}\n  ]\n}\n";

    fn values(chunks: impl Iterator<Item = Vec<u8>>) -> (Vec<String>, usize) {
        let (mut reading, mut values, mut nonsense) = (StreamReader::default(), Vec::new(), 0);
        for piece in chunks.flat_map(|chunk| reading.take(&chunk)) {
            match piece {
                StreamItem::Value(value) => values.push(String::from_utf8(value).unwrap()),
                StreamItem::Nonsense => nonsense += 1,
            }
        }
        assert!(!reading.is_open());
        (values, nonsense)
    }

    #[test]
    fn an_indented_list_is_one_value_wherever_it_is_cut() {
        let text = format!("\n{LIST}\n{{\"version\":44}}\n{LIST}");
        for at in 0..text.len() {
            let (head, tail) = text.as_bytes().split_at(at);
            let found = values([head.to_vec(), tail.to_vec()].into_iter());
            assert_eq!(found.0, [LIST.trim(), "{\"version\":44}", LIST.trim()]);
            assert_eq!(found.1, 0);
        }
        let bytes = values(text.bytes().map(|byte| vec![byte]));
        assert_eq!((bytes.0.len(), bytes.1), (3, 0));
    }

    #[test]
    fn nonsense_hides_no_later_list_wherever_it_is_cut() {
        for (nonsense, most) in
            [("nonsense", 1), ("{{{{", 1), ("{\"version\":42,\"servers\":[{\"id\":\"m1\"", 1), ("}", 1)]
        {
            let text = format!("{LIST}{nonsense}\n{{\"version\":44}}\n");
            for at in 0..text.len() {
                let (head, tail) = text.as_bytes().split_at(at);
                let found = values([head.to_vec(), tail.to_vec()].into_iter());
                assert_eq!(found.0, [LIST.trim(), "{\"version\":44}"], "{nonsense} cut at {at}");
                assert!(found.1 >= 1 && found.1 <= most, "{} lines", found.1);
            }
        }
    }

    /// What is torn may swallow the next list; that it is still open tells so, and discovery is asked anew.
    #[test]
    fn a_list_that_does_not_end_is_seen_to_be_open() {
        let mut reading = StreamReader::default();
        assert_eq!(reading.take(b"{\"servers\":[\n"), []);
        assert_eq!(reading.take(b"{\"version\":44}\n\n"), []);
        assert!(reading.is_open());
    }
}
