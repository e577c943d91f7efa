//! What happened at the workers, recorded so that promises can be checked against it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// One run of a request at a worker, from its start to its end.
#[derive(Clone, Debug)]
pub struct Run {
    /// The site of the worker.
    pub site: usize,
    /// The request.
    pub request_id: String,
    /// Its idempotency key, if it has one.
    pub key: Option<String>,
    /// When the worker received it.
    pub received_at: Instant,
    /// When it began to run.
    pub started_at: Instant,
    /// When it was done or cancelled.
    pub ended_at: Option<Instant>,
}

/// A run of this journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunId(usize);

/// A change of a site's free slots.
#[derive(Clone, Copy, Debug)]
struct FreeSlots {
    since: Instant,
    free: i64,
}

#[derive(Debug, Default)]
struct Records {
    runs: Vec<Run>,
    free_slots: HashMap<usize, Vec<FreeSlots>>,
}

/// Shared by all test doubles of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Journal(Rc<RefCell<Records>>);

impl Journal {
    pub(crate) fn run_started(
        &self,
        site: usize,
        request_id: &str,
        key: Option<&str>,
        received_at: Instant,
    ) -> RunId {
        let mut records = self.0.borrow_mut();
        records.runs.push(Run {
            site,
            request_id: request_id.to_owned(),
            key: key.map(str::to_owned),
            received_at,
            started_at: Instant::now(),
            ended_at: None,
        });
        RunId(records.runs.len() - 1)
    }

    pub(crate) fn run_ended(&self, run: RunId) {
        self.0.borrow_mut().runs[run.0].ended_at = Some(Instant::now());
    }

    pub(crate) fn free_slots_changed(&self, site: usize, change: i64) {
        let mut records = self.0.borrow_mut();
        let history = records.free_slots.entry(site).or_default();
        let free = history.last().map_or(0, |last| last.free) + change;
        history.push(FreeSlots { since: Instant::now(), free });
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.0.borrow().runs.clone()
    }

    /// Whether a slot of the site was free all through this time before `at`.
    pub fn had_free_slot(&self, site: usize, at: Instant, through: Duration) -> bool {
        let records = self.0.borrow();
        let Some(history) = records.free_slots.get(&site) else { return false };
        let from = at - through;
        let before = history.iter().rev().find(|change| change.since <= from).map_or(0, |change| change.free);
        let during = history.iter().filter(|change| change.since > from && change.since <= at);
        during.map(|change| change.free).fold(before, i64::min) > 0
    }

    /// Runs too many: of a key within its window, and of one request at two places at a time.
    pub fn duplicates(&self, window: Duration) -> usize {
        let runs = self.runs();
        let mut count = 0;
        for (index, run) in runs.iter().enumerate() {
            let repeats = |earlier: &Run| repeats_key(earlier, run, window) || overlaps(earlier, run);
            count += usize::from(runs[..index].iter().any(repeats));
        }
        count
    }
}

/// Whether a run has the key of an earlier one, within the deduplication window.
fn repeats_key(earlier: &Run, run: &Run, window: Duration) -> bool {
    let same_key = earlier.key.is_some() && earlier.key == run.key;
    same_key && run.started_at.duration_since(earlier.started_at) < window
}

/// Whether a run began before an earlier one of the same request had ended.
fn overlaps(earlier: &Run, run: &Run) -> bool {
    earlier.request_id == run.request_id && earlier.ended_at.is_none_or(|end| end > run.started_at)
}
