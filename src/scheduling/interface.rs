//! The interface of the decision module: what a dispatcher tells it ([`Event`]) and what it answers
//! ([`Action`]). Times are seconds on the caller's clock, which must not run backwards.

use serde::{Deserialize, Serialize};

pub use crate::scheduling::state::{JobRecord, Learnt};

/// A client request, as the caller numbers it; never reused while the dispatcher lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u32);

/// A worker; the same id after its process restarts. The number itself carries no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub u64);

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Repeatable,
    /// Repeats are dropped by one group of workers, for a while.
    Keyed,
    /// Must not run a second time.
    Once,
}

/// Which workers drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// What the deployment calls it.
    pub name: String,
    /// An answer within `aim_s` plus `stretch` times the job's own work earns the full worth.
    pub aim_s: f64,
    /// See `aim_s`.
    pub stretch: f64,
    /// How long a client waits in all.
    pub deadline_s: f64,
    /// Worth of a request, or of a unit of its work.
    pub worth: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// For keyed classes: who drops repeats.
    pub group: Group,
    /// For keyed classes: for how long, from the send of the first attempt that may have run.
    pub window_s: f64,
    /// The only kind of worker that runs it, if it is tied to one.
    pub kind: Option<usize>,
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
pub enum ReportField {
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
    pub index: usize,
    /// How many dispatchers share the workers, this one included.
    pub dispatchers: usize,
    /// This dispatcher's zone.
    pub zone: u16,
    /// How often events are handed in, at most.
    pub tick_s: f64,
    /// The request classes, by index.
    pub classes: Vec<Class>,
    /// The tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// The values of a load report, in order.
    pub report: Vec<ReportField>,
    /// What the values of a load report are called, in the same order.
    pub report_names: Vec<String>,
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The names of the kinds of worker, by index.
    pub kinds: Vec<String>,
    /// A connection that is not up within this time counts as failed.
    pub connect_timeout_s: f64,
    /// Workers close connections that stood idle for this long.
    pub conn_idle_s: f64,
    /// A final answer is still in time this long after the client's deadline.
    pub answer_slack_s: f64,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// Gap between progress notes; 0 for none.
    pub progress_s: f64,
    /// Most attempts for a request.
    pub max_attempts: usize,
    /// Two attempts of a request may be out together.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Workers may be probed.
    pub probes: bool,
    /// Dispatchers may send each other notes.
    pub notes: bool,
    /// Longest hold-off that a client heeds; 0 where hold-offs are not passed on.
    pub max_hold_off_s: f64,
    /// The worker list must be asked for.
    pub ask_for_list: bool,
    /// The list's weights are sizes divided by 1 + requests held per core, as they were some time earlier.
    pub live_weights: bool,
    /// Without a subscription, the longest gap between calls for the list.
    pub ask_within_s: f64,
    /// Once it is told that a worker drains, a dispatcher may send there for so long.
    pub drain_grace_s: f64,
    /// A worker starts at this share of its capacity or more ...
    pub cold_share: f64,
    /// ... and is warm after this long at the latest.
    pub warm_within_s: f64,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, a cold worker falls over.
    pub overload_for_s: f64,
}

