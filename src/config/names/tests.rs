use super::*;
use crate::scheduling::{DeduplicationScope, Idempotency};

fn class(idempotency: Idempotency, scope: DeduplicationScope, window_s: f64) -> RequestClass {
    RequestClass {
        name: "draw_map".to_owned(),
        idempotency,
        deduplication_scope: scope,
        deduplication_window_s: window_s,
        latency_objective_s: 1.0,
        objective_per_work: 0.0,
        deadline_s: 1.0,
        priority_weight: 1.0,
        weight_after_objective: 0.0,
        required_kind: None,
    }
}

#[test]
fn names_are_found_in_either_form() {
    let configured = ["", "Old_Town", "Dock__East"].map(str::to_owned);
    for (name, expected) in [
        ("Old Town", Some(1)),
        ("Old_Town", Some(1)),
        ("Dock, East", Some(2)),
        ("old town", None),
        ("", None),
    ] {
        assert_eq!(position(&configured, name), expected, "{name:?}");
    }
}

/// Guards against a request that runs twice because its class was taken for another one whose name has the same form.
#[test]
fn ambiguous_class_name_means_the_class_with_the_fewest_repetitions() {
    use DeduplicationScope::{All, Cell, Zone};
    use Idempotency::{Idempotent, NonIdempotent, WithKey};
    let ascending = [
        class(NonIdempotent, All, 9.0),
        class(WithKey, Cell, 9.0),
        class(WithKey, Zone, 5.0),
        class(WithKey, Zone, 9.0),
        class(WithKey, All, 1.0),
        class(Idempotent, Cell, 0.0),
    ];
    for pair in ascending.windows(2) {
        let settings =
            |classes: &[RequestClass]| Settings { classes: classes.to_vec(), ..Settings::default() };
        let (first, second) = (pair[0].clone(), pair[1].clone());
        assert_eq!(find_class(&settings(&[first.clone(), second.clone()]), "draw map"), Some(0), "{pair:?}");
        assert_eq!(find_class(&settings(&[second, first]), "draw map"), Some(1), "{pair:?}");
    }
}
