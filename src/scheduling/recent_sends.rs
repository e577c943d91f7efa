//! What a worker that warms up was sent, and what such a job counts for.
//!
//! The fourth rule goes by how much all dispatchers send a worker against what it can do at that moment, and
//! all that arrives adds to it, also what is taken back before it ran. Hints cannot keep that account. A small
//! budget lets only those jobs through whose hints are small, so they are the ones whose hints say too little,
//! and any number of them: on the drawn days on which a worker fell, it had been sent 0.2 to 0.8 times what it
//! could do by the hints, and 6 to 14 times by the usual work of the jobs' classes. So a job counts for no
//! less than the usual one of its class.

use serde::{Deserialize, Serialize};

/// What a worker was sent lately: time and work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Sends(Vec<(f64, f64)>);

impl Sends {
    /// Adds work, and forgets what was sent before `from`.
    pub(crate) fn add(&mut self, from: f64, now: f64, work: f64) {
        self.0.retain(|sent| sent.0 >= from);
        self.0.push((now, work));
    }

    /// The work sent at `from` or later.
    pub(crate) fn since(&self, from: f64) -> f64 {
        self.0.iter().filter(|sent| sent.0 >= from).map(|sent| sent.1).sum()
    }
}
