//! What a document says, and what holds while two versions of it are in force.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chutesaddle_operator_config::reader::Reader;
use chutesaddle_operator_config::{duration, ConfigError, ConfigErrors};
use kdl::{KdlDocument, KdlEntry, KdlError, KdlNode};

/// The operators' rules, by the names that they use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Requests a second of a tenant, over all schedulers.
    pub quotas: BTreeMap<String, f64>,
    /// Deduplication windows of the classes.
    pub windows: BTreeMap<String, Duration>,
    /// Workers that drain: they get nothing new and finish what they have.
    pub drained: BTreeSet<String>,
    /// Workers that are not used at all.
    pub removed: BTreeSet<String>,
}

/// The word of a rule.
#[derive(Clone, Copy)]
enum Word {
    Quota,
    Window,
    Drain,
    TakeOut,
}

impl Word {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "quota" => Some(Word::Quota),
            "window" => Some(Word::Window),
            "drain" => Some(Word::Drain),
            "take-out" => Some(Word::TakeOut),
            _ => None,
        }
    }

    fn has_value(self) -> bool {
        match self {
            Word::Quota | Word::Window => true,
            Word::Drain | Word::TakeOut => false,
        }
    }
}

impl Rules {
    /// Reads a document's body: `quota "TENANT" 4.5`, `window "CLASS" "40s"`, `drain "WORKER"`, `take-out "WORKER"`,
    /// one to a line, each name once. `name` is what its errors call it.
    ///
    /// # Errors
    /// All errors, with their places.
    pub fn read(name: &str, text: &str) -> Result<Self, ConfigErrors> {
        let document = KdlDocument::parse_v2(text)
            .map_err(|error| ConfigErrors::new(name, text, syntax_errors(&error)))?;
        let mut reader = Reader::default();
        let mut rules = Rules::default();
        for node in document.nodes() {
            rules.read_rule(node, &mut reader);
        }
        if !reader.errors.is_empty() {
            return Err(ConfigErrors::new(name, text, reader.errors));
        }
        Ok(rules)
    }

    fn read_rule(&mut self, node: &KdlNode, reader: &mut Reader) {
        let text = node.name().value();
        let Some(word) = Word::parse(text) else {
            let expected = "one of quota, window, drain, take-out";
            return reader.error(node.name().span(), expected, format!("{text:?}"));
        };
        let Some(subject) = subject(node, word) else {
            let expected = if word.has_value() { "a name and a value" } else { "a name" };
            return reader.error(node.span(), expected, node.to_string().trim().to_owned());
        };
        let value = node.entries().get(1);
        let is_new = match (word, value) {
            (Word::Quota, Some(entry)) => {
                let Some(quota) = read_quota(entry, reader) else { return };
                self.quotas.insert(subject, quota).is_none()
            }
            (Word::Window, Some(entry)) => {
                let Some(window) = read_window(entry, reader) else { return };
                self.windows.insert(subject, window).is_none()
            }
            (Word::Drain, _) => self.drained.insert(subject),
            (Word::TakeOut, _) => self.removed.insert(subject),
            (Word::Quota | Word::Window, None) => return, // `subject` has checked it: not reached
        };
        if !is_new {
            reader.error(node.span(), "each name once", "it again");
        }
    }

    /// Rules that keep to both: the lesser quota, the longer window, every drained and every removed worker. What only
    /// one of them names holds as that one says.
    #[must_use]
    pub fn stricter(&self, other: &Rules) -> Rules {
        let mut both = self.clone();
        for (tenant, quota) in &other.quotas {
            let least = both.quotas.entry(tenant.clone()).or_insert(*quota);
            *least = least.min(*quota);
        }
        for (class, window) in &other.windows {
            let longest = both.windows.entry(class.clone()).or_insert(*window);
            *longest = (*longest).max(*window);
        }
        both.drained.extend(other.drained.iter().cloned());
        both.removed.extend(other.removed.iter().cloned());
        both
    }
}

fn syntax_errors(error: &KdlError) -> Vec<ConfigError> {
    let to_error = |found: &kdl::KdlDiagnostic| {
        ConfigError::new(found.span, "well-formed KDL", found.message.clone().unwrap_or_default())
    };
    error.diagnostics.iter().map(to_error).collect()
}

/// The name that a rule is about; `None` if the rule has not the form of its word.
fn subject(node: &KdlNode, word: Word) -> Option<String> {
    let entries = node.entries();
    let has_properties = entries.iter().any(|entry| entry.name().is_some());
    let has_right_count = entries.len() == 1 + usize::from(word.has_value());
    if has_properties || node.children().is_some() || !has_right_count {
        return None;
    }
    let name = entries.first()?.value().as_string()?;
    (!name.is_empty()).then(|| name.to_owned())
}

fn read_quota(entry: &KdlEntry, reader: &mut Reader) -> Option<f64> {
    let value = entry.value();
    let number = value.as_float().or(value.as_integer().map(|number| number as f64));
    let quota = number.filter(|number| number.is_finite() && *number >= 0.0);
    if quota.is_none() {
        reader.error(entry.span(), "requests a second, 0 or more", value.to_string());
    }
    quota
}

fn read_window(entry: &KdlEntry, reader: &mut Reader) -> Option<Duration> {
    let window = entry.value().as_string().and_then(duration);
    if window.is_none() {
        reader.error(entry.span(), "a time such as \"40s\"", entry.value().to_string());
    }
    window
}

#[cfg(test)]
mod tests;
