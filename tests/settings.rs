//! Parsing of settings from `path=value` lines.

use chutesaddle::scheduling::*;

#[test]
fn parses_the_settings_of_a_deployment() {
    let text = "balancers=3\nindex=2\nzone=1\ntick_s=0.004\ngrades.count=2\ngrades.0.effect=repeatable\n\
        grades.0.slo_s=0.2\ngrades.0.deadline_s=5.0\ngrades.1.effect=by_key\ngrades.1.group=cell\n\
        grades.1.window_s=30.0\nspecifics.class_stretch=2.5,1.5\nspecifics.class_kind=-1,1\n\
        parties.count=1\nparties.0.quota_per_s=4.5\nreport.fields=queue,eps,x0,x1\n\
        specifics.report_x0=free_slots\nspecifics.report_x1=free_memory\nmembership_mode=on_request\n\
        allowed.retry_after=true\nallowed.max_retry_after_s=2.0\nkinds=a,b\nsome.new.key=what,ever";
    let settings: Settings = text.parse().unwrap();
    assert_eq!(
        (settings.scheduler_count, settings.scheduler_index, settings.zone, settings.discovery_polled),
        (3, 2, 1, true)
    );
    assert_eq!(
        (
            settings.classes[0].idempotency,
            settings.classes[0].objective_per_work,
            settings.classes[0].required_kind
        ),
        (Idempotency::Idempotent, 2.5, None)
    );
    assert_eq!(
        (settings.classes[1].idempotency, settings.classes[1].deduplication_scope),
        (Idempotency::WithKey, DeduplicationScope::Cell)
    );
    assert_eq!(
        (settings.classes[1].deduplication_window_s, settings.classes[1].required_kind),
        (30.0, Some(1))
    );
    assert_eq!(settings.tenants, [Tenant { name: String::new(), quota_per_s: 4.5 }]);
    assert_eq!(
        settings.load_report_fields,
        [
            LoadReportField::Queue,
            LoadReportField::Other,
            LoadReportField::FreeSlots,
            LoadReportField::FreeMemory
        ]
    );
    assert_eq!(settings.max_retry_after_s, 2.0);
}

#[test]
fn missing_keys_get_safe_defaults() {
    let settings: Settings = "grades.count=1".parse().unwrap();
    assert_eq!(settings.classes[0].idempotency, Idempotency::NonIdempotent);
    assert_eq!(Settings { classes: Vec::new(), ..settings }, Settings::default());
}

#[test]
fn errors_name_the_key_and_the_invalid_value() {
    for (key, value) in [
        ("balancers", "many"),
        ("tick_s", "NaN"),
        ("contract.cold_share", "-1"),
        ("allowed.probes", "yes"),
        ("grades.count", "99999999"),
        ("membership_mode", "sometimes"),
        ("specifics.class_stretch", "1.0,x"),
    ] {
        let error = format!("{key}={value}").parse::<Settings>().unwrap_err().to_string();
        assert!(error.contains(key) && error.contains(value), "{error}");
    }
}

/// A line with a setting, and the field that it sets.
struct LineCase {
    line: &'static str,
    set: fn(&mut Settings),
}

fn case(line: &'static str, set: fn(&mut Settings)) -> LineCase {
    LineCase { line, set }
}

#[test]
fn maps_each_key_to_its_field() {
    for LineCase { line, set } in [
        case("index=2", |s| s.scheduler_index = 2),
        case("balancers=3", |s| s.scheduler_count = 3),
        case("zone=1", |s| s.zone = 1),
        case("tick_s=0.004", |s| s.event_interval_s = 0.004),
        case("over_share_worth=0.05", |s| s.weight_over_quota = 0.05),
        case("areas=a,b", |s| s.zones = vec!["a".into(), "b".into()]),
        case("kinds=m1,m2", |s| s.worker_kinds = vec!["m1".into(), "m2".into()]),
        case("allowed.connect_timeout_s=0.3", |s| s.connect_timeout_s = 0.3),
        case("allowed.conn_idle_s=50", |s| s.connection_idle_timeout_s = 50.0),
        case("contract.answer_slack_s=0.04", |s| s.answer_slack_s = 0.04),
        case("specifics.tells_start=true", |s| s.starts_reported = true),
        case("specifics.progress_s=1.5", |s| s.progress_interval_s = 1.5),
        case("allowed.send_cap=4", |s| s.max_attempts = 4),
        case("allowed.second_copies=true", |s| s.hedging_allowed = true),
        case("allowed.may_cancel=true", |s| s.cancellation_allowed = true),
        case("allowed.probes=true", |s| s.capacity_probes_allowed = true),
        case("allowed.peer_messages=true", |s| s.gossip_allowed = true),
        case("allowed.retry_after=true\nallowed.max_retry_after_s=2", |s| s.max_retry_after_s = 2.0),
        case("allowed.retry_after=false\nallowed.max_retry_after_s=2", |s| s.max_retry_after_s = 0.0),
        case("membership_mode=on_request", |s| s.discovery_polled = true),
        case("membership_mode=pushed", |s| s.discovery_polled = false),
        case("weights=live", |s| s.weights_show_load = true),
        case("weights=nominal", |s| s.weights_show_load = false),
        case("contract.ask_within_s=7", |s| s.max_poll_interval_s = 7.0),
        case("contract.drain_grace_s=0.5", |s| s.drain_grace_s = 0.5),
        case("contract.cold_share=0.13", |s| s.slow_start_fraction = 0.13),
        case("contract.warm_within_s=24", |s| s.slow_start_duration_s = 24.0),
        case("contract.fall_multiple=3", |s| s.collapse_multiple = 3.0),
        case("contract.overload_for_s=2.5", |s| s.overload_window_s = 2.5),
    ] {
        let mut expected = Settings::default();
        set(&mut expected);
        assert_eq!(line.parse(), Ok(expected), "{line}");
    }
}

