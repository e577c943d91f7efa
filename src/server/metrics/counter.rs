//! Counters and gauges.

use std::cell::Cell;
use std::rc::Rc;

/// A monotonically increasing count.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Increments the counter and returns the new value.
    pub fn add(&self) -> u64 {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// A value that can go up and down.
#[derive(Default)]
pub struct Gauge(Cell<usize>);

impl Gauge {
    /// Sets the value.
    pub fn set(&self, value: usize) {
        self.0.set(value);
    }

    /// Increments the gauge until the returned guard is dropped.
    pub fn count(gauge: &Rc<Self>) -> GaugeGuard {
        gauge.set(gauge.get() + 1);
        GaugeGuard(Rc::clone(gauge))
    }

    /// The current value.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// Decrements its [`Gauge`] when dropped.
pub struct GaugeGuard(Rc<Gauge>);

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
