//! How full workers get when many dispatchers go by the same old news of them.
//!
//! The list tells all dispatchers the same at the same time, and what it tells is a second old. Were each to
//! send where the list names a free slot, the few workers that have one would get all that the fleet sends
//! until the next list, and be the fullest of all by then. So each reckons with what the others send: as much
//! as runs at present ends and is replaced meanwhile. Poured over the workers like water over an uneven floor,
//! it comes to a level, and each worker gets as much as it lies below. That is Dahlin's load interpretation
//! ("Interpreting Stale Load Information"); it turns to the least loaded while news are fresh, and to chance
//! as they age.

/// Of all slots, the share that is taken to be replaced at the least: news of an idle fleet tell of no rate.
const LEAST_SHARE: f64 = 0.1;

/// The load (held over slots) that even filling comes to.
///
/// `loads` are what each worker holds and its slots; `runs` is how many runs long the news will have been old
/// when newer ones come. Without workers the level is 1: all slots, and no more.
pub(crate) fn fill(loads: Vec<(f64, f64)>, runs: f64) -> f64 {
    let slots: f64 = loads.iter().map(|w| w.1).sum();
    let running: f64 = loads.iter().map(|w| w.0.min(w.1)).sum();
    let mut left = running.max(LEAST_SHARE * slots) * runs.max(0.0);
    let mut order: Vec<_> = loads.iter().filter(|w| w.1 > 0.0).map(|w| (w.0 / w.1, w.1)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    let Some(&(mut level, _)) = order.first() else { return 1.0 };
    let mut wide = 0.0; // slots of the workers under water
    for (floor, slots) in order {
        if (floor - level) * wide >= left {
            break;
        }
        left -= (floor - level) * wide;
        (level, wide) = (floor, wide + slots);
    }
    level + left / wide
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_lies_below_the_level_comes_to_what_is_sent() {
        let loads: Vec<_> = (0..40).map(|n| (f64::from(n * 7 % 11), f64::from(2 + n % 4))).collect();
        let running: f64 = loads.iter().map(|w| w.0.min(w.1)).sum();
        for runs in [0.01, 0.3, 1.0, 5.0] {
            let level = fill(loads.clone(), runs);
            let poured: f64 = loads.iter().map(|w| (level * w.1 - w.0).max(0.0)).sum();
            assert!((poured - runs * running).abs() < 1e-6, "{poured} of {}", runs * running);
        }
    }

    #[test]
    fn fresh_news_lead_to_the_least_loaded_and_old_ones_to_all() {
        let loads = vec![(0.0, 2.0), (1.0, 2.0), (6.0, 2.0)];
        assert!(fill(loads.clone(), 0.1) < 0.5, "only the idle one");
        assert!((0.5..3.0).contains(&fill(loads.clone(), 1.0)), "the crowded one is still left out");
        assert!(fill(loads.clone(), 10.0) > 3.0, "nothing is known any more");
    }

    #[test]
    fn an_idle_or_an_empty_fleet_has_a_level_too() {
        assert!(fill(vec![(0.0, 4.0); 10], 0.5) > 0.0);
        assert_eq!(fill(Vec::new(), 3.0), 1.0);
        assert_eq!(fill(vec![(0.0, 0.0)], 3.0), 1.0);
    }
}
