//! Stores the requests received from peers and their outcomes, for status queries.
//!
//! The ledger detects duplicates, so that a request received twice runs once. It also remembers that an
//! outcome was forgotten, because "never received" must not be reported for a request that may have run. For
//! this it stores one number per sender: the highest ID whose outcome was forgotten.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::{ForwardedRequestId, Incarnation, Origin, Outcome, RemoteStatus, SiteId, Time};

/// Maximum number of senders whose highest forgotten ID is stored. It must cover the incarnations of all
/// peers within the longest retention time.
const MAX_SENDERS: usize = 1024;

/// One incarnation of a peer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sender {
    site: SiteId,
    incarnation: Incarnation,
}

impl From<Origin> for Sender {
    fn from(origin: Origin) -> Self {
        Sender { site: origin.site, incarnation: origin.incarnation }
    }
}

/// A stored request. An entry is running, then ended, then removed. It is removed at once if the request ends
/// unstarted or is cancelled.
#[derive(Debug)]
enum Entry {
    /// The request is with the local scheduler.
    Running { outcome_retention: Duration },
    /// The outcome is stored until it is acknowledged or `forget_at` passes.
    Ended { outcome: Outcome, forget_at: Time },
}

/// The state of a request according to the ledger.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct LedgerStatus {
    pub(crate) status: RemoteStatus,
    /// The outcome, if the request has ended and the outcome is still stored.
    pub(crate) outcome: Option<Outcome>,
}

/// The requests received from all senders.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    entries: BTreeMap<Origin, Entry>,
    /// Ended requests, in the order in which their outcomes are forgotten.
    forget_order: BTreeSet<(Time, Origin)>,
    /// Total size, in bytes, of the stored results.
    stored_bytes: usize,
    running: usize,
    /// For each sender, the highest ID whose outcome was forgotten.
    highest_forgotten: HashMap<Sender, ForwardedRequestId>,
}

impl Ledger {
    /// Returns the number of requests that are with the local scheduler.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Returns whether a request from that site is with the local scheduler.
    pub(crate) fn has_running_from(&self, site: SiteId) -> bool {
        let is_running = |entry: &Entry| matches!(entry, Entry::Running { .. });
        self.entries.iter().any(|(origin, entry)| origin.site == site && is_running(entry))
    }

    /// Returns the state of a request.
    pub(crate) fn lookup(&self, origin: Origin) -> LedgerStatus {
        match self.entries.get(&origin) {
            Some(Entry::Running { .. }) => LedgerStatus { status: RemoteStatus::Received, outcome: None },
            Some(Entry::Ended { outcome, .. }) => {
                LedgerStatus { status: RemoteStatus::Received, outcome: Some(outcome.clone()) }
            }
            None if self.may_be_forgotten(origin) => {
                LedgerStatus { status: RemoteStatus::OutcomeForgotten, outcome: None }
            }
            None => LedgerStatus { status: RemoteStatus::NeverReceived, outcome: None },
        }
    }

    fn may_be_forgotten(&self, origin: Origin) -> bool {
        let highest = self.highest_forgotten.get(&Sender::from(origin));
        highest.is_some_and(|highest| origin.forwarded <= *highest)
    }

    /// Adds a request that is handed to the scheduler. Returns false if it was received before.
    pub(crate) fn accept(&mut self, origin: Origin, outcome_retention: Duration) -> bool {
        if self.lookup(origin).status != RemoteStatus::NeverReceived {
            return false;
        }
        self.entries.insert(origin, Entry::Running { outcome_retention });
        self.running += 1;
        true
    }

    /// Records how a request ended. Returns false if it was not running.
    pub(crate) fn end(&mut self, now: Time, origin: Origin, outcome: Outcome) -> bool {
        let Some(Entry::Running { outcome_retention }) = self.entries.get(&origin) else { return false };
        let forget_at = now + *outcome_retention;
        self.running -= 1;
        if outcome == Outcome::Unstarted {
            // The request never ran, so status queries are answered as for one never received.
            self.entries.remove(&origin);
            return true;
        }
        self.stored_bytes += result_bytes(&outcome);
        self.forget_order.insert((forget_at, origin));
        self.entries.insert(origin, Entry::Ended { outcome, forget_at });
        true
    }

    /// Removes a request whose client has disconnected, and returns whether it was running. It may have run,
    /// so it counts as forgotten, although no status query is expected.
    pub(crate) fn cancel(&mut self, origin: Origin) -> bool {
        let was_running = matches!(self.entries.get(&origin), Some(Entry::Running { .. }));
        if self.remove(origin) {
            self.mark_forgotten(origin);
        }
        was_running
    }

    /// Removes an outcome that the sender has acknowledged.
    pub(crate) fn acknowledge(&mut self, origin: Origin) {
        let has_ended = matches!(self.entries.get(&origin), Some(Entry::Ended { .. }));
        if has_ended && self.remove(origin) {
            self.mark_forgotten(origin);
        }
    }

    /// Forgets the outcomes whose retention time is over, and those next in order while the stored outcomes
    /// exceed `max_outcomes` or `max_bytes`.
    pub(crate) fn forget(&mut self, now: Time, max_outcomes: usize, max_bytes: usize) {
        while let Some(&(forget_at, origin)) = self.forget_order.first() {
            let within_bounds = self.forget_order.len() <= max_outcomes && self.stored_bytes <= max_bytes;
            if forget_at > now && within_bounds {
                return;
            }
            self.remove(origin);
            self.mark_forgotten(origin);
        }
    }

    /// Returns when the next outcome is to be forgotten.
    pub(crate) fn due(&self) -> Option<Time> {
        self.forget_order.first().map(|(forget_at, _)| *forget_at)
    }

    fn remove(&mut self, origin: Origin) -> bool {
        match self.entries.remove(&origin) {
            Some(Entry::Running { .. }) => self.running -= 1,
            Some(Entry::Ended { outcome, forget_at }) => {
                self.forget_order.remove(&(forget_at, origin));
                self.stored_bytes -= result_bytes(&outcome);
            }
            None => return false,
        }
        true
    }

    fn mark_forgotten(&mut self, origin: Origin) {
        let sender = Sender::from(origin);
        if self.highest_forgotten.len() >= MAX_SENDERS && !self.highest_forgotten.contains_key(&sender) {
            self.drop_oldest_idle_sender();
        }
        let highest = self.highest_forgotten.entry(sender).or_insert(origin.forwarded);
        *highest = (*highest).max(origin.forwarded);
    }

    /// Drops the sender with the lowest incarnation. A dropped sender counts as never seen, so senders with
    /// entries are not dropped.
    fn drop_oldest_idle_sender(&mut self) {
        let is_idle = |sender: &Sender| !self.entries.keys().any(|origin| Sender::from(*origin) == *sender);
        let oldest =
            self.highest_forgotten.keys().copied().filter(is_idle).min_by_key(|sender| sender.incarnation);
        if let Some(oldest) = oldest {
            self.highest_forgotten.remove(&oldest);
        }
    }
}

fn result_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Served(result) => result.len(),
        Outcome::Unstarted | Outcome::Rejected | Outcome::Failed => 0,
    }
}

#[cfg(test)]
mod tests;
