//! The dispatcher: one scheduler's decisions, by the events that the caller hands in.
//!
//! [`Dispatcher::handle`] has one line for each event; the rules are in the files that are named for their questions.

use crate::scheduling::action::{Action, CapacitySummary};
use crate::scheduling::event::Event;
use crate::scheduling::handover::{LearnedState, RequestRecord};
use crate::scheduling::identifiers::{RequestId, WorkerId};
use crate::scheduling::settings::Settings;
use crate::scheduling::state::SchedulerState;
use crate::scheduling::timer::Timer;

/// A round lasts this part of the tightest latency objective.
const ROUND_PER_OBJECTIVE: f64 = 0.06;
/// The tightest objective counts as no longer than this for the length of a round.
const MAX_ROUND_OBJECTIVE_S: f64 = 1.0;
/// A round lasts at least this long.
const MIN_ROUND_S: f64 = 1e-3;

/// Decides for one scheduler. The same settings, seed and events give the same actions.
#[derive(Default)]
pub struct Dispatcher {
    state: SchedulerState,
}

impl Dispatcher {
    /// A dispatcher that has seen nothing yet. The seed only breaks ties, so that schedulers differ.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let state = SchedulerState { next_round_at: f64::INFINITY, seed, ..SchedulerState::default() };
        let mut dispatcher = Dispatcher { state };
        dispatcher.configure(settings);
        dispatcher
    }

    /// Applies other settings. Classes, tenants, zones and kinds keep their numbers; requests and all that was learned
    /// stay.
    pub fn configure(&mut self, settings: Settings) {
        let state = &mut self.state;
        state.settings = Settings { scheduler_count: settings.scheduler_count.max(1), ..settings };
        state.round_interval_s = round_interval_s(&state.settings);
        state.statistics.resize(state.settings.classes.len());
        state.set_quota_share(1.0 / state.settings.scheduler_count as f64);
        state.reset_candidates();
    }

    /// Takes one event and appends what is to be done. Events about a request or an attempt that is over are ignored.
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
            Event::ResponseStarted { request, .. } => state.requests.stream_response(request),
            Event::AttemptEnded(ended) => state.attempt_ended(ended),
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
            Some(Timer::DiscoveryRetry) => state.act(Action::WatchEndpointList),
            Some(Timer::Gossip) => state.broadcast_gossip(),
            Some(Timer::Deadline(request)) => state.give_final_answer(request),
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

    /// A message that is broadcast may come back to its sender, which ignores it.
    fn gossip_received(state: &mut SchedulerState, from: usize, bytes: &[u8]) {
        if from != state.settings.scheduler_index {
            state.gossip.receive(state.now, from, state.settings.scheduler_count, bytes);
        }
    }

    /// How many of the listed workers are ejected.
    pub fn ejected_count(&self) -> usize {
        self.state.fleet.ejected.len()
    }

    /// What another process of this scheduler should know from its start.
    pub fn learned_state(&self) -> LearnedState {
        LearnedState::new(&self.state.statistics, &self.state.affinity, &self.state.fleet)
    }

    /// Hands a request over to another process of this scheduler: nothing of it is left here.
    pub fn hand_over(&mut self, id: RequestId) -> Option<RequestRecord> {
        let tracked = self.state.requests.remove(id)?;
        self.state.fleet.release_capacity_for(&tracked);
        Some(RequestRecord(tracked))
    }

    /// The priority of a request by Eq. 1; below 0 where it is over its tenant's quota.
    pub fn priority(&self, id: RequestId) -> Option<f64> {
        self.state.requests.all.get(&id).map(|tracked| tracked.priority)
    }

    /// The capacity of the workers in service, and the queue in front of it.
    pub fn capacity_summary(&self) -> CapacitySummary {
        self.state.capacity_summary()
    }

    /// Queued requests that were sent nowhere yet, with the time by which each must start to meet its objective.
    pub fn waiting_requests(&self) -> impl Iterator<Item = (RequestId, f64)> + '_ {
        self.state.unsent_requests()
    }

    /// When a request of this class must start to meet its objective, on a worker like most.
    pub fn latest_start(&self, class: usize, estimated_work_s: Option<f64>, deadline: f64) -> f64 {
        self.state.latest_start(class, estimated_work_s, deadline)
    }
}

/// A round is short against the tightest latency objective, but lasts two event intervals at the least.
fn round_interval_s(settings: &Settings) -> f64 {
    let objective_s = settings.scoring_bounds().min_latency_objective_s.min(MAX_ROUND_OBJECTIVE_S);
    (ROUND_PER_OBJECTIVE * objective_s).max(2.0 * settings.event_interval_s).max(MIN_ROUND_S)
}
