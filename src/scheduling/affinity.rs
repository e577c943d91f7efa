//! Where what jobs need is kept.
//!
//! Requests may name an object (an account, a file) that a worker must have before it can run the job. Workers
//! keep some for a while and fetch others while the job holds its slots. How many, for how long and what a
//! miss costs is told nowhere, and may be nothing at all: it is learnt from run times. For each run it is
//! noted in which *place* the worker stood for the object, and by how much the run took longer than usual
//! there; what places differ in is what choosing by them is worth.
//!
//! The places: the worker is one of the object's homes; else this dispatcher sent the object there lately (by how
//! many others it has sent there since); else neither. Homes follow from the object and the list alone
//! (rendezvous hashing, weighted by slots), so that all dispatchers name the same ones without talk, and a
//! worker that comes or goes moves its own share only. An object that is asked for much has more homes: the
//! first ones in an order of all workers, so that dispatchers that count differently still agree on most.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::scheduling::decaying_mean::Mean;
use crate::scheduling::interface::WorkerId;
use crate::scheduling::random::{chance, spread};

/// Objects counted at the most.
const MOST: usize = 512;
/// An object is asked for again, not only once, from this count on.
const AGAIN: f64 = 1.5;
/// How long an object stays asked for, in seconds.
const ASKED: f64 = 30.0;
/// Run times by place fade with this time constant, in seconds.
const FADE: f64 = 60.0;
/// Runs that weigh as much as what is believed before any was seen: that a fetch takes a third of a usual run. Without
/// such a belief nobody would keep to homes, and none would ever show that they save anything.
const TRUST: f64 = 10.0;
/// See `TRUST`.
const PRIOR: f64 = 0.3;
/// So many requests put that belief to the test at first.
const MOST_TRIES: f64 = 0.05;
/// Less than this part of a usual run is taken for chance.
const LEAST: f64 = 0.15;
/// An object has so many homes for each that its share of the requests would fill: each keeps other things too.
const HOMES: f64 = 2.0;
/// Objects that are remembered for each worker, the latest first.
pub(crate) const KEPT: usize = 8;
/// More than this many usual runs longer than usual, or shorter, is another thing than a fetch.
const MOST_EXTRA: f64 = 3.0;

/// How a worker stands to an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Place {
    /// Sent there lately: how many other objects were sent since, by powers of two.
    Near(usize),
    /// One of those that all dispatchers choose for it.
    Home,
    /// Neither.
    Far,
}

const PLACES: usize = 6;

