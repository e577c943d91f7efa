//! What a process may act on at each moment.
//!
//! A [`Learner`] asks voters in turn to confirm what it knows, and counts from each question how long the answer
//! holds. It decides nothing about the documents.
//!
//! | validity | becomes | when |
//! | --- | --- | --- |
//! | unconfirmed | transition | a first value is confirmed |
//! | transition | current | the transition time is over and the term is not |
//! | current | transition | another value is confirmed |
//! | transition, current | stale | the term is over |
//! | stale | transition, current | the value is confirmed again |

use crate::document::Value;
use crate::message::{Confirmation, Message};
use crate::register::Ballot;
use crate::{Config, MemberId, Time};

/// Older values that are kept to at the same time; with more changes than that in a row, the oldest is dropped.
const MOST_OLDER: usize = 8;
/// Confirmations asked for in each term.
const QUESTIONS_PER_TERM: u32 = 3;
/// A question that is not answered is repeated after this many times the retry time.
const RETRIES_TO_WAIT: u32 = 2;

/// What a process may act on. It is to be asked for anew before each act: a process that was halted learns by it that
/// its term is over before it does anything.
#[derive(Clone, Debug, PartialEq)]
pub enum Validity<'a> {
    /// Nothing was ever confirmed here: the process acts on what it was started with.
    Unconfirmed,
    /// This value alone.
    Current(&'a Value),
    /// What is strictest in all of these, the newest first: others may still act on an older one.
    Transition(Vec<&'a Value>),
    /// The same, because the newest could not be confirmed for too long: others may act on a newer one.
    Stale(Vec<&'a Value>),
}

/// A value before the present one that is still kept to.
#[derive(Clone, Debug)]
struct OlderValue {
    value: Value,
    until: Time,
}

/// A question that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Question {
    number: u64,
    asked_at: Time,
}

/// The learner of one process; see the module's page.
#[derive(Clone, Debug)]
pub struct Learner {
    config: Config,
    value: Value,
    ballot: Option<Ballot>,
    /// When the present value was first confirmed.
    since: Option<Time>,
    older: Vec<OlderValue>,
    confirmed_until: Option<Time>,
    question: Option<Question>,
    last_number: u64,
    next_question_at: Time,
    /// Which of the known voters is asked.
    turn: usize,
    /// Voters that a member named which votes no more itself.
    redirected_to: Vec<MemberId>,
    /// The last question followed a redirection.
    followed_redirect: bool,
}

impl Learner {
    /// One that knows nothing yet. Learners begin with different voters by `turn`. `incarnation` is another number in
    /// each incarnation of the process, and questions are counted from it: an answer to an earlier incarnation must
    /// confirm nothing in this one.
    pub fn new(config: Config, turn: usize, incarnation: u64) -> Self {
        Learner {
            config,
            value: Value::default(),
            ballot: None,
            since: None,
            older: Vec::new(),
            confirmed_until: None,
            question: None,
            last_number: incarnation,
            next_question_at: Time::ZERO,
            turn,
            redirected_to: Vec::new(),
            followed_redirect: false,
        }
    }

    /// When [`Learner::tick`] is due.
    pub fn due(&self) -> Time {
        self.next_question_at
    }

    /// Asks a voter when that is due: another one if the last did not answer.
    pub fn tick(&mut self, now: Time) -> Option<(MemberId, Message)> {
        if now < self.next_question_at {
            return None;
        }
        // The known voters are asked in turn, whatever was named in between: a redirection may lead in a circle.
        let known_voter_is_silent = self.question.is_some() && !self.followed_redirect;
        self.turn += usize::from(known_voter_is_silent);
        self.last_number = self.last_number.wrapping_add(1);
        self.question = Some(Question { number: self.last_number, asked_at: now });
        self.next_question_at = now + self.config.retry * RETRIES_TO_WAIT;
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
            return self.config.voters.get(self.turn % self.config.voters.len().max(1)).copied();
        }
        known.keys().nth(self.turn % known.len()).copied()
    }

    /// A member that was asked votes no more, and names those that do: one of them is asked next. It is a hint: if it
    /// leads nowhere, the known voters are asked again.
    pub fn redirected(&mut self, now: Time, voters: Vec<MemberId>) {
        self.redirected_to = voters;
        self.next_question_at = now;
    }

    /// Takes an answer. Only that to the newest question counts.
    pub fn confirmed(&mut self, now: Time, confirmation: Confirmation) {
        let answered = self.question.take_if(|question| question.number == confirmation.number);
        let Some(question) = answered else { return };
        // Counted from the question: the value may have been replaced right after it was read.
        self.confirmed_until = Some(question.asked_at + self.config.term);
        self.next_question_at = question.asked_at + self.config.term / QUESTIONS_PER_TERM;
        if let Some(new_value) = confirmation.new_value {
            self.learn(now, new_value);
        }
        self.ballot = confirmation.ballot;
    }

    /// Takes a value that may be new, and keeps to the one before for the transition time.
    fn learn(&mut self, now: Time, new_value: Value) {
        let is_first = self.since.is_none();
        if new_value == self.value && !is_first {
            return;
        }
        let replaced = std::mem::replace(&mut self.value, new_value);
        if !is_first {
            let until = now + self.config.transition_time();
            self.older.push(OlderValue { value: replaced, until });
            let beyond = self.older.len().saturating_sub(MOST_OLDER);
            self.older.drain(..beyond);
        }
        self.since = Some(now);
    }

    /// What may be acted on now.
    pub fn validity(&self, now: Time) -> Validity<'_> {
        let Some(since) = self.since else { return Validity::Unconfirmed };
        let within_term = self.confirmed_until.is_some_and(|until| now < until);
        if !within_term {
            return Validity::Stale(self.values_in_force(now));
        }
        // Also a first value has one before it, on which others may still act.
        let in_transition = now < since + self.config.transition_time();
        if in_transition {
            return Validity::Transition(self.values_in_force(now));
        }
        Validity::Current(&self.value)
    }

    /// The present value and the older ones that are still kept to, the newest first.
    fn values_in_force(&self, now: Time) -> Vec<&Value> {
        let older = self.older.iter().rev().filter(|older| now < older.until);
        std::iter::once(&self.value).chain(older.map(|older| &older.value)).collect()
    }
}
