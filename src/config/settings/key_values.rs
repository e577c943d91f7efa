//! Typed access to the values of `path=value` lines.

use std::collections::BTreeMap;
use std::str::FromStr;

use super::keys;

/// A known key has an invalid value.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("option {key}: cannot read value {value:?}")]
pub struct SettingsError {
    /// The key of the setting.
    pub key: String,
    /// The invalid value.
    pub value: String,
}

impl SettingsError {
    fn new(key: &str, value: &str) -> Self {
        SettingsError { key: key.to_owned(), value: value.to_owned() }
    }
}

/// Maximum length of a list of objects. A larger count is rejected, so that a wrong one cannot exhaust memory.
const MAX_LIST_ITEMS: usize = 65_536;

/// Values by key. If a key occurs more than once, its last value applies.
pub(super) struct KeyValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    /// Parses the lines and ignores those without `=`.
    pub(super) fn parse(text: &'a str) -> Self {
        KeyValues(text.lines().filter_map(|line| line.split_once('=')).collect())
    }

    /// The unparsed value, or an empty string if the key is missing.
    pub(super) fn raw_value(&self, key: &str) -> &str {
        self.0.get(key).copied().unwrap_or_default()
    }

    /// The parsed value, or `default` if the key is missing.
    pub(super) fn get<T: FromStr>(&self, key: &str, default: T) -> Result<T, SettingsError> {
        let Some(value) = self.0.get(key) else { return Ok(default) };
        value.parse().map_err(|_| SettingsError::new(key, value)) // the key and the value suffice
    }

    /// Like [`KeyValues::get`] for a number, which must be finite and not negative.
    pub(super) fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let value: f64 = self.get(key, default)?;
        if value.is_finite() && value >= 0.0 {
            return Ok(value);
        }
        Err(SettingsError::new(key, self.raw_value(key)))
    }

    /// The meaning of the value, which must be one of the names in `meanings`, or `default` if the key is missing.
    pub(super) fn one_of<T: Copy>(
        &self,
        key: &str,
        meanings: &[(&str, T)],
        default: T,
    ) -> Result<T, SettingsError> {
        let Some(value) = self.0.get(key) else { return Ok(default) };
        let meaning = meanings.iter().find(|(name, _)| name == value);
        meaning.map(|(_, meaning)| *meaning).ok_or_else(|| SettingsError::new(key, value))
    }

    /// Number of items of a list of objects; 0 if the list is missing.
    pub(super) fn count(&self, list: &str) -> Result<usize, SettingsError> {
        let key = keys::count_key(list);
        let count = self.get(&key, 0)?;
        if count > MAX_LIST_ITEMS {
            return Err(SettingsError::new(&key, &count.to_string()));
        }
        Ok(count)
    }

    /// The items of a comma-separated list; empty if the key is missing.
    pub(super) fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, SettingsError> {
        let value = self.raw_value(key);
        let items = value.split(',').filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| SettingsError::new(key, value))).collect()
    }
}
