//! The names that the protocol page gives to paths, headers and the fields of callbacks, each under our term for it.

/// Paths.
pub(super) mod paths {
    pub(in super::super) const READINESS: &str = "/ready";
    pub(in super::super) const COUNTERS: &str = "/counters";
    pub(in super::super) const CALLBACK: &str = "/callback";
}

/// A request header with the two spellings in which error bodies name it.
#[derive(Clone, Copy)]
pub(super) struct HeaderName {
    /// For lookups, and where the header is there twice or is not text.
    pub(super) lower_case: &'static str,
    /// Where the header is missing or its value cannot be used.
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
    /// Pairs of a name and a figure; [`SLOTS`] and [`MEMORY`] are among the names.
    pub(in super::super) const RESOURCES: HeaderName =
        HeaderName { lower_case: "x-extras", canonical: "X-Extras" };
    pub(in super::super) const IDEMPOTENCY_KEY: HeaderName =
        HeaderName { lower_case: "idempotency-key", canonical: "Idempotency-Key" };
    pub(in super::super) const CONTENT_TYPE: &str = "content-type";

    pub(in super::super) const SLOTS: &str = "slots";
    pub(in super::super) const MEMORY: &str = "memory";

    /// Headers of which there may be one only: with two, this side and a worker could each go by another.
    pub(in super::super) const SINGLE: [HeaderName; 6] =
        [REQUEST_NAME, TENANT, DEADLINE, ESTIMATED_WORK, RESOURCES, IDEMPOTENCY_KEY];
}

/// The fields of a callback, and the states that it may report. Its load report is read in `server/load_report.rs`.
pub(super) mod callback {
    pub(in super::super) const REQUEST_NAME: &str = "id";
    pub(in super::super) const WORKER_NAME: &str = "from";
    pub(in super::super) const STATE: &str = "state";
    /// The fraction that is done, from 0 to 1.
    pub(in super::super) const PROGRESS: &str = "share";
    pub(in super::super) const RESULT: &str = "result";

    pub(in super::super) const STATE_STARTED: &str = "started";
    pub(in super::super) const STATE_PROGRESS: &str = "running";
    pub(in super::super) const STATE_COMPLETED: &str = "done";
    pub(in super::super) const STATE_FAILED: &str = "failed";
    pub(in super::super) const STATE_REJECTED: &str = "returned";
    pub(in super::super) const STATE_LOST: &str = "lost";
}
