//! What a message asks for: its path, its headers and call-backs, read strictly. What is not as the protocol
//! writes it gets an error and goes no further: members act on what they are passed.

use std::time::Duration;

use bytes::Bytes;
use simd_json::prelude::*;
use tokio::time::Instant;

use crate::scheduling::{Idempotency, Settings};
use crate::server::attempt_end::AttemptEnd;
use crate::server::http::Head;
use crate::server::load_report;
use crate::server::messages::{object_of, CallbackEvent, ClientRequest, RequestPayload, WorkerCallback};

/// The longest wait that counts.
const LONGEST_MS: u64 = 3_600_000;
/// The longest name of a transaction.
const NAME_BYTES: usize = 128;
/// More slots or memory than any member has.
const LARGEST: f64 = 65_536.0;
/// Headers of which there may be one only: with two, this side and a member could each go by another.
const SINGLE: [&str; 6] =
    ["x-request-id", "x-tenant", "x-deadline-ms", "x-cost-hint", "x-extras", "idempotency-key"];

/// What is asked for.
pub enum Asked {
    /// That a job be done.
    Submit(Box<ClientRequest>),
    /// That a call-back be taken.
    Callback,
    /// Whether the scheduler serves.
    Readiness,
    /// The counters.
    Counters,
}

/// Why nothing can be done.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum RequestError {
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
    pub fn status(&self) -> &'static str {
        match self {
            RequestError::Path => "404 Not Found",
            RequestError::Method(_) => "405 Method Not Allowed",
            RequestError::Missing(_) | RequestError::Header(_) => "400 Bad Request",
            RequestError::Tenant => "403 Forbidden",
        }
    }
}

/// Reads what a message asks for whose last byte came at `arrived`: from then on its client's time runs.
///
/// # Errors
/// Names what makes it useless.
pub fn read(head: &Head, body: &Bytes, arrived: Instant, settings: &Settings) -> Result<Asked, RequestError> {
    let target = std::str::from_utf8(&head.target).unwrap_or_default();
    let path = target.split(['?', '#']).next().unwrap_or_default();
    let method = |method| if head.method == method { Ok(()) } else { Err(RequestError::Method(method)) };
    match path {
        "/ready" => method("GET").map(|()| Asked::Readiness),
        "/counters" => method("GET").map(|()| Asked::Counters),
        "/callback" => method("POST").map(|()| Asked::Callback),
        _ => {
            let name = path.strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or_default();
            let class = settings.classes.iter().position(|class| is_named(&class.name, name));
            let class = class.ok_or(RequestError::Path)?;
            method("POST")?;
            transaction(head, body, arrived, settings, class).map(|job| Asked::Submit(Box::new(job)))
        }
    }
}

fn transaction(
    head: &Head,
    body: &Bytes,
    arrived: Instant,
    settings: &Settings,
    class: usize,
) -> Result<ClientRequest, RequestError> {
    if let Some(name) = SINGLE.into_iter().find(|name| head.headers.count(name) > 1) {
        return Err(RequestError::Header(name));
    }
    let text = |name: &'static str| match head.headers.raw(name) {
        None => Ok(None),
        Some(_) => head.headers.get(name).map(Some).ok_or(RequestError::Header(name)),
    };
    // The name goes into the path of a DELETE: anything but plain characters could say something else there.
    let name = head.headers.raw("x-request-id").ok_or(RequestError::Missing("X-Request-Id"))?;
    let plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(byte);
    if name.is_empty() || name.len() > NAME_BYTES || !name.iter().all(plain) {
        return Err(RequestError::Header("X-Request-Id"));
    }
    // Without its key, a repeat of such a job would take effect twice.
    let key = head.headers.raw("idempotency-key").filter(|key| !key.is_empty());
    if settings.classes[class].idempotency == Idempotency::WithKey && key.is_none() {
        return Err(RequestError::Missing("Idempotency-Key"));
    }
    let tenants = &settings.tenants;
    let tenant = match text("x-tenant")? {
        _ if tenants.is_empty() => 0,
        Some(name) => {
            tenants.iter().position(|tenant| is_named(&tenant.name, name)).ok_or(RequestError::Tenant)?
        }
        None => return Err(RequestError::Missing("X-Tenant")),
    };
    let wait = match text("x-deadline-ms")? {
        Some(ms) => Duration::from_millis(whole(ms).ok_or(RequestError::Header("X-Deadline-Ms"))?),
        None => Duration::from_secs_f64(settings.classes[class].deadline_s),
    };
    let hint = match text("x-cost-hint")? {
        Some(us) => Some(number(us).ok_or(RequestError::Header("X-Cost-Hint"))? / 1e6),
        None => None,
    };
    let (mut slots, mut memory) = (1.0, 0.0);
    for pair in text("x-extras")?.unwrap_or_default().split(',').map(str::trim).filter(|p| !p.is_empty()) {
        let figure = pair.split_once('=').and_then(|(name, value)| Some((name.trim(), number(value)?)));
        match figure.ok_or(RequestError::Header("X-Extras"))? {
            ("slots", value) if value > 0.0 && value <= LARGEST => slots = value,
            ("memory", value) if value <= LARGEST => memory = value,
            ("slots" | "memory", _) => return Err(RequestError::Header("X-Extras")),
            _ => {}
        }
    }
    Ok(ClientRequest {
        class,
        tenant,
        deadline: arrived + wait,
        slots,
        memory,
        estimated_work_s: hint,
        affinity_key: object_of(&head.target),
        payload: RequestPayload {
            name: name.clone(),
            target: head.target.clone(),
            key: key.cloned(),
            content_type: head.headers.raw("content-type").cloned(),
            body: body.clone(),
        },
        origin: None,
    })
}

/// A whole number, cut to the longest wait; a sign is no part of it.
fn whole(text: &str) -> Option<u64> {
    let text = text.trim();
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    digits.then(|| text.parse().unwrap_or(LONGEST_MS).min(LONGEST_MS))
}

/// A figure that is finite and not negative.
fn number(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

/// The settings write names with `_` for spaces and commas; headers and paths may carry either form.
fn is_named(known: &str, name: &str) -> bool {
    !known.is_empty() && (known == name || known == name.replace([' ', ','], "_"))
}

/// Reads a call-back. The tape is flat, so that no nesting, however deep, can exhaust the stack.
pub fn read_call_back(body: Bytes) -> Option<WorkerCallback> {
    let mut text = Vec::from(body);
    let tape = simd_json::to_tape(&mut text).ok()?;
    let value = tape.as_value();
    let news = match value.get_str("state")? {
        "started" => CallbackEvent::Started,
        "running" => CallbackEvent::Progress(value.get("share")?.cast_f64()?),
        "done" => CallbackEvent::Completed(match value.get("result") {
            // A result is text; anything else is passed on in the form in which JSON writes it.
            Some(result) => match result.as_str() {
                Some(text) => Bytes::copy_from_slice(text.as_bytes()),
                None => result.encode().into(),
            },
            None => return None,
        }),
        "failed" => CallbackEvent::Ended(AttemptEnd::Failed),
        "returned" => CallbackEvent::Ended(AttemptEnd::RejectedByWorker),
        "lost" => CallbackEvent::Ended(AttemptEnd::LostByWorker),
        _ => return None,
    };
    Some(WorkerCallback {
        request_name: Bytes::copy_from_slice(value.get_str("id")?.as_bytes()),
        worker_name: value.get_str("from")?.to_owned(),
        event: news,
        load_report: load_report::from_load(&value),
    })
}