impl Settings {
    /// The tightest aim, the largest quota and the highest worth.
    pub fn extremes(&self) -> (f64, f64, f64) {
        let aims = self.classes.iter().map(|c| c.aim_s);
        let quotas = self.tenants.iter().map(|t| t.quota_per_s);
        let worths = self.classes.iter().map(|c| c.worth);
        (aims.fold(f64::INFINITY, f64::min), quotas.fold(1e-9, f64::max), worths.fold(1e-9, f64::max))
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            index: 0,
            dispatchers: 1,
            zone: 0,
            tick_s: 0.001,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 0.1,
            report: Vec::new(),
            report_names: Vec::new(),
            zones: Vec::new(),
            kinds: Vec::new(),
            connect_timeout_s: 0.25,
            conn_idle_s: 60.0,
            answer_slack_s: 0.02,
            tells_start: false,
            progress_s: 0.0,
            max_attempts: 1,
            second_copies: false,
            may_cancel: false,
            probes: false,
            notes: false,
            max_hold_off_s: 0.0,
            ask_for_list: false,
            live_weights: false,
            ask_within_s: 10.0,
            drain_grace_s: 0.25,
            cold_share: 0.1,
            warm_within_s: 30.0,
            fall_multiple: 1.0,
            overload_for_s: 1.0,
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
    pub hint: Option<f64>,
    /// What it concerns, if it says so: requests of the same number need the same.
    pub object: Option<u64>,
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
    pub tag: u64,
    /// Whether it takes work.
    pub state: WorkerState,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Its kind.
    pub kind: usize,
    /// Clock time of its last start; 0 for long ago.
    pub since: f64,
    /// Its size as listed, in the list's own unit; 0 where that is not told. Where [`Settings::live_weights`]
    /// says so, lowered by what it holds.
    pub weight: f64,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// A connection that had stood idle was gone already. It may have run all the same, but this tells
    /// nothing of the worker's health.
    Stale,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    pub fn proves_unrun(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// A load report; what is not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
}

impl Load {
    /// Takes up one reported value; those that the decisions do not use and those that are no figure are
    /// passed over.
    pub fn set(&mut self, field: ReportField, value: f64) {
        let value = value.is_finite().then_some(value);
        match field {
            ReportField::FreeSlots => self.free_slots = value,
            ReportField::FreeMemory => self.free_memory = value,
            ReportField::Queue => self.queue = value,
            ReportField::Other => {}
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// Its attempt.
    pub attempt: usize,
    /// How.
    pub outcome: Outcome,
    /// The client has its final answer.
    pub closed: bool,
    /// The worker's load, where reported.
    pub load: Load,
}

/// What happened, in order. News about what is no longer held is passed over.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The worker list: all of it (`whole`: what is absent has left) or changes. `cached` marks the
    /// copy that a dispatcher finds at its start, which is no answer to a call.
    Workers {
        /// The entries are the whole list.
        whole: bool,
        /// It answers no call.
        cached: bool,
        /// The entries.
        entries: Vec<WorkerInfo>,
    },
    /// A call for the worker list failed, or the subscription dropped.
    ListFailed,
    /// A client request.
    Request(Request),
    /// An attempt's job has started.
    Started {
        /// The request.
        request: RequestId,
        /// Its attempt, counted from 0 in the order of [`Action::Route`].
        attempt: usize,
    },
    /// Share of an attempt's job that is done.
    Progress {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
        /// From 0 to 1.
        share: f64,
    },
    /// A streamed answer has begun; the client owns the attempt from here.
    Head {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: usize,
    },
    /// An attempt has ended.
    Ended(Ended),
    /// The client has gone.
    Left(RequestId),
    /// A timer of [`Action::Timer`] is due.
    Timer(u64),
    /// What another process of this very dispatcher, which it replaces, has learnt.
    Learnt(Box<Learnt>),
    /// A request that another process of this very dispatcher had taken, with its attempts so far.
    TakenOver(Box<JobRecord>),
    /// Another process of this very dispatcher, which replaces it or is replaced, has sent work to a worker.
    SentElsewhere {
        /// The worker.
        worker: WorkerId,
        /// The class of the job.
        class: usize,
        /// The work, as hinted.
        work: f64,
    },
    /// A note of another dispatcher, as it came.
    Note {
        /// Its number, as [`Settings::index`].
        from: usize,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// A probe has ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How.
        outcome: Outcome,
        /// The worker's load, where reported.
        load: Load,
    },
}

/// How it stands here, for whoever may carry work elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Slots of the workers that are trusted and take work.
    pub slots: f64,
    /// Of these, the ones thought free.
    pub free: f64,
    /// Requests that wait for one.
    pub waiting: usize,
    /// Seconds that the slots need to get through them.
    pub clear_s: f64,
}

/// What the dispatcher is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a worker, until the client gives up.
    Route {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
    },
    /// Final answer: refused, a retry is harmless.
    Refuse {
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
    Timer {
        /// In how long.
        after_s: f64,
        /// Given back unchanged.
        tag: u64,
    },
    /// Probe a worker.
    Probe(WorkerId),
    /// Send all other dispatchers a note of at most 256 bytes; it may get lost.
    Note(Vec<u8>),
    /// Ask for the worker list's changes from now on.
    Subscribe,
}
