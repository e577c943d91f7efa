//! The dispatcher: entry point for all scheduling decisions of one scheduler.
//!
//! [`Dispatcher::handle`] maps each event to its handler; the handlers are methods of `SchedulerState`, one file per
//! topic.

use crate::scheduling::action::{Action, CapacitySummary};
use crate::scheduling::event::Event;
use crate::scheduling::handover::{LearnedState, RequestRecord};
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::settings::Settings;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::timer::Timer;

/// Interval between rounds as a fraction of the tightest latency objective.
const ROUND_OBJECTIVE_FRACTION: f64 = 0.06;
/// Upper bound of the objective from which the interval between rounds is derived.
const MAX_ROUND_OBJECTIVE_S: f64 = 1.0;
/// Minimum interval between rounds.
const MIN_ROUND_S: f64 = 1e-3;

/// Makes the scheduling decisions of one scheduler. The same settings, seed and events give the same actions.
#[derive(Default)]
pub struct Dispatcher {
    state: SchedulerState,
}

impl Dispatcher {
    /// Creates a dispatcher without any workers or requests. The seed makes the random draws of schedulers differ.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let state = SchedulerState { next_round_at: f64::INFINITY, seed, ..SchedulerState::default() };
        let mut dispatcher = Dispatcher { state };
        dispatcher.configure(settings);
        dispatcher
    }

    /// Replaces the settings. Requests and learned statistics are retained, so classes, tenants, zones and kinds must
    /// keep their indices.
    pub fn configure(&mut self, settings: Settings) {
        let state = &mut self.state;
        state.settings = Settings { scheduler_count: settings.scheduler_count.max(1), ..settings };
        state.round_interval_s = round_interval_s(&state.settings);
        state.statistics.resize(state.settings.classes.len());
        state.set_quota_share(1.0 / state.settings.scheduler_count as f64);
        state.reset_candidates();
    }

    /// Handles one event and appends the resulting actions. Events for finished requests or attempts are ignored.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        if now.is_finite() {
            state.now = state.now.max(now);
        }
        match event {
            Event::WorkersListed { complete_snapshot, from_cache, entries } => {
                state.apply_endpoint_list(complete_snapshot, from_cache, entries);
            }
            Event::DiscoveryFailed => state.discovery_failed(),
            Event::RequestReceived(request) => state.admit(request),
            Event::AttemptStarted { request, attempt } => state.attempt_started(request, attempt),
            Event::AttemptProgressed { request, attempt, fraction } => {
                state.attempt_progressed(request, attempt, fraction);
            }
            Event::ResponseStarted { request, .. } => state.requests.start_streaming(request),
            Event::AttemptEnded(ended) => state.attempt_ended(ended),
            Event::AttemptEndUncertain { request, attempt } => state.attempt_end_uncertain(request, attempt),
            Event::ClientDisconnected(request) => state.close(request),
            Event::TimerExpired(tag) => Self::timer_expired(state, tag),
            Event::StateLearned(learned) => Self::apply_learned_state(state, *learned),
            Event::RequestTakenOver(record) => state.track(record.0),
            Event::SentByOtherProcess { worker, class, work } => {
                Self::sent_by_other_process(state, worker, class, work);
            }
            Event::GossipReceived { from, bytes } => Self::gossip_received(state, from, &bytes),
            Event::ProbeEnded { worker, outcome, load } => state.probe_ended(worker, outcome, load),
        }
        actions.append(&mut state.actions);
    }

    fn timer_expired(state: &mut SchedulerState, tag: u64) {
        match Timer::from_tag(tag) {
            Some(Timer::Round) => state.run_round(),
            Some(Timer::OverdueCheck) => state.check_overdue(),
            Some(Timer::DiscoveryRetry) => state.emit(Action::WatchEndpointList),
            Some(Timer::Gossip) => state.broadcast_gossip(),
            Some(Timer::Deadline(request)) => state.reject_or_fail(request),
            None => {}
        }
    }

    fn apply_learned_state(state: &mut SchedulerState, learned: LearnedState) {
        (state.statistics, state.affinity) = learned.apply_to(&mut state.fleet);
        state.statistics.resize(state.settings.classes.len());
    }

    fn sent_by_other_process(state: &mut SchedulerState, worker: WorkerId, class: usize, work: f64) {
        if class < state.settings.classes.len() {
            state.count_sent_work(worker, class, work);
        }
    }

    /// Stores a gossip message of another scheduler; a broadcast that returns to its sender is ignored.
    fn gossip_received(state: &mut SchedulerState, from: usize, bytes: &[u8]) {
        if from != state.settings.scheduler_index {
            state.gossip.receive(state.now, from, state.settings.scheduler_count, bytes);
        }
    }

    /// Number of listed workers that are currently ejected.
    pub fn ejected_count(&self) -> usize {
        self.state.fleet.ejected.len()
    }

    /// Exports the learned state for another process of this scheduler, so that it need not learn anew.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState::new(&self.state.statistics, &self.state.affinity, &self.state.fleet)
    }

    /// Removes a request and returns its record, for handover to another process of this scheduler.
    pub fn hand_over(&mut self, id: RequestId) -> Option<RequestRecord> {
        let tracked = self.state.requests.remove(id)?;
        self.state.fleet.release_capacity_for(&tracked);
        Some(RequestRecord(tracked))
    }

    /// Priority of a request by Eq. 1; usually below 0 if the request is over its tenant's quota.
    pub fn priority(&self, id: RequestId) -> Option<f64> {
        self.state.requests.all.get(&id).map(|tracked| tracked.priority)
    }

    /// Summarizes the capacity of the workers in service and the queue.
    pub fn capacity_summary(&self) -> CapacitySummary {
        self.state.capacity_summary()
    }

    /// Queued requests without any attempt, each with the latest start time that still meets its objective.
    pub fn unsent_requests(&self) -> impl Iterator<Item = (RequestId, f64)> + '_ {
        self.state.unsent_requests()
    }

    /// Latest time at which a request of this class can start on an average worker and still meet its objective.
    pub fn latest_start(&self, class: usize, estimated_work_s: Option<f64>, deadline: f64) -> f64 {
        self.state.latest_start(class, estimated_work_s, deadline)
    }
}

/// The interval between rounds: short compared with the tightest latency objective, but at least two event intervals.
fn round_interval_s(settings: &Settings) -> f64 {
    let objective_s = settings.scoring_bounds().min_latency_objective_s.min(MAX_ROUND_OBJECTIVE_S);
    (ROUND_OBJECTIVE_FRACTION * objective_s).max(2.0 * settings.event_interval_s).max(MIN_ROUND_S)
}
