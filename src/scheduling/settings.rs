//! What a deployment states about its request classes, tenants, workers and schedulers.
//!
//! Times are seconds. `src/config/settings.rs` maps the keys of the platform's configuration to these fields.

/// What running a request of a class more than once may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key: workers of one scope drop repeats for a while.
    WithKey,
    /// It must not run a second time.
    NonIdempotent,
}

/// Which workers drop each other's repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every worker.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// What the deployment calls it.
    pub name: String,
    /// The latency objective of a request without work of its own; see `objective_per_work`.
    pub latency_objective_s: f64,
    /// What each second of estimated work adds to the latency objective, in seconds.
    pub objective_per_work: f64,
    /// How long a client waits in all.
    pub deadline_s: f64,
    /// Weight of a request, or of a unit of its work, against other classes.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the objective still earns.
    pub weight_after_objective: f64,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// With idempotency keys: which workers drop each other's repeats.
    pub deduplication_scope: DeduplicationScope,
    /// With idempotency keys: for how long repeats are dropped, counted from the send of the first attempt that may
    /// have run.
    pub deduplication_window_s: f64,
    /// The only kind of worker that runs it, if it is tied to one.
    pub required_kind: Option<usize>,
}

/// A customer with a quota of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// What the deployment calls it.
    pub name: String,
    /// Requests a second inside its quota, over all schedulers.
    pub quota_per_s: f64,
}

/// A value in a worker's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Free slots.
    FreeSlots,
    /// Free memory units.
    FreeMemory,
    /// Requests queued at the worker.
    Queue,
    /// A value that the decisions do not use.
    Other,
}

/// All that a deployment states at start. [`Settings::default`] gives safe values for what it leaves out.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This scheduler's number among those that share the workers, from 0.
    pub scheduler_index: usize,
    /// How many schedulers share the workers, this one included.
    pub scheduler_count: usize,
    /// This scheduler's zone.
    pub zone: u16,
    /// How often events are handed in, at most.
    pub event_interval_s: f64,
    /// The request classes, by index.
    pub classes: Vec<RequestClass>,
    /// The tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction.
    pub weight_over_quota: f64,
    /// The values of a load report, in order.
    pub load_report_fields: Vec<LoadReportField>,
    /// What the values of a load report are called, in the same order.
    pub load_report_names: Vec<String>,
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The names of the kinds of worker, by index.
    pub worker_kinds: Vec<String>,
    /// A connection that is not up within this time counts as failed.
    pub connect_timeout_s: f64,
    /// Workers close connections that were idle for this long.
    pub connection_idle_timeout_s: f64,
    /// A final answer is still in time this long after the client's deadline.
    pub answer_slack_s: f64,
    /// Workers notify the scheduler when a request starts to run.
    pub starts_reported: bool,
    /// Interval between a worker's progress notifications; 0 for none.
    pub progress_interval_s: f64,
    /// Most attempts for a request.
    pub max_attempts: usize,
    /// Two attempts of a request may be in flight together.
    pub hedging_allowed: bool,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Workers may be probed.
    pub capacity_probes_allowed: bool,
    /// Schedulers may send each other gossip.
    pub gossip_allowed: bool,
    /// Longest `Retry-After` that a client heeds; 0 where it is not passed on.
    pub max_retry_after_s: f64,
    /// The endpoint list must be polled.
    pub discovery_polled: bool,
    /// The list's weights are sizes divided by 1 + requests held per core, as they were some time earlier.
    pub weights_show_load: bool,
    /// Without a watch, the longest interval between polls of the endpoint list.
    pub max_poll_interval_s: f64,
    /// How long a scheduler may still send to a worker after it was notified that the worker is draining.
    pub drain_grace_s: f64,
    /// A worker starts at this fraction of its capacity or more ...
    pub slow_start_fraction: f64,
    /// ... and has all of it after this long at the latest.
    pub slow_start_duration_s: f64,
    /// Sent more than this multiple of its present capacity ...
    pub collapse_multiple: f64,
    /// ... within this window, a worker in slow start collapses.
    pub overload_window_s: f64,
}

/// The extremes over classes and tenants against which Eq. 1 scales a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoringBounds {
    /// The tightest latency objective of all classes, in seconds.
    pub min_latency_objective_s: f64,
    /// The largest quota of all tenants, in requests a second.
    pub max_quota_per_s: f64,
    /// The highest priority weight of all classes.
    pub max_priority_weight: f64,
}

/// A quota or weight of 0 everywhere must not divide by zero.
const MIN_BOUND: f64 = 1e-9;

impl Settings {
    /// The extremes over classes and tenants against which Eq. 1 scales a request.
    pub fn scoring_bounds(&self) -> ScoringBounds {
        let objectives = self.classes.iter().map(|class| class.latency_objective_s);
        let quotas = self.tenants.iter().map(|tenant| tenant.quota_per_s);
        let weights = self.classes.iter().map(|class| class.priority_weight);
        ScoringBounds {
            min_latency_objective_s: objectives.fold(f64::INFINITY, f64::min),
            max_quota_per_s: quotas.fold(MIN_BOUND, f64::max),
            max_priority_weight: weights.fold(MIN_BOUND, f64::max),
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            scheduler_index: 0,
            scheduler_count: 1,
            zone: 0,
            event_interval_s: 0.001,
            classes: Vec::new(),
            tenants: Vec::new(),
            weight_over_quota: 0.1,
            load_report_fields: Vec::new(),
            load_report_names: Vec::new(),
            zones: Vec::new(),
            worker_kinds: Vec::new(),
            connect_timeout_s: 0.25,
            connection_idle_timeout_s: 60.0,
            answer_slack_s: 0.02,
            starts_reported: false,
            progress_interval_s: 0.0,
            max_attempts: 1,
            hedging_allowed: false,
            cancellation_allowed: false,
            capacity_probes_allowed: false,
            gossip_allowed: false,
            max_retry_after_s: 0.0,
            discovery_polled: false,
            weights_show_load: false,
            max_poll_interval_s: 10.0,
            drain_grace_s: 0.25,
            slow_start_fraction: 0.1,
            slow_start_duration_s: 30.0,
            collapse_multiple: 1.0,
            overload_window_s: 1.0,
        }
    }
}
