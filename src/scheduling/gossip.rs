//! Gossip between schedulers about the slots that each has reserved at each worker.
//!
//! A load report arrives only when a request ends, and only at the scheduler that sent the request. Between two reports
//! the load from other schedulers must be estimated, and gossip improves that estimate. Each message contains all
//! reservations of its sender that fit, so messages may be lost, delayed, duplicated or reordered: only the newest
//! message of each sender counts, for at most [`MESSAGE_LIFETIME_S`].
//!
//! Gossip is only a hint. It adjusts the estimated load of a worker; it never makes a worker eligible, ineligible or
//! trusted.

use bytes::{Buf, BufMut};

use crate::scheduling::random::uniform_draw;

/// Maximum length of a message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 256;
/// Interval at which messages are due. While the sender's reservations change, nine messages in a row may be lost
/// before the sender counts as silent; while they do not change, one.
pub(crate) const INTERVAL_S: f64 = 0.05;
/// Number of intervals between messages while the reservations do not change.
const KEEPALIVE_INTERVALS: u32 = 4;
/// Received messages expire after this time.
const MESSAGE_LIFETIME_S: f64 = 0.5;
/// Version of the message format. Messages of other versions are ignored.
const VERSION: u8 = 1;
const HEADER_BYTES: usize = 5;
const ENTRY_BYTES: usize = 3;

/// Identifies a worker in a message. It is the same at all schedulers, regardless of their endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerKey(u16);

impl WorkerKey {
    pub(crate) fn new(stable_id: u64) -> Self {
        WorkerKey((uniform_draw(stable_id) * f64::from(u16::MAX)) as u16)
    }
}

/// The slots that a scheduler has reserved at one worker.
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
    reservations: Vec<WorkerReservation>,
}

/// Encodes a message. If the reservations do not fit into one message, the largest are kept.
fn encode(now: f64, mut reservations: Vec<WorkerReservation>) -> Vec<u8> {
    reservations.sort_by_key(|entry| (std::cmp::Reverse(entry.slots), entry.worker));
    reservations.truncate((MAX_MESSAGE_BYTES - HEADER_BYTES) / ENTRY_BYTES);
    let mut message = Vec::with_capacity(HEADER_BYTES + ENTRY_BYTES * reservations.len());
    message.put_u8(VERSION);
    message.put_u32((now * 1e3) as u64 as u32);
    for entry in reservations {
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
    let mut reservations = Vec::with_capacity(bytes.len() / ENTRY_BYTES);
    while bytes.has_remaining() {
        let worker = WorkerKey(bytes.get_u16());
        reservations.push(WorkerReservation { worker, slots: bytes.get_u8() });
    }
    Some(Message { sent_at_ms, reservations })
}

/// Whether `bytes` is a well-formed gossip message.
pub(crate) fn is_message(bytes: &[u8]) -> bool {
    decode(bytes).is_some()
}

/// The newest message received from another scheduler.
#[derive(Debug)]
struct ReceivedMessage {
    received_at: f64,
    message: Message,
}

impl ReceivedMessage {
    fn is_live(&self, now: f64) -> bool {
        now - self.received_at <= MESSAGE_LIFETIME_S
    }

    /// Whether a message sent at `sent_at_ms` replaces this one. The sender's clock continues across restarts, so a
    /// message that is not newer was duplicated or reordered. Once this message has expired, any message replaces it.
    fn is_replaced_by(&self, now: f64, sent_at_ms: u32) -> bool {
        sent_at_ms.wrapping_sub(self.message.sent_at_ms) as i32 > 0
            || now - self.received_at > MESSAGE_LIFETIME_S
    }
}

/// Slots of one worker that other schedulers have reserved, according to their gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReservedByOthers {
    /// Sum over all schedulers with an unexpired message.
    pub slots: f64,
    /// Number of other schedulers with an unexpired message.
    pub live_schedulers: usize,
}

/// The newest message of each other scheduler, and the state of this scheduler's own messages.
#[derive(Debug, Default)]
pub(crate) struct GossipState {
    /// By scheduler index.
    received: Vec<Option<ReceivedMessage>>,
    /// This scheduler's reservations in the last interval.
    last_reservations: Vec<WorkerReservation>,
    /// Intervals since this scheduler's reservations last changed.
    unchanged_intervals: u32,
}

impl GossipState {
    /// Returns the message to send in this interval, if the reservations have changed or a keepalive is due.
    pub(crate) fn next_message(&mut self, now: f64, reservations: Vec<WorkerReservation>) -> Option<Vec<u8>> {
        self.unchanged_intervals =
            if reservations == self.last_reservations { self.unchanged_intervals + 1 } else { 0 };
        self.last_reservations.clone_from(&reservations);
        if self.unchanged_intervals.is_multiple_of(KEEPALIVE_INTERVALS) {
            Some(encode(now, reservations))
        } else {
            None
        }
    }

    /// Stores a message from scheduler `from`. Malformed messages and unknown senders are ignored.
    pub(crate) fn receive(&mut self, now: f64, from: usize, scheduler_count: usize, bytes: &[u8]) {
        let Some(message) = decode(bytes) else { return };
        if from >= scheduler_count {
            return;
        }
        self.received.resize_with(scheduler_count, || None);
        let last = &mut self.received[from];
        if last.as_ref().is_none_or(|last| last.is_replaced_by(now, message.sent_at_ms)) {
            *last = Some(ReceivedMessage { received_at: now, message });
        }
    }

    fn live_messages(&self, now: f64) -> impl Iterator<Item = &ReceivedMessage> {
        self.received.iter().flatten().filter(move |received| received.is_live(now))
    }

    /// Number of other schedulers with an unexpired message.
    pub(crate) fn live_schedulers(&self, now: f64) -> usize {
        self.live_messages(now).count()
    }

    /// Slots that other schedulers have reserved at a worker. The figures of a message decay with the mean run time.
    pub(crate) fn reserved_by_others(
        &self,
        now: f64,
        worker: WorkerKey,
        mean_run_s: f64,
    ) -> ReservedByOthers {
        let mut sum = ReservedByOthers { slots: 0.0, live_schedulers: 0 };
        for received in self.live_messages(now) {
            let entry = received.message.reservations.iter().find(|entry| entry.worker == worker);
            let slots = entry.map_or(0.0, |entry| f64::from(entry.slots));
            sum.slots += slots * (-(now - received.received_at) / mean_run_s).exp();
            sum.live_schedulers += 1;
        }
        sum
    }
}

#[cfg(test)]
mod tests;
