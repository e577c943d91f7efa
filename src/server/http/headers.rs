//! The header fields of a message.

use bytes::Bytes;

/// One header field. Name and value are slices of the received bytes.
#[derive(Debug)]
pub(super) struct Header {
    pub(super) name: Bytes,
    pub(super) value: Bytes,
}

impl Header {
    /// Compares names case-insensitively (RFC 9110, section 5.1).
    fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

/// The header fields of a message, in the order received.
#[derive(Debug, Default)]
pub struct Headers(pub(super) Vec<Header>);

impl Headers {
    /// The value of the first header with this name. `None` if there is none or its value is not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.raw(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// The value of the first header with this name, as bytes.
    pub fn raw(&self, name: &str) -> Option<&Bytes> {
        self.0.iter().find(|header| header.has_name(name)).map(|header| &header.value)
    }

    /// The number of headers with this name.
    pub fn count(&self, name: &str) -> usize {
        self.all(name).count()
    }

    /// The values of all headers with this name.
    pub(super) fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.0.iter().filter(|header| header.has_name(name)).map(|header| &header.value)
    }

    /// Whether there is exactly one header with this name and its value is `token`.
    pub(super) fn has_single_value(&self, name: &str, token: &str) -> bool {
        self.count(name) == 1 && self.get(name).is_some_and(|value| value.trim().eq_ignore_ascii_case(token))
    }

    /// Whether any header with this name lists `token` (RFC 9110, section 5.6.1).
    pub(super) fn has_token(&self, name: &str, token: &str) -> bool {
        let mut values = self.all(name).filter_map(|value| std::str::from_utf8(value).ok());
        values.any(|value| value.split(',').any(|item| item.trim().eq_ignore_ascii_case(token)))
    }
}
