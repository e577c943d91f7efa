//! Parses a deployment's settings from `path=value` lines into [`Settings`].
//!
//! The simulator sends the settings in this format. The platform file contains the same settings as nested JSON,
//! which `src/config/flatten.rs` converts to these lines. Because both programs share one parser, they make the
//! same decisions. Unknown keys are ignored, because a deployment may have settings that this program does not
//! use. Missing keys keep the defaults of [`Settings::default`]. An invalid value of a known key is an error that
//! names the key and the value.
//!
//! - `keys`: the external names of all settings; the tables below contain the external names of values.
//! - `key_values`: typed access to the lines.
//! - `reconfigure`: changes of the settings of a running process.

mod key_values;
mod keys;
mod reconfigure;

use std::str::FromStr;

use crate::scheduling::{DeduplicationScope, Idempotency, LoadReportField, RequestClass, Settings, Tenant};

pub use key_values::SettingsError;
pub use reconfigure::ReconfiguredSettings;

use key_values::KeyValues;

/// Deadline of requests whose class specifies none, in seconds.
const DEFAULT_DEADLINE_S: f64 = 60.0;

/// External names of the kinds of idempotency.
const IDEMPOTENCY_VALUES: [(&str, Idempotency); 3] = [
    ("repeatable", Idempotency::Idempotent),
    ("by_key", Idempotency::WithKey),
    ("once", Idempotency::NonIdempotent),
];

/// External names of the groups of workers that deduplicate each other's requests.
const DEDUPLICATION_SCOPE_VALUES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("cell", DeduplicationScope::Cell),
];

/// External names of the load report values that are used in decisions.
const LOAD_REPORT_MEANINGS: [(&str, LoadReportField); 3] = [
    ("free_slots", LoadReportField::FreeSlots),
    ("queue", LoadReportField::Queue),
    ("free_memory", LoadReportField::FreeMemory),
];

/// External names of the discovery modes. The value is true if discovery must be polled and false if it sends
/// changes on its own.
const DISCOVERY_MODE_VALUES: [(&str, bool); 2] = [("on_request", true), ("pushed", false)];

/// Value of [`keys::WEIGHTS`] for weights that decrease with the load of a worker.
const WEIGHTS_SHOW_LOAD_VALUE: &str = "live";

impl FromStr for Settings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let values = KeyValues::parse(text);
        let mut settings = Settings {
            classes: parse_classes(&values)?,
            tenants: parse_tenants(&values)?,
            load_report_names: values.list(keys::LOAD_REPORT_NAMES)?,
            ..Settings::default()
        };
        let names = settings.load_report_names.iter();
        settings.load_report_fields = names.map(|name| load_report_field(&values, name)).collect();
        let retry_after_allowed = values.get(keys::RETRY_AFTER_ALLOWED, false)?;
        parse_deployment(&values, &mut settings)?;
        parse_timing(&values, &mut settings)?;
        parse_permissions(&values, &mut settings)?;
        if retry_after_allowed {
            settings.max_retry_after_s = values.number(keys::MAX_RETRY_AFTER, 0.0)?;
        } else {
            settings.max_retry_after_s = 0.0;
        }
        parse_discovery(&values, &mut settings)?;
        parse_capacity_limits(&values, &mut settings)?;
        Ok(settings)
    }
}

fn parse_classes(values: &KeyValues) -> Result<Vec<RequestClass>, SettingsError> {
    let objectives_per_work: Vec<f64> = values.list(keys::CLASS_OBJECTIVE_PER_WORK)?;
    let required_kinds: Vec<i64> = values.list(keys::CLASS_REQUIRED_KIND)?;
    let mut classes = Vec::new();
    for index in 0..values.count(keys::CLASSES)? {
        let mut class = parse_class(values, index)?;
        let objective_per_work = objectives_per_work.get(index).copied().unwrap_or(0.0);
        class.objective_per_work = objective_per_work.max(class.objective_per_work);
        // A negative number means that any kind of worker may run the class.
        class.required_kind = required_kinds.get(index).and_then(|&kind| usize::try_from(kind).ok());
        classes.push(class);
    }
    Ok(classes)
}

/// Parses the settings below one class. The caller adds those from lists with one value per class.
fn parse_class(values: &KeyValues, index: usize) -> Result<RequestClass, SettingsError> {
    let key = |field: &str| keys::item_key(keys::CLASSES, index, field);
    let objective_per_work = values.number(&key(keys::CLASS_OBJECTIVE_STRETCH), 0.0)?;
    let deadline_s = values.number(&key(keys::CLASS_DEADLINE), DEFAULT_DEADLINE_S)?;
    Ok(RequestClass {
        name: values.get(&key(keys::CLASS_NAME), String::new())?,
        latency_objective_s: values.number(&key(keys::CLASS_LATENCY_OBJECTIVE), deadline_s)?,
        objective_per_work,
        deadline_s,
        priority_weight: values.number(&key(keys::CLASS_PRIORITY_WEIGHT), 1.0)?,
        weight_after_objective: values.number(&key(keys::CLASS_WEIGHT_AFTER_OBJECTIVE), 0.0)?,
        idempotency: values.one_of(
            &key(keys::CLASS_IDEMPOTENCY),
            &IDEMPOTENCY_VALUES,
            Idempotency::NonIdempotent,
        )?,
        deduplication_scope: values.one_of(
            &key(keys::CLASS_DEDUPLICATION_SCOPE),
            &DEDUPLICATION_SCOPE_VALUES,
            DeduplicationScope::Cell,
        )?,
        deduplication_window_s: values.number(&key(keys::CLASS_DEDUPLICATION_WINDOW), 0.0)?,
        required_kind: None,
    })
}

