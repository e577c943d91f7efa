//! What happened at the boxes, kept to check promises against.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// One run of a job at a box: from its start to its end.
#[derive(Clone, Debug)]
pub struct Run {
    /// The site of the box.
    pub site: usize,
    /// The transaction.
    pub id: String,
    /// Its key, if it has one.
    pub key: Option<String>,
    /// When it came to the box.
    pub came: Instant,
    /// When it began.
    pub began: Instant,
    /// When it was done or stopped.
    pub ended: Option<Instant>,
}

#[derive(Debug, Default)]
struct Inner {
    runs: Vec<Run>,
    /// By site: when its free slots changed, and to what.
    free: HashMap<usize, Vec<(Instant, i64)>>,
}

/// Shared by all stand-ins of a rig.
#[derive(Clone, Debug, Default)]
pub struct Journal(Rc<RefCell<Inner>>);

impl Journal {
    pub(crate) fn began(&self, site: usize, id: &str, key: Option<&str>, came: Instant) -> usize {
        let mut inner = self.0.borrow_mut();
        let (id, key) = (id.to_owned(), key.map(str::to_owned));
        inner.runs.push(Run { site, id, key, came, began: Instant::now(), ended: None });
        inner.runs.len() - 1
    }

    pub(crate) fn ended(&self, run: usize) {
        self.0.borrow_mut().runs[run].ended = Some(Instant::now());
    }

    pub(crate) fn slots(&self, site: usize, change: i64) {
        let mut inner = self.0.borrow_mut();
        let changes = inner.free.entry(site).or_default();
        let free = changes.last().map_or(0, |(_, free)| *free) + change;
        changes.push((Instant::now(), free));
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.0.borrow().runs.clone()
    }

    /// Whether a slot of the site was free all through the time before `at`.
    pub fn had_room(&self, site: usize, at: Instant, through: Duration) -> bool {
        let inner = self.0.borrow();
        let Some(changes) = inner.free.get(&site) else { return false };
        let from = at - through;
        let before = changes.iter().rev().find(|(when, _)| *when <= from).map_or(0, |(_, free)| *free);
        let during = changes.iter().filter(|(when, _)| *when > from && *when <= at).map(|(_, free)| *free);
        during.fold(before, i64::min) > 0
    }

    /// Runs too many: of a key within its window, and of one transaction at two places at a time.
    pub fn duplicates(&self, window: Duration) -> usize {
        let runs = self.runs();
        let mut count = 0;
        for (n, run) in runs.iter().enumerate() {
            let earlier = runs[..n].iter();
            let same_key = |other: &Run| {
                other.key.is_some() && other.key == run.key && run.began.duration_since(other.began) < window
            };
            let overlaps = |other: &Run| other.id == run.id && other.ended.is_none_or(|end| end > run.began);
            count += usize::from(earlier.clone().any(|other| same_key(other) || overlaps(other)));
        }
        count
    }
}
