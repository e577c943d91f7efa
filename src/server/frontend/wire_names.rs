//! Paths, headers and callback fields of the wire protocol, each as a constant named by its meaning.

/// Request paths.
pub(super) mod paths {
    pub(in super::super) const READINESS: &str = "/ready";
    pub(in super::super) const COUNTERS: &str = "/counters";
    pub(in super::super) const CALLBACK: &str = "/callback";
}

/// A request header name in the two spellings that error bodies use.
#[derive(Clone, Copy)]
pub(super) struct HeaderName {
    /// Used for lookups, and in errors about a header that is repeated or not UTF-8.
    pub(super) lower_case: &'static str,
    /// Used in errors about a header that is missing or malformed.
    pub(super) canonical: &'static str,
}

/// Request headers.
pub(super) mod headers {
    use super::HeaderName;

    pub(in super::super) const REQUEST_NAME: HeaderName =
        HeaderName { lower_case: "x-request-id", canonical: "X-Request-Id" };
    pub(in super::super) const TENANT: HeaderName =
        HeaderName { lower_case: "x-tenant", canonical: "X-Tenant" };
    /// In milliseconds.
    pub(in super::super) const DEADLINE: HeaderName =
        HeaderName { lower_case: "x-deadline-ms", canonical: "X-Deadline-Ms" };
    /// In microseconds.
    pub(in super::super) const ESTIMATED_WORK: HeaderName =
        HeaderName { lower_case: "x-cost-hint", canonical: "X-Cost-Hint" };
    /// Comma-separated `NAME=NUMBER` pairs. The known names are [`SLOTS`] and [`MEMORY`].
    pub(in super::super) const RESOURCES: HeaderName =
        HeaderName { lower_case: "x-extras", canonical: "X-Extras" };
    pub(in super::super) const IDEMPOTENCY_KEY: HeaderName =
        HeaderName { lower_case: "idempotency-key", canonical: "Idempotency-Key" };
    pub(in super::super) const CONTENT_TYPE: &str = "content-type";

    pub(in super::super) const SLOTS: &str = "slots";
    pub(in super::super) const MEMORY: &str = "memory";

    /// Headers that must not be repeated: the scheduler and a worker could each use a different value.
    pub(in super::super) const SINGLE: [HeaderName; 6] =
        [REQUEST_NAME, TENANT, DEADLINE, ESTIMATED_WORK, RESOURCES, IDEMPOTENCY_KEY];
}

/// The fields of a callback and the values of its state. `server/load_report.rs` reads its load report.
pub(super) mod callback {
    pub(in super::super) const REQUEST_NAME: &str = "id";
    pub(in super::super) const WORKER_NAME: &str = "from";
    pub(in super::super) const STATE: &str = "state";
    /// Completed fraction of the job, from 0 to 1.
    pub(in super::super) const PROGRESS: &str = "share";
    pub(in super::super) const RESULT: &str = "result";

    pub(in super::super) const STATE_STARTED: &str = "started";
    pub(in super::super) const STATE_PROGRESS: &str = "running";
    pub(in super::super) const STATE_COMPLETED: &str = "done";
    pub(in super::super) const STATE_FAILED: &str = "failed";
    pub(in super::super) const STATE_REJECTED: &str = "returned";
    pub(in super::super) const STATE_LOST: &str = "lost";
}
