//! Gossip: what schedulers that may send each other datagrams tell about the slots they hold at each worker.
//!
//! Load reports tell of a worker only when one of its requests ends, and only to the scheduler that sent it. Between two
//! reports the load that others send is estimated. A gossip message names all slots that its sender holds, so any one of
//! them may be lost, late, duplicated or reordered: the newest counts, and none counts for longer than [`LIFETIME_S`].
//!
//! Gossip is a hint. It moves the estimate of a worker's load and nothing else: no worker is used, left out or trusted
//! because of it.

use bytes::{Buf, BufMut};

use crate::scheduling::random::uniform_draw;

/// The longest message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;
/// A message is due this often: nine in a row may be lost before the sender counts as silent.
pub(crate) const INTERVAL_S: f64 = 0.05;
/// While nothing changes, one message in this many is sent.
const UNCHANGED_SEND_RATIO: u32 = 4;
/// A received message counts for this long.
const LIFETIME_S: f64 = 0.5;
/// Messages of another version are ignored.
const VERSION: u8 = 1;
const HEADER_BYTES: usize = 5;
const ENTRY_BYTES: usize = 3;

/// A worker in a message: the same for all schedulers, whatever endpoint lists they have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerKey(u16);

impl WorkerKey {
    pub(crate) fn new(stable_id: u64) -> Self {
        WorkerKey((uniform_draw(stable_id) * f64::from(u16::MAX)) as u16)
    }
}

/// The slots that a scheduler holds at one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkerReservation {
    pub worker: WorkerKey,
    pub slots: u8,
}

/// A decoded message.
#[derive(Debug, PartialEq)]
struct Message {
    /// The sender's time in milliseconds, modulo 2^32.
    sent_at_ms: u32,
    held: Vec<WorkerReservation>,
}

/// Encodes a message. If there are too many workers for one message, those with the most held slots are named.
fn encode(now: f64, mut held: Vec<WorkerReservation>) -> Vec<u8> {
    held.sort_by_key(|entry| (std::cmp::Reverse(entry.slots), entry.worker));
    held.truncate((MAX_MESSAGE_BYTES - HEADER_BYTES) / ENTRY_BYTES);
    let mut message = Vec::with_capacity(HEADER_BYTES + ENTRY_BYTES * held.len());
    message.put_u8(VERSION);
    message.put_u32((now * 1e3) as u64 as u32);
    for entry in held {
        message.put_u16(entry.worker.0);
        message.put_u8(entry.slots);
    }
    message
}

fn decode(mut bytes: &[u8]) -> Option<Message> {
    let has_valid_length = bytes.len() <= MAX_MESSAGE_BYTES
        && bytes.len() >= HEADER_BYTES
        && (bytes.len() - HEADER_BYTES).is_multiple_of(ENTRY_BYTES);
    if !has_valid_length || bytes.get_u8() != VERSION {
        return None;
    }
    let sent_at_ms = bytes.get_u32();
    let mut held = Vec::with_capacity(bytes.len() / ENTRY_BYTES);
    while bytes.has_remaining() {
        let worker = WorkerKey(bytes.get_u16());
        held.push(WorkerReservation { worker, slots: bytes.get_u8() });
    }
    Some(Message { sent_at_ms, held })
}

/// Whether these bytes are a gossip message.
pub(crate) fn is_message(bytes: &[u8]) -> bool {
    decode(bytes).is_some()
}

/// The last message of one other scheduler.
#[derive(Debug)]
struct ReceivedMessage {
    at: f64,
    message: Message,
}

impl ReceivedMessage {
    fn is_live(&self, now: f64) -> bool {
        now - self.at <= LIFETIME_S
    }

    /// Whether a message that was sent then replaces this one. Time goes on at the sender, also over a restart: what is
    /// not newer was reordered.
    fn is_replaced_by(&self, now: f64, sent_at_ms: u32) -> bool {
        sent_at_ms.wrapping_sub(self.message.sent_at_ms) as i32 > 0 || now - self.at > LIFETIME_S
    }
}

/// What the others say of one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReservedByOthers {
    /// Slots that they hold there.
    pub slots: f64,
    /// How many of them have sent a message lately.
    pub live_schedulers: usize,
}

/// The last messages of the other schedulers, by their numbers, and what was sent last from here.
#[derive(Debug, Default)]
pub(crate) struct GossipState {
    received: Vec<Option<ReceivedMessage>>,
    last_sent: Vec<WorkerReservation>,
    /// Messages due since what is held here last changed.
    unchanged: u32,
}

impl GossipState {
    /// The message that is due, if what is held has changed or the others must be shown that this scheduler lives.
    pub(crate) fn next_message(&mut self, now: f64, held: Vec<WorkerReservation>) -> Option<Vec<u8>> {
        self.unchanged = if held == self.last_sent { self.unchanged + 1 } else { 0 };
        self.last_sent.clone_from(&held);
        if self.unchanged.is_multiple_of(UNCHANGED_SEND_RATIO) {
            Some(encode(now, held))
        } else {
            None
        }
    }

    /// Takes a message of scheduler `from`; what is malformed or from no scheduler is ignored.
    pub(crate) fn receive(&mut self, now: f64, from: usize, scheduler_count: usize, bytes: &[u8]) {
        let Some(message) = decode(bytes) else { return };
        if from >= scheduler_count {
            return;
        }
        self.received.resize_with(scheduler_count, || None);
        let last = &mut self.received[from];
        if last.as_ref().is_none_or(|last| last.is_replaced_by(now, message.sent_at_ms)) {
            *last = Some(ReceivedMessage { at: now, message });
        }
    }

    fn live_messages(&self, now: f64) -> impl Iterator<Item = &ReceivedMessage> {
        self.received.iter().flatten().filter(move |received| received.is_live(now))
    }

    /// How many other schedulers have sent a message lately.
    pub(crate) fn live_schedulers(&self, now: f64) -> usize {
        self.live_messages(now).count()
    }

    /// Slots that others hold at a worker. A message's figures decay with the mean run time.
    pub(crate) fn reserved_by_others(
        &self,
        now: f64,
        worker: WorkerKey,
        mean_run_s: f64,
    ) -> ReservedByOthers {
        let mut sum = ReservedByOthers { slots: 0.0, live_schedulers: 0 };
        for received in self.live_messages(now) {
            let entry = received.message.held.iter().find(|entry| entry.worker == worker);
            let slots = entry.map_or(0.0, |entry| f64::from(entry.slots));
            sum.slots += slots * (-(now - received.at) / mean_run_s).exp();
            sum.live_schedulers += 1;
        }
        sum
    }
}

#[cfg(test)]
mod tests;
