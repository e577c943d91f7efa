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
