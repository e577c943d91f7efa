//! Dispatches, cancels and ends attempts, and sends capacity probes.
//!
//! The engine stores an index and a state for each attempt. A separate task
//! ([`crate::server::workers::attempt`]) runs the exchange with the worker and reports its end through the
//! engine's queue. That report is ignored if a callback has already ended the attempt.

use std::future::Future;
use std::rc::Rc;

use tokio::task::spawn_local;

use super::attempt_state::{Attempt, AttemptTransition};
use super::late_callbacks::LateCallbacks;
use super::request_table::{StartedAttempt, TrackedRequest};
use super::Engine;
use crate::config::names;
use crate::scheduling::{AttemptEnded, Event, LoadReport, RequestId, WorkerId};
use crate::server::attempt_end::AttemptEnd;
use crate::server::engine_queue::EngineMessage;
use crate::server::lifecycle::handover_frames::HandoverFrame;
use crate::server::load_report::{self, RawLoadReport};
use crate::server::metrics::Counters;
use crate::server::workers::attempt::{AttemptResult, AttemptTask};
use crate::server::workers::capacity_probe::{probe, ProbeResult};
use crate::server::workers::endpoint::WorkerEndpoint;

/// The report of an attempt's end.
pub(super) struct EndReport {
    pub(super) end: AttemptEnd,
    /// What the worker may still report about the attempt.
    pub(super) late_callbacks: LateCallbacks,
    /// The load that the worker reported with the end.
    pub(super) load: LoadReport,
}

impl Engine {
    /// Sends an attempt to a worker. Returns an event if the attempt was not sent.
    pub(super) fn dispatch(&mut self, id: RequestId, worker_id: WorkerId) -> Option<Event> {
        let request = self.requests.get_mut(id)?;
        let Some(worker) = self.workers.get(&worker_id).filter(|_| request.is_waiting()) else {
            return self.not_dispatched(id, worker_id);
        };
        let started = request.start_attempt(worker_id, false);
        let attempt = started.number;
        self.counters.flows.add();
        let name = request.payload.name.escape_ascii();
        tracing::debug!(request = %name, attempt, worker = worker.name, "attempt dispatched");
        if let Some(forwarding) = &mut self.forwarding {
            forwarding.record_local_execution(&self.settings.classes[request.class], &request.payload);
        }
        let task = attempt_task(&self.counters, request, Rc::clone(worker), started);
        let (worker_name, class) = (worker.name.clone(), request.class);
        let work_s = request.estimated_work_s.unwrap_or(0.0);
        self.spawn_attempt(id, attempt, task.run());
        self.recent_sends.expire(&self.settings);
        let frame = HandoverFrame::AttemptSent { worker_name: worker_name.clone(), class, work_s };
        self.peers.broadcast(None, &frame);
        self.recent_sends.add(worker_name, class, work_s);
        None
    }

