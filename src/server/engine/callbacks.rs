//! Callbacks, with which workers report on the requests that they have accepted.
//!
//! A callback names the request and the worker, not the attempt. It may arrive before the response that
//! accepts the request (202), more than once, or after the attempt has ended. During an upgrade it may arrive
//! at a process that does not track the request, which relays it to the other processes.
//!
//! If a request has been sent to the same worker more than once, a callback that reports an end may be about an
//! earlier attempt. Such a callback does not end the open attempt: [`Attribution`].

use super::attempt_state::Attempt;
use super::attempts::EndReport;
use super::late_callbacks::LateCallbacks;
use super::request_table::TrackedRequest;
use super::Engine;
use crate::scheduling::{Event, LoadReport, RequestId, WorkerId};
use crate::server::attempt_end::AttemptEnd;
use crate::server::messages::{CallbackEvent, CallbackRelay, FinalAnswer, WorkerCallback};

/// A callback that has been relayed this many times is not relayed again.
const MAX_RELAYS: u8 = 8;

/// What is known of the attempt that a callback is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attribution {
    /// It is the open attempt at the worker.
    Open,
    /// It is the open attempt or an earlier one at the same worker, which nothing tells apart. Under one reading the
    /// open attempt has ended, under the other it may be running.
    OpenOrEarlier,
    /// It is an attempt that has ended: none is open at the worker.
    Ended,
}

impl Attribution {
    /// Returns the name used in the log.
    fn name(self) -> &'static str {
        match self {
            Attribution::Open => "open",
            Attribution::OpenOrEarlier => "open_or_earlier",
            Attribution::Ended => "ended",
        }
    }
}

/// The attempt to which a callback applies.
struct CallbackTarget {
    request: RequestId,
    attempt: usize,
    attribution: Attribution,
}

impl Engine {
    /// Applies a callback to the attempt at the worker that sent it, or relays it to another process.
    pub(super) fn callback_received(&mut self, callback: WorkerCallback, relay: Option<CallbackRelay>) {
        self.counters.callbacks.add();
        let request = self.requests.id_of(&callback.request_name);
        if request.is_none() && self.relay_callback(&callback, relay) {
            self.counters.callbacks_passed_on.add();
            return;
        }
        let target = self.callback_target(&callback);
        log_callback(&callback, target.as_ref());
        match target {
            Some(target) => self.apply_callback(target, callback),
            None => {
                self.counters.callbacks_unmatched.add();
            }
        }
    }

    /// Returns the last open attempt at the callback's worker, or the last ended one if none is open.
    fn callback_target(&self, callback: &WorkerCallback) -> Option<CallbackTarget> {
        let id = self.requests.id_of(&callback.request_name)?;
        let worker: WorkerId = self.worker_ids.get(&callback.worker_name).copied()?;
        let request = self.requests.get(id)?;
        let find_last = |open: bool| {
            let is_match = |attempt: &Attempt| attempt.worker == worker && attempt.is_open() == open;
            request.attempts.iter().rposition(is_match)
        };
        if let Some(attempt) = find_last(true) {
            let attribution = attribution_to_open(request, worker, &callback.event);
            return Some(CallbackTarget { request: id, attempt, attribution });
        }
        let attempt = find_last(false)?;
        Some(CallbackTarget { request: id, attempt, attribution: Attribution::Ended })
    }

    fn apply_callback(&mut self, target: CallbackTarget, callback: WorkerCallback) {
        let load = self.resolve_load_report(&callback.load_report);
        let CallbackTarget { request, attempt, attribution } = target;
        match (callback.event, attribution) {
            (CallbackEvent::Started, Attribution::Open | Attribution::OpenOrEarlier) => {
                let name = callback.request_name.escape_ascii();
                tracing::debug!(request = %name, attempt, "attempt started");
                self.notify_dispatcher(Event::AttemptStarted { request, attempt });
            }
            (CallbackEvent::Progress(fraction), Attribution::Open | Attribution::OpenOrEarlier) => {
                self.notify_dispatcher(Event::AttemptProgressed { request, attempt, fraction });
            }
            (CallbackEvent::Ended(end), Attribution::Open) => {
                self.attempt_ended(request, attempt, end_reported_by_callback(end, load));
            }
            (CallbackEvent::Ended(_), Attribution::OpenOrEarlier) => {
                self.counters.callbacks_ambiguous.add();
                self.notify_dispatcher(Event::AttemptEndUncertain { request, attempt });
            }
            (CallbackEvent::Completed(result), Attribution::Open | Attribution::OpenOrEarlier) => {
                // The result answers the request, whichever attempt it is from.
                self.answer(request, FinalAnswer::Served(result));
                self.attempt_ended(request, attempt, end_reported_by_callback(AttemptEnd::Completed, load));
            }
            (CallbackEvent::Completed(result), Attribution::Ended) => {
                // The worker completed an attempt that was cancelled or had timed out, so the client gets the result.
                // `ClientDisconnected` makes the dispatcher close the request and cancel its other attempts.
                if self.answer(request, FinalAnswer::Served(result)) {
                    self.notify_dispatcher(Event::ClientDisconnected(request));
                    self.remove_if_finished(request);
                }
            }
            (
                CallbackEvent::Started | CallbackEvent::Progress(_) | CallbackEvent::Ended(_),
                Attribution::Ended,
            ) => {
                self.counters.callbacks_unmatched.add();
            }
        }
    }

    /// Relays a callback for a request that is not tracked here. Returns false if the relay limit is reached or
    /// there is no process to relay to.
    ///
    /// A callback is not relayed back to its sender, unless the request has migrated: then it is open at the
    /// other process, or will be once that process has read the next frames.
    fn relay_callback(&self, callback: &WorkerCallback, relay: Option<CallbackRelay>) -> bool {
        let relays = relay.map_or(0, |relay| relay.relays);
        if relays >= MAX_RELAYS {
            return false;
        }
        let migrated = self.migration.has_migrated(&callback.request_name);
        let excluded = relay.map(|relay| relay.from).filter(|_| !migrated);
        self.peers.relay_callback(excluded, migrated, callback, relays + 1)
    }
}

/// Attributes a callback to the open attempt at the worker, or leaves open whether an earlier attempt there is meant.
///
/// Only an end is left open, because a retry or a rejection follows from it. A result answers the request whichever
/// attempt it is from, and a start or progress only adjusts estimates.
fn attribution_to_open(request: &TrackedRequest, worker: WorkerId, event: &CallbackEvent) -> Attribution {
    let CallbackEvent::Ended(end) = event else { return Attribution::Open };
    let may_be_earlier = |attempt: &Attempt| attempt.worker == worker && attempt.may_still_report(*end);
    if request.attempts.iter().any(may_be_earlier) {
        Attribution::OpenOrEarlier
    } else {
        Attribution::Open
    }
}

fn end_reported_by_callback(end: AttemptEnd, load: LoadReport) -> EndReport {
    EndReport { end, late_callbacks: LateCallbacks::after_callback(end), load }
}

/// Logs a callback with the attempt that it is applied to.
fn log_callback(callback: &WorkerCallback, target: Option<&CallbackTarget>) {
    tracing::debug!(
        request = %callback.request_name.escape_ascii(),
        worker = callback.worker_name,
        event = callback.event.name(),
        attempt = target.map(|target| target.attempt),
        attribution = target.map(|target| target.attribution.name()),
        "callback received"
    );
}
