//! A request that may be forwarded, and why one is not.

use std::time::Duration;

use bytes::Bytes;

use crate::LocalRequestId;

/// Whether a request may run more than once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// The workers of one site drop repeats with this idempotency key within the deduplication window.
    WithKey {
        /// The key as the client wrote it.
        key: Bytes,
        /// The deduplication window.
        window: Duration,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// A request of this site that would otherwise be rejected or late.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The request.
    pub request: LocalRequestId,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// Its priority weight; the highest is forwarded first.
    pub priority: f64,
    /// Its tenant is within its quota.
    pub within_quota: bool,
    /// Slots that it needs.
    pub slots: u32,
    /// Time until it must be with a worker to be in time.
    pub start_in: Duration,
    /// Time until its client gives up.
    pub time_left: Duration,
    /// The scheduler has rejected it: it is forwarded now or answered now.
    pub rejected: bool,
    /// It came from another site, or was forwarded and came back. It is not forwarded (again).
    pub forwarded_before: bool,
}

/// Why a request is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotForwarded {
    /// This site has free capacity, or has lacked it for too short a time.
    LocalCapacity,
    /// It can wait here for longer.
    CanStillWait,
    /// No peer has granted enough capacity.
    NoPeerCapacity,
    /// Too little time is left.
    TooLate,
    /// It was forwarded before, here or at another site.
    ForwardedBefore,
    /// Its tenant is beyond its quota.
    OverQuota,
    /// Its idempotency key may have run here, or at a site that cannot be reached.
    KeyBoundElsewhere,
    /// This site drains.
    Draining,
    /// It is non-idempotent, and that it runs once cannot be assured across sites.
    NonIdempotent,
}