fn parse_tenants(values: &KeyValues) -> Result<Vec<Tenant>, SettingsError> {
    let mut tenants = Vec::new();
    for index in 0..values.count(keys::TENANTS)? {
        let key = |field: &str| keys::item_key(keys::TENANTS, index, field);
        let quota_per_s = values.number(&key(keys::TENANT_QUOTA), 0.0)?;
        tenants.push(Tenant { name: values.get(&key(keys::TENANT_NAME), String::new())?, quota_per_s });
    }
    Ok(tenants)
}

/// Meaning of a load report value. The meaning of two of the names is itself a setting.
fn load_report_field(values: &KeyValues, name: &str) -> LoadReportField {
    let meaning = match name {
        keys::REPORT_NAME_X0 => values.raw_value(keys::REPORT_MEANING_X0),
        keys::REPORT_NAME_X1 => values.raw_value(keys::REPORT_MEANING_X1),
        other => other,
    };
    let field = LOAD_REPORT_MEANINGS.iter().find(|(known, _)| *known == meaning);
    field.map_or(LoadReportField::Other, |(_, field)| *field)
}

/// Parses the scheduler's position in the deployment, its event interval, the zones and the worker kinds.
fn parse_deployment(values: &KeyValues, settings: &mut Settings) -> Result<(), SettingsError> {
    settings.scheduler_index = values.get(keys::SCHEDULER_INDEX, settings.scheduler_index)?;
    settings.scheduler_count = values.get(keys::SCHEDULER_COUNT, settings.scheduler_count)?.max(1);
    settings.zone = values.get(keys::ZONE, settings.zone)?;
    settings.event_interval_s = values.number(keys::EVENT_INTERVAL, settings.event_interval_s)?;
    settings.weight_over_quota = values.number(keys::WEIGHT_OVER_QUOTA, settings.weight_over_quota)?;
    settings.zones = values.list(keys::ZONES)?;
    settings.worker_kinds = values.list(keys::WORKER_KINDS)?;
    Ok(())
}

/// Parses the timeouts of connections and answers and how workers report the progress of a request.
fn parse_timing(values: &KeyValues, settings: &mut Settings) -> Result<(), SettingsError> {
    settings.connect_timeout_s = values.number(keys::CONNECT_TIMEOUT, settings.connect_timeout_s)?;
    settings.connection_idle_timeout_s =
        values.number(keys::CONNECTION_IDLE_TIMEOUT, settings.connection_idle_timeout_s)?;
    settings.answer_slack_s = values.number(keys::ANSWER_SLACK, settings.answer_slack_s)?;
    settings.starts_reported = values.get(keys::STARTS_REPORTED, settings.starts_reported)?;
    settings.progress_interval_s = values.number(keys::PROGRESS_INTERVAL, settings.progress_interval_s)?;
    Ok(())
}

/// Parses what the scheduler is permitted to do, except for Retry-After.
fn parse_permissions(values: &KeyValues, settings: &mut Settings) -> Result<(), SettingsError> {
    settings.max_attempts = values.get(keys::MAX_ATTEMPTS, settings.max_attempts)?;
    settings.hedging_allowed = values.get(keys::HEDGING_ALLOWED, settings.hedging_allowed)?;
    settings.cancellation_allowed = values.get(keys::CANCELLATION_ALLOWED, settings.cancellation_allowed)?;
    settings.capacity_probes_allowed =
        values.get(keys::CAPACITY_PROBES_ALLOWED, settings.capacity_probes_allowed)?;
    settings.gossip_allowed = values.get(keys::GOSSIP_ALLOWED, settings.gossip_allowed)?;
    Ok(())
}

/// Parses how the endpoint list is received and the meaning of its weights.
fn parse_discovery(values: &KeyValues, settings: &mut Settings) -> Result<(), SettingsError> {
    settings.discovery_polled =
        values.one_of(keys::DISCOVERY_MODE, &DISCOVERY_MODE_VALUES, settings.discovery_polled)?;
    settings.weights_show_load = values.raw_value(keys::WEIGHTS) == WEIGHTS_SHOW_LOAD_VALUE;
    settings.max_poll_interval_s = values.number(keys::MAX_POLL_INTERVAL, settings.max_poll_interval_s)?;
    settings.drain_grace_s = values.number(keys::DRAIN_GRACE, settings.drain_grace_s)?;
    Ok(())
}

/// Parses the capacity limits of workers in slow start and the threshold of their overload collapse.
fn parse_capacity_limits(values: &KeyValues, settings: &mut Settings) -> Result<(), SettingsError> {
    settings.slow_start_fraction = values.number(keys::SLOW_START_FRACTION, settings.slow_start_fraction)?;
    settings.slow_start_duration_s =
        values.number(keys::SLOW_START_DURATION, settings.slow_start_duration_s)?;
    settings.collapse_multiple = values.number(keys::COLLAPSE_MULTIPLE, settings.collapse_multiple)?;
    settings.overload_window_s = values.number(keys::OVERLOAD_WINDOW, settings.overload_window_s)?;
    Ok(())
}
