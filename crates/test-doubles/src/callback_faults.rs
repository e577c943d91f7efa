//! Random faults of a worker's callbacks, from a seed.

use std::cell::RefCell;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Bounds of the delay after which a callback is repeated whose answer was lost, in milliseconds.
const REPEAT_DELAY_MS: std::ops::Range<u64> = 50..1500;

/// Fractions, from 0 to 1, of the callbacks or requests that a fault affects. The default is no fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallbackFaultRates {
    /// Accepted requests that are handed back unstarted.
    pub handed_back: f64,
    /// Runs that are lost halfway.
    pub lost: f64,
    /// Delivered callbacks whose answer is lost, so that they are repeated.
    pub answer_lost: f64,
}

/// Draws the faults of one worker.
#[derive(Debug)]
pub(crate) struct CallbackFaults {
    rates: CallbackFaultRates,
    random: RefCell<StdRng>,
}

impl CallbackFaults {
    pub(crate) fn new(rates: CallbackFaultRates, seed: u64) -> Self {
        CallbackFaults { rates, random: RefCell::new(StdRng::seed_from_u64(seed)) }
    }

    /// Whether the next accepted request is handed back.
    pub(crate) fn hands_back(&self) -> bool {
        self.draw(self.rates.handed_back)
    }

    /// Whether the next run is lost.
    pub(crate) fn loses_run(&self) -> bool {
        self.draw(self.rates.lost)
    }

    /// The delay until the callback just delivered is repeated, or `None` if its answer arrived.
    pub(crate) fn repeat_delay(&self) -> Option<Duration> {
        if !self.draw(self.rates.answer_lost) {
            return None;
        }
        let delay_ms = self.random.borrow_mut().random_range(REPEAT_DELAY_MS);
        Some(Duration::from_millis(delay_ms))
    }

    fn draw(&self, probability: f64) -> bool {
        probability > 0.0 && self.random.borrow_mut().random_bool(probability)
    }
}
