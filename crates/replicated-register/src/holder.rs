//! What a process may act on at each moment.

use crate::document::Value;
use crate::message::{Confirmation, Message};
use crate::register::Ballot;
use crate::{Config, MemberId, Time};

/// Older values that are kept to at the same time; with more changes than that in a row, the oldest go together.
const OLDER: usize = 8;

/// What a process acts on. It is to be asked for anew before each act: a process that was halted learns by it that its
/// term is over before it does anything.
#[derive(Clone, Debug, PartialEq)]
pub enum Stance<'a> {
    /// Nothing was ever confirmed here: what the process was started with.
    Nothing,
    /// This and nothing else.
    Plain(&'a Value),
    /// What is stricter in any of these, the newest first: others may still act on an older one.
    Overlap(Vec<&'a Value>),
    /// The same, because the newest could not be confirmed for too long: others may act on a newer one.
    Safe(Vec<&'a Value>),
}

/// See the module's page.
#[derive(Clone, Debug)]
pub struct Holder {
    config: Config,
    value: Value,
    ballot: Option<Ballot>,
    /// When the present value was first confirmed, and the values before it that are still kept to.
    since: Option<Time>,
    older: Vec<(Value, Time)>,
    confirmed_until: Option<Time>,
    /// The question that is out.
    asked: Option<(u64, Time)>,
    number: u64,
    ask_at: Time,
    turn: usize,
    /// Voters that somebody named who votes no more himself.
    named: Vec<MemberId>,
    by_hint: bool,
}

impl Holder {
    /// One that knows nothing yet. Holders begin with different voters by `turn`. `life` is another number in each life
    /// of the process, and questions are counted from it: an answer to the life before must confirm nothing in this one.
    pub fn new(config: Config, turn: usize, life: u64) -> Self {
        Holder {
            config,
            value: Value::default(),
            ballot: None,
            since: None,
            older: Vec::new(),
            confirmed_until: None,
            asked: None,
            number: life,
            ask_at: Time::ZERO,
            turn,
            named: Vec::new(),
            by_hint: false,
        }
    }

    /// When [`Holder::tick`] is due.
    pub fn due(&self) -> Time {
        self.ask_at
    }

    /// Asks a voter when that is due: another one if the last did not answer.
    pub fn tick(&mut self, now: Time) -> Option<(MemberId, Message)> {
        if now < self.ask_at {
            return None;
        }
        // Those that are known are asked in turn, whatever was named in between: a hint may lead in a circle.
        self.turn += usize::from(self.asked.is_some() && !self.by_hint);
        self.number = self.number.wrapping_add(1);
        self.asked = Some((self.number, now));
        self.ask_at = now + self.config.retry * 2;
        let named = std::mem::take(&mut self.named);
        self.by_hint = !named.is_empty();
        let voter = if self.by_hint {
            named.get((self.number % named.len() as u64) as usize).copied()
        } else if self.value.electorate.voters.is_empty() {
            self.config.voters.get(self.turn % self.config.voters.len().max(1)).copied()
        } else {
            let voters = &self.value.electorate.voters;
            voters.keys().nth(self.turn % voters.len()).copied()
        };
        Some((voter?, Message::Ask(self.number, self.ballot)))
    }

    /// Somebody who was asked votes no more, and names those who do: one of them is asked next. It is a hint: if it
    /// leads nowhere, those that are known are asked again.
    pub fn moved(&mut self, now: Time, voters: Vec<MemberId>) {
        (self.named, self.ask_at) = (voters, now);
    }

    /// Takes an answer. Only that to the newest question counts.
    pub fn confirmed(&mut self, now: Time, confirmation: Confirmation) {
        let Some((_, asked)) = self.asked.take_if(|asked| asked.0 == confirmation.number) else { return };
        // Counted from the question: the value may have been replaced right after it was read.
        self.confirmed_until = Some(asked + self.config.term);
        self.ask_at = asked + self.config.term / 3;
        if let Some(news) = confirmation.news {
            if news != self.value || self.since.is_none() {
                let old = std::mem::replace(&mut self.value, news);
                if self.since.is_some() {
                    self.older.push((old, now + self.config.overlap()));
                    let over = self.older.len().saturating_sub(OLDER);
                    self.older.drain(..over);
                }
                self.since = Some(now);
            }
        }
        self.ballot = confirmation.ballot;
    }

    /// What may be acted on now.
    pub fn stance(&self, now: Time) -> Stance<'_> {
        let Some(since) = self.since else { return Stance::Nothing };
        let older = self.older.iter().rev().filter(|older| now < older.1);
        let known: Vec<_> = std::iter::once(&self.value).chain(older.map(|older| &older.0)).collect();
        match self.confirmed_until {
            Some(until) if now < until => {
                // Also a first value has one before it, on which others may still act.
                if now < since + self.config.overlap() {
                    Stance::Overlap(known)
                } else {
                    Stance::Plain(&self.value)
                }
            }
            _ => Stance::Safe(known),
        }
    }
}
