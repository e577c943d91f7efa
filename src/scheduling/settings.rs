//! Settings of a deployment: request classes, tenants, workers and schedulers.
//!
//! Times are in seconds. `src/config/settings.rs` maps the keys of the platform's configuration to these fields.

/// Whether requests of a class may run more than once. Later variants allow less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Idempotency {
    /// Requests may run any number of times.
    Idempotent,
    /// Requests carry an idempotency key. Workers within one scope drop repeats for a limited time.
    WithKey,
    /// Requests must run at most once.
    NonIdempotent,
}

/// Scope in which workers drop repeats of a request with an idempotency key. Later variants allow less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// Workers of the same zone.
    Zone,
    /// Workers of the same cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Name of the class in the configuration.
    pub name: String,
    /// Latency objective of a request without any estimated work; see `objective_per_work`.
    pub latency_objective_s: f64,
    /// Seconds added to a request's latency objective for each second of its estimated work. The sum is capped at
    /// `deadline_s`.
    pub objective_per_work: f64,
    /// Time after which the client of a request stops waiting.
    pub deadline_s: f64,
    /// Weight of each request of the class, relative to requests of other classes. Eq. 1 of the paper (priority of a
    /// request) uses it regardless of the request's estimated work.
    pub priority_weight: f64,
    /// Fraction of a request's weight that an answer after its latency objective still earns. The scheduler only
    /// distinguishes 0 from larger fractions.
    pub weight_after_objective: f64,
    /// Whether requests may run more than once.
    pub idempotency: Idempotency,
    /// With idempotency keys: the workers among which repeats are dropped.
    pub deduplication_scope: DeduplicationScope,
    /// With idempotency keys: how long repeats are dropped, counted from when the first attempt that may have run was
    /// sent.
    pub deduplication_window_s: f64,
    /// The only kind of worker that can run the class; `None` if any kind can.
    pub required_kind: Option<usize>,
}

/// A customer with a request quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant in the configuration.
    pub name: String,
    /// Quota in requests per second, over all schedulers.
    pub quota_per_s: f64,
}

/// A field of a worker's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Free slots.
    FreeSlots,
    /// Free memory units.
    FreeMemory,
    /// Requests queued at the worker.
    Queue,
    /// A field that the scheduler does not use.
    Other,
}

/// Settings of a scheduler.
///
/// [`Settings::default`] has the values of settings that a deployment does not set: no classes and no tenants, a single
/// attempt per request, and neither hedging, cancellation, capacity probes nor gossip.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this scheduler among those that share the workers, from 0.
    pub scheduler_index: usize,
    /// Number of schedulers that share the workers, including this one.
    pub scheduler_count: usize,
    /// Index of this scheduler's zone.
    pub zone: u16,
    /// Interval at which the caller delivers events to the dispatcher. Timers and time limits allow for it.
    pub event_interval_s: f64,
    /// The request classes, by index.
    pub classes: Vec<RequestClass>,
    /// The tenants, by index. May be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request that exceeds its tenant's quota, as a fraction of the weight of a request within it. At 1
    /// such a request keeps its full priority.
    pub weight_over_quota: f64,
    /// The fields of a load report, in order.
    pub load_report_fields: Vec<LoadReportField>,
    /// The names of the load report fields, in the same order.
    pub load_report_names: Vec<String>,
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The names of the kinds of worker, by index.
    pub worker_kinds: Vec<String>,
    /// A connection that is not established within this time counts as failed.
    pub connect_timeout_s: f64,
    /// Idle time after which workers close a connection.
    pub connection_idle_timeout_s: f64,
    /// Time after a request's deadline during which its client still accepts a final answer. The frontend fails a
    /// request that the engine has not answered by then.
    pub answer_slack_s: f64,
    /// Whether workers notify the scheduler when a request starts to run.
    pub starts_reported: bool,
    /// Interval between progress notifications of a running request; 0 if workers send none.
    pub progress_interval_s: f64,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at the same time.
    pub hedging_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether workers may be sent capacity probes.
    pub capacity_probes_allowed: bool,
    /// Whether schedulers may send each other gossip.
    pub gossip_allowed: bool,
    /// Longest `Retry-After` that clients honor; 0 if the deployment does not pass it on to clients.
    pub max_retry_after_s: f64,
    /// Whether schedulers poll a discovery service that they share. Otherwise an agent on the scheduler's host serves
    /// the endpoint list.
    pub discovery_polled: bool,
    /// Whether the weights in the endpoint list show the load of the workers. If so, a worker's listed weight is its
    /// weight when idle, divided by (1 + its requests per core), as of about a second ago. Otherwise it is the worker's
    /// size.
    pub weights_show_load: bool,
    /// Maximum interval between polls of the endpoint list if there is no watch.
    pub max_poll_interval_s: f64,
    /// How long a scheduler may still send requests to a worker after discovery has notified the scheduler that the
    /// worker is draining. Discovery derives the delays and timeouts of its polls from this. Placement does not use the
    /// grace: it sends a draining worker nothing.
    pub drain_grace_s: f64,
    /// Minimum fraction of its capacity that a worker has when it starts.
    pub slow_start_fraction: f64,
    /// Maximum time after its start until a worker has its full capacity.
    pub slow_start_duration_s: f64,
    /// The work that all schedulers together may send to a worker in slow start within `overload_window_s`, as a
    /// multiple of the work that the worker can process in that time at its current capacity. The worker collapses
    /// beyond a threshold that allows for some excess; see `slow_start.rs`.
    pub collapse_multiple: f64,
    /// Length of the window in which the work sent to a worker in slow start is limited.
    pub overload_window_s: f64,
}

/// Extreme values over all classes and tenants, by which Eq. 1 of the paper (priority of a request) normalizes its
/// terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoringBounds {
    /// The tightest latency objective of all classes, in seconds.
    pub min_latency_objective_s: f64,
    /// The largest quota of all tenants, in requests per second.
    pub max_quota_per_s: f64,
    /// The highest priority weight of all classes.
    pub max_priority_weight: f64,
}

/// Lower limit of the two maxima, so that quotas or weights that are all 0 cannot cause a division by zero.
const MIN_BOUND: f64 = 1e-9;

impl Settings {
    /// Computes the extreme values of the current classes and tenants.
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
