//! What a message asks for: its path and its headers, read strictly.
//!
//! What is not as the protocol page writes it gets an error and goes no further, because workers act on what they are
//! sent. Callbacks are read in `callback_parser.rs`.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::wire_names::{headers, paths, HeaderName};
use crate::scheduling::{Idempotency, Settings};
use crate::server::http::Head;
use crate::server::messages::{affinity_key_of, ClientRequest, RequestPayload};

/// The longest time that a client may say it waits; more is cut to it.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// The longest name of a request.
const MAX_NAME_BYTES: usize = 128;
/// More slots or units of memory than any worker has.
const MAX_RESOURCE: f64 = 65_536.0;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// What a message asks for.
pub(super) enum ParsedRequest {
    /// Work for a worker.
    Work(Box<ClientRequest>),
    /// That a callback be taken.
    Callback,
    /// Whether the scheduler serves.
    Readiness,
    /// The counters.
    Counters,
}

/// Why nothing can be done.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum RequestError {
    /// No such path.
    #[error("no such path or class")]
    Path,
    /// Another method is meant.
    #[error("wrong method, {0} is meant")]
    Method(&'static str),
    /// A header that is needed is not there.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A header cannot be used.
    #[error("{0} is malformed, or there twice")]
    Header(&'static str),
    /// No such tenant.
    #[error("no such tenant")]
    Tenant,
}

impl RequestError {
    /// The status that says so.
    pub(super) fn status(&self) -> &'static str {
        match self {
            RequestError::Path => "404 Not Found",
            RequestError::Method(_) => "405 Method Not Allowed",
            RequestError::Missing(_) | RequestError::Header(_) => "400 Bad Request",
            RequestError::Tenant => "403 Forbidden",
        }
    }
}

impl HeaderName {
    fn missing(self) -> RequestError {
        RequestError::Missing(self.canonical)
    }

    fn malformed(self) -> RequestError {
        RequestError::Header(self.canonical)
    }
}

/// Reads what a message asks for whose last byte arrived at `received_at`: from then on its client's time runs.
///
/// # Errors
/// Names what makes it useless.
pub(super) fn parse(
    head: &Head,
    body: &Bytes,
    received_at: Instant,
    settings: &Settings,
) -> Result<ParsedRequest, RequestError> {
    let target = std::str::from_utf8(&head.target).unwrap_or_default();
    let path = target.split(['?', '#']).next().unwrap_or_default();
    match path {
        paths::READINESS => require_method(head, "GET").map(|()| ParsedRequest::Readiness),
        paths::COUNTERS => require_method(head, "GET").map(|()| ParsedRequest::Counters),
        paths::CALLBACK => require_method(head, "POST").map(|()| ParsedRequest::Callback),
        _ => {
            let class = class_of(path, settings).ok_or(RequestError::Path)?;
            require_method(head, "POST")?;
            let request = WorkParser { head, settings, class }.parse(body, received_at)?;
            Ok(ParsedRequest::Work(Box::new(request)))
        }
    }
}

fn require_method(head: &Head, method: &'static str) -> Result<(), RequestError> {
    if head.method != method {
        return Err(RequestError::Method(method));
    }
    Ok(())
}

/// The class is the first part of the path.
fn class_of(path: &str, settings: &Settings) -> Option<usize> {
    let name = path.strip_prefix('/')?.split('/').next().unwrap_or_default();
    settings.classes.iter().position(|class| is_named(&class.name, name))
}

/// The settings write names with `_` for spaces and commas; headers and paths may carry either form.
fn is_named(known: &str, name: &str) -> bool {
    !known.is_empty() && (known == name || known == name.replace([' ', ','], "_"))
}

/// Reads a request of one class from its headers.
struct WorkParser<'a> {
    head: &'a Head,
    settings: &'a Settings,
    class: usize,
}

/// What a request holds of a worker while it runs.
struct Resources {
    slots: f64,
    memory: f64,
}