#[test]
fn maps_each_key_of_a_class_to_its_field() {
    for LineCase { line, set } in [
        case("grades.0.name=draw_map", |s| s.classes[0].name = "draw_map".into()),
        case("grades.0.slo_s=0.25", |s| s.classes[0].latency_objective_s = 0.25),
        case("grades.0.aim_stretch=1.5", |s| s.classes[0].objective_per_work = 1.5),
        case("specifics.class_stretch=2.5", |s| s.classes[0].objective_per_work = 2.5),
        case("grades.0.deadline_s=7.5", |s| {
            (s.classes[0].deadline_s, s.classes[0].latency_objective_s) = (7.5, 7.5)
        }),
        case("grades.0.worth=2", |s| s.classes[0].priority_weight = 2.0),
        case("grades.0.late_worth=0.2", |s| s.classes[0].weight_after_objective = 0.2),
        case("grades.0.effect=repeatable", |s| s.classes[0].idempotency = Idempotency::Idempotent),
        case("grades.0.effect=by_key", |s| s.classes[0].idempotency = Idempotency::WithKey),
        case("grades.0.effect=once", |s| s.classes[0].idempotency = Idempotency::NonIdempotent),
        case("grades.0.group=all", |s| s.classes[0].deduplication_scope = DeduplicationScope::All),
        case("grades.0.group=zone", |s| s.classes[0].deduplication_scope = DeduplicationScope::Zone),
        case("grades.0.group=cell", |s| s.classes[0].deduplication_scope = DeduplicationScope::Cell),
        case("grades.0.window_s=30", |s| s.classes[0].deduplication_window_s = 30.0),
        case("specifics.class_kind=1", |s| s.classes[0].required_kind = Some(1)),
        case("specifics.class_kind=-1", |s| s.classes[0].required_kind = None),
    ] {
        let mut expected: Settings = "grades.count=1".parse().unwrap();
        set(&mut expected);
        assert_eq!(format!("grades.count=1\n{line}").parse(), Ok(expected), "{line}");
    }
}

#[test]
fn maps_each_key_of_a_tenant_to_its_field() {
    let settings: Settings =
        "parties.count=2\nparties.1.name=acme\nparties.1.quota_per_s=4.5".parse().unwrap();
    let unnamed = Tenant { name: String::new(), quota_per_s: 0.0 };
    let acme = Tenant { name: "acme".into(), quota_per_s: 4.5 };
    assert_eq!(settings.tenants, [unnamed, acme]);
}

#[test]
fn maps_each_load_report_name_to_its_meaning() {
    for (name, field) in [
        ("queue", LoadReportField::Queue),
        ("free_slots", LoadReportField::FreeSlots),
        ("free_memory", LoadReportField::FreeMemory),
        ("util", LoadReportField::Other),
    ] {
        let settings: Settings = format!("report.fields={name}").parse().unwrap();
        assert_eq!(
            (settings.load_report_names, settings.load_report_fields),
            (vec![name.into()], vec![field])
        );
        for alias in ["x0", "x1"] {
            let lines = format!("report.fields=eps,{alias}\nspecifics.report_{alias}={name}");
            let settings: Settings = lines.parse().unwrap();
            assert_eq!(settings.load_report_fields, [LoadReportField::Other, field], "{lines}");
        }
    }
}
