//! Water filling: how full workers will be when many schedulers place requests by the same old load figures.
//!
//! The endpoint list tells all schedulers the same load at the same time, about a second late. Were each to send where
//! the list shows a free slot, the few workers that have one would get all that the fleet sends until the next list. So
//! each scheduler estimates what all send meanwhile: as much as runs now ends and is replaced. Poured over the workers
//! like water over an uneven floor, it comes to one level, and each worker gets what it lacks to that level. This is
//! Dahlin's load interpretation ("Interpreting Stale Load Information"): with fresh figures it prefers the least loaded
//! worker, and as they age it approaches a random choice.

/// The fraction of all slots that is taken to be replaced at the least: figures of an idle fleet show no rate.
const MIN_REPLACED_FRACTION: f64 = 0.1;
/// The level without workers: all slots, and no more.
const LEVEL_WITHOUT_WORKERS: f64 = 1.0;

/// What one worker holds, and how many slots it has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerLoad {
    /// Slots that are held, by whomever; more than `slots` if requests are queued there.
    pub held: f64,
    /// All its slots.
    pub slots: f64,
}

impl WorkerLoad {
    fn fraction(&self) -> f64 {
        self.held / self.slots
    }
}

/// The load level (held over slots) that even filling comes to.
///
/// `age_in_runs` is how many mean run times old the load figures will be when newer ones come.
pub(crate) fn fill_level(loads: &[WorkerLoad], age_in_runs: f64) -> f64 {
    let slots: f64 = loads.iter().map(|load| load.slots).sum();
    let running: f64 = loads.iter().map(|load| load.held.min(load.slots)).sum();
    let mut to_pour = running.max(MIN_REPLACED_FRACTION * slots) * age_in_runs.max(0.0);
    let mut by_level: Vec<_> = loads.iter().filter(|load| load.slots > 0.0).collect();
    by_level.sort_by(|a, b| a.fraction().total_cmp(&b.fraction()));
    let Some(lowest) = by_level.first() else { return LEVEL_WITHOUT_WORKERS };
    let mut level = lowest.fraction();
    let mut slots_below_level = 0.0;
    for load in by_level {
        let rise = load.fraction() - level;
        if rise * slots_below_level >= to_pour {
            break;
        }
        to_pour -= rise * slots_below_level;
        level = load.fraction();
        slots_below_level += load.slots;
    }
    level + to_pour / slots_below_level
}

#[cfg(test)]
mod tests;
