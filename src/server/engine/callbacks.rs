//! Callbacks, with which workers report on the requests that they have accepted.
//!
//! A callback names the request and the worker, not the attempt. It may arrive before the response that
//! accepts the request (202), more than once, or after the attempt has ended. During an upgrade it may arrive
//! at a process that does not track the request, which relays it to the other processes.

use super::attempts::EndWithLoad;
use super::Engine;
use crate::scheduling::{Event, RequestId, WorkerId};
use crate::server::attempt_end::AttemptEnd;
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::messages::{CallbackEvent, CallbackRelay, FinalAnswer, WorkerCallback};

/// A callback that has been relayed this many times is not relayed again.
const MAX_RELAYS: u8 = 8;

/// The attempt to which a callback applies.
struct CallbackTarget {
    request: RequestId,
    attempt: usize,
    open: bool,
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
        let attempts = &self.requests.get(id)?.attempts;
        let find_last = |open: bool| {
            attempts.iter().rposition(|attempt| attempt.worker == worker && attempt.is_open() == open)
        };
        let attempt = find_last(true).or_else(|| find_last(false))?;
        Some(CallbackTarget { request: id, attempt, open: attempts[attempt].is_open() })
    }

    fn apply_callback(&mut self, target: CallbackTarget, callback: WorkerCallback) {
        let load = self.resolve_load_report(&callback.load_report);
        let CallbackTarget { request, attempt, open } = target;
        match (callback.event, open) {
            (CallbackEvent::Started, true) => {
                let name = callback.request_name.escape_ascii();
                tracing::debug!(request = %name, attempt, "attempt started");
                self.notify_dispatcher(Event::AttemptStarted { request, attempt });
            }
            (CallbackEvent::Progress(fraction), true) => {
                self.notify_dispatcher(Event::AttemptProgressed { request, attempt, fraction });
            }
            (CallbackEvent::Ended(end), true) => {
                self.attempt_ended(request, attempt, EndWithLoad { end, load })
            }
            (CallbackEvent::Completed(result), true) => {
                self.answer(request, FinalAnswer::Served(result));
                self.attempt_ended(request, attempt, EndWithLoad { end: AttemptEnd::Completed, load });
            }
            (CallbackEvent::Completed(result), false) => {
                // The worker completed an attempt that was cancelled or had timed out, so the client gets the result.
                // `ClientDisconnected` makes the dispatcher close the request and cancel its other attempts.
                if self.answer(request, FinalAnswer::Served(result)) {
                    self.notify_dispatcher(Event::ClientDisconnected(request));
                    self.remove_if_finished(request);
                }
            }
            (CallbackEvent::Started | CallbackEvent::Progress(_) | CallbackEvent::Ended(_), false) => {
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
        let frame = HandoverFrame::Callback { callback: callback.clone(), relays: relays + 1 };
        self.peers.broadcast(excluded, &frame)
    }
}

/// Logs a callback with the attempt that it is applied to.
fn log_callback(callback: &WorkerCallback, target: Option<&CallbackTarget>) {
    tracing::debug!(
        request = %callback.request_name.escape_ascii(),
        worker = callback.worker_name,
        event = callback.event.name(),
        attempt = target.map(|target| target.attempt),
        open = target.is_some_and(|target| target.open),
        "callback received"
    );
}
