use super::*;

const WINDOW: Duration = Duration::from_secs(40);

fn key(n: u32) -> Bytes {
    Bytes::from(format!("k{n}"))
}

#[test]
fn binds_a_key_until_its_window_is_over() {
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

/// A repeat that was given back must not free what the first try bound, nor the other way round.
#[test]
fn clears_a_key_only_when_it_has_one_record() {
    let (mut store, there) = (IdempotencyStore::default(), KeyLocation::Remote(SiteId(0)));
    let record =
        |store: &mut IdempotencyStore, n| store.record(Duration::ZERO, &key(n), there, WINDOW, 10).unwrap();
    let (first, second) = (record(&mut store, 1), record(&mut store, 1));
    store.clear(&key(1), first);
    store.clear(&key(1), second);
    assert_eq!(store.location(Duration::ZERO, &key(1)), Some(there));
    let only = record(&mut store, 2);
    store.clear(&key(2), only);
    assert_eq!(store.location(Duration::ZERO, &key(2)), None);
}

/// A flood of keys must not open a way to run one of them twice.
#[test]
fn treats_unknown_keys_as_run_while_the_full_store_has_missed_some() {
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
