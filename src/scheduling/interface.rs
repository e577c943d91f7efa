//! The interface of the decision module: what a dispatcher tells it ([`Event`]) and what it answers
//! ([`Action`]). Times are seconds on the caller's clock, which must not run backwards.

use serde::{Deserialize, Serialize};

pub use crate::scheduling::state::{LearnedState, RequestRecord};

/// A client request, as the caller numbers it; never reused while the dispatcher lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u32);

/// A worker; the same id after its process restarts. The number itself carries no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub u64);

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Repeats are dropped by one group of workers, for a while.
    WithKey,
    /// Must not run a second time.
    NonIdempotent,
}

/// Which workers drop each other's repeats of a keyed request.
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
    /// An answer within `aim_s` plus `stretch` times the job's own work earns the full worth.
    pub latency_objective_s: f64,
    /// See `aim_s`.
    pub objective_per_work: f64,
    /// How long a client waits in all.
    pub deadline_s: f64,
    /// Worth of a request, or of a unit of its work.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub weight_after_objective: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: who drops repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For keyed classes: for how long, from the send of the first attempt that may have run.
    pub deduplication_window_s: f64,
    /// The only kind of worker that runs it, if it is tied to one.
    pub required_kind: Option<usize>,
}

/// A customer with a share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// What the deployment calls it.
    pub name: String,
    /// Requests a second inside its share, over all dispatchers.
    pub quota_per_s: f64,
}

/// A value in a worker's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Free slots.
    FreeSlots,
    /// Free memory units.
    FreeMemory,
    /// Requests waiting.
    Queue,
    /// A value that the decisions do not use.
    Other,
}

/// All that a deployment states at start. [`Settings::default`] gives safe values for what it leaves out.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This dispatcher's number among those that share the workers, from 0.
    pub scheduler_index: usize,
    /// How many dispatchers share the workers, this one included.
    pub scheduler_count: usize,
    /// This dispatcher's zone.
    pub zone: u16,
    /// How often events are handed in, at most.
    pub event_interval_s: f64,
    /// The request classes, by index.
    pub classes: Vec<RequestClass>,
    /// The tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction.
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
    /// Workers close connections that stood idle for this long.
    pub connection_idle_timeout_s: f64,
    /// A final answer is still in time this long after the client's deadline.
    pub answer_slack_s: f64,
    /// Workers tell when a job starts.
    pub starts_reported: bool,
    /// Gap between progress notes; 0 for none.
    pub progress_interval_s: f64,
    /// Most attempts for a request.
    pub max_attempts: usize,
    /// Two attempts of a request may be out together.
    pub hedging_allowed: bool,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Workers may be probed.
    pub capacity_probes_allowed: bool,
    /// Dispatchers may send each other notes.
    pub gossip_allowed: bool,
    /// Longest hold-off that a client heeds; 0 where hold-offs are not passed on.
    pub max_retry_after_s: f64,
    /// The worker list must be asked for.
    pub discovery_polled: bool,
    /// The list's weights are sizes divided by 1 + requests held per core, as they were some time earlier.
    pub weights_show_load: bool,
    /// Without a subscription, the longest gap between calls for the list.
    pub max_poll_interval_s: f64,
    /// Once it is told that a worker drains, a dispatcher may send there for so long.
    pub drain_grace_s: f64,
    /// A worker starts at this share of its capacity or more ...
    pub slow_start_fraction: f64,
    /// ... and is warm after this long at the latest.
    pub slow_start_duration_s: f64,
    /// Sent more than this multiple of its present capacity ...
    pub collapse_multiple: f64,
    /// ... for this long, a cold worker falls over.
    pub overload_window_s: f64,
}

