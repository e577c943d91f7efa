//! Options to settings.

use chutesaddle::scheduling::*;

#[test]
fn reads_what_a_deployment_states() {
    let text = "balancers=3\nindex=2\nzone=1\ntick_s=0.004\ngrades.count=2\ngrades.0.effect=repeatable\n\
        grades.0.slo_s=0.2\ngrades.0.deadline_s=5.0\ngrades.1.effect=by_key\ngrades.1.group=cell\n\
        grades.1.window_s=30.0\nspecifics.class_stretch=2.5,1.5\nspecifics.class_kind=-1,1\n\
        parties.count=1\nparties.0.quota_per_s=4.5\nreport.fields=queue,eps,x0,x1\n\
        specifics.report_x0=free_slots\nspecifics.report_x1=free_memory\nmembership_mode=on_request\n\
        allowed.retry_after=true\nallowed.max_retry_after_s=2.0\nkinds=a,b\nsome.new.key=what,ever";
    let s: Settings = text.parse().unwrap();
    assert_eq!((s.scheduler_count, s.scheduler_index, s.zone, s.discovery_polled), (3, 2, 1, true));
    assert_eq!(
        (s.classes[0].idempotency, s.classes[0].objective_per_work, s.classes[0].required_kind),
        (Idempotency::Idempotent, 2.5, None)
    );
    assert_eq!(
        (s.classes[1].idempotency, s.classes[1].deduplication_scope),
        (Idempotency::WithKey, DeduplicationScope::Cell)
    );
    assert_eq!((s.classes[1].deduplication_window_s, s.classes[1].required_kind), (30.0, Some(1)));
    assert_eq!(s.tenants, [Tenant { name: String::new(), quota_per_s: 4.5 }]);
    assert_eq!(
        s.load_report_fields,
        [
            LoadReportField::Queue,
            LoadReportField::Other,
            LoadReportField::FreeSlots,
            LoadReportField::FreeMemory
        ]
    );
    assert_eq!(s.max_retry_after_s, 2.0);
}

#[test]
fn missing_keys_get_the_safe_defaults() {
    let s: Settings = "grades.count=1".parse().unwrap();
    assert_eq!(s.classes[0].idempotency, Idempotency::NonIdempotent);
    assert_eq!(Settings { classes: Vec::new(), ..s }, Settings::default());
}

#[test]
fn an_unreadable_value_names_key_and_value() {
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
