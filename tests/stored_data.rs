//! Handover frames written by revision 84881d9 must stay readable.
//!
//! Postcard encodes fields by position, so types and fields can be renamed, but reordering, removing or adding a field
//! breaks compatibility with a process of another build. Each fixture holds the frame format version byte and the frame
//! body, without the length prefix. The fixtures were written before the types were renamed.

use std::path::Path;

use chutesaddle::server::lifecycle::handover_frames::HandoverFrame;

/// Frame format version at revision 84881d9.
const FRAME_FORMAT_VERSION: u8 = 2;

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()))
}

/// Decodes a fixture and asserts that encoding the frame again gives the same bytes.
fn read_frame(name: &str) -> HandoverFrame {
    let bytes = fixture(name);
    let (&version, body) = bytes.split_first().expect("the fixture must start with a format version byte");
    assert_eq!(version, FRAME_FORMAT_VERSION);
    let frame: HandoverFrame = postcard::from_bytes(body).unwrap_or_else(|error| panic!("{name}: {error}"));
    assert_eq!(
        postcard::to_allocvec(&frame).expect("the frame must be encodable"),
        body,
        "{name}: {frame:?}"
    );
    frame
}

#[test]
fn reads_learned_state_written_by_84881d9() {
    let HandoverFrame::LearnedState { learned, worker_names: names } =
        read_frame("handover-learned-state-84881d9.bin")
    else {
        panic!("not a LearnedState frame")
    };
    let listed: Vec<u64> = learned.workers().map(|worker| worker.0).collect();
    assert_eq!(listed, [1, 2, 3, 4]);
    let names: Vec<_> = names.iter().map(|(worker, name)| (worker.0, name.as_str())).collect();
    assert_eq!(names, [(1, "worker-1"), (2, "worker-2"), (3, "worker-3"), (4, "worker-4")]);
}

#[test]
fn reads_request_written_by_84881d9() {
    let HandoverFrame::Request { request: migrated, read_ahead: ahead, keep_alive: keep } =
        read_frame("handover-request-84881d9.bin")
    else {
        panic!("not a Request frame")
    };
    assert_eq!(&migrated.payload.name[..], b"request-17");
    assert_eq!(&migrated.payload.target[..], b"/order/account-3");
    assert_eq!(migrated.payload.key.as_deref(), Some(&b"key-17"[..]));
    assert_eq!(&migrated.payload.body[..], b"{\"amount\":17}");
    assert_eq!(migrated.time_left.as_millis(), 7250);
    assert_eq!((&ahead[..], keep), (&b"POST /next"[..], true));
}

#[test]
fn reads_idle_connection_written_by_84881d9() {
    let frame = read_frame("handover-idle-connection-84881d9.bin");
    assert!(matches!(frame, HandoverFrame::IdleConnection { answered: true, .. }), "{frame:?}");
}

#[test]
fn reads_attempt_sent_written_by_84881d9() {
    let frame = read_frame("handover-sent-work-84881d9.bin");
    let HandoverFrame::AttemptSent { worker_name: worker, class, work_s: work } = frame else {
        panic!("not a AttemptSent frame: {frame:?}")
    };
    assert_eq!((worker.as_str(), class, work), ("worker-4", 1, 0.25));
}
