//! Requests that may be forwarded, and the reasons not to forward one.

use std::time::Duration;

use bytes::Bytes;

use crate::LocalRequestId;

/// Whether a request may run more than once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The workers of one site drop repeated requests with this idempotency key within the deduplication
    /// window.
    WithKey {
        /// The key as sent by the client.
        key: Bytes,
        /// The deduplication window.
        window: Duration,
    },
    /// The request must not run twice.
    NonIdempotent,
}

/// A request of this site that would otherwise be rejected or late.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The request.
    pub request: LocalRequestId,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Priority weight. Candidates with a higher weight are forwarded first.
    pub priority: f64,
    /// Whether the tenant is within its quota.
    pub within_quota: bool,
    /// Number of slots that the request needs.
    pub slots: u32,
    /// Time left until a worker must have the request for it to finish in time.
    pub start_in: Duration,
    /// Time until the client gives up.
    pub time_left: Duration,
    /// The scheduler has rejected the request: unless it is forwarded now, its client is answered now.
    pub rejected: bool,
    /// The request came from another site, or was forwarded and returned. It is not forwarded again.
    pub forwarded_before: bool,
}

/// Why a request is not forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotForwarded {
    /// This site has free capacity, or has lacked it only briefly.
    LocalCapacity,
    /// The request can still wait at this site.
    CanStillWait,
    /// No peer has granted enough capacity.
    NoPeerCapacity,
    /// Too little time is left.
    TooLate,
    /// The request was already forwarded, by this site or by another.
    ForwardedBefore,
    /// The tenant is over its quota.
    OverQuota,
    /// The idempotency key may have run at this site or at a site that cannot be reached, or it cannot be
    /// recorded.
    KeyBoundElsewhere,
    /// This site is draining.
    Draining,
    /// The request is non-idempotent, and running at most once cannot be guaranteed across sites.
    NonIdempotent,
}
