//! Retry: whether a request may be sent again after attempts that may have run, and whether it may be
//! rejected then.

use crate::scheduling::request_table::{Attempt, TrackedRequest};
use crate::scheduling::settings::{DeduplicationScope, Idempotency};
use crate::scheduling::state::SchedulerState;
use crate::scheduling::worker::Worker;

/// Fraction of the deduplication window kept as a margin: a retry must arrive within the first nine tenths.
const WINDOW_MARGIN: f64 = 0.1;

impl SchedulerState {
    /// Whether the request may be sent to the worker without risking that it takes effect twice, given that
    /// earlier attempts may have run.
    ///
    /// An idempotent request always may, and a non-idempotent one never. A request with an idempotency key
    /// may within its deduplication window, at workers that know the key. The window lasts from the first
    /// attempt that may have run to the arrival of the retry's last byte. A slow connect can delay that byte
    /// by up to the connect timeout.
    pub(crate) fn may_resend_to(&self, tracked: &TrackedRequest, worker: &Worker) -> bool {
        let class = &self.settings.classes[tracked.request.class];
        let Some(first) = tracked.attempts.iter().find(|attempt| attempt.may_have_run()) else { return true };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::WithKey => {
                let margin_s =
                    self.settings.connect_timeout_s.max(WINDOW_MARGIN * class.deduplication_window_s);
                let is_past_window = self.now + margin_s > first.sent_at + class.deduplication_window_s;
                let first_worker = self.fleet.workers.get(&first.worker);
                let knows_key = first_worker
                    .is_some_and(|first_worker| class.deduplication_scope.includes(first_worker, worker));
                !is_past_window && knows_key
            }
        }
    }

    /// Whether no attempt is in flight and no further attempt is allowed at any worker.
    pub(crate) fn is_out_of_attempts(&self, tracked: &TrackedRequest) -> bool {
        let is_non_idempotent = self.idempotency_of(tracked) == Idempotency::NonIdempotent;
        let may_have_run = tracked.attempts.iter().any(Attempt::may_have_run);
        let has_used_all = tracked.attempts.len() >= self.settings.max_attempts;
        (has_used_all || is_non_idempotent && may_have_run) && !tracked.has_attempt_in_flight()
    }

    /// Whether the request may be answered as rejected, which tells the client that a retry is safe: the
    /// request never ran, or running it again has no effect at any worker.
    pub(crate) fn may_reject(&self, tracked: &TrackedRequest) -> bool {
        let class = &self.settings.classes[tracked.request.class];
        let never_ran = !tracked.attempts.iter().any(Attempt::may_have_run);
        let is_deduplicated_everywhere =
            class.idempotency == Idempotency::WithKey && class.deduplication_scope == DeduplicationScope::All;
        class.idempotency == Idempotency::Idempotent || never_ran || is_deduplicated_everywhere
    }

    pub(crate) fn idempotency_of(&self, tracked: &TrackedRequest) -> Idempotency {
        self.settings.classes[tracked.request.class].idempotency
    }
}
