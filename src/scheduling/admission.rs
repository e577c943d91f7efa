//! Admission control: decides whether a new request is accepted, and computes its priority.
//!
//! A request is rejected immediately if its class is unknown, if its deadline is not finite, or if the fleet is full
//! and its priority is below the mean. All others are queued; `load_shedding.rs` sheds those that cannot be served in
//! time.

use crate::scheduling::action::Action;
use crate::scheduling::affinity::WeightedWorker;
use crate::scheduling::decaying_mean::FLEET_TIME_CONSTANT_S;
use crate::scheduling::identifiers::RequestId;
use crate::scheduling::random::uniform_draw;
use crate::scheduling::request::Request;
use crate::scheduling::request_table::TrackedRequest;
use crate::scheduling::settings::RequestClass;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::timer::Timer;

/// Weight of the latency objective in Eq. 1 of the paper, the priority of a request (alpha).
const LATENCY_COEFFICIENT: f64 = 2.0;
/// Weight of the tenant's quota in Eq. 1 (beta).
const QUOTA_COEFFICIENT: f64 = 0.3;
/// Weight of the class's priority weight in Eq. 1 (delta); the paper has the user group here.
const PRIORITY_COEFFICIENT: f64 = 2.0;
/// Subtracted from the priority of a request that is too late for its objective and, multiplied by
/// 1 - `weight_over_quota`, from that of a request over its tenant's quota. Larger than any value of Eq. 1, so that
/// such requests are served after almost all others.
pub(crate) const PRIORITY_PENALTY: f64 = 5.0;
/// Lower bound of the latency objective; prevents division by zero.
const MIN_OBJECTIVE_S: f64 = 1e-3;
/// Interval between two checks for overdue attempts, unless capacity probes are the only source of load figures.
pub(crate) const OVERDUE_CHECK_INTERVAL_S: f64 = 0.1;

impl SchedulerState {
    /// Accepts or rejects a new request. A request whose id is already tracked is ignored.
    pub(crate) fn admit(&mut self, request: Request) {
        if self.requests.all.contains_key(&request.id) {
            return;
        }
        let time_to_deadline_s = request.deadline - self.now;
        if request.class >= self.settings.classes.len() || !time_to_deadline_s.is_finite() {
            self.emit(Action::Reject { request: request.id, retry_after_s: 0.0 });
            return;
        }
        let work = self.estimated_work(&request);
        self.record_arrival(&request, work);
        let first_requested_at = self.first_requested_at(request.class, request.deadline);
        let objective_s =
            latency_objective_s(&self.settings.classes[request.class], work).max(MIN_OBJECTIVE_S);
        let priority = self.admission_priority(&request);
        self.statistics.priority.add(self.now, FLEET_TIME_CONSTANT_S, priority, 1.0);
        let is_below_mean = priority < self.statistics.priority.fleet_value_or(self.now, priority);
        if self.is_fleet_full() && is_below_mean {
            let retry_after_s = self.settings.max_retry_after_s.min(objective_s);
            self.emit(Action::Reject { request: request.id, retry_after_s });
            return;
        }
        let draw = uniform_draw(self.seed ^ u64::from(request.id.0));
        let ignores_affinity = self.affinity.should_explore(self.now, draw);
        let mut tracked = TrackedRequest::new(request, work, objective_s, first_requested_at, priority);
        tracked.uses_affinity &= !ignores_affinity;
        self.track(tracked);
    }

    /// Estimated work of a request in seconds on a standard core: the client's hint, or else the geometric mean
    /// over recent requests, which starts from the latency objective of the class.
    fn estimated_work(&self, request: &Request) -> f64 {
        let hint = request.estimated_work_s.filter(|work| work.is_finite() && *work > 0.0);
        hint.unwrap_or_else(|| {
            let objective_s = self.settings.classes[request.class].latency_objective_s.max(MIN_OBJECTIVE_S);
            self.statistics.log_work.fleet_value_or(self.now, objective_s.ln()).exp()
        })
    }

    fn record_arrival(&mut self, request: &Request, work: f64) {
        let now = self.now;
        self.statistics.log_work.add(now, FLEET_TIME_CONSTANT_S, work.ln(), 1.0);
        self.statistics.work_by_class[request.class].add(now, FLEET_TIME_CONSTANT_S, work, 1.0);
        self.statistics.work.add(now, FLEET_TIME_CONSTANT_S, work, 1.0);
        let Some(key) = request.affinity_key else { return };
        let fleet = &self.fleet;
        self.affinity.count_request(now, key, || {
            let workers = fleet.ready_workers();
            workers
                .map(|worker| WeightedWorker {
                    stable_id: worker.info.stable_id,
                    weight: fleet.slots_of(worker),
                })
                .collect()
        });
    }