    /// Records an attempt that was not sent because an earlier action of the same batch answered the request,
    /// or because the worker was removed from the endpoint list. Returns the event for the dispatcher.
    fn not_dispatched(&mut self, id: RequestId, worker: WorkerId) -> Option<Event> {
        let request = self.requests.get_mut(id)?;
        let attempt = request.attempts.len();
        request.attempts.push(Attempt::settled(worker));
        Some(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            outcome: AttemptEnd::WorkerInactive.outcome(),
            client_answered: !request.is_waiting(),
            load: LoadReport::default(),
        }))
    }

    /// Cancels an attempt. Its task reports the end later.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: usize) {
        if let Some(attempt) = self.requests.attempt_mut(id, attempt) {
            attempt.advance(AttemptTransition::Cancel);
        }
    }

    /// Handles the end of an attempt's task. `load_report` is the load header of the worker's response.
    pub(super) fn attempt_task_ended(
        &mut self,
        id: RequestId,
        attempt: usize,
        end: AttemptEnd,
        load_report: Option<String>,
    ) {
        let load = match load_report {
            Some(header) => self.resolve_load_report(&load_report::from_header(&header)),
            None => LoadReport::default(),
        };
        let late_callbacks = LateCallbacks::after_exchange(end);
        self.attempt_ended(id, attempt, EndReport { end, late_callbacks, load });
    }

    /// Ends an attempt and notifies the dispatcher. Does nothing if the attempt has already ended.
    pub(super) fn attempt_ended(&mut self, id: RequestId, attempt: usize, report: EndReport) {
        let EndReport { end, late_callbacks, load } = report;
        let Some(request) = self.requests.get_mut(id) else { return };
        let client_answered = !request.is_waiting();
        let Some(ended) = request.attempts.get_mut(attempt).filter(|attempt| attempt.is_open()) else {
            return;
        };
        ended.advance(AttemptTransition::End(late_callbacks));
        let outcome = end.outcome();
        let name = request.payload.name.escape_ascii();
        let free_slots = load.free_slots.unwrap_or(-1.0);
        tracing::debug!(request = %name, attempt, end = end.name(), free_slots, "attempt ended");
        request.may_have_run |= !outcome.proves_not_executed();
        self.counters.attempt_ended(end);
        self.notify_dispatcher(Event::AttemptEnded(AttemptEnded {
            request: id,
            attempt,
            outcome,
            client_answered,
            load,
        }));
        self.remove_if_finished(id);
    }

    /// Sends a capacity probe to a worker. Returns an event if the worker is no longer on the endpoint list.
    pub(super) fn probe_worker(&self, worker: WorkerId) -> Option<Event> {
        let Some(endpoint) = self.workers.get(&worker) else {
            let outcome = AttemptEnd::WorkerInactive.outcome();
            return Some(Event::ProbeEnded { worker, outcome, load: LoadReport::default() });
        };
        self.counters.probes.add();
        let (endpoint, queue) = (Rc::clone(endpoint), self.queue.clone());
        let asks_for_load = !self.settings.load_report_names.is_empty();
        spawn_local(async move {
            let ProbeResult { end, load_report } = probe(endpoint, asks_for_load).await;
            queue.send(EngineMessage::ProbeEnded { worker, end, load_report });
        });
        None
    }

    /// Notifies the dispatcher of the result of a capacity probe.
    pub(super) fn probe_ended(&mut self, worker: WorkerId, end: AttemptEnd, load_report: &RawLoadReport) {
        let load = self.resolve_load_report(load_report);
        self.notify_dispatcher(Event::ProbeEnded { worker, outcome: end.outcome(), load });
    }

    /// Spawns the task of an attempt, which reports its end to this engine.
    pub(super) fn spawn_attempt(
        &self,
        request: RequestId,
        attempt: usize,
        task: impl Future<Output = AttemptResult> + 'static,
    ) {
        let queue = self.queue.clone();
        spawn_local(async move {
            let AttemptResult { end, load_report } = task.await;
            queue.send(EngineMessage::AttemptEnded { request, attempt, end, load_report });
        });
    }

    /// Maps the named values of a load report to the dispatcher's fields. Names that are not in the settings are
    /// ignored.
    pub(super) fn resolve_load_report(&self, report: &RawLoadReport) -> LoadReport {
        let mut load = LoadReport::default();
        for (name, value) in report {
            if let Some(index) = names::position(&self.settings.load_report_names, name) {
                load.set(self.settings.load_report_fields[index], *value);
            }
        }
        load
    }
}

/// Builds the task of an attempt.
pub(super) fn attempt_task(
    counters: &Rc<Counters>,
    request: &TrackedRequest,
    worker: Rc<WorkerEndpoint>,
    started: StartedAttempt,
) -> AttemptTask {
    AttemptTask {
        worker,
        payload: Rc::clone(&request.payload),
        deadline: request.deadline,
        command: started.commands,
        counters: Rc::clone(counters),
        class: counters.class(request.class),
        accepted: started.accepted,
        client_disconnected: started.client_disconnected,
    }
}
