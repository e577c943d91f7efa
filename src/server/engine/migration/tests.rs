//! Tests of whether requests migrate and of the names of migrated requests.

use super::*;

#[test]
fn migrated_names_are_kept_until_the_successor_stops_accepting_requests() {
    let name = Bytes::from_static(b"r1");
    let mut state = MigrationState::default();
    state.record_migrated(name.clone());
    assert!(!state.is_migrating() && !state.has_migrated(&name), "no successor accepts requests");
    assert!(state.set_accepts_requests(true).is_empty());
    state.record_migrated(name.clone());
    assert!(state.set_accepts_requests(true).is_empty());
    assert!(
        state.is_migrating() && state.has_migrated(&name),
        "the name is kept while the successor accepts requests"
    );
    assert_eq!(
        state.set_accepts_requests(false),
        HashSet::from([name.clone()]),
        "the names are returned as lost"
    );
    assert!(!state.is_migrating() && !state.has_migrated(&name));
}
