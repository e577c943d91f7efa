//! The requests that came in from other sites and how they ended, for as long as their senders may ask.
//!
//! A request that arrives twice runs once because the ledger knows it. An outcome that had to be forgotten is
//! remembered as forgotten: "never received" must not be said of a request that may have run. For this the ledger
//! keeps one number per sender, the highest of which an outcome was forgotten.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::{ForwardedRequestId, Incarnation, Origin, Outcome, RemoteStatus, SiteId, Time};

/// Senders of which a forgotten number is remembered: the incarnations of all peers within the longest window.
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

/// The lifetime of one entry: running, then ended, then removed. An entry that ends unstarted or is cancelled is
/// removed at once.
#[derive(Debug)]
enum Entry {
    /// It is with the scheduler here.
    Running { outcome_retention: Duration },
    /// Its outcome is kept until it is acknowledged or `forget_at`.
    Ended { outcome: Outcome, forget_at: Time },
}

/// What the ledger knows of a request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct LedgerStatus {
    pub(crate) status: RemoteStatus,
    /// The outcome, if it has ended and is not forgotten.
    pub(crate) outcome: Option<Outcome>,
}

/// The requests of all senders.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    entries: BTreeMap<Origin, Entry>,
    /// Those that have ended, in the order in which they are forgotten.
    forget_order: BTreeSet<(Time, Origin)>,
    /// Bytes of the results that are kept.
    stored_bytes: usize,
    running: usize,
    /// The highest number of each sender of which the outcome was forgotten.
    highest_forgotten: HashMap<Sender, ForwardedRequestId>,
}

impl Ledger {
    /// Requests that are with the scheduler here.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Whether a request of that site is with the scheduler here.
    pub(crate) fn has_running_from(&self, site: SiteId) -> bool {
        let is_running = |entry: &Entry| matches!(entry, Entry::Running { .. });
        self.entries.iter().any(|(origin, entry)| origin.site == site && is_running(entry))
    }

    /// What is known of a request.
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

    /// Enters a request that is handed to the scheduler; false if it has been here before.
    pub(crate) fn accept(&mut self, origin: Origin, outcome_retention: Duration) -> bool {
        if self.lookup(origin).status != RemoteStatus::NeverReceived {
            return false;
        }
        self.entries.insert(origin, Entry::Running { outcome_retention });
        self.running += 1;
        true
    }

    /// Records how a request ended; false if it was not running.
    pub(crate) fn end(&mut self, now: Time, origin: Origin, outcome: Outcome) -> bool {
        let Some(Entry::Running { outcome_retention }) = self.entries.get(&origin) else { return false };
        let forget_at = now + *outcome_retention;
        self.running -= 1;
        if outcome == Outcome::Unstarted {
            // It never ran, and that is what a query is answered.
            self.entries.remove(&origin);
            return true;
        }
        self.stored_bytes += result_bytes(&outcome);
        self.forget_order.insert((forget_at, origin));
        self.entries.insert(origin, Entry::Ended { outcome, forget_at });
        true
    }

    /// Removes a request whose client has disconnected; whether it was running. Nobody will ask for it, and it may
    /// have run.
    pub(crate) fn cancel(&mut self, origin: Origin) -> bool {
        let was_running = matches!(self.entries.get(&origin), Some(Entry::Running { .. }));
        if self.remove(origin) {
            self.mark_forgotten(origin);
        }
        was_running
    }

    /// Removes an outcome that the sender has received.
    pub(crate) fn acknowledge(&mut self, origin: Origin) {
        let has_ended = matches!(self.entries.get(&origin), Some(Entry::Ended { .. }));
        if has_ended && self.remove(origin) {
            self.mark_forgotten(origin);
        }
    }

    /// Forgets the outcomes whose time is over, and the oldest ones beyond `most` or `most_bytes`.
    pub(crate) fn forget(&mut self, now: Time, most: usize, most_bytes: usize) {
        while let Some(&(forget_at, origin)) = self.forget_order.first() {
            let within_bounds = self.forget_order.len() <= most && self.stored_bytes <= most_bytes;
            if forget_at > now && within_bounds {
                return;
            }
            self.remove(origin);
            self.mark_forgotten(origin);
        }
    }

    /// When the next outcome is to be forgotten.
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

    /// A sender that is dropped counts as one that was never here, so one with entries must stay.
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
