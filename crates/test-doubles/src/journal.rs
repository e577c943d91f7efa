//! Records the runs and free slots of the workers, so that a test can check the scheduler's guarantees.

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
    /// The `X-Request-Id` of the request.
    pub request_id: String,
    /// The idempotency key of the request, if it has one.
    pub key: Option<String>,
    /// When the worker received the request.
    pub received_at: Instant,
    /// When the request started to run.
    pub started_at: Instant,
    /// When the request completed or was cancelled; `None` while it runs.
    pub ended_at: Option<Instant>,
}

/// Identifies a run in the journal that issued it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunId(usize);

/// The number of free slots of a site from an instant on.
#[derive(Clone, Copy, Debug)]
struct FreeSlots {
    changed_at: Instant,
    free_slots: i64,
}

#[derive(Debug, Default)]
struct Records {
    runs: Vec<Run>,
    free_slots: HashMap<usize, Vec<FreeSlots>>,
}

/// The journal of a test scenario, shared by all its workers.
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
        let free_slots = history.last().map_or(0, |last| last.free_slots) + change;
        history.push(FreeSlots { changed_at: Instant::now(), free_slots });
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.0.borrow().runs.clone()
    }

    /// Whether at least one slot of the site was free throughout the time `through` before `at`.
    pub fn had_free_slot(&self, site: usize, at: Instant, through: Duration) -> bool {
        let records = self.0.borrow();
        let Some(history) = records.free_slots.get(&site) else { return false };
        let from = at - through;
        let before = history
            .iter()
            .rev()
            .find(|change| change.changed_at <= from)
            .map_or(0, |change| change.free_slots);
        let during = history.iter().filter(|change| change.changed_at > from && change.changed_at <= at);
        during.map(|change| change.free_slots).fold(before, i64::min) > 0
    }

    /// Counts duplicate runs: runs that repeat an idempotency key within the deduplication window, and runs of a request
    /// while an earlier run of it has not ended.
    pub fn duplicates(&self, window: Duration) -> usize {
        let runs = self.runs();
        let mut count = 0;
        for (index, run) in runs.iter().enumerate() {
            let is_duplicate = |earlier: &Run| repeats_key(earlier, run, window) || overlaps(earlier, run);
            count += usize::from(runs[..index].iter().any(is_duplicate));
        }
        count
    }
}

/// Whether a run repeats the key of an earlier run within the deduplication window.
fn repeats_key(earlier: &Run, run: &Run, window: Duration) -> bool {
    let same_key = earlier.key.is_some() && earlier.key == run.key;
    same_key && run.started_at.duration_since(earlier.started_at) < window
}

/// Whether a run started before an earlier run of the same request ended.
fn overlaps(earlier: &Run, run: &Run) -> bool {
    earlier.request_id == run.request_id && earlier.ended_at.is_none_or(|end| end > run.started_at)
}
