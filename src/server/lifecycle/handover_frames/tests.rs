use bytes::Bytes;

use super::frame::{HandoverFrame, STABLE_FRAMES};
use crate::server::frontend::connection_eviction::EvictionClass;
use crate::server::messages::{CallbackEvent, WorkerCallback};

/// Other builds read these bytes: what is written here may be added to and never changed.
#[test]
fn frames_that_last_keep_their_bytes() {
    let id = || Bytes::from_static(b"r1");
    let callback = |event| WorkerCallback {
        request_name: id(),
        worker_name: "m".to_owned(),
        event,
        load_report: Vec::new(),
    };
    let frames: [(HandoverFrame, &[u8]); 7] = [
        (HandoverFrame::Listener, &[0]),
        (HandoverFrame::Serving, &[1]),
        (HandoverFrame::RequestOpened(id()), b"\x02\x02r1"),
        (HandoverFrame::RequestClosed(id()), b"\x03\x02r1"),
        (
            HandoverFrame::Callback { callback: callback(CallbackEvent::Started), relays: 1 },
            b"\x04\x02r1\x01m\0\0\x01",
        ),
        (
            HandoverFrame::Callback { callback: callback(CallbackEvent::Progress(0.5)), relays: 1 },
            b"\x04\x02r1\x01m\x01\0\0\0\0\0\0\xe0\x3f\0\x01",
        ),
        (
            HandoverFrame::Callback { callback: callback(CallbackEvent::Completed(id())), relays: 2 },
            b"\x04\x02r1\x01m\x02\x02r1\0\x02",
        ),
    ];
    for (frame, bytes) in frames {
        assert!(frame.is_stable() && bytes[0] < STABLE_FRAMES);
        assert_eq!(postcard::to_allocvec(&frame).unwrap(), bytes, "{frame:?}");
        let read: HandoverFrame = postcard::from_bytes(bytes).unwrap();
        assert_eq!(postcard::to_allocvec(&read).unwrap(), bytes, "{read:?}");
    }
    let unstable =
        HandoverFrame::IdleConnection { eviction_class: EvictionClass::NeverUsed, answered: false };
    assert!(!unstable.is_stable() && postcard::to_allocvec(&unstable).unwrap()[0] == STABLE_FRAMES);
}
