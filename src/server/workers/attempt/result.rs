//! How an attempt has ended, for the engine.

use crate::server::attempt_end::AttemptEnd;

/// How an attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptResult {
    /// The end.
    pub end: AttemptEnd,
    /// The load report of the response, as its header has it.
    pub load_report: Option<String>,
}

impl AttemptResult {
    pub(super) fn without_report(end: AttemptEnd) -> Self {
        AttemptResult { end, load_report: None }
    }
}
