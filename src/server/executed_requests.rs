//! The IDs of requests that are no longer open and may have run, so that none of them runs again.
//!
//! A client chooses a new `X-Request-Id` for each request. An ID that comes again, for example after its client has
//! disconnected, belongs to the same request, which may run again only as its class allows. Only classes that do not
//! allow every repetition are recorded.
//!
//! The processes of an upgrade send each other what they record ([`crate::server::lifecycle::handover`]).

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::scheduling::{DeduplicationScope, Idempotency, RequestClass};

#[cfg(test)]
mod tests;

/// Number of IDs that are kept. The oldest is dropped for a new one.
const MAX_RECORDED: usize = 32 * 1024;

/// A request that may have run. Serialized in handover frames, so the order of the fields must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedRequest {
    /// Hash of the ID. IDs can be long, and clients choose them.
    id_hash: u128,
    /// How much longer any worker drops a repetition. `None` if a repetition may run.
    repetition_dropped_for: Option<Duration>,
}

impl ExecutedRequest {
    /// A request that must not run again.
    pub fn not_repeatable(id: &[u8]) -> Self {
        ExecutedRequest { id_hash: hash(id), repetition_dropped_for: None }
    }

    /// A request of a class, sent `first_sent_at` or later for the first time. Returns `None` if the class allows every
    /// repetition.
    pub fn of_class(id: &[u8], class: &RequestClass, first_sent_at: Option<Instant>) -> Option<Self> {
        match class.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::NonIdempotent => Some(ExecutedRequest::not_repeatable(id)),
            Idempotency::WithKey => {
                let window = Duration::try_from_secs_f64(class.deduplication_window_s).unwrap_or_default();
                let left = first_sent_at.map(|sent_at| window.saturating_sub(sent_at.elapsed()));
                let repetition_dropped_for =
                    left.filter(|_| class.deduplication_scope == DeduplicationScope::All);
                Some(ExecutedRequest { id_hash: hash(id), repetition_dropped_for })
            }
        }
    }
}

/// The requests that may have run, shared by the engine and the links to other processes.
#[derive(Clone, Default)]
pub struct ExecutedRequests(Rc<RefCell<Table>>);

#[derive(Default)]
struct Table {
    /// Until when any worker drops a repetition, by the hash of the ID. `None` if a repetition may run.
    repetition_dropped_until: HashMap<u128, Option<Instant>>,
    /// The hashes, oldest first.
    order: VecDeque<u128>,
}

impl ExecutedRequests {
    /// Records a request.
    pub fn record(&self, request: ExecutedRequest) {
        let table = &mut *self.0.borrow_mut();
        let dropped_until = request.repetition_dropped_for.map(|left| Instant::now() + left);
        if table.repetition_dropped_until.insert(request.id_hash, dropped_until).is_some() {
            return;
        }
        table.order.push_back(request.id_hash);
        if table.order.len() > MAX_RECORDED {
            if let Some(oldest) = table.order.pop_front() {
                table.repetition_dropped_until.remove(&oldest);
            }
        }
    }

    /// Whether a request with this ID must not be sent, because one with the same ID may have run and could run again.
    /// `deadline` is the latest time at which it would be sent.
    pub fn forbid(&self, id: &[u8], class: &RequestClass, deadline: Instant) -> bool {
        let table = self.0.borrow();
        if table.order.is_empty() {
            return false;
        }
        let Some(dropped_until) = table.repetition_dropped_until.get(&hash(id)) else { return false };
        match class.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::NonIdempotent => true,
            Idempotency::WithKey => dropped_until.is_none_or(|dropped_until| deadline > dropped_until),
        }
    }

    /// All recorded requests, oldest first.
    pub fn all(&self) -> Vec<ExecutedRequest> {
        let table = self.0.borrow();
        let now = Instant::now();
        let request = |id_hash: &u128| ExecutedRequest {
            id_hash: *id_hash,
            repetition_dropped_for: table
                .repetition_dropped_until
                .get(id_hash)
                .copied()
                .flatten()
                .map(|dropped_until| dropped_until.saturating_duration_since(now)),
        };
        table.order.iter().map(request).collect()
    }
}

fn hash(id: &[u8]) -> u128 {
    xxhash_rust::xxh3::xxh3_128(id)
}
