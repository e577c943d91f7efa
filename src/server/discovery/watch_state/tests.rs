use super::WatchEvent::{DataReceived, PollOpened, Reopened, StreamEnded};
use super::*;

/// The state after these events, from the start.
fn after(events: &[WatchEvent]) -> WatchState {
    events.iter().fold(WatchState::Waiting, |state, event| state.after(*event))
}

/// The streams of 1 to 4 that are open.
fn open(state: WatchState) -> Vec<PollId> {
    (1..=4).filter(|id| state.is_open(*id)).collect()
}

#[test]
fn a_poll_becomes_the_watch_with_the_first_data() {
    assert_eq!(after(&[PollOpened(1), PollOpened(2), DataReceived(2)]), WatchState::Watching(2));
}

#[test]
fn whichever_brings_data_first_is_the_watch_after_a_suspicion() {
    let suspected = [PollOpened(1), DataReceived(1), PollOpened(2), PollOpened(3)];
    assert_eq!(open(after(&suspected)), [1, 2, 3]);
    for id in 1..=3 {
        assert_eq!(after(&suspected).after(DataReceived(id)), WatchState::Watching(id));
    }
}

#[test]
fn a_third_poll_makes_the_oldest_give_way_with_a_watch_and_without() {
    assert_eq!(open(after(&[PollOpened(1), PollOpened(2), PollOpened(3)])), [2, 3]);
    let suspected = [PollOpened(1), DataReceived(1), PollOpened(2), PollOpened(3), PollOpened(4)];
    assert_eq!(open(after(&suspected)), [1, 3, 4]);
}

#[test]
fn the_end_of_a_stream_leaves_the_others_open() {
    let suspected = after(&[PollOpened(1), DataReceived(1), PollOpened(2), PollOpened(3)]);
    assert_eq!(open(suspected.after(StreamEnded(1))), [2, 3]);
    assert_eq!(open(suspected.after(StreamEnded(2))), [1, 3]);
    assert_eq!(open(suspected.after(StreamEnded(3))), [1, 2]);
    assert_eq!(suspected.after(StreamEnded(4)), suspected, "it was not open");
    let watching = suspected.after(StreamEnded(2)).after(StreamEnded(3));
    assert_eq!(watching, WatchState::Watching(1));
    assert!(!watching.has_open_polls());
    assert_eq!(watching.after(StreamEnded(2)), watching);
    assert_eq!(watching.after(StreamEnded(1)), WatchState::Waiting);
}

#[test]
fn nothing_is_open_after_the_last_poll_ends_or_another_address() {
    let polling = after(&[PollOpened(1), PollOpened(2)]);
    assert_eq!(polling.after(StreamEnded(2)).after(StreamEnded(1)), WatchState::Waiting);
    assert_eq!(WatchState::Waiting.after(StreamEnded(1)), WatchState::Waiting);
    for state in [WatchState::Waiting, polling, WatchState::Watching(1), polling.after(DataReceived(1))] {
        assert_eq!(state.after(Reopened), WatchState::Waiting);
    }
}
