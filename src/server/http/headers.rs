//! The header fields of a message.

use bytes::Bytes;

/// One header field, as slices of the bytes that arrived.
#[derive(Debug)]
pub(super) struct Header {
    pub(super) name: Bytes,
    pub(super) value: Bytes,
}

impl Header {
    /// Names are compared without regard to case (RFC 9110, 5.1).
    fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

/// The header fields of a message, in the order in which they arrived.
#[derive(Debug, Default)]
pub struct Headers(pub(super) Vec<Header>);

impl Headers {
    /// The value of the first header of this name, where it is UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.raw(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// The value of the first header of this name as bytes.
    pub fn raw(&self, name: &str) -> Option<&Bytes> {
        self.0.iter().find(|header| header.has_name(name)).map(|header| &header.value)
    }

    /// How many headers of this name there are.
    pub fn count(&self, name: &str) -> usize {
        self.all(name).count()
    }

    /// The values of all headers of this name.
    pub(super) fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0.iter().filter(|header| header.has_name(name)).map(|header| &header.value)
    }

    /// Whether there is one header of this name, with just this token as its value.
    pub(super) fn is_only(&self, name: &str, token: &str) -> bool {
        self.count(name) == 1 && self.get(name).is_some_and(|value| value.trim().eq_ignore_ascii_case(token))
    }

    /// Whether a header of this name lists this token (RFC 9110, 5.6.1).
    pub(super) fn has_token(&self, name: &str, token: &str) -> bool {
        let mut values = self.all(name).filter_map(|value| std::str::from_utf8(value).ok());
        values.any(|value| value.split(',').any(|item| item.trim().eq_ignore_ascii_case(token)))
    }
}
