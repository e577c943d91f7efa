use super::*;

const WINDOW: Duration = Duration::from_secs(40);

fn key(n: u32) -> Bytes {
    Bytes::from(format!("k{n}"))
}

#[test]
fn binds_a_key_until_its_window_ends() {
    let mut store = IdempotencyStore::default();
    store.record(Duration::ZERO, &key(1), KeyLocation::Remote(SiteId(0)), WINDOW, 10);
    assert_eq!(store.location(Duration::from_secs(39), &key(1)), Some(KeyLocation::Remote(SiteId(0))));
    assert_eq!(store.location(WINDOW, &key(1)), None);
    assert_eq!(store.location(Duration::ZERO, &key(2)), None);
}

#[test]
fn a_second_record_extends_the_window() {
    let mut store = IdempotencyStore::default();
    store.record(Duration::ZERO, &key(1), KeyLocation::Local, WINDOW, 10);
    store.record(Duration::from_secs(30), &key(1), KeyLocation::Local, WINDOW, 10);
    store.record(Duration::from_secs(41), &key(2), KeyLocation::Local, WINDOW, 10);
    assert_eq!(store.location(Duration::from_secs(60), &key(1)), Some(KeyLocation::Local));
}

/// When one of two requests with the same key is returned unstarted, the key must stay bound for the other.
#[test]
fn clears_a_key_only_if_it_has_a_single_record() {
    let (mut store, remote) = (IdempotencyStore::default(), KeyLocation::Remote(SiteId(0)));
    let record =
        |store: &mut IdempotencyStore, n| store.record(Duration::ZERO, &key(n), remote, WINDOW, 10).unwrap();
    let (first, second) = (record(&mut store, 1), record(&mut store, 1));
    store.clear(&key(1), first);
    store.clear(&key(1), second);
    assert_eq!(store.location(Duration::ZERO, &key(1)), Some(remote));
    let single = record(&mut store, 2);
    store.clear(&key(2), single);
    assert_eq!(store.location(Duration::ZERO, &key(2)), None);
}

/// A full store must not allow an unrecorded key to run at two sites.
#[test]
fn treats_unknown_keys_as_run_after_a_full_store_dropped_a_key() {
    let mut store = IdempotencyStore::default();
    for n in 0..4 {
        store.record(Duration::ZERO, &key(n), KeyLocation::Local, WINDOW, 3);
    }
    assert_eq!(store.location(Duration::from_secs(1), &key(99)), Some(KeyLocation::Unknown));
    assert_eq!(store.location(WINDOW, &key(99)), None);
    store.record(WINDOW, &key(5), KeyLocation::Local, WINDOW, 3);
    assert_eq!(store.records.len(), 1);
    assert_eq!(store.expiries.len(), 1);
}
