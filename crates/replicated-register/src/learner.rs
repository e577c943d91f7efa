//! Tracks which values of the register a process may use.
//!
//! A [`Learner`] asks voters in turn to confirm the value it knows. A confirmation is valid for a limited time,
//! measured from the request. The learner never changes the documents.
//!
//! | validity | next | event |
//! | --- | --- | --- |
//! | unconfirmed | transition | the first value is confirmed |
//! | transition | current | the transition time ends within the validity period |
//! | current | transition | a different value is confirmed |
//! | transition, current | stale | the validity period ends |
//! | stale | transition, current | a value is confirmed |

use crate::document::Value;
use crate::message::{Confirmation, Message};
use crate::register::Ballot;
use crate::{Config, MemberId, Time};

/// Maximum number of previous values obeyed at the same time. After more changes in a row, the oldest is dropped.
const MAX_PREVIOUS_VALUES: usize = 8;
/// Confirmation requests per validity period.
const REQUESTS_PER_VALIDITY_PERIOD: u32 = 3;
/// Time after which an unanswered request is repeated, in retry intervals.
const REQUEST_TIMEOUT_INTERVALS: u32 = 2;

/// The values that a process may use. Query it again before each use: this is how a process that was suspended detects
/// that its validity period has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Validity<'a> {
    /// No value has been confirmed yet. The process uses its start configuration.
    Unconfirmed,
    /// Use this value alone.
    Current(&'a Value),
    /// Use the strictest combination of these values, newest first. Other processes may still use an older one.
    Transition(Vec<&'a Value>),
    /// Use the strictest combination of these values, newest first. The validity period has ended without a new
    /// confirmation, and other processes may use a newer value.
    Stale(Vec<&'a Value>),
}

/// A replaced value that must still be obeyed.
#[derive(Clone, Debug)]
struct PreviousValue {
    value: Value,
    obeyed_until: Time,
}

/// A confirmation request without a reply yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: u64,
    sent_at: Time,
}

/// The learner of one process. See the module documentation.
#[derive(Clone, Debug)]
pub struct Learner {
    config: Config,
    value: Value,
    ballot: Option<Ballot>,
    /// When the current value was first confirmed.
    value_learned_at: Option<Time>,
    previous_values: Vec<PreviousValue>,
    confirmed_until: Option<Time>,
    pending_request: Option<PendingRequest>,
    last_number: u64,
    next_request_at: Time,
    /// Selects the voter to ask, as an index modulo the number of known voters.
    voter_index: usize,
    /// Voters named by a member that no longer votes.
    redirected_to: Vec<MemberId>,
    /// Whether the last request followed a redirect.
    followed_redirect: bool,
}

impl Learner {
    /// Creates a learner without a value. `voter_index` selects the first voter to ask, and should differ between
    /// processes. `incarnation` must differ between incarnations of the process. Request numbers start there, so that a
    /// reply to an earlier incarnation cannot confirm anything in this one.
    pub fn new(config: Config, voter_index: usize, incarnation: u64) -> Self {
        Learner {
            config,
            value: Value::default(),
            ballot: None,
            value_learned_at: None,
            previous_values: Vec::new(),
            confirmed_until: None,
            pending_request: None,
            last_number: incarnation,
            next_request_at: Time::ZERO,
            voter_index,
            redirected_to: Vec::new(),
            followed_redirect: false,
        }
    }

    /// Returns when [`Learner::tick`] must be called next.
    pub fn next_tick_at(&self) -> Time {
        self.next_request_at
    }

    /// Returns a confirmation request if one is due. Goes to the next voter if the last one has not replied.
    pub fn tick(&mut self, now: Time) -> Option<(MemberId, Message)> {
        if now < self.next_request_at {
            return None;
        }
        // Advance through the known voters regardless of redirects, which may form a cycle.
        let known_voter_is_silent = self.pending_request.is_some() && !self.followed_redirect;
        self.voter_index += usize::from(known_voter_is_silent);
        self.last_number = self.last_number.wrapping_add(1);
        self.pending_request = Some(PendingRequest { number: self.last_number, sent_at: now });
        self.next_request_at = now + self.config.retry_interval * REQUEST_TIMEOUT_INTERVALS;
        let voter = self.next_voter()?;
        Some((voter, Message::ConfirmationRequest(self.last_number, self.ballot)))
    }

    fn next_voter(&mut self) -> Option<MemberId> {
        let redirected_to = std::mem::take(&mut self.redirected_to);
        self.followed_redirect = !redirected_to.is_empty();
        if self.followed_redirect {
            let index = self.last_number % redirected_to.len() as u64;
            return redirected_to.get(index as usize).copied();
        }
        let known = &self.value.electorate.voters;
        if known.is_empty() {
            return self.config.voters.get(self.voter_index % self.config.voters.len().max(1)).copied();
        }
        known.keys().nth(self.voter_index % known.len()).copied()
    }

    /// Handles the reply of a member that no longer votes: the next request goes to one of the voters it names. This is
    /// only a hint. If that voter does not reply, the learner returns to the known voters.
    pub fn handle_redirect(&mut self, now: Time, voters: Vec<MemberId>) {
        self.redirected_to = voters;
        self.next_request_at = now;
    }

    /// Handles a confirmation. Ignored unless it replies to the latest request.
    pub fn handle_confirmation(&mut self, now: Time, confirmation: Confirmation) {
        let answered = self.pending_request.take_if(|request| request.number == confirmation.number);
        let Some(request) = answered else { return };
        // Count from the request: the value may have been replaced right after the voter read it.
        self.confirmed_until = Some(request.sent_at + self.config.validity_period);
        self.next_request_at = request.sent_at + self.config.validity_period / REQUESTS_PER_VALIDITY_PERIOD;
        if let Some(new_value) = confirmation.new_value {
            self.update_value(now, new_value);
        }
        self.ballot = confirmation.ballot;
    }

    /// Sets the value. If it differs from the current one, the current one must be obeyed for the transition time.
    fn update_value(&mut self, now: Time, new_value: Value) {
        let is_first = self.value_learned_at.is_none();
        if new_value == self.value && !is_first {
            return;
        }
        let replaced = std::mem::replace(&mut self.value, new_value);
        if !is_first {
            let obeyed_until = now + self.config.transition_time();
            self.previous_values.push(PreviousValue { value: replaced, obeyed_until });
            let excess = self.previous_values.len().saturating_sub(MAX_PREVIOUS_VALUES);
            self.previous_values.drain(..excess);
        }
        self.value_learned_at = Some(now);
    }

    /// Returns the values that may be used now.
    pub fn validity(&self, now: Time) -> Validity<'_> {
        let Some(learned_at) = self.value_learned_at else { return Validity::Unconfirmed };
        let is_confirmed = self.confirmed_until.is_some_and(|until| now < until);
        if !is_confirmed {
            return Validity::Stale(self.values_to_obey(now));
        }
        // The first value needs a transition too: other processes may still use the value before it.
        let in_transition = now < learned_at + self.config.transition_time();
        if in_transition {
            return Validity::Transition(self.values_to_obey(now));
        }
        Validity::Current(&self.value)
    }

    /// Returns the current value and the previous values that must still be obeyed, newest first.
    fn values_to_obey(&self, now: Time) -> Vec<&Value> {
        let previous = self.previous_values.iter().rev().filter(|previous| now < previous.obeyed_until);
        std::iter::once(&self.value).chain(previous.map(|previous| &previous.value)).collect()
    }
}
