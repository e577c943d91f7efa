//! Parses the operators' rules from a document, and combines the rules of two versions during a transition.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chutesaddle_operator_config::reader::Reader;
use chutesaddle_operator_config::{duration, ConfigError, ConfigErrors};
use kdl::{KdlDocument, KdlEntry, KdlError, KdlNode};

/// The operators' rules, by tenant, class or worker name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Quota of each tenant in requests per second, summed over all schedulers.
    pub quotas: BTreeMap<String, f64>,
    /// Deduplication window of each class.
    pub windows: BTreeMap<String, Duration>,
    /// Workers that receive no new requests and finish those in flight.
    pub drained: BTreeSet<String>,
    /// Workers that are not used.
    pub removed: BTreeSet<String>,
}

/// The kind of a rule, given by its keyword.
#[derive(Clone, Copy)]
enum RuleKind {
    Quota,
    Window,
    Drain,
    TakeOut,
}

impl RuleKind {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "quota" => Some(RuleKind::Quota),
            "window" => Some(RuleKind::Window),
            "drain" => Some(RuleKind::Drain),
            "take-out" => Some(RuleKind::TakeOut),
            _ => None,
        }
    }

    fn has_value(self) -> bool {
        match self {
            RuleKind::Quota | RuleKind::Window => true,
            RuleKind::Drain | RuleKind::TakeOut => false,
        }
    }
}

impl Rules {
    /// Parses the body of a document: `quota "TENANT" 4.5`, `window "CLASS" "40s"`, `drain "WORKER"` and
    /// `take-out "WORKER"`, one rule per line, each name at most once per kind. Errors refer to the document as `name`.
    ///
    /// # Errors
    /// All errors found, with their positions.
    pub fn parse(name: &str, text: &str) -> Result<Self, ConfigErrors> {
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
        let Some(kind) = RuleKind::parse(text) else {
            let expected = "one of quota, window, drain, take-out";
            return reader.error(node.name().span(), expected, format!("{text:?}"));
        };
        let Some(subject) = subject_name(node, kind) else {
            let expected = if kind.has_value() { "a name and a value" } else { "a name" };
            return reader.error(node.span(), expected, node.to_string().trim().to_owned());
        };
        let value = node.entries().get(1);
        let is_new = match (kind, value) {
            (RuleKind::Quota, Some(entry)) => {
                let Some(quota) = read_quota(entry, reader) else { return };
                self.quotas.insert(subject, quota).is_none()
            }
            (RuleKind::Window, Some(entry)) => {
                let Some(window) = read_window(entry, reader) else { return };
                self.windows.insert(subject, window).is_none()
            }
            (RuleKind::Drain, _) => self.drained.insert(subject),
            (RuleKind::TakeOut, _) => self.removed.insert(subject),
            (RuleKind::Quota | RuleKind::Window, None) => return, // unreachable: checked by `subject_name`
        };
        if !is_new {
            reader.error(node.span(), "each name once", format!("another {}", node.to_string().trim()));
        }
    }

    /// Combines two sets of rules into one that satisfies both: the lower quota, the longer window, and all drained and
    /// removed workers. A quota or window set in only one of them is taken over unchanged.
    #[must_use]
    pub fn stricter(&self, other: &Rules) -> Rules {
        let mut both = self.clone();
        for (tenant, quota) in &other.quotas {
            let lowest = both.quotas.entry(tenant.clone()).or_insert(*quota);
            *lowest = lowest.min(*quota);
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

/// Returns the tenant, class or worker of a rule, or `None` if the rule does not have the form required for its kind.
fn subject_name(node: &KdlNode, kind: RuleKind) -> Option<String> {
    let entries = node.entries();
    let has_properties = entries.iter().any(|entry| entry.name().is_some());
    let has_expected_count = entries.len() == 1 + usize::from(kind.has_value());
    if has_properties || node.children().is_some() || !has_expected_count {
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
        reader.error(entry.span(), "requests per second, 0 or more", value.to_string());
    }
    quota
}

fn read_window(entry: &KdlEntry, reader: &mut Reader) -> Option<Duration> {
    let window = entry.value().as_string().and_then(duration);
    if window.is_none() {
        reader.error(entry.span(), "a duration such as \"40s\"", entry.value().to_string());
    }
    window
}

#[cfg(test)]
mod tests;
