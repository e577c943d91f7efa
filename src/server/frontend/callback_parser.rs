//! Parses worker callbacks: JSON objects that notify the scheduler of the progress and outcome of a request.

use bytes::Bytes;
use simd_json::prelude::*;
use simd_json::tape::Value;

use super::wire_names::callback;
use crate::server::attempt_end::AttemptEnd;
use crate::server::load_report;
use crate::server::messages::{CallbackEvent, WorkerCallback};

/// Parses a callback. Returns `None` if it is malformed.
///
/// The simd-json tape is flat, so deep nesting cannot exhaust the stack.
pub(super) fn parse(body: Bytes) -> Option<WorkerCallback> {
    let mut text = Vec::from(body);
    let tape = simd_json::to_tape(&mut text).ok()?;
    let value = tape.as_value();
    let event = parse_event(&value)?;
    let request_name = value.get_str(callback::REQUEST_NAME)?;
    let worker_name = value.get_str(callback::WORKER_NAME)?;
    Some(WorkerCallback {
        request_name: Bytes::copy_from_slice(request_name.as_bytes()),
        worker_name: worker_name.to_owned(),
        event,
        load_report: load_report::from_callback(&value),
    })
}

fn parse_event(value: &Value) -> Option<CallbackEvent> {
    match value.get_str(callback::STATE)? {
        callback::STATE_STARTED => Some(CallbackEvent::Started),
        callback::STATE_PROGRESS => {
            let progress = value.get(callback::PROGRESS)?.cast_f64()?;
            Some(CallbackEvent::Progress(progress))
        }
        callback::STATE_COMPLETED => {
            let result = value.get(callback::RESULT)?;
            Some(CallbackEvent::Completed(result_bytes(&result)))
        }
        callback::STATE_FAILED => Some(CallbackEvent::Ended(AttemptEnd::Failed)),
        callback::STATE_REJECTED => Some(CallbackEvent::Ended(AttemptEnd::RejectedByWorker)),
        callback::STATE_LOST => Some(CallbackEvent::Ended(AttemptEnd::LostByWorker)),
        _ => None,
    }
}

/// The response body for a result: the text itself for a JSON string, the JSON encoding for any other value.
fn result_bytes(result: &Value) -> Bytes {
    match result.as_str() {
        Some(text) => Bytes::copy_from_slice(text.as_bytes()),
        None => result.encode().into(),
    }
}

#[cfg(test)]
mod tests;
