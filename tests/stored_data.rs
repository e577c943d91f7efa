//! Hand-over frames written by revision 84881d9 must stay readable, whatever the types are called now.
//!
//! The fixtures hold the frame's form and its body, without the length in front. They were written before the types
//! were renamed; fields are stored by position, so a reordered, dropped or added field shows here.

use std::path::Path;

use chutesaddle::server::lifecycle::handover_frames::HandoverFrame;

/// The form byte of the frames at 84881d9.
const FORM: u8 = 2;

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()))
}

/// Reads the frame and checks that writing it again gives the same bytes.
fn read_frame(name: &str) -> HandoverFrame {
    let bytes = fixture(name);
    let (&form, body) = bytes.split_first().expect("a frame begins with its form");
    assert_eq!(form, FORM);
    let frame: HandoverFrame = postcard::from_bytes(body).unwrap_or_else(|error| panic!("{name}: {error}"));
    assert_eq!(postcard::to_allocvec(&frame).expect("the frame can be written"), body, "{name}: {frame:?}");
    frame
}

#[test]
fn reads_learned_state_written_by_84881d9() {
    let HandoverFrame::LearnedState { learned, worker_names: names } =
        read_frame("handover-learned-state-84881d9.bin")
    else {
        panic!("not the learned state")
    };
    let listed: Vec<u64> = learned.workers().map(|worker| worker.0).collect();
    assert_eq!(listed, [1, 2, 3, 4]);
    let names: Vec<_> = names.iter().map(|(worker, name)| (worker.0, name.as_str())).collect();
    assert_eq!(names, [(1, "worker-1"), (2, "worker-2"), (3, "worker-3"), (4, "worker-4")]);
}

#[test]
fn reads_request_written_by_84881d9() {
    let HandoverFrame::Request { request: moved, read_ahead: ahead, keep_alive: keep } =
        read_frame("handover-request-84881d9.bin")
    else {
        panic!("not a request")
    };
    assert_eq!(&moved.payload.name[..], b"request-17");
    assert_eq!(&moved.payload.target[..], b"/order/account-3");
    assert_eq!(moved.payload.key.as_deref(), Some(&b"key-17"[..]));
    assert_eq!(&moved.payload.body[..], b"{\"amount\":17}");
    assert_eq!(moved.time_left.as_millis(), 7250);
    assert_eq!((&ahead[..], keep), (&b"POST /next"[..], true));
}

#[test]
fn reads_idle_connection_written_by_84881d9() {
    let frame = read_frame("handover-idle-connection-84881d9.bin");
    assert!(matches!(frame, HandoverFrame::IdleConnection { answered: true, .. }), "{frame:?}");
}

#[test]
fn reads_work_sent_elsewhere_written_by_84881d9() {
    let frame = read_frame("handover-sent-work-84881d9.bin");
    let HandoverFrame::WorkSent { worker_name: worker, class, work_s: work } = frame else {
        panic!("not a notice of sent work: {frame:?}")
    };
    assert_eq!((worker.as_str(), class, work), ("worker-4", 1, 0.25));
}
