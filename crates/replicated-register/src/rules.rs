//! What a document says, and what holds while two versions of it are about.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chutesaddle_operator_config::reader::Reader;
use chutesaddle_operator_config::{duration, ConfigError, ConfigErrors};
use kdl::{KdlDocument, KdlNode};

/// The operators' rules, by the names that they use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Requests a second of a tenant, over all schedulers.
    pub quotas: BTreeMap<String, f64>,
    /// For how long workers are taken to drop repeats of a class's keys.
    pub windows: BTreeMap<String, Duration>,
    /// Workers that get nothing new and finish what they have.
    pub drained: BTreeSet<String>,
    /// Workers that are not used at all.
    pub taken_out: BTreeSet<String>,
}

impl Rules {
    /// Reads a document's body: `quota "TENANT" 4.5`, `window "CLASS" "40s"`, `drain "WORKER"`, `take-out "WORKER"`, one to
    /// a line, each name once. `name` is what its errors call it.
    ///
    /// # Errors
    /// All errors, with their places.
    pub fn read(name: &str, text: &str) -> Result<Self, ConfigErrors> {
        let document = KdlDocument::parse_v2(text).map_err(|error| {
            let each = error.diagnostics.iter();
            let to_error = |d: &kdl::KdlDiagnostic| {
                ConfigError::new(d.span, "well-formed KDL", d.message.clone().unwrap_or_default())
            };
            ConfigErrors::new(name, text, each.map(to_error).collect())
        })?;
        let (mut reader, mut rules) = (Reader::default(), Rules::default());
        for node in document.nodes() {
            rules.take(node, &mut reader);
        }
        match reader.errors {
            errors if errors.is_empty() => Ok(rules),
            errors => Err(ConfigErrors::new(name, text, errors)),
        }
    }

    fn take(&mut self, node: &KdlNode, reader: &mut Reader) {
        let word = node.name().value();
        let valued = matches!(word, "quota" | "window");
        if !valued && !matches!(word, "drain" | "take-out") {
            let expected = "one of quota, window, drain, take-out";
            return reader.error(node.name().span(), expected, format!("{word:?}"));
        }
        let entries = node.entries();
        let plain = entries.iter().all(|entry| entry.name().is_none()) && node.children().is_none();
        let about =
            entries.first().and_then(|entry| entry.value().as_string()).filter(|name| !name.is_empty());
        let (Some(about), true) = (about, plain && entries.len() == 1 + usize::from(valued)) else {
            let expected = if valued { "a name and a value" } else { "a name" };
            return reader.error(node.span(), expected, node.to_string().trim().to_owned());
        };
        let about = about.to_owned();
        let new = match (word, entries.get(1)) {
            ("quota", Some(entry)) => {
                let number = entry.value().as_float().or(entry.value().as_integer().map(|n| n as f64));
                let Some(quota) = number.filter(|n| n.is_finite() && *n >= 0.0) else {
                    let expected = "requests a second, 0 or more";
                    return reader.error(entry.span(), expected, entry.value().to_string());
                };
                self.quotas.insert(about, quota).is_none()
            }
            ("window", Some(entry)) => {
                let Some(window) = entry.value().as_string().and_then(duration) else {
                    return reader.error(entry.span(), "a time such as \"40s\"", entry.value().to_string());
                };
                self.windows.insert(about, window).is_none()
            }
            ("drain", _) => self.drained.insert(about),
            _ => self.taken_out.insert(about),
        };
        if !new {
            reader.error(node.span(), "each name once", "it again");
        }
    }

    /// What keeps to both: the lesser quota, the longer window, every drain and everything taken out. What only one
    /// of them names holds as that one says.
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
        both.taken_out.extend(other.taken_out.iter().cloned());
        both
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: &str =
        "quota \"acme\" 4.5\nquota \"umbrella\" 7\nwindow \"publish-map\" \"40s\"\ndrain \"s-1\"";
    const NEW: &str = "quota \"acme\" 6\nwindow \"publish-map\" \"7.5s\"\ntake-out \"s-2\"";

    #[test]
    fn while_two_versions_are_about_what_keeps_to_both_holds() {
        let (old, new) = (Rules::read("d", OLD).unwrap(), Rules::read("d", NEW).unwrap());
        let both = old.stricter(&new);
        assert_eq!(both, new.stricter(&old));
        assert_eq!((both.quotas["acme"], both.quotas["umbrella"]), (4.5, 7.0));
        assert_eq!(both.windows["publish-map"], Duration::from_secs(40));
        assert!(both.drained.contains("s-1") && both.taken_out.contains("s-2"));
        assert_eq!(both.stricter(&both), both);
    }

    #[test]
    fn each_mistake_is_named_with_its_place() {
        for (text, place, what) in [
            ("quota \"acme\"", "1:1", "a name and a value"),
            ("quota \"acme\" -1", "1:14", "0 or more"),
            ("\nwindow \"a\" 40", "2:12", "a time such as"),
            ("drain \"s\"\ndrain \"s\"", "2:1", "each name once"),
            ("drain s=1", "1:1", "a name"),
            ("limit \"a\" 1", "1:1", "one of quota"),
            ("quota \"", "1:", "well-formed"),
        ] {
            let error = Rules::read("rules.kdl", text).expect_err(text).to_string();
            assert!(error.contains(&format!("rules.kdl:{place}")) && error.contains(what), "{text}: {error}");
        }
    }
}
