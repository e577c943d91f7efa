//! External names of the settings. They are spelled out only here.

pub(super) const SCHEDULER_INDEX: &str = "index";
pub(super) const SCHEDULER_COUNT: &str = "balancers";
pub(super) const ZONE: &str = "zone";
pub(super) const EVENT_INTERVAL: &str = "tick_s";
pub(super) const WEIGHT_OVER_QUOTA: &str = "over_share_worth";
/// List of the names of the zones.
pub(super) const ZONES: &str = "areas";
/// List of the names of the worker kinds.
pub(super) const WORKER_KINDS: &str = "kinds";

/// List of the request classes. The following keys are fields of a class.
pub(super) const CLASSES: &str = "grades";
pub(super) const CLASS_NAME: &str = "name";
pub(super) const CLASS_LATENCY_OBJECTIVE: &str = "slo_s";
/// Extends the latency objective by this multiple of the request's work. The larger one of this and
/// [`CLASS_OBJECTIVE_PER_WORK`] applies.
pub(super) const CLASS_OBJECTIVE_STRETCH: &str = "aim_stretch";
pub(super) const CLASS_DEADLINE: &str = "deadline_s";
pub(super) const CLASS_PRIORITY_WEIGHT: &str = "worth";
pub(super) const CLASS_WEIGHT_AFTER_OBJECTIVE: &str = "late_worth";
pub(super) const CLASS_IDEMPOTENCY: &str = "effect";
pub(super) const CLASS_DEDUPLICATION_SCOPE: &str = "group";
pub(super) const CLASS_DEDUPLICATION_WINDOW: &str = "window_s";
/// List with one value per class, in the order of [`CLASSES`].
pub(super) const CLASS_OBJECTIVE_PER_WORK: &str = "specifics.class_stretch";
/// List with one value per class, in the order of [`CLASSES`].
pub(super) const CLASS_REQUIRED_KIND: &str = "specifics.class_kind";

/// List of the tenants. The following keys are fields of a tenant.
pub(super) const TENANTS: &str = "parties";
pub(super) const TENANT_NAME: &str = "name";
pub(super) const TENANT_QUOTA: &str = "quota_per_s";

/// List of the names of the values in a load report, in the order of the report.
pub(super) const LOAD_REPORT_NAMES: &str = "report.fields";
/// Load report value whose meaning is the setting [`REPORT_MEANING_X0`].
pub(super) const REPORT_NAME_X0: &str = "x0";
/// Load report value whose meaning is the setting [`REPORT_MEANING_X1`].
pub(super) const REPORT_NAME_X1: &str = "x1";
pub(super) const REPORT_MEANING_X0: &str = "specifics.report_x0";
pub(super) const REPORT_MEANING_X1: &str = "specifics.report_x1";

pub(super) const CONNECT_TIMEOUT: &str = "allowed.connect_timeout_s";
pub(super) const CONNECTION_IDLE_TIMEOUT: &str = "allowed.conn_idle_s";
pub(super) const ANSWER_SLACK: &str = "contract.answer_slack_s";
pub(super) const STARTS_REPORTED: &str = "specifics.tells_start";
pub(super) const PROGRESS_INTERVAL: &str = "specifics.progress_s";

pub(super) const MAX_ATTEMPTS: &str = "allowed.send_cap";
pub(super) const HEDGING_ALLOWED: &str = "allowed.second_copies";
pub(super) const CANCELLATION_ALLOWED: &str = "allowed.may_cancel";
pub(super) const CAPACITY_PROBES_ALLOWED: &str = "allowed.probes";
pub(super) const GOSSIP_ALLOWED: &str = "allowed.peer_messages";
pub(super) const RETRY_AFTER_ALLOWED: &str = "allowed.retry_after";
/// Ignored unless [`RETRY_AFTER_ALLOWED`] is true.
pub(super) const MAX_RETRY_AFTER: &str = "allowed.max_retry_after_s";

pub(super) const DISCOVERY_MODE: &str = "membership_mode";
/// Meaning of the weights in the endpoint list.
pub(super) const WEIGHTS: &str = "weights";
pub(super) const MAX_POLL_INTERVAL: &str = "contract.ask_within_s";
pub(super) const DRAIN_GRACE: &str = "contract.drain_grace_s";

pub(super) const SLOW_START_FRACTION: &str = "contract.cold_share";
pub(super) const SLOW_START_DURATION: &str = "contract.warm_within_s";
pub(super) const COLLAPSE_MULTIPLE: &str = "contract.fall_multiple";
pub(super) const OVERLOAD_WINDOW: &str = "contract.overload_for_s";

/// Key of the length of a list.
pub(super) fn count_key(list: &str) -> String {
    format!("{list}.count")
}

/// Key of a field of a list item.
pub(super) fn item_key(list: &str, index: usize, field: &str) -> String {
    format!("{list}.{index}.{field}")
}
