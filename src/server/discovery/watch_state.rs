//! State machine of the discovery watch: which streams are open, and which of them is the watch.
//!
//! | state | poll opened | data received | stream ended | reset |
//! | --- | --- | --- | --- | --- |
//! | `Waiting` | `Polling` | does not occur: no stream is open | `Waiting` | `Waiting` |
//! | `Polling` | `Polling`; a third poll replaces the oldest | `Watching` that stream | `Polling`, or `Waiting` if no poll is left | `Waiting` |
//! | `Watching` | `Suspected` | `Watching` | `Waiting` | `Waiting` |
//! | `Suspected` | `Suspected`; a third poll replaces the oldest | `Watching` that stream | see below | `Waiting` |
//!
//! In `Suspected`, the end of the watch leads to `Polling`, the end of the only poll to `Watching`, and the end of one
//! of two polls to `Suspected`. The end of a stream that is no longer open ([`WatchState::is_open`]) has no effect; the
//! caller must discard data from such streams.

#[cfg(test)]
mod tests;

/// Identifies a poll of one supervisor. The watch keeps the id of the poll that became it.
pub type PollId = u64;

/// The open streams. A poll becomes the watch when it receives its first data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchState {
    /// No stream is open; the next poll is not due yet.
    Waiting,
    /// One or two polls are open, but no watch.
    Polling(OpenPolls),
    /// Only the watch is open.
    Watching(PollId),
    /// The watch has been silent for too long, and polls are open in parallel.
    Suspected {
        /// The silent watch.
        watch: PollId,
        /// The polls open in parallel.
        polls: OpenPolls,
    },
}

/// One or two open polls. A third replaces the oldest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenPolls {
    oldest: PollId,
    newest: Option<PollId>,
}

/// An event that changes the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A poll has been opened.
    PollOpened(PollId),
    /// An open stream has received data and contains no incomplete list.
    DataReceived(PollId),
    /// A stream has ended or failed.
    StreamEnded(PollId),
    /// All open streams are obsolete, for example because the address changed.
    Reset,
}

impl WatchState {
    /// Returns the state after `event`. All transitions are made here.
    #[must_use]
    pub fn after(self, event: WatchEvent) -> Self {
        match event {
            WatchEvent::Reset => WatchState::Waiting,
            WatchEvent::DataReceived(id) => WatchState::Watching(id),
            WatchEvent::PollOpened(id) => match self {
                WatchState::Waiting => WatchState::Polling(OpenPolls::one(id)),
                WatchState::Polling(polls) => WatchState::Polling(polls.with(id)),
                WatchState::Watching(watch) => WatchState::Suspected { watch, polls: OpenPolls::one(id) },
                WatchState::Suspected { watch, polls } => {
                    WatchState::Suspected { watch, polls: polls.with(id) }
                }
            },
            WatchEvent::StreamEnded(id) => match self {
                WatchState::Waiting => WatchState::Waiting,
                WatchState::Polling(polls) => match polls.without(id) {
                    Some(polls) => WatchState::Polling(polls),
                    None => WatchState::Waiting,
                },
                WatchState::Watching(watch) if watch == id => WatchState::Waiting,
                WatchState::Watching(watch) => WatchState::Watching(watch),
                WatchState::Suspected { watch, polls } if watch == id => WatchState::Polling(polls),
                WatchState::Suspected { watch, polls } => match polls.without(id) {
                    Some(polls) => WatchState::Suspected { watch, polls },
                    None => WatchState::Watching(watch),
                },
            },
        }
    }

    /// Whether `id` is the watch or an open poll.
    pub fn is_open(self, id: PollId) -> bool {
        match self {
            WatchState::Waiting => false,
            WatchState::Polling(polls) => polls.contains(id),
            WatchState::Watching(watch) => watch == id,
            WatchState::Suspected { watch, polls } => watch == id || polls.contains(id),
        }
    }

    /// Whether a poll is open, with or without a watch.
    pub fn has_open_polls(self) -> bool {
        match self {
            WatchState::Waiting | WatchState::Watching(_) => false,
            WatchState::Polling(_) | WatchState::Suspected { .. } => true,
        }
    }
}

impl OpenPolls {
    fn one(id: PollId) -> Self {
        OpenPolls { oldest: id, newest: None }
    }

    fn with(self, id: PollId) -> Self {
        OpenPolls { oldest: self.newest.unwrap_or(self.oldest), newest: Some(id) }
    }

    fn without(self, id: PollId) -> Option<Self> {
        if self.newest == Some(id) {
            return Some(OpenPolls::one(self.oldest));
        }
        if self.oldest == id {
            return self.newest.map(OpenPolls::one);
        }
        Some(self)
    }

    fn contains(self, id: PollId) -> bool {
        self.oldest == id || self.newest == Some(id)
    }
}
