//! Random faults of the proxies between the sites, generated from a seed.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::{FaultyProxy, ProxyState};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{sleep, sleep_until, Instant};

/// Data that a proxy has held back may arrive up to this long after the proxy has recovered, because a site link
/// survives interruptions shorter than its silence timeout.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(800);

/// Period of a proxy fault.
#[derive(Clone, Copy)]
struct NetworkFault {
    started_at: Instant,
    ended_at: Instant,
}

/// Past faults of all proxies.
#[derive(Clone, Default)]
pub(super) struct NetworkFaults(Rc<RefCell<Vec<NetworkFault>>>);

impl NetworkFaults {
    /// Returns whether a request that arrived at this time may have been delayed by a fault.
    pub(super) fn may_have_delayed(&self, at: Instant) -> bool {
        self.0.borrow().iter().any(|fault| at >= fault.started_at && at < fault.ended_at + MAX_RECOVERY_TIME)
    }
}

/// Parameters of the faults of one proxy.
pub(super) struct FaultSchedule {
    pub(super) seed: u64,
    pub(super) faults: u64,
    pub(super) start: Instant,
    /// Duration of the traffic. Faults start after the first tenth and before the last.
    pub(super) length: Duration,
}

/// Injects faults into a proxy: two-way partitions, one-way partitions and connection resets.
pub(super) async fn inject_faults(proxy: Rc<FaultyProxy>, schedule: FaultSchedule, faults: NetworkFaults) {
    let mut random = StdRng::seed_from_u64(schedule.seed);
    let mut fractions: Vec<f64> = (0..schedule.faults).map(|_| random.random_range(0.1..0.9)).collect();
    fractions.sort_by(f64::total_cmp);
    for fraction in fractions {
        sleep_until(schedule.start + schedule.length.mul_f64(fraction)).await;
        let duration = Duration::from_secs_f64(random.random_range(0.1..2.0));
        let started_at = Instant::now();
        match random.random_range(0..3) {
            0 => proxy.set_state(ProxyState::Partitioned),
            1 => proxy.set_state(ProxyState::PartitionedReturn),
            _ => proxy.reset(),
        }
        sleep(duration).await;
        proxy.set_state(ProxyState::Healthy);
        faults.0.borrow_mut().push(NetworkFault { started_at, ended_at: Instant::now() });
    }
}