impl Place {
    fn index(self) -> usize {
        match self {
            Place::Near(depth) => depth.min(PLACES - 3),
            Place::Home => PLACES - 2,
            Place::Far => PLACES - 1,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Asked {
    count: Mean,
    /// Tags of workers, the first first.
    homes: Vec<u64>,
}

/// What is known of the objects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Objects {
    asked: BTreeMap<u64, Asked>,
    all: Mean,
    /// By place: what runs took longer than usual at their worker, in usual runs of the fleet.
    extra: [Mean; PLACES],
}

impl Objects {
    /// Counts a request for an object, and finds its homes once it has been asked for before. `workers` gives
    /// the tags of those that take work, with their weights. Both change as the list does and as the workers'
    /// sizes are learnt, so they are asked for each time.
    pub(crate) fn ask(&mut self, now: f64, object: u64, workers: impl FnOnce() -> Vec<(u64, f64)>) {
        if self.asked.len() >= MOST && !self.asked.contains_key(&object) {
            // What was asked for once, or long ago. Were all asked for again and again, no homes would help.
            self.asked.retain(|_, a| a.count.left(now, ASKED) >= AGAIN);
            if self.asked.len() >= MOST {
                self.asked.clear();
            }
        }
        self.all.add(now, ASKED, 1.0, 1.0);
        let all = self.all.left(now, ASKED);
        let asked = self.asked.entry(object).or_default();
        asked.count.add(now, ASKED, 1.0, 1.0);
        let count = asked.count.left(now, ASKED);
        if count < AGAIN {
            return;
        }
        let draw = |tag| chance(spread(object, WorkerId(tag)));
        let key = |(tag, weight): (u64, f64)| (-draw(tag).ln() / weight.max(1e-9), tag);
        let mut order: Vec<_> = workers().into_iter().map(key).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let homes = (HOMES * count / all * order.len() as f64).ceil() as usize;
        asked.homes = order.into_iter().take(homes.max(1)).map(|worker| worker.1).collect();
    }

    /// Whether a request goes where it would if nothing were kept anywhere, so that what is believed is put to
    /// the test: the more often, the less is known. `chance` is evenly spread up to 1.
    pub(crate) fn tries(&self, now: f64, chance: f64) -> bool {
        chance < MOST_TRIES * TRUST / (TRUST + self.extra[Place::Far.index()].left(now, FADE))
    }

    /// Whether any object is asked for again, so that keeping it can save something.
    pub(crate) fn any_homes(&self) -> bool {
        self.asked.values().any(|a| !a.homes.is_empty())
    }

    /// How a worker stands to an object; `kept` is what it was sent lately, the latest first.
    pub(crate) fn place(&self, object: u64, tag: u64, kept: &[u64]) -> Place {
        let home = self.asked.get(&object).is_some_and(|a| a.homes.contains(&tag));
        if home {
            return Place::Home;
        }
        match kept.iter().position(|k| *k == object) {
            Some(depth) => Place::Near(usize::BITS as usize - depth.leading_zeros() as usize),
            None => Place::Far,
        }
    }

    /// A run took this much longer than usual at its worker, in usual runs of the fleet.
    pub(crate) fn ran(&mut self, now: f64, place: Place, extra: f64) {
        let extra = extra.clamp(-MOST_EXTRA, MOST_EXTRA);
        self.extra[place.index()].add(now, FADE, extra, 1.0);
    }

    /// By how many usual runs of the fleet a run in this place is shorter than where nothing is kept.
    pub(crate) fn saves(&self, now: f64, place: Place) -> f64 {
        let mean = |place: Place, prior| self.extra[place.index()].or(now, FADE, TRUST, prior);
        let prior = if place == Place::Far { 0.0 } else { PRIOR };
        Some(mean(Place::Far, prior) - mean(place, 0.0)).filter(|saves| *saves > LEAST).unwrap_or(0.0)
    }
}

/// Notes that a worker is sent an object.
pub(crate) fn keep(kept: &mut Vec<u64>, object: u64) {
    kept.retain(|k| *k != object);
    kept.insert(0, object);
    kept.truncate(KEPT);
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(n: u64) -> Vec<(u64, f64)> {
        (0..n).map(|tag| (tag, 3.0)).collect()
    }

    fn homes(objects: &Objects, object: u64) -> Vec<u64> {
        objects.asked.get(&object).map(|a| a.homes.clone()).unwrap_or_default()
    }

    #[test]
    fn ten_thousand_objects_asked_for_once_are_forgotten_and_have_no_homes() {
        let mut objects = Objects::default();
        for object in 1..=10_000 {
            objects.ask(object as f64 * 0.01, object, || unreachable!("no order is made for them"));
            assert!(objects.asked.len() <= MOST && !objects.any_homes());
        }
    }

    #[test]
    fn a_third_of_all_requests_gets_more_homes_than_a_hundredth() {
        let mut objects = Objects::default();
        for n in 0..600u64 {
            let object = if n % 3 == 0 { 1 } else { 2 + n % 66 };
            objects.ask(n as f64 * 0.02, object, || fleet(12));
        }
        let (popular, rare) = (homes(&objects, 1).len(), homes(&objects, 6).len());
        assert!((6..=9).contains(&popular) && rare == 1, "{popular} and {rare}");
    }

    #[test]
    fn a_worker_that_comes_or_goes_moves_its_own_share_only() {
        let mut objects = Objects::default();
        let ask = |objects: &mut Objects, n: u64| {
            for object in (0..200).chain(0..200) {
                objects.ask(1.0, object, || fleet(n));
            }
            (0..200).map(|object| homes(objects, object)[0]).collect::<Vec<_>>()
        };
        let (twelve, eleven) = (ask(&mut objects, 12), ask(&mut objects, 11));
        let moved: Vec<_> = twelve.iter().zip(&eleven).filter(|(a, b)| a != b).collect();
        assert!(moved.iter().all(|(a, _)| **a == 11), "only what was at the worker that went");
        assert!((8..=32).contains(&moved.len()), "about a twelfth of 200: {}", moved.len());
    }

    #[test]
    fn places_that_save_nothing_are_not_preferred_once_runs_have_shown_it() {
        let mut objects = Objects::default();
        assert!(objects.saves(0.0, Place::Home) > 0.0, "a belief to start from");
        for n in 0..60 {
            for place in [Place::Home, Place::Near(0), Place::Far] {
                objects.ran(f64::from(n) * 0.1, place, f64::from(n % 3) - 1.0);
            }
        }
        assert_eq!([Place::Home, Place::Near(0), Place::Far].map(|p| objects.saves(6.0, p)), [0.0; 3]);
        for n in 0..60 {
            objects.ran(6.0 + f64::from(n) * 0.1, Place::Far, 0.8);
        }
        assert!(objects.saves(12.0, Place::Home) > 0.3, "but they can come to save something");
    }
}
