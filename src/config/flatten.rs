//! Turns the nested settings of the platform's file into the lines of `path=value` that [`super::settings`] reads.
//!
//! The form is that of the simulator's wire page: a list of plain values is joined with commas; a list of objects states
//! its length under `count` and its items under their numbers; spaces and commas within values become `_`.

use simd_json::prelude::*;
use simd_json::tape::Value;

use super::settings::SettingsError;
use crate::scheduling::Settings;

/// Reads nested settings.
pub(super) fn read_settings(value: &Value) -> Result<Settings, SettingsError> {
    let mut lines = String::new();
    put_lines("", value, &mut lines);
    lines.parse()
}

/// Appends the lines of a value that stands at `path`.
fn put_lines(path: &str, value: &Value, lines: &mut String) {
    if let Some(object) = value.as_object() {
        for (key, value) in object.iter() {
            put_lines(&join(path, key), &value, lines);
        }
        return;
    }
    let Some(array) = value.as_array() else {
        if let Some(text) = plain_text(value) {
            put_line(path, &text, lines);
        }
        return;
    };
    let holds_objects = array.iter().any(|item| item.is_object());
    if !holds_objects {
        let items: Vec<String> = array.iter().filter_map(|item| plain_text(&item)).collect();
        put_line(path, &items.join(","), lines);
        return;
    }
    put_line(&join(path, "count"), &array.len().to_string(), lines);
    for (index, item) in array.iter().enumerate() {
        put_lines(&join(path, &index.to_string()), &item, lines);
    }
}

fn put_line(path: &str, text: &str, lines: &mut String) {
    lines.push_str(path);
    lines.push('=');
    lines.push_str(text);
    lines.push('\n');
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

/// A value as a line writes it. Null stands for a key that is not there.
fn plain_text(value: &Value) -> Option<String> {
    if let Some(text) = value.as_str() {
        return Some(text.replace([' ', ',', '\n'], "_"));
    }
    if let Some(flag) = value.as_bool() {
        return Some(flag.to_string());
    }
    let integer = value.as_i128().map(|number| number.to_string());
    integer.or_else(|| value.as_f64().map(|number| number.to_string()))
}
