//! The lifetime of the discovery watch: which poll is open, and which of them is the watch.
//!
//! | state | poll opened | data received | stream ended | reopened |
//! | --- | --- | --- | --- | --- |
//! | `Waiting` | `Polling` | cannot: nothing is open | `Waiting` | `Waiting` |
//! | `Polling` | `Polling`, the oldest of two polls makes room | `Watching` that poll | `Polling` the other, or `Waiting` | `Waiting` |
//! | `Watching` | `Suspected` | `Watching` | `Waiting` | `Waiting` |
//! | `Suspected` | `Suspected`, the oldest of two polls makes room | `Watching` whichever brought it | see below | `Waiting` |
//!
//! In `Suspected`, the end of the watch leads to `Polling`, that of the only poll to `Watching`. A stream that is no
//! longer open ([`WatchState::is_open`]) changes nothing when it ends; the caller drops its data unread.

#[cfg(test)]
mod tests;

/// Numbers the polls of one supervisor, and the watch that a poll becomes once it has brought data.
pub type PollId = u64;

/// The open polls of discovery. A poll becomes the watch with the first data that it brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchState {
    /// Nothing is open; the next poll waits for its time.
    Waiting,
    /// No watch yet, but one poll or two.
    Polling(OpenPolls),
    /// The watch is open and nothing else.
    Watching(PollId),
    /// The watch has been silent for too long: polls are open beside it.
    Suspected {
        /// The silent watch.
        watch: PollId,
        /// The polls beside it.
        polls: OpenPolls,
    },
}

/// One poll or two; a third makes the oldest give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenPolls {
    oldest: PollId,
    newest: Option<PollId>,
}

/// What changes the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// Another poll has been sent.
    PollOpened(PollId),
    /// An open stream has brought data, and no list of it is incomplete.
    DataReceived(PollId),
    /// A stream has ended or failed.
    StreamEnded(PollId),
    /// All that is open is void, as at another address.
    Reopened,
}

impl WatchState {
    /// The state after `event`: the only place where it changes.
    #[must_use]
    pub fn after(self, event: WatchEvent) -> Self {
        match event {
            WatchEvent::Reopened => WatchState::Waiting,
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

    /// Whether this is the watch or an open poll.
    pub fn is_open(self, id: PollId) -> bool {
        match self {
            WatchState::Waiting => false,
            WatchState::Polling(polls) => polls.contains(id),
            WatchState::Watching(watch) => watch == id,
            WatchState::Suspected { watch, polls } => watch == id || polls.contains(id),
        }
    }

    /// Whether a poll is open beside the watch or without one.
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
