//! Reads the `path=value` options of a deployment into [`Settings`]. Unknown keys are skipped; missing
//! ones keep the defaults of [`Settings::default`].

use std::collections::BTreeMap;
use std::str::FromStr;

use crate::scheduling::{DeduplicationScope, Idempotency, LoadReportField, RequestClass, Settings, Tenant};

/// A known key whose value cannot be read.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("option {key}: cannot read value {value:?}")]
pub struct SettingsError {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
}

/// More entries than this in a list of the options are taken for a mistake.
const MOST_ENTRIES: usize = 65_536;

struct Options<'a>(BTreeMap<&'a str, &'a str>);

fn bad(key: &str, value: &str) -> SettingsError {
    SettingsError { key: key.to_owned(), value: value.to_owned() }
}

impl Options<'_> {
    fn get<T: FromStr>(&self, key: &str, default: T) -> Result<T, SettingsError> {
        match self.0.get(key) {
            Some(value) => value.parse().map_err(|_| bad(key, value)),
            None => Ok(default),
        }
    }

    fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let value: f64 = self.get(key, default)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(bad(key, self.0.get(key).copied().unwrap_or_default()))
        }
    }

    fn one_of<T: Copy>(&self, key: &str, names: &[(&str, T)], default: T) -> Result<T, SettingsError> {
        match self.0.get(key) {
            None => Ok(default),
            Some(value) => names.iter().find(|n| n.0 == *value).map(|n| n.1).ok_or_else(|| bad(key, value)),
        }
    }

    fn count(&self, key: &str) -> Result<usize, SettingsError> {
        let count = self.get(key, 0)?;
        if count > MOST_ENTRIES {
            return Err(bad(key, &count.to_string()));
        }
        Ok(count)
    }

    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, SettingsError> {
        let value = self.0.get(key).copied().unwrap_or_default();
        let items = value.split(',').filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| bad(key, value))).collect()
    }

    fn report_field(&self, name: &str) -> LoadReportField {
        let meaning = match name {
            "x0" => self.0.get("specifics.report_x0").copied().unwrap_or_default(),
            "x1" => self.0.get("specifics.report_x1").copied().unwrap_or_default(),
            other => other,
        };
        match meaning {
            "free_slots" => LoadReportField::FreeSlots,
            "queue" => LoadReportField::Queue,
            "free_memory" => LoadReportField::FreeMemory,
            _ => LoadReportField::Other,
        }
    }
}

