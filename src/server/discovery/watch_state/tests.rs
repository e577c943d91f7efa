use super::WatchEvent::{DataReceived, PollOpened, Reset, StreamEnded};
use super::*;

/// The state after `events`, starting from `Waiting`.
fn after(events: &[WatchEvent]) -> WatchState {
    events.iter().fold(WatchState::Waiting, |state, event| state.after(*event))
}

/// The open streams, out of the ids 1 to 4.
fn open(state: WatchState) -> Vec<PollId> {
    (1..=4).filter(|id| state.is_open(*id)).collect()
}

#[test]
fn poll_becomes_the_watch_with_its_first_data() {
    assert_eq!(after(&[PollOpened(1), PollOpened(2), DataReceived(2)]), WatchState::Watching(2));
}

#[test]
fn first_stream_with_data_becomes_the_watch_when_suspected() {
    let suspected = [PollOpened(1), DataReceived(1), PollOpened(2), PollOpened(3)];
    assert_eq!(open(after(&suspected)), [1, 2, 3]);
    for id in 1..=3 {
        assert_eq!(after(&suspected).after(DataReceived(id)), WatchState::Watching(id));
    }
}

#[test]
fn third_poll_replaces_the_oldest_with_and_without_a_watch() {
    assert_eq!(open(after(&[PollOpened(1), PollOpened(2), PollOpened(3)])), [2, 3]);
    let suspected = [PollOpened(1), DataReceived(1), PollOpened(2), PollOpened(3), PollOpened(4)];
    assert_eq!(open(after(&suspected)), [1, 3, 4]);
}

#[test]
fn end_of_a_stream_leaves_the_other_streams_open() {
    let suspected = after(&[PollOpened(1), DataReceived(1), PollOpened(2), PollOpened(3)]);
    assert_eq!(open(suspected.after(StreamEnded(1))), [2, 3]);
    assert_eq!(open(suspected.after(StreamEnded(2))), [1, 3]);
    assert_eq!(open(suspected.after(StreamEnded(3))), [1, 2]);
    assert_eq!(suspected.after(StreamEnded(4)), suspected, "stream 4 was not open");
    let watching = suspected.after(StreamEnded(2)).after(StreamEnded(3));
    assert_eq!(watching, WatchState::Watching(1));
    assert!(!watching.has_open_polls());
    assert_eq!(watching.after(StreamEnded(2)), watching);
    assert_eq!(watching.after(StreamEnded(1)), WatchState::Waiting);
}

#[test]
fn no_stream_is_open_after_the_last_poll_ends_or_a_reset() {
    let polling = after(&[PollOpened(1), PollOpened(2)]);
    assert_eq!(polling.after(StreamEnded(2)).after(StreamEnded(1)), WatchState::Waiting);
    assert_eq!(WatchState::Waiting.after(StreamEnded(1)), WatchState::Waiting);
    for state in [WatchState::Waiting, polling, WatchState::Watching(1), polling.after(DataReceived(1))] {
        assert_eq!(state.after(Reset), WatchState::Waiting);
    }
}
