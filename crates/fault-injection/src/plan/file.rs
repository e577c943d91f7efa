//! Fault plans in KDL. Each line is one fault: its name, the schedulers that it affects, `at="2s"` and `for="500ms"`.
//! `rough` also takes `lost="30%"`, `doubled="10%"` and `late="300ms"`.

use std::ops::RangeInclusive;
use std::time::Duration;

use chutesaddle_operator_config::reader::Reader;
use chutesaddle_operator_config::{duration, percentage, ConfigError, ConfigErrors};
use kdl::{KdlDocument, KdlEntry, KdlError, KdlNode};

use super::{Degradation, Fault, FaultKind, FaultPlan};

const EXPECTED_TIME: &str = "a time such as \"2s\"";
const EXPECTED_DURATION: &str = "a time such as \"500ms\"";
const EXPECTED_DELAY: &str = "a time such as \"300ms\"";
const EXPECTED_PERCENTAGE: &str = "a percentage such as \"30%\"";

impl FaultPlan {
    /// Parses a plan file. Error messages refer to the file as `name`.
    ///
    /// # Errors
    /// Returns all errors in the file, with their positions.
    pub fn parse(name: &str, text: &str, nodes: usize) -> Result<Self, ConfigErrors> {
        let document = KdlDocument::parse_v2(text)
            .map_err(|error| ConfigErrors::new(name, text, syntax_errors(&error)))?;
        let mut reader = Reader::default();
        let mut faults: Vec<Fault> = Vec::new();
        for node in document.nodes() {
            let Some(fault) = parse_fault(node, nodes, &mut reader) else { continue };
            if faults.iter().any(|other| fault.conflicts_with(other)) {
                reader.error(
                    node.span(),
                    "one process fault or degradation per scheduler at a time",
                    "another",
                );
            }
            faults.push(fault);
        }
        if !reader.errors.is_empty() {
            return Err(ConfigErrors::new(name, text, reader.errors));
        }
        faults.sort_by_key(|fault| fault.starts_at);
        Ok(FaultPlan(faults))
    }
}

fn syntax_errors(error: &KdlError) -> Vec<ConfigError> {
    let to_config_error = |found: &kdl::KdlDiagnostic| {
        ConfigError::new(found.span, "well-formed KDL", found.message.clone().unwrap_or_default())
    };
    error.diagnostics.iter().map(to_config_error).collect()
}

/// Values parsed from one line; `None` for those that are missing or invalid.
#[derive(Default)]
struct FaultLine {
    schedulers: Vec<usize>,
    starts_at: Option<Duration>,
    duration: Option<Duration>,
    degradation: Degradation,
}

/// Parses one fault. Records errors in `reader` and returns `None` if the fault is incomplete.
fn parse_fault(node: &KdlNode, nodes: usize, reader: &mut Reader) -> Option<Fault> {
    let errors_before = reader.errors.len();
    let fault_name = node.name().value();
    let Some(allowed) = scheduler_count_range(fault_name, nodes) else {
        let expected = "one of kill, stop, cut, split, rough";
        reader.error(node.name().span(), expected, format!("{fault_name:?}"));
        return None;
    };
    let mut line = FaultLine::default();
    for entry in node.entries() {
        if let Err(expected) = line.parse_entry(fault_name, nodes, entry) {
            reader.error(entry.span(), expected, entry.value().to_string());
        }
    }
    if let Some(block) = node.children() {
        reader.error(block.span(), "no child block", "a block");
    }
    // An invalid value also counts as missing: missing values are reported only if the line has no other error.
    let count = line.schedulers.len();
    if !allowed.contains(&count) && reader.errors.len() == errors_before {
        let expected = format!("from {} to {} schedulers", allowed.start(), allowed.end());
        reader.error(node.span(), expected, count.to_string());
    }
    for (missing, name) in [(line.starts_at.is_none(), "at"), (line.duration.is_none(), "for")] {
        if missing && reader.errors.len() == errors_before {
            reader.error(node.span(), format!("the property {name}=\"..\""), "none");
        }
    }
    line.into_fault(fault_name)
}

/// Returns how many schedulers a fault with this name affects; `None` for an unknown name.
fn scheduler_count_range(fault_name: &str, nodes: usize) -> Option<RangeInclusive<usize>> {
    match fault_name {
        "kill" | "stop" | "rough" => Some(1..=1),
        "cut" => Some(2..=2),
        "split" => Some(1..=nodes),
        _ => None,
    }
}

impl FaultLine {
    /// Parses one argument or property. The error describes the expected value.
    fn parse_entry(&mut self, fault_name: &str, nodes: usize, entry: &KdlEntry) -> Result<(), String> {
        let text = entry.value().as_string();
        let is_degradation = fault_name == "rough";
        match entry.name().map(|name| name.value()) {
            None => {
                let number = entry.value().as_integer().and_then(|number| usize::try_from(number).ok());
                let Some(scheduler) = number.filter(|number| *number < nodes) else {
                    return Err(format!("a scheduler from 0 to {}", nodes - 1));
                };
                self.schedulers.push(scheduler);
            }
            Some("at") => self.starts_at = Some(text.and_then(duration).ok_or(EXPECTED_TIME)?),
            Some("for") => self.duration = Some(text.and_then(duration).ok_or(EXPECTED_DURATION)?),
            Some("lost") if is_degradation => {
                self.degradation.lost = text.and_then(percentage).ok_or(EXPECTED_PERCENTAGE)?;
            }
            Some("doubled") if is_degradation => {
                self.degradation.duplicated = text.and_then(percentage).ok_or(EXPECTED_PERCENTAGE)?;
            }
            Some("late") if is_degradation => {
                self.degradation.max_delay = text.and_then(duration).ok_or(EXPECTED_DELAY)?;
            }
            Some(_) => return Err("one of at, for, and for rough also lost, doubled, late".to_owned()),
        }
        Ok(())
    }

    /// Returns the fault; `None` if a value is missing.
    fn into_fault(self, fault_name: &str) -> Option<Fault> {
        let (starts_at, duration) = (self.starts_at?, self.duration?);
        let kind = match (fault_name, self.schedulers.as_slice()) {
            ("kill", [node]) => FaultKind::Kill(*node),
            ("stop", [node]) => FaultKind::Pause(*node),
            ("cut", [from, to]) => FaultKind::PartitionOneWay { from: *from, to: *to },
            ("rough", [node]) => FaultKind::Degrade(*node, self.degradation),
            ("split", [_, ..]) => FaultKind::Partition(self.schedulers),
            _ => return None, // already reported as a wrong number of schedulers
        };
        Some(Fault { starts_at, duration, kind })
    }
}
