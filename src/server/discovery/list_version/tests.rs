use super::*;

#[test]
fn ignores_outdated_lists_until_the_catch_up_timeout() {
    let start = Instant::now();
    let mut version = ListVersion::new(42);
    assert_eq!(version.check(41, start), VersionCheck::FirstOutdated);
    assert_eq!(version.check(40, start + CATCH_UP_TIMEOUT / 2), VersionCheck::RepeatedOutdated);
    assert!(!version.has_regressed(start + CATCH_UP_TIMEOUT - Duration::from_millis(1)));
    assert!(version.has_regressed(start + CATCH_UP_TIMEOUT));
    version.reset();
    assert!(!version.has_regressed(start + CATCH_UP_TIMEOUT));
    assert_eq!(version.check(7, start), VersionCheck::Current);
    assert_eq!(version.known(), 7);
}

#[test]
fn list_of_the_known_version_is_applied_and_restarts_the_timeout() {
    let start = Instant::now();
    let mut version = ListVersion::new(42);
    assert_eq!(version.check(41, start), VersionCheck::FirstOutdated);
    assert_eq!(version.check(42, start), VersionCheck::Current);
    assert!(!version.has_regressed(start + CATCH_UP_TIMEOUT));
    assert_eq!(version.check(41, start), VersionCheck::FirstOutdated);
}

fn position(version: u64, superseded: u64) -> ListPosition {
    ListPosition { version, superseded }
}

#[test]
fn versions_of_one_sequence_are_compared() {
    assert!(position(43, 7).is_newer_than(position(42, 7)));
    assert!(!position(42, 7).is_newer_than(position(42, 7)));
    assert!(!position(42, 7).is_newer_than(position(43, 7)));
}

/// A process that has seen the versions start over must not be overruled by one that has not.
#[test]
fn list_of_a_restarted_sequence_is_newer_than_those_given_up() {
    let restarted = position(3, 50);
    for given_up in [position(50, 0), position(41, 0), position(12, 10)] {
        assert!(restarted.is_newer_than(given_up), "{given_up:?}");
        assert!(!given_up.is_newer_than(restarted), "{given_up:?}");
    }
    // It was never given up: the old sequence went on beyond what the restarted process knew.
    assert!(position(51, 0).is_newer_than(restarted));
}

#[test]
fn reset_gives_up_the_sequence() {
    let mut version = ListVersion::new(42);
    version.reset();
    assert_eq!(version.position(), position(0, 42));
    assert_eq!(version.check(3, Instant::now()), VersionCheck::Current);
    assert_eq!(version.position(), position(3, 42));
    version.reset();
    assert_eq!(version.position(), position(0, 42));
}