    /// Estimates when the client first sent this request, which is when the latency objective starts to count.
    ///
    /// A client's retry keeps the deadline of its first try and so has less time left. The longest time to the deadline
    /// observed for the class is taken to be that of a first try.
    fn first_requested_at(&mut self, class: usize, deadline: f64) -> f64 {
        let time_to_deadline_s = deadline - self.now;
        let max_time_s = &mut self.statistics.max_time_to_deadline_s[class];
        *max_time_s = max_time_s.max(time_to_deadline_s.min(self.settings.classes[class].deadline_s));
        (deadline - *max_time_s).min(self.now)
    }

    /// Eq. 1 of the paper: a weighted sum of the latency objective, the tenant's quota and the class's priority weight,
    /// each normalized by the extreme value over all classes or tenants. A request over its tenant's quota is penalized
    /// by [`PRIORITY_PENALTY`].
    fn admission_priority(&mut self, request: &Request) -> f64 {
        let is_within_quota = self.consume_quota(request.tenant);
        let class = &self.settings.classes[request.class];
        let bounds = self.settings.scoring_bounds();
        let tenant = self.settings.tenants.get(request.tenant);
        let quota_per_s = tenant.map_or(bounds.max_quota_per_s, |tenant| tenant.quota_per_s);
        let priority = LATENCY_COEFFICIENT
            * (bounds.min_latency_objective_s / class.latency_objective_s.max(MIN_OBJECTIVE_S))
            + QUOTA_COEFFICIENT * (quota_per_s / bounds.max_quota_per_s)
            + PRIORITY_COEFFICIENT * (class.priority_weight / bounds.max_priority_weight);
        if is_within_quota {
            priority
        } else {
            priority - PRIORITY_PENALTY * (1.0 - self.settings.weight_over_quota)
        }
    }

    /// Starts tracking a request, which is either new or taken over from another process of this scheduler.
    pub(crate) fn track(&mut self, tracked: TrackedRequest) {
        let id = tracked.request.id;
        let time_to_deadline_s = tracked.request.deadline - self.now;
        // Two event intervals early, so that the answer is on time even if the timer fires late.
        let deadline_in_s = (time_to_deadline_s - 2.0 * self.settings.event_interval_s).max(0.0);
        self.set_timer(deadline_in_s, Timer::Deadline(id));
        self.fleet.reserve_capacity_for(&tracked);
        self.requests.add(tracked);
        self.probe_for_capacity(id);
        self.schedule_round(self.round_interval_s);
        if !self.overdue_check_scheduled {
            self.overdue_check_scheduled = true;
            self.set_timer(OVERDUE_CHECK_INTERVAL_S, Timer::OverdueCheck);
        }
    }

    /// Latest time at which a request of this class can start on an average worker and still meet its objective.
    pub(crate) fn latest_start(&self, class: usize, estimated_work_s: Option<f64>, deadline: f64) -> f64 {
        let max_time_s = self.statistics.max_time_to_deadline_s[class];
        let class = &self.settings.classes[class];
        let work = estimated_work_s.unwrap_or(class.latency_objective_s);
        let objective_s = latency_objective_s(class, work);
        (deadline - max_time_s).min(self.now) + objective_s - work * self.fleet_run_time_ratio()
    }

    /// Queued requests without any attempt, each with the latest start time that still meets its objective.
    pub(crate) fn unsent_requests(&self) -> impl Iterator<Item = (RequestId, f64)> + '_ {
        let unsent =
            self.requests.queued().filter(|tracked| !tracked.is_closed() && tracked.attempts.is_empty());
        unsent.map(|tracked| {
            let run_time_s = tracked.work * self.fleet_run_time_ratio();
            (tracked.request.id, tracked.first_requested_at + tracked.objective_s - run_time_s)
        })
    }
}

/// Latency objective of a request with this estimated work, capped at the deadline of its class.
fn latency_objective_s(class: &RequestClass, work: f64) -> f64 {
    (class.latency_objective_s + class.objective_per_work * work).min(class.deadline_s)
}