impl<'a> WorkParser<'a> {
    fn parse(&self, body: &Bytes, received_at: Instant) -> Result<ClientRequest, RequestError> {
        self.check_single_headers()?;
        let name = self.request_name()?;
        let key = self.idempotency_key()?;
        let tenant = self.tenant()?;
        let waits_for = self.waits_for()?;
        let estimated_work_s = self.estimated_work_s()?;
        let resources = self.resources()?;
        Ok(ClientRequest {
            class: self.class,
            tenant,
            deadline: received_at + waits_for,
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
            },
            origin: None,
        })
    }

    fn check_single_headers(&self) -> Result<(), RequestError> {
        for header in headers::SINGLE {
            if self.head.headers.count(header.lower_case) > 1 {
                return Err(RequestError::Header(header.lower_case));
            }
        }
        Ok(())
    }

    /// The value of a header as text; `None` where there is no such header.
    fn text(&self, header: HeaderName) -> Result<Option<&'a str>, RequestError> {
        if self.head.headers.raw(header.lower_case).is_none() {
            return Ok(None);
        }
        let text = self.head.headers.get(header.lower_case);
        text.map(Some).ok_or(RequestError::Header(header.lower_case))
    }

    /// The request's name goes into the path of a DELETE: anything but plain characters could change what that means.
    fn request_name(&self) -> Result<&'a Bytes, RequestError> {
        let name = self.head.headers.raw(headers::REQUEST_NAME.lower_case);
        let name = name.ok_or(headers::REQUEST_NAME.missing())?;
        let is_plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(byte);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.iter().all(is_plain) {
            return Err(headers::REQUEST_NAME.malformed());
        }
        Ok(name)
    }

    /// Without its key, a retry of a request that needs one would take effect twice.
    fn idempotency_key(&self) -> Result<Option<&'a Bytes>, RequestError> {
        let key = self.head.headers.raw(headers::IDEMPOTENCY_KEY.lower_case).filter(|key| !key.is_empty());
        let needs_key = self.settings.classes[self.class].idempotency == Idempotency::WithKey;
        if needs_key && key.is_none() {
            return Err(headers::IDEMPOTENCY_KEY.missing());
        }
        Ok(key)
    }

    /// The number of the tenant; 0 where the deployment has none.
    fn tenant(&self) -> Result<usize, RequestError> {
        let name = self.text(headers::TENANT)?;
        let tenants = &self.settings.tenants;
        if tenants.is_empty() {
            return Ok(0);
        }
        let name = name.ok_or(headers::TENANT.missing())?;
        tenants.iter().position(|tenant| is_named(&tenant.name, name)).ok_or(RequestError::Tenant)
    }

    /// How long the client waits: as it says, or as its class says.
    fn waits_for(&self) -> Result<Duration, RequestError> {
        let Some(text) = self.text(headers::DEADLINE)? else {
            return Ok(Duration::from_secs_f64(self.settings.classes[self.class].deadline_s));
        };
        let milliseconds = deadline_ms(text).ok_or(headers::DEADLINE.malformed())?;
        Ok(Duration::from_millis(milliseconds))
    }

    fn estimated_work_s(&self) -> Result<Option<f64>, RequestError> {
        let Some(text) = self.text(headers::ESTIMATED_WORK)? else { return Ok(None) };
        let microseconds = non_negative(text).ok_or(headers::ESTIMATED_WORK.malformed())?;
        Ok(Some(microseconds / MICROSECONDS_PER_SECOND))
    }

    /// The slots and the memory that the request needs; figures of other names must be figures, and are skipped.
    fn resources(&self) -> Result<Resources, RequestError> {
        let mut resources = Resources { slots: 1.0, memory: 0.0 };
        let text = self.text(headers::RESOURCES)?.unwrap_or_default();
        for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
            let (name, value) = name_and_figure(pair).ok_or(headers::RESOURCES.malformed())?;
            match name {
                headers::SLOTS if value > 0.0 && value <= MAX_RESOURCE => resources.slots = value,
                headers::MEMORY if value <= MAX_RESOURCE => resources.memory = value,
                headers::SLOTS | headers::MEMORY => return Err(headers::RESOURCES.malformed()),
                _ => {}
            }
        }
        Ok(resources)
    }
}

/// Digits alone, because a sign is no part of it; more than [`MAX_DEADLINE_MS`] is cut to that.
fn deadline_ms(text: &str) -> Option<u64> {
    let text = text.trim();
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return None;
    }
    let milliseconds = text.parse().unwrap_or(MAX_DEADLINE_MS); // more digits than fit
    Some(milliseconds.min(MAX_DEADLINE_MS))
}

fn name_and_figure(pair: &str) -> Option<(&str, f64)> {
    let (name, value) = pair.split_once('=')?;
    Some((name.trim(), non_negative(value)?))
}

/// A figure that is finite and not negative.
fn non_negative(text: &str) -> Option<f64> {
    let value: f64 = text.trim().parse().ok()?;
    let is_usable = value.is_finite() && value >= 0.0;
    is_usable.then_some(value)
}

#[cfg(test)]
mod tests;
