//! Callbacks: what workers notify of the requests that they have accepted.
//!
//! A callback names the request and the worker, not the attempt. It may arrive before the answer that the
//! worker accepted the request (202), twice, or for an attempt that is over; and in an upgrade it may arrive
//! at a process that does not have the request, which passes it on.

use super::attempts::EndWithLoad;
use super::Engine;
use crate::scheduling::{Event, RequestId, WorkerId};
use crate::server::attempt_end::AttemptEnd;
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::messages::{CallbackEvent, CallbackRelay, FinalAnswer, WorkerCallback};

/// A callback that was relayed this often is dropped.
const MAX_RELAYS: u8 = 8;

/// The attempt that a callback is about.
struct CallbackTarget {
    request: RequestId,
    attempt: usize,
    open: bool,
}

impl Engine {
    /// Applies a callback to the attempt at the worker that sent it, or passes it on.
    pub(super) fn callback(&mut self, callback: WorkerCallback, relay: Option<CallbackRelay>) {
        self.counters.callbacks.add();
        let request = self.requests.id_of(&callback.request_name);
        if request.is_none() && self.relay_callback(&callback, relay) {
            self.counters.callbacks_passed_on.add();
            return;
        }
        match self.callback_target(&callback) {
            Some(target) => self.apply_callback(target, callback),
            None => {
                self.counters.callbacks_unmatched.add();
            }
        }
    }

    /// The last open attempt at the callback's worker, else the last one there that has ended.
    fn callback_target(&self, callback: &WorkerCallback) -> Option<CallbackTarget> {
        let id = self.requests.id_of(&callback.request_name)?;
        let worker: WorkerId = self.worker_ids.get(&callback.worker_name).copied()?;
        let attempts = &self.requests.get(id)?.attempts;
        let last_that_is = |open: bool| {
            attempts.iter().rposition(|attempt| attempt.worker == worker && attempt.is_open() == open)
        };
        let attempt = last_that_is(true).or_else(|| last_that_is(false))?;
        Some(CallbackTarget { request: id, attempt, open: attempts[attempt].is_open() })
    }

    fn apply_callback(&mut self, target: CallbackTarget, callback: WorkerCallback) {
        let load = self.load_of(&callback.load_report);
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
                // A worker has completed what was cancelled or timed out there, and the client gets the result. For the
                // dispatcher that is the same as a client that waits no more: it closes the request and cancels the rest.
                if self.answer(request, FinalAnswer::Served(result)) {
                    self.notify_dispatcher(Event::ClientDisconnected(request));
                    self.forget_if_done(request);
                }
            }
            (CallbackEvent::Started | CallbackEvent::Progress(_) | CallbackEvent::Ended(_), false) => {
                self.counters.callbacks_unmatched.add();
            }
        }
    }

    /// Relays a callback for a request that is not open here; false if there is no process to relay it to.
    ///
    /// A migrated request is open at the other process, or will be within the next frames. So a callback for
    /// it may even go back to the process that it came from.
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
