//! Load reports as workers write them: in a header, in a callback, or as the body of an answer to a capacity probe.
//!
//! The names in a report are those that the settings list; `src/config/settings.rs` says what they mean. A value that is
//! not a number is skipped, and what is no report at all is an empty one: a report only ever helps a decision.

use simd_json::prelude::*;
use simd_json::tape::Value;

/// The field of a JSON object that holds a report.
const REPORT_FIELD: &str = "load";

/// The values of a report by name.
pub type Report = Vec<(String, f64)>;

/// A report as a header writes it: `name=value,name=value`.
pub fn from_header(text: &str) -> Report {
    text.split(',').filter_map(name_and_value).collect()
}

fn name_and_value(pair: &str) -> Option<(String, f64)> {
    let (name, value) = pair.split_once('=')?;
    Some((name.trim().to_owned(), value.trim().parse().ok()?))
}

/// The report that a callback carries; empty where it carries none.
pub fn from_callback(callback: &Value) -> Report {
    let report = callback.get(REPORT_FIELD);
    report.map(|report| from_object(&report)).unwrap_or_default()
}

/// A report that is a body of its own: an object, an object that holds it in a field, or the form of the header.
pub fn from_body(mut body: Vec<u8>) -> Report {
    let is_object = body.trim_ascii().starts_with(b"{");
    if !is_object {
        return String::from_utf8(body).map(|text| from_header(&text)).unwrap_or_default();
    }
    let Ok(tape) = simd_json::to_tape(&mut body) else { return Report::new() };
    let value = tape.as_value();
    match value.get(REPORT_FIELD) {
        Some(report) => from_object(&report),
        None => from_object(&value),
    }
}

/// Not by `get_object`: simd-json 0.15 cuts its slice of the tape one node short and panics on the last.
fn from_object(value: &Value) -> Report {
    let Some(object) = value.as_object() else { return Report::new() };
    let mut report = Report::new();
    for (name, value) in object.iter() {
        if let Some(number) = value.cast_f64() {
            report.push((name.to_owned(), number));
        }
    }
    report
}

#[cfg(test)]
mod tests;
