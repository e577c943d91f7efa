//! Strict parsing of paths and request headers.
//!
//! Messages that violate the protocol are rejected here, because workers act on what they are sent. Callbacks are
//! parsed in `callback_parser.rs`.

use std::time::Duration;

use bytes::Bytes;
use percent_encoding::percent_decode_str;
use tokio::time::Instant;

use super::wire_names::{headers, paths, HeaderName};
use crate::config::names;
use crate::scheduling::{Idempotency, Settings};
use crate::server::http::Head;
use crate::server::memory_budget::HeldMemory;
use crate::server::messages::{affinity_key_of, ClientRequest, RequestPayload};

/// Maximum client deadline (1 hour). Longer ones are reduced to it.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum length of a request name.
const MAX_NAME_BYTES: usize = 128;
/// Maximum slots or memory units of a request. No worker has as many.
const MAX_RESOURCE_AMOUNT: f64 = 65_536.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A parsed message.
pub(super) enum ParsedMessage {
    /// A request to schedule.
    Request(Box<ClientRequest>),
    /// A worker's callback. Its body has not been parsed yet.
    Callback,
    /// A readiness check.
    Readiness,
    /// A query of the counters.
    Counters,
}

/// Why a message was rejected.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum RequestError {
    /// The path is none of the fixed paths and does not start with a request class.
    #[error("unknown path: its first segment is not a request class")]
    UnknownPath,
    /// The path does not support the method. Carries the supported one.
    #[error("method not allowed for this path, use {0}")]
    MethodNotAllowed(&'static str),
    /// A required header is missing.
    #[error("header {0} is required but missing")]
    MissingHeader(&'static str),
    /// A header is malformed or repeated.
    #[error("header {0} is malformed or repeated")]
    InvalidHeader(&'static str),
    /// The tenant is not in the settings.
    #[error("header {} does not name a known tenant", headers::TENANT.canonical)]
    UnknownTenant,
}

impl RequestError {
    /// Status code and reason phrase of the response.
    pub(super) fn status(&self) -> &'static str {
        match self {
            RequestError::UnknownPath => "404 Not Found",
            RequestError::MethodNotAllowed(_) => "405 Method Not Allowed",
            RequestError::MissingHeader(_) | RequestError::InvalidHeader(_) => "400 Bad Request",
            RequestError::UnknownTenant => "403 Forbidden",
        }
    }
}

impl HeaderName {
    fn missing(self) -> RequestError {
        RequestError::MissingHeader(self.canonical)
    }

    fn malformed(self) -> RequestError {
        RequestError::InvalidHeader(self.canonical)
    }
}

/// Parses a message whose last byte was received at `received_at`. The deadline of a request counts from then.
///
/// # Errors
/// Returns the first violation of the protocol that is found.
pub(super) fn parse(
    head: &Head,
    body: &Bytes,
    received_at: Instant,
    settings: &Settings,
) -> Result<ParsedMessage, RequestError> {
    let target = std::str::from_utf8(&head.target).unwrap_or_default();
    let path = target.split(['?', '#']).next().unwrap_or_default();
    match path {
        paths::READINESS => require_method(head, "GET").map(|()| ParsedMessage::Readiness),
        paths::COUNTERS => require_method(head, "GET").map(|()| ParsedMessage::Counters),
        paths::CALLBACK => require_method(head, "POST").map(|()| ParsedMessage::Callback),
        _ => {
            let class = class_from_path(path, settings).ok_or(RequestError::UnknownPath)?;
            require_method(head, "POST")?;
            let request = RequestParser { head, settings, class }.parse(body, received_at)?;
            Ok(ParsedMessage::Request(Box::new(request)))
        }
    }
}

fn require_method(head: &Head, method: &'static str) -> Result<(), RequestError> {
    if head.method != method {
        return Err(RequestError::MethodNotAllowed(method));
    }
    Ok(())
}

/// Returns the index of the request class named by the first path segment, which may be percent-encoded.
fn class_from_path(path: &str, settings: &Settings) -> Option<usize> {
    let name = path.strip_prefix('/')?.split('/').next().unwrap_or_default();
    names::find_class(settings, name).or_else(|| {
        let decoded = percent_decode_str(name).decode_utf8().ok()?; // no class has a name that is not UTF-8
        names::find_class(settings, &decoded)
    })
}

/// Parses the headers of a request whose class is already known.
struct RequestParser<'a> {
    head: &'a Head,
    settings: &'a Settings,
    class: usize,
}

/// The worker resources that a request occupies while it runs.
struct Resources {
    slots: f64,
    memory: f64,
}

impl<'a> RequestParser<'a> {
    fn parse(&self, body: &Bytes, received_at: Instant) -> Result<ClientRequest, RequestError> {
        self.check_single_headers()?;
        let name = self.request_name()?;
        let key = self.idempotency_key()?;
        let tenant = self.tenant()?;
        let timeout = self.timeout()?;
        let estimated_work_s = self.estimated_work_s()?;
        let resources = self.resources()?;
        Ok(ClientRequest {
            class: self.class,
            tenant,
            deadline: received_at + timeout,
            slots: resources.slots,
            memory: resources.memory,
            estimated_work_s,
            affinity_key: affinity_key_of(&self.head.target),
            payload: RequestPayload {
                name: name.clone(),
                target: self.head.target.clone(),
                key: key.cloned(),
                content_type: self.head.headers.raw(headers::CONTENT_TYPE).cloned(),
                body: body.clone(),
                held: HeldMemory::default(), // set by the caller
            },
            origin: None,
        })
    }

