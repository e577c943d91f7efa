use rstest::rstest;
use tokio::sync::mpsc;

use super::*;
use crate::server::engine_queue::QueuedMessage;

const FOLLOWED: &str = "127.0.0.1:8500";
const OTHER: &str = "127.0.0.1:8501";
const PEER: PeerProcessId = PeerProcessId(1);

/// A tracker that starts from a configured list of version 41, and the messages that it sends to the engine.
struct Fixture {
    tracker: ListTracker,
    messages: mpsc::UnboundedReceiver<QueuedMessage>,
}

impl Fixture {
    fn new() -> Self {
        let (queue, messages) = EngineQueue::channel();
        let tracker = ListTracker::new(FOLLOWED.parse().unwrap(), 41, queue, Rc::default());
        Fixture { tracker, messages }
    }

    fn receive_from_discovery(&self, version: u64) -> VersionCheck {
        let update = EndpointListUpdate { version, ..EndpointListUpdate::default() };
        self.tracker.received_from_discovery(update, Instant::now())
    }

    fn receive_from_process(&self, origin: ListOrigin) {
        let version = origin.position.version;
        let update = EndpointListUpdate { version, ..EndpointListUpdate::default() };
        self.tracker.received_from_process(update, origin, PEER);
    }

    /// The list passed to the engine since the last call.
    fn applied(&mut self) -> Option<ListOrigin> {
        match self.messages.try_recv().ok()?.message {
            EngineMessage::EndpointListChanged(news) => Some(news.origin),
            _ => panic!("unexpected message"),
        }
    }
}

fn origin(version: u64, superseded: u64, discovery: Option<&str>) -> ListOrigin {
    let discovery = discovery.map(|address| address.parse().unwrap());
    ListOrigin { position: ListPosition { version, superseded }, discovery }
}

/// Guards against a successor that keeps the list of its configuration although its predecessor was told of a newer one.
#[rstest]
#[case::newer(origin(43, 0, Some(FOLLOWED)), Some(origin(43, 0, Some(FOLLOWED))))]
#[case::same_version_but_told_by_discovery(
    origin(41, 0, Some(FOLLOWED)),
    Some(origin(41, 0, Some(FOLLOWED)))
)]
#[case::older(origin(40, 0, Some(FOLLOWED)), None)]
#[case::versions_started_over(origin(3, 50, Some(FOLLOWED)), Some(origin(3, 50, Some(FOLLOWED))))]
#[case::newer_configuration(origin(42, 0, None), Some(origin(42, 0, None)))]
#[case::same_configuration(origin(41, 0, None), None)]
#[case::of_another_address(origin(43, 0, Some(OTHER)), Some(origin(0, 43, Some(OTHER))))]
fn list_of_another_process_replaces_the_configured_one_if_newer(
    #[case] received: ListOrigin,
    #[case] expected: Option<ListOrigin>,
) {
    let mut fixture = Fixture::new();
    fixture.receive_from_process(received);
    assert_eq!(fixture.applied(), expected);
}

#[rstest]
#[case::newer(origin(46, 0, Some(FOLLOWED)), true)]
#[case::same(origin(45, 0, Some(FOLLOWED)), false)]
#[case::older(origin(44, 0, Some(FOLLOWED)), false)]
#[case::of_another_address(origin(99, 0, Some(OTHER)), false)]
fn list_of_another_process_replaces_one_of_discovery_if_newer(
    #[case] received: ListOrigin,
    #[case] replaces: bool,
) {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.receive_from_discovery(45), VersionCheck::Current);
    assert_eq!(fixture.applied(), Some(origin(45, 0, Some(FOLLOWED))));
    fixture.receive_from_process(received);
    assert_eq!(fixture.applied().is_some(), replaces);
}

/// Discovery must not undo a drain that the other process was told of.
#[test]
fn older_list_of_discovery_is_ignored_after_a_newer_one_of_another_process() {
    let mut fixture = Fixture::new();
    fixture.receive_from_process(origin(43, 0, Some(FOLLOWED)));
    assert!(fixture.applied().is_some());
    assert_eq!(fixture.tracker.known_version(), 43);
    assert_eq!(fixture.receive_from_discovery(42), VersionCheck::FirstOutdated);
    assert_eq!(fixture.applied(), None);
    assert_eq!(fixture.receive_from_discovery(43), VersionCheck::Current);
    assert_eq!(fixture.applied(), Some(origin(43, 0, Some(FOLLOWED))));
}

/// The list of another address is used only until the followed address sends one, whatever its version.
#[test]
fn discovery_replaces_the_list_of_another_address() {
    let mut fixture = Fixture::new();
    fixture.receive_from_process(origin(90, 0, Some(OTHER)));
    assert_eq!(fixture.applied(), Some(origin(0, 90, Some(OTHER))));
    assert_eq!(fixture.receive_from_discovery(3), VersionCheck::Current);
    assert_eq!(fixture.applied(), Some(origin(3, 90, Some(FOLLOWED))));
    fixture.receive_from_process(origin(91, 0, Some(OTHER)));
    assert_eq!(fixture.applied(), None);
}

#[test]
fn incomplete_list_leaves_the_version_so_that_discovery_sends_the_rest() {
    let mut fixture = Fixture::new();
    let update = EndpointListUpdate::default();
    fixture.tracker.received_incomplete_list(update, origin(43, 0, Some(FOLLOWED)), PEER);
    assert_eq!(fixture.applied(), Some(origin(41, 0, None)));
    assert_eq!(fixture.tracker.known_version(), 41);
}
