//! Faults of the proxies between the sites, drawn from a seed.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::{FaultyProxy, ProxyState};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{sleep, sleep_until, Instant};

/// What a proxy has held back arrives this long after it is healthy again: a link lives through its silence timeout.
const HELD_BACK: Duration = Duration::from_millis(800);

/// A time in which a proxy failed.
#[derive(Clone, Copy)]
struct NetworkFault {
    from: Instant,
    until: Instant,
}

/// The faults so far, of all proxies.
#[derive(Clone, Default)]
pub(super) struct NetworkFaults(Rc<RefCell<Vec<NetworkFault>>>);

impl NetworkFaults {
    /// Whether what arrived at this time may have been held back by a fault.
    pub(super) fn may_have_held_back(&self, at: Instant) -> bool {
        self.0.borrow().iter().any(|fault| at >= fault.from && at < fault.until + HELD_BACK)
    }
}

/// When the faults of one proxy come.
pub(super) struct Schedule {
    pub(super) seed: u64,
    pub(super) faults: u64,
    pub(super) start: Instant,
    /// Length of the traffic; the faults are over the middle of it.
    pub(super) length: Duration,
}

/// Lets a proxy fail a few times, in one of three ways each.
pub(super) async fn inject(proxy: Rc<FaultyProxy>, schedule: Schedule, faults: NetworkFaults) {
    let mut random = StdRng::seed_from_u64(schedule.seed);
    let mut fractions: Vec<f64> = (0..schedule.faults).map(|_| random.random_range(0.1..0.9)).collect();
    fractions.sort_by(f64::total_cmp);
    for fraction in fractions {
        sleep_until(schedule.start + schedule.length.mul_f64(fraction)).await;
        let lasts = Duration::from_secs_f64(random.random_range(0.1..2.0));
        let from = Instant::now();
        match random.random_range(0..3) {
            0 => proxy.set_state(ProxyState::Partitioned),
            1 => proxy.set_state(ProxyState::PartitionedReturn),
            _ => proxy.reset(),
        }
        sleep(lasts).await;
        proxy.set_state(ProxyState::Healthy);
        faults.0.borrow_mut().push(NetworkFault { from, until: Instant::now() });
    }
}
