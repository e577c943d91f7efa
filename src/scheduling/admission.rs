//! Admission: which requests are taken on, and with what priority.
//!
//! A request is rejected at once if its class is unknown, or if the fleet is full and its priority is below the mean.
//! Everything else is queued; what the queue cannot serve in time is shed by `load_shedding.rs`.

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

/// Weight of the latency objective in Eq. 1 of the paper (alpha).
const LATENCY_COEFFICIENT: f64 = 2.0;
/// Weight of the tenant's quota in Eq. 1 (beta).
const QUOTA_COEFFICIENT: f64 = 0.3;
/// Weight of the class's priority weight in Eq. 1 (delta); the paper has the user group here.
const PRIORITY_COEFFICIENT: f64 = 2.0;
/// What a request over quota, or past its objective, loses of its priority: more than Eq. 1 comes to, so that it comes
/// after all others.
pub(crate) const DEPRIORITIZATION: f64 = 5.0;
/// The least latency objective, against division by zero.
const MIN_OBJECTIVE_S: f64 = 1e-3;
/// How often overdue attempts are looked for.
pub(crate) const OVERDUE_CHECK_INTERVAL_S: f64 = 0.1;

impl SchedulerState {
    /// Decides whether a new request is taken on. A request whose number is known already is ignored.
    pub(crate) fn admit(&mut self, request: Request) {
        if self.requests.all.contains_key(&request.id) {
            return;
        }
        let time_left_s = request.deadline - self.now;
        if request.class >= self.settings.classes.len() || !time_left_s.is_finite() {
            self.act(Action::Reject { request: request.id, retry_after_s: 0.0 });
            return;
        }
        let work = self.estimated_work(&request);
        self.record_arrival(&request, work);
        let first_asked_at = self.first_asked_at(request.class, request.deadline);
        let objective_s =
            latency_objective_s(&self.settings.classes[request.class], work).max(MIN_OBJECTIVE_S);
        let priority = self.admission_priority(&request);
        self.statistics.priority.add(self.now, FLEET_TIME_CONSTANT_S, priority, 1.0);
        let is_below_mean = priority < self.statistics.priority.fleet_value_or(self.now, priority);
        if self.is_fleet_full() && is_below_mean {
            let retry_after_s = self.settings.max_retry_after_s.min(objective_s);
            self.act(Action::Reject { request: request.id, retry_after_s });
            return;
        }
        let draw = uniform_draw(self.seed ^ u64::from(request.id.0));
        let ignores_affinity = self.affinity.explores(self.now, draw);
        let mut tracked = TrackedRequest::new(request, work, objective_s, first_asked_at, priority);
        tracked.uses_affinity &= !ignores_affinity;
        self.track(tracked);
    }

    /// The work of a request in seconds on a standard core: the client's hint, else the mean.
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

    /// When the client first asked. Its retries have less time left than its first attempt, and the objective counts from
    /// that one: it is recognised by the longest time left that the class has shown.
    fn first_asked_at(&mut self, class: usize, deadline: f64) -> f64 {
        let time_left_s = deadline - self.now;
        let longest_s = &mut self.statistics.longest_time_left_s[class];
        *longest_s = longest_s.max(time_left_s.min(self.settings.classes[class].deadline_s));
        (deadline - *longest_s).min(self.now)
    }

    /// Eq. 1 of the paper: the latency objective, the tenant's quota and the class's weight, each against the extreme of
    /// all. A request over its tenant's quota comes after all others.
    fn admission_priority(&mut self, request: &Request) -> f64 {
        let is_inside_quota = self.take_quota(request.tenant);
        let class = &self.settings.classes[request.class];
        let bounds = self.settings.scoring_bounds();
        let tenant = self.settings.tenants.get(request.tenant);
        let quota_per_s = tenant.map_or(bounds.max_quota_per_s, |tenant| tenant.quota_per_s);
        let priority = LATENCY_COEFFICIENT
            * (bounds.min_latency_objective_s / class.latency_objective_s.max(MIN_OBJECTIVE_S))
            + QUOTA_COEFFICIENT * (quota_per_s / bounds.max_quota_per_s)
            + PRIORITY_COEFFICIENT * (class.priority_weight / bounds.max_priority_weight);
        if is_inside_quota {
            priority
        } else {
            priority - DEPRIORITIZATION * (1.0 - self.settings.weight_over_quota)
        }
    }

    /// Tracks a request from now on, whether it is new or comes from another process of this scheduler.
    pub(crate) fn track(&mut self, tracked: TrackedRequest) {
        let id = tracked.request.id;
        let time_left_s = tracked.request.deadline - self.now;
        // Two event intervals early, so that the answer is in time even if the timer comes late.
        let deadline_in_s = (time_left_s - 2.0 * self.settings.event_interval_s).max(0.0);
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

    /// When a request of this class must start to meet its objective, on a worker like most.
    pub(crate) fn latest_start(&self, class: usize, estimated_work_s: Option<f64>, deadline: f64) -> f64 {
        let longest_s = self.statistics.longest_time_left_s[class];
        let class = &self.settings.classes[class];
        let work = estimated_work_s.unwrap_or(class.latency_objective_s);
        let objective_s = latency_objective_s(class, work);
        (deadline - longest_s).min(self.now) + objective_s - work * self.fleet_run_time_ratio()
    }

    /// Queued requests that were sent nowhere yet, with the time by which each must start to meet its objective.
    pub(crate) fn unsent_requests(&self) -> impl Iterator<Item = (RequestId, f64)> + '_ {
        let unsent =
            self.requests.queued().filter(|tracked| !tracked.is_closed() && tracked.attempts.is_empty());
        unsent.map(|tracked| {
            let run_time_s = tracked.work * self.fleet_run_time_ratio();
            (tracked.request.id, tracked.first_asked_at + tracked.objective_s - run_time_s)
        })
    }
}

/// The latency objective of a request with this much work, within its class's deadline.
fn latency_objective_s(class: &RequestClass, work: f64) -> f64 {
    (class.latency_objective_s + class.objective_per_work * work).min(class.deadline_s)
}