impl FromStr for Settings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let o = Options(text.lines().filter_map(|line| line.split_once('=')).collect());
        let d = Settings::default();
        let stretches: Vec<f64> = o.list("specifics.class_stretch")?;
        let tied: Vec<i64> = o.list("specifics.class_kind")?;
        let effects = [
            ("repeatable", Idempotency::Idempotent),
            ("by_key", Idempotency::WithKey),
            ("once", Idempotency::NonIdempotent),
        ];
        let groups = [
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Cell),
        ];
        let mut classes = Vec::new();
        for i in 0..o.count("grades.count")? {
            let key = |field: &str| format!("grades.{i}.{field}");
            let aim_stretch = o.number(&key("aim_stretch"), 0.0)?;
            let deadline_s = o.number(&key("deadline_s"), 60.0)?;
            classes.push(RequestClass {
                name: o.get(&key("name"), String::new())?,
                latency_objective_s: o.number(&key("slo_s"), deadline_s)?,
                objective_per_work: stretches.get(i).copied().unwrap_or(0.0).max(aim_stretch),
                deadline_s,
                priority_weight: o.number(&key("worth"), 1.0)?,
                weight_after_objective: o.number(&key("late_worth"), 0.0)?,
                idempotency: o.one_of(&key("effect"), &effects, Idempotency::NonIdempotent)?,
                deduplication_scope: o.one_of(&key("group"), &groups, DeduplicationScope::Cell)?,
                deduplication_window_s: o.number(&key("window_s"), 0.0)?,
                required_kind: tied.get(i).and_then(|&kind| usize::try_from(kind).ok()),
            });
        }
        let mut tenants = Vec::new();
        for i in 0..o.count("parties.count")? {
            let quota_per_s = o.number(&format!("parties.{i}.quota_per_s"), 0.0)?;
            tenants.push(Tenant { name: o.get(&format!("parties.{i}.name"), String::new())?, quota_per_s });
        }
        let fields: Vec<String> = o.list("report.fields")?;
        let hold_off = o.get("allowed.retry_after", false)?;
        let ask = [("on_request", true), ("pushed", false)];
        Ok(Settings {
            scheduler_index: o.get("index", d.scheduler_index)?,
            scheduler_count: o.get("balancers", d.scheduler_count)?.max(1),
            zone: o.get("zone", d.zone)?,
            event_interval_s: o.number("tick_s", d.event_interval_s)?,
            classes,
            tenants,
            weight_over_quota: o.number("over_share_worth", d.weight_over_quota)?,
            load_report_fields: fields.iter().map(|name| o.report_field(name)).collect(),
            load_report_names: fields,
            zones: o.list("areas")?,
            worker_kinds: o.list("kinds")?,
            connect_timeout_s: o.number("allowed.connect_timeout_s", d.connect_timeout_s)?,
            connection_idle_timeout_s: o.number("allowed.conn_idle_s", d.connection_idle_timeout_s)?,
            answer_slack_s: o.number("contract.answer_slack_s", d.answer_slack_s)?,
            starts_reported: o.get("specifics.tells_start", d.starts_reported)?,
            progress_interval_s: o.number("specifics.progress_s", d.progress_interval_s)?,
            max_attempts: o.get("allowed.send_cap", d.max_attempts)?,
            hedging_allowed: o.get("allowed.second_copies", d.hedging_allowed)?,
            cancellation_allowed: o.get("allowed.may_cancel", d.cancellation_allowed)?,
            capacity_probes_allowed: o.get("allowed.probes", d.capacity_probes_allowed)?,
            gossip_allowed: o.get("allowed.peer_messages", d.gossip_allowed)?,
            max_retry_after_s: if hold_off { o.number("allowed.max_retry_after_s", 0.0)? } else { 0.0 },
            discovery_polled: o.one_of("membership_mode", &ask, d.discovery_polled)?,
            weights_show_load: o.get("weights", String::new())? == "live",
            max_poll_interval_s: o.number("contract.ask_within_s", d.max_poll_interval_s)?,
            drain_grace_s: o.number("contract.drain_grace_s", d.drain_grace_s)?,
            slow_start_fraction: o.number("contract.cold_share", d.slow_start_fraction)?,
            slow_start_duration_s: o.number("contract.warm_within_s", d.slow_start_duration_s)?,
            collapse_multiple: o.number("contract.fall_multiple", d.collapse_multiple)?,
            overload_window_s: o.number("contract.overload_for_s", d.overload_window_s)?,
        })
    }
}

impl Settings {
    /// These settings followed by `new` ones while the process runs. Classes, tenants, zones and kinds are
    /// known by number to what is under way, so each name keeps its number. What the new settings do not
    /// name any more stays until a restart; the second value says which lists that concerns.
    pub fn reconfigured(&self, new: Settings) -> (Settings, Vec<&'static str>) {
        let zone = new.zones.get(usize::from(new.zone)).cloned();
        let kinds = new.worker_kinds.clone();
        let mut kept = Vec::new();
        let mut settings = Settings {
            classes: follow(&self.classes, new.classes, |c| &c.name, "grades", &mut kept),
            tenants: follow(&self.tenants, new.tenants, |t| &t.name, "parties", &mut kept),
            zones: follow(&self.zones, new.zones, |name| name, "areas", &mut kept),
            worker_kinds: follow(&self.worker_kinds, new.worker_kinds, |name| name, "kinds", &mut kept),
            ..new
        };
        let number = |names: &[String], name: &String| names.iter().position(|known| known == name);
        let zone = zone.and_then(|zone| number(&settings.zones, &zone));
        settings.zone = zone.and_then(|zone| u16::try_from(zone).ok()).unwrap_or(settings.zone);
        for class in &mut settings.classes {
            let name = class.required_kind.and_then(|kind| kinds.get(kind));
            class.required_kind =
                name.and_then(|name| number(&settings.worker_kinds, name)).or(class.required_kind);
        }
        (settings, kept)
    }
}

fn follow<T: Clone>(
    old: &[T],
    mut new: Vec<T>,
    name: impl Fn(&T) -> &String,
    list: &'static str,
    kept: &mut Vec<&'static str>,
) -> Vec<T> {
    let mut items = Vec::with_capacity(new.len());
    for item in old {
        match new.iter().position(|other| name(other) == name(item)) {
            Some(i) => items.push(new.remove(i)),
            None => {
                items.push(item.clone());
                kept.extend((!kept.contains(&list)).then_some(list));
            }
        }
    }
    items.extend(new);
    items
}
