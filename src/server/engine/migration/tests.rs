//! Whether requests migrate, and which have.

use super::*;

#[test]
fn migrated_names_last_as_long_as_the_successor() {
    let name = Bytes::from_static(b"r1");
    let mut state = MigrationState::default();
    state.record(name.clone());
    assert!(!state.is_migrating() && !state.has_migrated(&name), "there is no successor");
    state.change(true);
    state.record(name.clone());
    state.change(true);
    assert!(state.is_migrating() && state.has_migrated(&name), "the same successor still has it");
    state.change(false);
    assert!(!state.is_migrating() && !state.has_migrated(&name));
}
