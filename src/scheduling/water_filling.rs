//! Water filling: predicts how full workers will be when many schedulers place requests by the same stale load data.
//!
//! The endpoint list gives all schedulers the same load data at the same time, about a second late. If each scheduler
//! sent its requests to the workers with free slots in the list, these few workers would get all requests of the fleet
//! until the next list. Instead, each scheduler estimates how many requests all of them send in the meantime, assuming
//! that the requests running now end and are replaced. Like water poured over an uneven floor, the new requests fill
//! the less loaded workers to a common level.
//!
//! This is Dahlin's load interpretation ("Interpreting Stale Load Information"): with fresh data it prefers the least
//! loaded worker; as the data ages, it approaches a random choice.

/// Lower bound of the requests replaced per mean run time, as a fraction of all slots. Needed because the load of an
/// idle fleet shows no request rate.
const MIN_REPLACED_FRACTION: f64 = 0.1;
/// Fill level of a fleet without workers: fully loaded, with nothing queued.
const EMPTY_FLEET_LEVEL: f64 = 1.0;

/// The load of one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerLoad {
    /// Slots reserved by all schedulers; exceeds `slots` if requests are queued at the worker.
    pub reserved: f64,
    /// Total slots of the worker.
    pub slots: f64,
}

impl WorkerLoad {
    fn fraction(&self) -> f64 {
        self.reserved / self.slots
    }
}

/// The common fill level (reserved slots over total slots) that the workers will reach.
///
/// `age_in_run_times` is the age that the load data will reach before it is updated, in mean run times.
pub(crate) fn fill_level(loads: &[WorkerLoad], age_in_run_times: f64) -> f64 {
    let slots: f64 = loads.iter().map(|load| load.slots).sum();
    let running: f64 = loads.iter().map(|load| load.reserved.min(load.slots)).sum();
    let mut remaining = running.max(MIN_REPLACED_FRACTION * slots) * age_in_run_times.max(0.0);
    let mut by_load: Vec<_> = loads.iter().filter(|load| load.slots > 0.0).collect();
    by_load.sort_by(|a, b| a.fraction().total_cmp(&b.fraction()));
    let Some(lowest) = by_load.first() else { return EMPTY_FLEET_LEVEL };
    let mut level = lowest.fraction();
    let mut slots_below_level = 0.0;
    for load in by_load {
        let rise = load.fraction() - level;
        if rise * slots_below_level >= remaining {
            break;
        }
        remaining -= rise * slots_below_level;
        level = load.fraction();
        slots_below_level += load.slots;
    }
    level + remaining / slots_below_level
}

#[cfg(test)]
mod tests;