    fn check_single_headers(&self) -> Result<(), RequestError> {
        for header in headers::SINGLE {
            if self.head.headers.count(header.lower_case) > 1 {
                return Err(RequestError::InvalidHeader(header.lower_case));
            }
        }
        Ok(())
    }

    /// The value of a header as text. `None` if the header is missing.
    fn text(&self, header: HeaderName) -> Result<Option<&'a str>, RequestError> {
        if self.head.headers.raw(header.lower_case).is_none() {
            return Ok(None);
        }
        let text = self.head.headers.get(header.lower_case);
        text.map(Some).ok_or(RequestError::InvalidHeader(header.lower_case))
    }

    /// Only unreserved characters and colons are allowed, because the request name becomes part of the path of a
    /// DELETE: other characters could change the meaning of that path.
    fn request_name(&self) -> Result<&'a Bytes, RequestError> {
        let name = self.head.headers.raw(headers::REQUEST_NAME.lower_case);
        let name = name.ok_or(headers::REQUEST_NAME.missing())?;
        let is_allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(byte);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.iter().all(is_allowed) {
            return Err(headers::REQUEST_NAME.malformed());
        }
        Ok(name)
    }

    /// The idempotency key. Some classes require one, because without it a retry could take effect twice.
    fn idempotency_key(&self) -> Result<Option<&'a Bytes>, RequestError> {
        let key = self.head.headers.raw(headers::IDEMPOTENCY_KEY.lower_case).filter(|key| !key.is_empty());
        let needs_key = self.settings.classes[self.class].idempotency == Idempotency::WithKey;
        if needs_key && key.is_none() {
            return Err(headers::IDEMPOTENCY_KEY.missing());
        }
        Ok(key)
    }

    /// The index of the tenant in the settings, or 0 if the deployment has no tenants.
    fn tenant(&self) -> Result<usize, RequestError> {
        let name = self.text(headers::TENANT)?;
        if self.settings.tenants.is_empty() {
            return Ok(0);
        }
        let name = name.ok_or(headers::TENANT.missing())?;
        names::find_tenant(self.settings, name).ok_or(RequestError::UnknownTenant)
    }

    /// How long the client waits: the value of its deadline header, or else the deadline of the class.
    fn timeout(&self) -> Result<Duration, RequestError> {
        let Some(text) = self.text(headers::DEADLINE)? else {
            return Ok(Duration::from_secs_f64(self.settings.classes[self.class].deadline_s));
        };
        let milliseconds = parse_deadline_ms(text).ok_or(headers::DEADLINE.malformed())?;
        Ok(Duration::from_millis(milliseconds))
    }

    fn estimated_work_s(&self) -> Result<Option<f64>, RequestError> {
        let Some(text) = self.text(headers::ESTIMATED_WORK)? else { return Ok(None) };
        let microseconds = parse_non_negative(text).ok_or(headers::ESTIMATED_WORK.malformed())?;
        Ok(Some(microseconds / MICROSECONDS_PER_SECOND))
    }

    /// The slots and memory that the request needs. Pairs with other names are ignored, but must be valid.
    fn resources(&self) -> Result<Resources, RequestError> {
        let mut resources = Resources { slots: 1.0, memory: 0.0 };
        let text = self.text(headers::RESOURCES)?.unwrap_or_default();
        for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
            let (name, value) = parse_resource(pair).ok_or(headers::RESOURCES.malformed())?;
            match name {
                headers::SLOTS if value > 0.0 && value <= MAX_RESOURCE_AMOUNT => resources.slots = value,
                headers::MEMORY if value <= MAX_RESOURCE_AMOUNT => resources.memory = value,
                headers::SLOTS | headers::MEMORY => return Err(headers::RESOURCES.malformed()),
                _ => {}
            }
        }
        Ok(resources)
    }
}

/// Parses a deadline. Only digits are allowed: no sign, fraction or exponent. Values above [`MAX_DEADLINE_MS`] are
/// reduced to it.
fn parse_deadline_ms(text: &str) -> Option<u64> {
    let text = text.trim();
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return None;
    }
    let milliseconds = text.parse().unwrap_or(MAX_DEADLINE_MS); // too large for u64
    Some(milliseconds.min(MAX_DEADLINE_MS))
}

/// Parses a `NAME=NUMBER` pair.
fn parse_resource(pair: &str) -> Option<(&str, f64)> {
    let (name, value) = pair.split_once('=')?;
    Some((name.trim(), parse_non_negative(value)?))
}

/// Parses a finite number that is not negative.
fn parse_non_negative(text: &str) -> Option<f64> {
    let value: f64 = text.trim().parse().ok()?;
    let is_valid = value.is_finite() && value >= 0.0;
    is_valid.then_some(value)
}

#[cfg(test)]
mod tests;
