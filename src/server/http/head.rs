//! The head of a message: start line, headers, body framing and connection persistence.

use std::ops::Range;

use bytes::Bytes;

use super::headers::{Header, Headers};
use super::{HttpError, MAX_BODY_BYTES};

/// Maximum number of headers in a message head.
pub(super) const MAX_HEADERS: usize = 64;

const CONTENT_LENGTH: &str = "content-length";
const TRANSFER_ENCODING: &str = "transfer-encoding";

/// Minor version number of HTTP/1.1. HTTP/1.0 messages have 0.
const HTTP_1_1: u8 = 1;

/// How the length of a body is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// The body has this many bytes.
    Length(usize),
    /// The body is sent in chunks, each preceded by its length.
    Chunked,
    /// The body ends when the connection is closed. Valid only for responses.
    UntilClose,
}

/// A received message head. The body has not been read yet.
#[derive(Debug)]
pub struct Head {
    /// Request method. Empty for a response.
    pub method: Bytes,
    /// Request target as received: path and query. Empty for a response.
    pub target: Bytes,
    /// Response status code. 0 for a request.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// Whether the connection can be used for another message.
    pub keep_alive: bool,
    pub(super) framing: Framing,
}

impl Head {
    /// Whether the client waits for `100 Continue` before it sends the body (RFC 9110, section 10.1.1).
    pub fn expects_continue(&self) -> bool {
        self.headers.has_token("expect", "100-continue")
    }

    /// Whether Content-Length exceeds [`MAX_BODY_BYTES`].
    pub fn declares_oversized_body(&self) -> bool {
        matches!(self.framing, Framing::Length(length) if length > MAX_BODY_BYTES)
    }
}

/// Byte ranges of the parts of a complete head in the buffer that it was parsed from.
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
    /// Parses a request head. Returns `None` if it is incomplete.
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

    /// Parses a response head. Returns `None` if it is incomplete.
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

    /// Number of bytes of the head.
    pub(super) fn length(&self) -> usize {
        self.length
    }

    /// The head, given its bytes.
    pub(super) fn into_head(self, bytes: &Bytes) -> Result<Head, HttpError> {
        let headers = self.headers.into_iter();
        let headers = headers
            .map(|header| Header { name: bytes.slice(header.name), value: bytes.slice(header.value) })
            .collect();
        let headers = Headers(headers);
        let framing = framing(&headers, self.status, self.minor_version)?;
        // Connection persistence: RFC 9112, section 9.3. HTTP/1.0 connections are never kept alive.
        let wants_close = headers.has_token("connection", "close");
        let keep_alive = self.minor_version == HTTP_1_1 && !wants_close && framing != Framing::UntilClose;
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

/// The byte range of `part`, a subslice of `buffer`.
fn span(buffer: &[u8], part: &[u8]) -> Range<usize> {
    if part.is_empty() {
        return 0..0;
    }
    let start = (part.as_ptr() as usize).wrapping_sub(buffer.as_ptr() as usize);
    start..start + part.len()
}

/// Determines the framing of the body. `status` is 0 for a request.
fn framing(headers: &Headers, status: u16, minor_version: u8) -> Result<Framing, HttpError> {
    let length = content_length(headers)?;
    if headers.raw(TRANSFER_ENCODING).is_some() {
        // Request smuggling uses messages with both framings, with a transfer coding that only one of two parties
        // supports, or with a transfer coding in HTTP/1.0, which has none (RFC 9112, sections 6.1 and 11.2).
        let is_unambiguous = length.is_none() && minor_version == HTTP_1_1;
        if !is_unambiguous || !headers.has_single_value(TRANSFER_ENCODING, "chunked") {
            return Err(HttpError::Malformed("unsupported or ambiguous Transfer-Encoding"));
        }
        return Ok(Framing::Chunked);
    }
    if let Some(length) = length {
        return parse_content_length(length)
            .map(Framing::Length)
            .ok_or(HttpError::Malformed("invalid Content-Length"));
    }
    let is_response = status != 0;
    let never_has_body = status == 204 || status == 304;
    if is_response && !never_has_body {
        return Ok(Framing::UntilClose);
    }
    Ok(Framing::Length(0))
}

/// The value of Content-Length. Repeated headers must all have the same value (RFC 9112, section 6.3, item 5).
fn content_length(headers: &Headers) -> Result<Option<&Bytes>, HttpError> {
    let mut lengths = headers.all(CONTENT_LENGTH);
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(HttpError::Malformed("conflicting Content-Length values"));
    }
    Ok(length)
}

/// Parses a Content-Length. Only digits are allowed (RFC 9110, section 8.6), while Rust's parser also accepts a sign.
fn parse_content_length(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok()?;
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return None;
    }
    text.parse().ok()
}
