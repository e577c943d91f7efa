//! The timers of the engine: those that the dispatcher asks for, and one for each request's deadline.
//!
//! Timers are never cancelled. One that comes too late finds nothing to do, because whoever handles it looks
//! up its request or its tag first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tokio::time::Instant;

use crate::scheduling::RequestId;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The dispatcher set it, with this tag.
    Dispatcher(u64),
    /// The client of this request stops waiting.
    Deadline(RequestId),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    due: Instant,
    /// Timers that are due at the same instant expire in the order in which they were set.
    sequence: u64,
    timer: Timer,
}

/// Timers by the time at which they expire.
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

    /// When the next timer expires.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.entries.peek().map(|Reverse(entry)| entry.due)
    }

    /// Removes the first timer that has expired.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| entry.timer)
    }
}

#[cfg(test)]
mod tests;