impl Settings {
    /// The tightest aim, the largest quota and the highest worth.
    pub fn scoring_bounds(&self) -> (f64, f64, f64) {
        let aims = self.classes.iter().map(|c| c.latency_objective_s);
        let quotas = self.tenants.iter().map(|t| t.quota_per_s);
        let worths = self.classes.iter().map(|c| c.priority_weight);
        (aims.fold(f64::INFINITY, f64::min), quotas.fold(1e-9, f64::max), worths.fold(1e-9, f64::max))
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

/// A client request that this dispatcher must now answer exactly once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: usize,
    /// When the client gives up.
    pub deadline: f64,
    /// Slots it holds while it runs.
    pub slots: f64,
    /// Memory it holds while it runs; 0 where it is not tracked.
    pub memory: f64,
    /// Its expected work in seconds on a standard core, if a hint came with it.
    pub estimated_work_s: Option<f64>,
    /// What it concerns, if it says so: requests of the same number need the same.
    pub affinity_key: Option<u64>,
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more.
    #[default]
    Gone,
}

/// A line of the worker list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker.
    pub id: WorkerId,
    /// A number of it that is the same at all dispatchers and for each of its processes.
    pub stable_id: u64,
    /// Whether it takes work.
    pub state: WorkerState,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Its kind.
    pub kind: usize,
    /// Clock time of its last start; 0 for long ago.
    pub started_at_s: f64,
    /// Its size as listed, in the list's own unit; 0 where that is not told. Where [`Settings::live_weights`]
    /// says so, lowered by what it holds.
    pub weight: f64,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Succeeded,
    /// Answered with an error; it may have run.
    Failed,
    /// Turned away unseen; it never ran.
    RejectedByWorker,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// A connection that had stood idle was gone already. It may have run all the same, but this tells
    /// nothing of the worker's health.
    StaleConnection,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether it proves that the attempt never ran.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::RejectedByWorker | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// A load report; what is not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
    /// Requests waiting.
    pub queue_length: Option<f64>,
}

impl LoadReport {
    /// Takes up one reported value; those that the decisions do not use and those that are no figure are
    /// passed over.
    pub fn set(&mut self, field: LoadReportField, value: f64) {
        let value = value.is_finite().then_some(value);
        match field {
            LoadReportField::FreeSlots => self.free_slots = value,
            LoadReportField::FreeMemory => self.free_memory = value,
            LoadReportField::Queue => self.queue_length = value,
            LoadReportField::Other => {}
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// Its attempt.
    pub attempt: usize,
    /// How.
    pub outcome: AttemptOutcome,
    /// The client has its final answer.
    pub client_answered: bool,
    /// The worker's load, where reported.
    pub load: LoadReport,
}

/// What happened, in order. News about what is no longer held is passed over.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The worker list: all of it (`whole`: what is absent has left) or changes. `cached` marks the
    /// copy that a dispatcher finds at its start, which is no answer to a call.
    WorkersListed {
        /// The entries are the whole list.
        whole: bool,
        /// It answers no call.
        cached: bool,
        /// The entries.
        entries: Vec<WorkerInfo>,
    },
    /// A call for the worker list failed, or the subscription dropped.
    DiscoveryFailed,
    /// A client request.
    RequestReceived(Request),
    /// An attempt's job has started.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// Its attempt, counted from 0 in the order of [`Action::Route`].
        attempt: usize,
    },
    /// Share of an attempt's job that is done.
    AttemptProgressed {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
        /// From 0 to 1.
        share: f64,
    },
    /// A streamed answer has begun; the client owns the attempt from here.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// The client has gone.
    ClientDisconnected(RequestId),
    /// A timer of [`Action::Timer`] is due.
    TimerExpired(u64),
    /// What another process of this very dispatcher, which it replaces, has learnt.
    StateLearned(Box<LearnedState>),
    /// A request that another process of this very dispatcher had taken, with its attempts so far.
    RequestTakenOver(Box<RequestRecord>),
    /// Another process of this very dispatcher, which replaces it or is replaced, has sent work to a worker.
    SentByOtherProcess {
        /// The worker.
        worker: WorkerId,
        /// The class of the job.
        class: usize,
        /// The work, as hinted.
        work: f64,
    },
    /// A note of another dispatcher, as it came.
    GossipReceived {
        /// Its number, as [`Settings::index`].
        from: usize,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How.
        outcome: AttemptOutcome,
        /// The worker's load, where reported.
        load: LoadReport,
    },
}

/// How it stands here, for whoever may carry work elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacitySummary {
    /// Slots of the workers that are trusted and take work.
    pub slots: f64,
    /// Of these, the ones thought free.
    pub free: f64,
    /// Requests that wait for one.
    pub waiting: usize,
    /// Seconds that the slots need to get through them.
    pub backlog_s: f64,
}

/// What the dispatcher is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a worker, until the client gives up.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
    },
    /// Final answer: refused, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should hold off.
        hold_off_s: f64,
    },
    /// Final answer: failed, it may have run.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
    },
    /// Send [`Event::Timer`] with this tag later.
    SetTimer {
        /// In how long.
        after_s: f64,
        /// Given back unchanged.
        tag: u64,
    },
    /// Probe a worker.
    Probe(WorkerId),
    /// Send all other dispatchers a note of at most 256 bytes; it may get lost.
    BroadcastGossip(Vec<u8>),
    /// Ask for the worker list's changes from now on.
    WatchEndpointList,
}
