//! The head of a message: its start line, its headers, and what they say of the body and the connection.

use std::ops::Range;

use bytes::{Bytes, BytesMut};

use super::headers::{Header, Headers};
use super::{HttpError, MAX_BODY_BYTES};

/// The most headers in one head.
const MAX_HEADERS: usize = 64;

const CONTENT_LENGTH: &str = "content-length";
const TRANSFER_ENCODING: &str = "transfer-encoding";

/// The minor version of HTTP/1.1; an HTTP/1.0 message has 0.
const HTTP_1_1: u8 = 1;

/// How the end of a body is found (RFC 9112, 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// It has this many bytes.
    Length(usize),
    /// Each chunk states its length.
    Chunked,
    /// It ends with the connection; only a response may do so.
    UntilClose,
}

/// A head that has arrived; its body has not been read.
#[derive(Debug)]
pub struct Head {
    /// Of a request: its method. Empty for a response.
    pub method: Bytes,
    /// Of a request: its target as it was written, path and query.
    pub target: Bytes,
    /// Of a response: its status. 0 for a request.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// The other side keeps the connection for a further message.
    pub keep_alive: bool,
    pub(super) framing: Framing,
}

impl Head {
    /// The client waits for `100 Continue` before it sends the body (RFC 9110, 10.1.1).
    pub fn expects_continue(&self) -> bool {
        self.headers.has_token("expect", "100-continue")
    }

    /// The head itself says that the body is over [`MAX_BODY_BYTES`].
    pub fn is_too_long(&self) -> bool {
        matches!(self.framing, Framing::Length(length) if length > MAX_BODY_BYTES)
    }
}

/// Where the parts of a complete head lie in the buffer it was parsed in.
pub(super) struct HeadSpans {
    length: usize,
    method: Range<usize>,
    target: Range<usize>,
    status: u16,
    minor_version: u8,
    headers: Vec<HeaderSpan>,
}

struct HeaderSpan {
    name: Range<usize>,
    value: Range<usize>,
}

impl HeadSpans {
    /// Parses the head of a request; `None` if it is not complete.
    pub(super) fn parse_request(buffer: &[u8]) -> Result<Option<Self>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(length) = request.parse(buffer)? else { return Ok(None) };
        Ok(Some(HeadSpans {
            length,
            method: span(buffer, request.method.unwrap_or_default().as_bytes()),
            target: span(buffer, request.path.unwrap_or_default().as_bytes()),
            status: 0,
            minor_version: request.version.unwrap_or_default(),
            headers: header_spans(buffer, request.headers),
        }))
    }

    /// Parses the head of a response; `None` if it is not complete.
    pub(super) fn parse_response(buffer: &[u8]) -> Result<Option<Self>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(length) = response.parse(buffer)? else { return Ok(None) };
        Ok(Some(HeadSpans {
            length,
            method: 0..0,
            target: 0..0,
            status: response.code.unwrap_or_default(),
            minor_version: response.version.unwrap_or_default(),
            headers: header_spans(buffer, response.headers),
        }))
    }

    /// Takes the head out of the buffer, without copying it.
    pub(super) fn take_from(self, buffer: &mut BytesMut) -> Result<Head, HttpError> {
        let bytes = buffer.split_to(self.length).freeze();
        let headers = self.headers.into_iter();
        let headers = headers
            .map(|header| Header { name: bytes.slice(header.name), value: bytes.slice(header.value) })
            .collect();
        let headers = Headers(headers);
        let framing = framing(&headers, self.status, self.minor_version)?;
        // Whether a connection persists: RFC 9112, 9.3. This side closes those of HTTP/1.0 without asking.
        let asks_to_close = headers.has_token("connection", "close");
        let keep_alive = self.minor_version == HTTP_1_1 && !asks_to_close && framing != Framing::UntilClose;
        Ok(Head {
            method: bytes.slice(self.method),
            target: bytes.slice(self.target),
            status: self.status,
            headers,
            keep_alive,
            framing,
        })
    }
}

fn header_spans(buffer: &[u8], headers: &[httparse::Header]) -> Vec<HeaderSpan> {
    let spans = headers.iter().map(|header| HeaderSpan {
        name: span(buffer, header.name.as_bytes()),
        value: span(buffer, header.value),
    });
    spans.collect()
}

/// Where `part`, which the parser cut out of `buffer`, lies in it.
fn span(buffer: &[u8], part: &[u8]) -> Range<usize> {
    if part.is_empty() {
        return 0..0;
    }
    let start = (part.as_ptr() as usize).wrapping_sub(buffer.as_ptr() as usize);
    start..start + part.len()
}

/// How the body is framed. `status` is 0 for a request.
fn framing(headers: &Headers, status: u16, minor_version: u8) -> Result<Framing, HttpError> {
    let length = only_length(headers)?;
    if headers.raw(TRANSFER_ENCODING).is_some() {
        // Both framings in one message are how requests are smuggled past a proxy; so is a coding that one side knows
        // and the other does not, or an old version that has none (RFC 9112, 6.1 and 11.2).
        let is_unambiguous = length.is_none() && minor_version == HTTP_1_1;
        if !is_unambiguous || !headers.is_only(TRANSFER_ENCODING, "chunked") {
            return Err(HttpError::Malformed("transfer encoding"));
        }
        return Ok(Framing::Chunked);
    }
    if let Some(length) = length {
        return parse_length(length).map(Framing::Length).ok_or(HttpError::Malformed("length"));
    }
    let is_response = status != 0;
    let never_has_body = status == 204 || status == 304;
    if is_response && !never_has_body {
        return Ok(Framing::UntilClose);
    }
    Ok(Framing::Length(0))
}

/// The value of Content-Length. It may be repeated only with the same value (RFC 9112, 6.3, point 5).
fn only_length(headers: &Headers) -> Result<Option<&Bytes>, HttpError> {
    let mut lengths = headers.all(CONTENT_LENGTH);
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(HttpError::Malformed("two lengths"));
    }
    Ok(length)
}

/// Digits alone: a sign, which Rust's parser takes, is not allowed here (RFC 9110, 8.6).
fn parse_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?;
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return None;
    }
    text.parse().ok()
}
