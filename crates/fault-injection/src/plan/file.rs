//! Plans read from KDL, a fault to a line: its word, the schedulers that it is about, `at="2s"`, `for="500ms"`, and of
//! `rough` also `lost="30%"`, `doubled="10%"`, `late="300ms"`.

use std::ops::RangeInclusive;
use std::time::Duration;

use chutesaddle_operator_config::reader::Reader;
use chutesaddle_operator_config::{duration, percentage, ConfigError, ConfigErrors};
use kdl::{KdlDocument, KdlEntry, KdlError, KdlNode};

use super::{Degradation, Fault, FaultKind, Plan};

const TIME: &str = "a time such as \"2s\"";
const SPAN: &str = "a time such as \"500ms\"";
const DELAY: &str = "a time such as \"300ms\"";
const PERCENTAGE: &str = "a share such as \"30%\"";

impl Plan {
    /// Reads the text of a file; `name` is what its errors call it.
    ///
    /// # Errors
    /// All errors, with their places.
    pub fn read(name: &str, text: &str, nodes: usize) -> Result<Self, ConfigErrors> {
        let document = KdlDocument::parse_v2(text)
            .map_err(|error| ConfigErrors::new(name, text, syntax_errors(&error)))?;
        let mut reader = Reader::default();
        let mut faults: Vec<Fault> = Vec::new();
        for node in document.nodes() {
            let Some(fault) = read_fault(node, nodes, &mut reader) else { continue };
            if faults.iter().any(|other| fault.collides_with(other)) {
                reader.error(node.span(), "one fault of this kind of a scheduler at a time", "another");
            }
            faults.push(fault);
        }
        if !reader.errors.is_empty() {
            return Err(ConfigErrors::new(name, text, reader.errors));
        }
        faults.sort_by_key(|fault| fault.at);
        Ok(Plan(faults))
    }
}

fn syntax_errors(error: &KdlError) -> Vec<ConfigError> {
    let to_error = |found: &kdl::KdlDiagnostic| {
        ConfigError::new(found.span, "well-formed KDL", found.message.clone().unwrap_or_default())
    };
    error.diagnostics.iter().map(to_error).collect()
}

/// What a line says, as far as it can be read.
#[derive(Default)]
struct Line {
    schedulers: Vec<usize>,
    at: Option<Duration>,
    lasts: Option<Duration>,
    degradation: Degradation,
}

/// Reads one fault; `None` after an error has been recorded.
fn read_fault(node: &KdlNode, nodes: usize, reader: &mut Reader) -> Option<Fault> {
    let errors_before = reader.errors.len();
    let word = node.name().value();
    let Some(allowed) = allowed_schedulers(word, nodes) else {
        let expected = "one of kill, stop, cut, split, rough";
        reader.error(node.name().span(), expected, format!("{word:?}"));
        return None;
    };
    let mut line = Line::default();
    for entry in node.entries() {
        if let Err(expected) = line.read_entry(word, nodes, entry) {
            reader.error(entry.span(), expected, entry.value().to_string());
        }
    }
    if let Some(children) = node.children() {
        reader.error(children.span(), "no block here", "one");
    }
    // What is missing is reported only on a line without another error: that may be the reason.
    let count = line.schedulers.len();
    if !allowed.contains(&count) && reader.errors.len() == errors_before {
        let expected = format!("from {} to {} schedulers", allowed.start(), allowed.end());
        reader.error(node.span(), expected, count.to_string());
    }
    for (missing, name) in [(line.at.is_none(), "at"), (line.lasts.is_none(), "for")] {
        if missing && reader.errors.len() == errors_before {
            reader.error(node.span(), format!("{name}=\"..\""), "none");
        }
    }
    line.into_fault(word)
}

/// How many schedulers a fault of this word is about; `None` for an unknown word.
fn allowed_schedulers(word: &str, nodes: usize) -> Option<RangeInclusive<usize>> {
    match word {
        "kill" | "stop" | "rough" => Some(1..=1),
        "cut" => Some(2..=2),
        "split" => Some(1..=nodes),
        _ => None,
    }
}

impl Line {
    /// Reads one argument or property; the error is what was expected.
    fn read_entry(&mut self, word: &str, nodes: usize, entry: &KdlEntry) -> Result<(), String> {
        let text = entry.value().as_string();
        let degrades = word == "rough";
        match entry.name().map(|name| name.value()) {
            None => {
                let number = entry.value().as_integer().and_then(|number| usize::try_from(number).ok());
                let Some(scheduler) = number.filter(|number| *number < nodes) else {
                    return Err(format!("a scheduler from 0 to {}", nodes - 1));
                };
                self.schedulers.push(scheduler);
            }
            Some("at") => self.at = Some(text.and_then(duration).ok_or(TIME)?),
            Some("for") => self.lasts = Some(text.and_then(duration).ok_or(SPAN)?),
            Some("lost") if degrades => {
                self.degradation.lost = text.and_then(percentage).ok_or(PERCENTAGE)?;
            }
            Some("doubled") if degrades => {
                self.degradation.duplicated = text.and_then(percentage).ok_or(PERCENTAGE)?;
            }
            Some("late") if degrades => {
                self.degradation.longest_delay = text.and_then(duration).ok_or(DELAY)?;
            }
            Some(_) => return Err("one of at, for, and for rough also lost, doubled, late".to_owned()),
        }
        Ok(())
    }

    /// The fault that the line describes; `None` if something of it is missing.
    fn into_fault(self, word: &str) -> Option<Fault> {
        let (at, lasts) = (self.at?, self.lasts?);
        let kind = match (word, self.schedulers.as_slice()) {
            ("kill", [node]) => FaultKind::Kill(*node),
            ("stop", [node]) => FaultKind::Pause(*node),
            ("cut", [from, to]) => FaultKind::PartitionOneWay { from: *from, to: *to },
            ("rough", [node]) => FaultKind::Degrade(*node, self.degradation),
            ("split", [_, ..]) => FaultKind::Partition(self.schedulers),
            _ => return None, // reported as a wrong number of schedulers
        };
        Some(Fault { at, lasts, kind })
    }
}
