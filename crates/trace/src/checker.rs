//! Checks that each arrival has one answer and at most one attempt at a time.
//!
//! The lifetime of a request, as a sound scheduler records it:
//!
//! | state | record | next |
//! | --- | --- | --- |
//! | not open | arrival | open |
//! | open | attempt sent | open, attempt out |
//! | open, attempt out | attempt ended | open |
//! | open | answered | not open |
//! | open, attempt out | answered | not open, the attempt's end still to come |

use std::collections::{HashMap, HashSet};
use std::fmt;

use crate::{AnswerKind, Item, Record, RecordCounts, TimedRecord};

/// Something that a sound scheduler does not do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Whose records show it.
    pub source: u16,
    /// What is wrong.
    pub kind: ViolationKind,
    /// The number of the request; for [`ViolationKind::TimeWentBackwards`] the time of the record.
    pub subject: u64,
}

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViolationKind {
    /// A request arrived while one of its number was open.
    ArrivedTwice,
    /// An answer, decision or end of a request that is not open.
    NotOpen,
    /// No answer until the end of the file.
    Unanswered,
    /// Two attempts were out at once.
    TwoAttempts,
    /// A time before the one of the record before it.
    TimeWentBackwards,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self.kind {
            ViolationKind::ArrivedTwice => "arrived while open",
            ViolationKind::NotOpen => "is told of while not open",
            ViolationKind::Unanswered => "has no answer",
            ViolationKind::TwoAttempts => "has two attempts out at once",
            ViolationKind::TimeWentBackwards => "is the time of a record before another",
        };
        write!(f, "source {}: {} {text}", self.source, self.subject)
    }
}

/// A request, as named across the sources of a file.
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
    attempt_out: Option<u8>,
}

/// Checks records in their order. It remembers the requests that are open, and those whose last attempt still has its
/// end to come.
#[derive(Default)]
pub struct Checker {
    open: HashMap<RequestKey, OpenRequest>,
    /// Answered, with an attempt out.
    awaiting_attempt_end: HashSet<RequestKey>,
    last_time: HashMap<u16, u64>,
    sources_with_gaps: HashSet<u16>,
    counts: RecordCounts,
}

impl Checker {
    /// Checks one item and appends what is wrong with it.
    pub fn check(&mut self, item: &Item, violations: &mut Vec<Violation>) {
        match item {
            Item::Record(timed) => {
                self.counts.records += 1;
                self.check_record(timed, violations);
            }
            Item::Gap(entry) | Item::Damaged(entry) => {
                self.counts.missing += u64::from(entry.count);
                self.sources_with_gaps.insert(entry.source);
            }
        }
    }

    fn check_record(&mut self, timed: &TimedRecord, violations: &mut Vec<Violation>) {
        let source = timed.source;
        let last_time = self.last_time.entry(source).or_default();
        if timed.at < *last_time {
            let kind = ViolationKind::TimeWentBackwards;
            violations.push(Violation { source, kind, subject: timed.at });
        }
        *last_time = timed.at.max(*last_time);
        let Some(id) = timed.record.request_id() else { return };
        let key = RequestKey { source, id };
        if let Some(kind) = self.apply(key, &timed.record) {
            violations.push(key.violation(kind));
        }
    }

    /// Changes the state of a request as its record says, and gives what is wrong with that.
    fn apply(&mut self, key: RequestKey, record: &Record) -> Option<ViolationKind> {
        match record {
            Record::Arrival { .. } => {
                let open_before = self.open.insert(key, OpenRequest::default());
                open_before.map(|_| ViolationKind::ArrivedTwice)
            }
            Record::Answered { kind, .. } => {
                let Some(request) = self.open.remove(&key) else { return Some(ViolationKind::NotOpen) };
                // The process that takes over a request also records the end of its attempt.
                if request.attempt_out.is_some() && *kind != AnswerKind::Migrated {
                    self.awaiting_attempt_end.insert(key);
                }
                None
            }
            Record::AttemptSent { attempt, .. } => {
                let Some(request) = self.open.get_mut(&key) else { return Some(ViolationKind::NotOpen) };
                request.attempt_out.replace(*attempt).map(|_| ViolationKind::TwoAttempts)
            }
            Record::AttemptEnded { attempt, .. } => self.end_attempt(key, *attempt),
            Record::Rejected { .. } => (!self.open.contains_key(&key)).then_some(ViolationKind::NotOpen),
            // Neither needs the request to be open.
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
        if request.attempt_out != Some(attempt) {
            return Some(ViolationKind::NotOpen);
        }
        request.attempt_out = None;
        None
    }

    /// At the end of a complete file: every request that is still open has no answer.
    pub fn finish(&mut self, violations: &mut Vec<Violation>) {
        let mut open: Vec<RequestKey> = self.open.drain().map(|(key, _)| key).collect();
        open.sort_unstable();
        violations.extend(open.into_iter().map(|key| key.violation(ViolationKind::Unanswered)));
    }

    /// Records checked, and records that are missing.
    pub fn counts(&self) -> RecordCounts {
        self.counts
    }

    /// Whether records of that source are missing, which may be the reason of its violations.
    pub fn has_gaps(&self, source: u16) -> bool {
        self.sources_with_gaps.contains(&source)
    }
}
