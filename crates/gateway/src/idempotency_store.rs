//! Records where requests with an idempotency key may recently have run.
//!
//! Unless two sites share their keys, a key must not run at both within its deduplication window, whoever
//! repeats it. The store only records locations; `gateway/routing` decides where a key may run.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;

use crate::{SiteId, Time};

/// The location where a key may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyLocation {
    /// This site.
    Local,
    /// A peer site.
    Remote(SiteId),
    /// Unknown: the store was full and did not record some keys that ran here, possibly including this one.
    Unknown,
}

/// Identifies one record of a key. Numbers increase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordNumber(u64);

/// The records of a key, merged.
#[derive(Debug)]
struct KeyRecord {
    location: KeyLocation,
    expires_at: Time,
    first: RecordNumber,
    last: RecordNumber,
}

/// The keys whose deduplication windows have not ended.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyStore {
    records: HashMap<Bytes, KeyRecord>,
    expiries: BTreeMap<(Time, RecordNumber), Bytes>,
    last_number: u64,
    /// Until this time, a key that is not in the store may have run here unrecorded.
    incomplete_until: Time,
}

impl IdempotencyStore {
    /// Records that a key may run at a location from now on, and returns the number of the record.
    ///
    /// Returns `None` if the key is new and the store already holds `max_keys` keys. A request that depends
    /// on the record must then not be forwarded.
    pub(crate) fn record(
        &mut self,
        now: Time,
        key: &Bytes,
        location: KeyLocation,
        window: Duration,
        max_keys: usize,
    ) -> Option<RecordNumber> {
        self.expire(now);
        let expires_at = now + window;
        if !self.records.contains_key(key) && self.records.len() >= max_keys {
            if location == KeyLocation::Local {
                self.incomplete_until = self.incomplete_until.max(expires_at);
            }
            return None;
        }
        self.last_number += 1;
        let number = RecordNumber(self.last_number);
        let new = KeyRecord { location, expires_at, first: number, last: number };
        let record = self.records.entry(key.clone()).or_insert(new);
        record.location = location;
        record.expires_at = record.expires_at.max(expires_at);
        record.last = number;
        self.expiries.insert((expires_at, number), key.clone());
        Some(number)
    }

    /// Removes the record of a request that never ran, unless the key has been recorded for another request.
    pub(crate) fn clear(&mut self, key: &Bytes, number: RecordNumber) {
        let is_only_record =
            self.records.get(key).is_some_and(|record| record.first == number && record.last == number);
        if is_only_record {
            self.records.remove(key);
        }
    }

    /// Returns where a key may have run, or `None` if it has not run anywhere within its window.
    pub(crate) fn location(&self, now: Time, key: &Bytes) -> Option<KeyLocation> {
        if let Some(record) = self.records.get(key).filter(|record| now < record.expires_at) {
            return Some(record.location);
        }
        (now < self.incomplete_until).then_some(KeyLocation::Unknown)
    }

    fn expire(&mut self, now: Time) {
        while let Some(entry) = self.expiries.first_entry() {
            let (expires_at, _) = *entry.key();
            if expires_at > now {
                return;
            }
            let key = entry.remove();
            // A later record may have extended the key's window.
            if self.records.get(&key).is_some_and(|record| record.expires_at <= now) {
                self.records.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
