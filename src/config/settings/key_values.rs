//! Lines of `path=value` by their keys, with typed access.

use std::collections::BTreeMap;
use std::str::FromStr;

use super::keys;

/// A known key whose value cannot be read.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("option {key}: cannot read value {value:?}")]
pub struct SettingsError {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
}

impl SettingsError {
    fn new(key: &str, value: &str) -> Self {
        SettingsError { key: key.to_owned(), value: value.to_owned() }
    }
}

/// A list of more items than this is taken for a mistake, so that a wrong figure cannot use up the memory.
const MAX_LIST_ITEMS: usize = 65_536;

/// The values by key. Of a key that is there twice, the last one counts.
pub(super) struct KeyValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    /// Lines without `=` are skipped.
    pub(super) fn parse(text: &'a str) -> Self {
        KeyValues(text.lines().filter_map(|line| line.split_once('=')).collect())
    }

    /// The value as it is written; empty where there is none.
    pub(super) fn text(&self, key: &str) -> &str {
        self.0.get(key).copied().unwrap_or_default()
    }

    /// The value, or `default` where there is none.
    pub(super) fn get<T: FromStr>(&self, key: &str, default: T) -> Result<T, SettingsError> {
        let Some(value) = self.0.get(key) else { return Ok(default) };
        value.parse().map_err(|_| SettingsError::new(key, value)) // the value itself says what is wrong
    }

    /// A figure that is finite and not negative.
    pub(super) fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let value: f64 = self.get(key, default)?;
        if value.is_finite() && value >= 0.0 {
            return Ok(value);
        }
        Err(SettingsError::new(key, self.text(key)))
    }

    /// The meaning of the value's name, which must be one of these.
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

    /// How many items a list of objects has; none where it is not there.
    pub(super) fn count(&self, list: &str) -> Result<usize, SettingsError> {
        let key = keys::of_count(list);
        let count = self.get(&key, 0)?;
        if count > MAX_LIST_ITEMS {
            return Err(SettingsError::new(&key, &count.to_string()));
        }
        Ok(count)
    }

    /// The items of a list of plain values, which are joined with commas.
    pub(super) fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, SettingsError> {
        let value = self.text(key);
        let items = value.split(',').filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| SettingsError::new(key, value))).collect()
    }
}
