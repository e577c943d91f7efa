//! A number that only grows, and one that goes up and down.

use std::cell::Cell;
use std::rc::Rc;

/// A number that only grows.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Counts one more and returns the new number.
    pub fn add(&self) -> u64 {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }

    /// The number.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// A number that goes up and down.
#[derive(Default)]
pub struct Gauge(Cell<usize>);

impl Gauge {
    /// Sets the number.
    pub fn set(&self, value: usize) {
        self.0.set(value);
    }

    /// One more, until the returned value is dropped.
    pub fn count(gauge: &Rc<Self>) -> GaugeGuard {
        gauge.set(gauge.get() + 1);
        GaugeGuard(Rc::clone(gauge))
    }

    /// The number.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// Counted by a [`Gauge`] until it is dropped.
pub struct GaugeGuard(Rc<Gauge>);

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
