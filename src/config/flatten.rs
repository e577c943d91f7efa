//! Converts the nested settings of the platform file to the `path=value` lines that [`super::settings`] parses.
//!
//! The format is the one that the simulator sends. A list of scalars becomes one line with its items separated by
//! commas. A list of objects has its length under `count` and its items under their indices. Texts have the form of
//! [`names::settings_form`].

use simd_json::prelude::*;
use simd_json::tape::Value;

use super::names;
use super::settings::SettingsError;
use crate::scheduling::Settings;

/// Parses nested settings.
pub(super) fn parse_settings(value: &Value) -> Result<Settings, SettingsError> {
    let mut lines = String::new();
    append_lines("", value, &mut lines);
    lines.parse()
}

/// Appends the lines for the value at `path`.
fn append_lines(path: &str, value: &Value, lines: &mut String) {
    if let Some(object) = value.as_object() {
        for (key, value) in object.iter() {
            append_lines(&join_path(path, key), &value, lines);
        }
        return;
    }
    let Some(array) = value.as_array() else {
        if let Some(text) = scalar_text(value) {
            append_line(path, &text, lines);
        }
        return;
    };
    let contains_objects = array.iter().any(|item| item.is_object());
    if !contains_objects {
        let items: Vec<String> = array.iter().filter_map(|item| scalar_text(&item)).collect();
        append_line(path, &items.join(","), lines);
        return;
    }
    append_line(&join_path(path, "count"), &array.len().to_string(), lines);
    for (index, item) in array.iter().enumerate() {
        append_lines(&join_path(path, &index.to_string()), &item, lines);
    }
}

fn append_line(path: &str, text: &str, lines: &mut String) {
    lines.push_str(path);
    lines.push('=');
    lines.push_str(text);
    lines.push('\n');
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

/// Text of a scalar value in a line. `None` for null, which is treated like a missing key.
fn scalar_text(value: &Value) -> Option<String> {
    if let Some(text) = value.as_str() {
        return Some(names::settings_form(text).into_owned());
    }
    if let Some(flag) = value.as_bool() {
        return Some(flag.to_string());
    }
    let integer = value.as_i128().map(|number| number.to_string());
    integer.or_else(|| value.as_f64().map(|number| number.to_string()))
}
