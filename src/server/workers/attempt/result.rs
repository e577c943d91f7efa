//! The result of an attempt, as reported to the engine.

use crate::server::attempt_end::AttemptEnd;

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The unparsed load report (`X-Load` header) of the response.
    pub load_report: Option<String>,
}

impl AttemptResult {
    pub(super) fn without_load_report(end: AttemptEnd) -> Self {
        AttemptResult { end, load_report: None }
    }
}
