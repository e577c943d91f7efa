use super::*;

#[test]
fn ignores_older_lists_until_discovery_counts_as_set_back() {
    let start = Instant::now();
    let mut version = ListVersion::new(42);
    assert_eq!(version.check(41, start), VersionCheck::FirstOlder);
    assert_eq!(version.check(40, start + MAX_CATCH_UP / 2), VersionCheck::StillOlder);
    assert!(!version.is_set_back(start + MAX_CATCH_UP - Duration::from_millis(1)));
    assert!(version.is_set_back(start + MAX_CATCH_UP));
    version.reset();
    assert!(!version.is_set_back(start + MAX_CATCH_UP));
    assert_eq!(version.check(7, start), VersionCheck::Current);
    assert_eq!(version.known(), 7);
}

#[test]
fn takes_up_a_list_of_the_known_version_and_forgets_older_ones() {
    let start = Instant::now();
    let mut version = ListVersion::new(42);
    assert_eq!(version.check(41, start), VersionCheck::FirstOlder);
    assert_eq!(version.check(42, start), VersionCheck::Current);
    assert!(!version.is_set_back(start + MAX_CATCH_UP));
    assert_eq!(version.check(41, start), VersionCheck::FirstOlder);
}
