//! Checks that each request gets exactly one answer and has at most one attempt at a time.
//!
//! The expected states of a request:
//!
//! | state | record | next state |
//! | --- | --- | --- |
//! | not open | arrival | open |
//! | open | attempt sent | open, attempt in flight |
//! | open, attempt in flight | attempt ended | open |
//! | open | answered | not open |
//! | open, attempt in flight | answered | not open, awaiting the attempt end |

use std::collections::{HashMap, HashSet};
use std::fmt;

use crate::{AnswerKind, Record, RecordCounts, TimedRecord, TraceItem};

/// An inconsistency in the records of a source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Source of the records.
    pub source: u16,
    /// Kind of violation.
    pub kind: ViolationKind,
    /// Number of the request, or the time of the record for [`ViolationKind::TimeWentBackwards`].
    pub subject: u64,
}

/// Kind of violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViolationKind {
    /// A request arrived while another with the same number was open.
    DuplicateArrival,
    /// An answer, rejection, or attempt sent or ended without a matching open request or attempt.
    NotOpen,
    /// The file ends without an answer.
    Unanswered,
    /// A second attempt was sent while one was in flight.
    ConcurrentAttempts,
    /// The record is earlier than a preceding one of the same source.
    TimeWentBackwards,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self.kind {
            ViolationKind::DuplicateArrival => "arrived while open",
            ViolationKind::NotOpen => "is told of while not open",
            ViolationKind::Unanswered => "has no answer",
            ViolationKind::ConcurrentAttempts => "has two attempts out at once",
            ViolationKind::TimeWentBackwards => "is the time of a record before another",
        };
        write!(f, "source {}: {} {text}", self.source, self.subject)
    }
}

/// Identifies a request among all sources of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct RequestKey {
    source: u16,
    id: u64,
}

impl RequestKey {
    fn violation(self, kind: ViolationKind) -> Violation {
        Violation { source: self.source, kind, subject: self.id }
    }
}

#[derive(Default)]
struct OpenRequest {
    attempt_in_flight: Option<u8>,
}

/// Checks records in file order. Memory use grows with the requests that are open or awaiting an attempt end.
#[derive(Default)]
pub struct Checker {
    open: HashMap<RequestKey, OpenRequest>,
    /// Requests that were answered while an attempt was in flight.
    awaiting_attempt_end: HashSet<RequestKey>,
    latest_time: HashMap<u16, u64>,
    sources_with_gaps: HashSet<u16>,
    counts: RecordCounts,
}

impl Checker {
    /// Checks one item and appends the violations found.
    pub fn check(&mut self, item: &TraceItem, violations: &mut Vec<Violation>) {
        match item {
            TraceItem::Record(timed) => {
                self.counts.records += 1;
                self.check_record(timed, violations);
            }
            TraceItem::Gap(entry) | TraceItem::Damaged(entry) => {
                self.counts.missing += u64::from(entry.count);
                self.sources_with_gaps.insert(entry.source);
            }
        }
    }

    fn check_record(&mut self, timed: &TimedRecord, violations: &mut Vec<Violation>) {
        let source = timed.source;
        let latest_time = self.latest_time.entry(source).or_default();
        if timed.at < *latest_time {
            let kind = ViolationKind::TimeWentBackwards;
            violations.push(Violation { source, kind, subject: timed.at });
        }
        *latest_time = timed.at.max(*latest_time);
        let Some(id) = timed.record.request_id() else { return };
        let key = RequestKey { source, id };
        if let Some(kind) = self.apply(key, &timed.record) {
            violations.push(key.violation(kind));
        }
    }

    /// Applies a record to the state of its request. Returns the violation, if there is one.
    fn apply(&mut self, key: RequestKey, record: &Record) -> Option<ViolationKind> {
        match record {
            Record::Arrival { .. } => {
                let previous = self.open.insert(key, OpenRequest::default());
                previous.map(|_| ViolationKind::DuplicateArrival)
            }
            Record::Answered { kind, .. } => {
                let Some(request) = self.open.remove(&key) else { return Some(ViolationKind::NotOpen) };
                // After a migration the successor process records the attempt end.
                if request.attempt_in_flight.is_some() && *kind != AnswerKind::Migrated {
                    self.awaiting_attempt_end.insert(key);
                }
                None
            }
            Record::AttemptSent { attempt, .. } => {
                let Some(request) = self.open.get_mut(&key) else { return Some(ViolationKind::NotOpen) };
                request.attempt_in_flight.replace(*attempt).map(|_| ViolationKind::ConcurrentAttempts)
            }
            Record::AttemptEnded { attempt, .. } => self.end_attempt(key, *attempt),
            Record::Rejected { .. } => (!self.open.contains_key(&key)).then_some(ViolationKind::NotOpen),
            // Both are valid without an open request.
            Record::AttemptProgressed { .. } | Record::Forwarding { .. } => None,
            Record::Source { .. }
            | Record::Worker { .. }
            | Record::EndpointState { .. }
            | Record::Lifecycle(_) => None,
        }
    }

    fn end_attempt(&mut self, key: RequestKey, attempt: u8) -> Option<ViolationKind> {
        let Some(request) = self.open.get_mut(&key) else {
            let was_awaited = self.awaiting_attempt_end.remove(&key);
            return (!was_awaited).then_some(ViolationKind::NotOpen);
        };
        if request.attempt_in_flight != Some(attempt) {
            return Some(ViolationKind::NotOpen);
        }
        request.attempt_in_flight = None;
        None
    }

    /// Reports all requests that are still open as unanswered. Call this at the end of a complete file.
    pub fn finish(&mut self, violations: &mut Vec<Violation>) {
        let mut open: Vec<RequestKey> = self.open.drain().map(|(key, _)| key).collect();
        open.sort_unstable();
        violations.extend(open.into_iter().map(|key| key.violation(ViolationKind::Unanswered)));
    }

    /// Returns the numbers of checked and missing records.
    pub fn counts(&self) -> RecordCounts {
        self.counts
    }

    /// Whether records of `source` are missing, which can explain its violations.
    pub fn has_gaps(&self, source: u16) -> bool {
        self.sources_with_gaps.contains(&source)
    }
}
