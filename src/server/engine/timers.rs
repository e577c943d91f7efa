//! The engine's timers: those set by the dispatcher, and one for the deadline of each request.
//!
//! Timers are never cancelled. A timer that is no longer needed has no effect, because its handler looks up the
//! request or the tag first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tokio::time::Instant;

use crate::scheduling::RequestId;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Set by the dispatcher, with its tag.
    Dispatcher(u64),
    /// The deadline of this request.
    Deadline(RequestId),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    due: Instant,
    /// Orders timers that are due at the same instant by when they were set.
    sequence: u64,
    timer: Timer,
}

/// Pending timers, ordered by expiry.
#[derive(Debug, Default)]
pub(super) struct Timers {
    entries: BinaryHeap<Reverse<Entry>>,
    last_sequence: u64,
}

impl Timers {
    /// Sets a timer.
    pub(super) fn set(&mut self, due: Instant, timer: Timer) {
        self.last_sequence += 1;
        self.entries.push(Reverse(Entry { due, sequence: self.last_sequence, timer }));
    }

    /// Returns when the next timer expires.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.entries.peek().map(|Reverse(entry)| entry.due)
    }

    /// Removes and returns the first timer that has expired by `now`.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| entry.timer)
    }
}

#[cfg(test)]
mod tests;
