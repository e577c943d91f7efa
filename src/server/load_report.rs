//! Parses load reports from a header, a callback, or the response body of a capacity probe.
//!
//! The settings define the names in a report; see `src/config/settings.rs` for their meaning. Non-numeric values are
//! skipped, and invalid input gives an empty report, because load reports are optional hints for scheduling.

use simd_json::prelude::*;
use simd_json::tape::Value;

/// The field of a JSON object that contains a report.
const REPORT_FIELD: &str = "load";

/// Maximum number of values in a report. The settings name four at most.
const MAX_VALUES: usize = 64;

/// The values of a load report by name, before they are resolved with the settings.
pub type RawLoadReport = Vec<(String, f64)>;

/// Parses a report in the header format: `name=value,name=value`.
pub fn from_header(text: &str) -> RawLoadReport {
    text.split(',').filter_map(parse_pair).take(MAX_VALUES).collect()
}

fn parse_pair(pair: &str) -> Option<(String, f64)> {
    let (name, value) = pair.split_once('=')?;
    Some((name.trim().to_owned(), value.trim().parse().ok()?))
}

/// Reads the report of a callback. Returns an empty report if there is none.
pub fn from_callback(callback: &Value) -> RawLoadReport {
    let report = callback.get(REPORT_FIELD);
    report.map(|report| from_object(&report)).unwrap_or_default()
}

/// Parses a response body: a JSON object, a JSON object with the report in its `load` field, or the header format.
pub fn from_body(mut body: Vec<u8>) -> RawLoadReport {
    let is_object = body.trim_ascii().starts_with(b"{");
    if !is_object {
        return String::from_utf8(body).map(|text| from_header(&text)).unwrap_or_default();
    }
    let Ok(tape) = simd_json::to_tape(&mut body) else { return RawLoadReport::new() };
    let value = tape.as_value();
    match value.get(REPORT_FIELD) {
        Some(report) => from_object(&report),
        None => from_object(&value),
    }
}

/// Does not use `get_object`, because in simd-json 0.15 its tape slice is one node too short and reading the last
/// entry panics.
fn from_object(value: &Value) -> RawLoadReport {
    let Some(object) = value.as_object() else { return RawLoadReport::new() };
    let mut report = RawLoadReport::new();
    for (name, value) in object.iter().take(MAX_VALUES) {
        if let Some(number) = value.cast_f64() {
            report.push((name.to_owned(), number));
        }
    }
    report
}

#[cfg(test)]
mod tests;
