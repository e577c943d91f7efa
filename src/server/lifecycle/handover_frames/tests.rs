use std::future::Future;
use std::os::fd::AsFd;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::UnixStream;

use super::frame::{HandoverFrame, FRAME_FORMAT_VERSION, STABLE_FRAME_COUNT};
use super::{link, FrameReceiver, FrameSender};
use crate::server::frontend::connection_eviction::EvictionClass;
use crate::server::messages::{CallbackEvent, WorkerCallback};

/// Guards the encoding of stable frames, which builds of every format version read. Cases may be added, but existing
/// bytes must never change.
#[test]
fn stable_frames_keep_their_encoding() {
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
        assert!(frame.is_stable() && bytes[0] < STABLE_FRAME_COUNT);
        assert_eq!(postcard::to_allocvec(&frame).unwrap(), bytes, "{frame:?}");
        let read: HandoverFrame = postcard::from_bytes(bytes).unwrap();
        assert_eq!(postcard::to_allocvec(&read).unwrap(), bytes, "{read:?}");
    }
    let unstable =
        HandoverFrame::IdleConnection { eviction_class: EvictionClass::NeverUsed, answered: false };
    assert!(!unstable.is_stable() && postcard::to_allocvec(&unstable).unwrap()[0] == STABLE_FRAME_COUNT);
}

/// Runs a test in a `LocalSet`, because links spawn local tasks.
fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Returns the sending side of one process and the receiving side of another, connected by a link.
fn connected_link() -> (FrameSender, FrameReceiver) {
    let (local, remote) = UnixStream::pair().unwrap();
    let ((sender, _), (_, receiver)) = (link(local), link(remote));
    (sender, receiver)
}

/// Encodes a frame as another process writes it.
fn encoded(version: u8, body: &[u8]) -> Vec<u8> {
    let length = 1 + body.len() as u32;
    [&length.to_be_bytes()[..], &[version], body].concat()
}

#[test]
fn frames_are_received_in_order_with_their_sockets() {
    run_local(async {
        let (sender, mut receiver) = connected_link();
        let (listener, _) = UnixStream::pair().unwrap();
        let socket = listener.as_fd().try_clone_to_owned().unwrap();
        sender.send(HandoverFrame::Serving, None);
        sender.send(HandoverFrame::Listener, Some(socket));
        sender.send(HandoverFrame::RequestOpened(Bytes::from_static(b"r1")), None);
        assert!(!sender.is_flushed());
        let first = receiver.next().await.unwrap();
        assert!(matches!(first.frame, HandoverFrame::Serving) && first.socket.is_none());
        let second = receiver.next().await.unwrap();
        assert!(matches!(second.frame, HandoverFrame::Listener) && second.socket.is_some());
        let third = receiver.next().await.unwrap();
        assert!(matches!(third.frame, HandoverFrame::RequestOpened(id) if id == "r1"));
        assert!(sender.is_flushed());
    });
}

#[test]
fn only_stable_frames_are_exchanged_with_another_format_version() {
    run_local(async {
        let (mut remote, local) = UnixStream::pair().unwrap();
        let (sender, mut receiver) = link(local);
        assert!(sender.has_same_format());
        remote.write_all(&encoded(FRAME_FORMAT_VERSION + 1, &[STABLE_FRAME_COUNT, 1, 2, 3])).await.unwrap();
        remote.write_all(&encoded(FRAME_FORMAT_VERSION + 1, &[1])).await.unwrap();
        let received = receiver.next().await.unwrap();
        assert!(matches!(received.frame, HandoverFrame::Serving), "{:?}", received.frame);
        assert!(!sender.has_same_format());
        let worker_name = "m1".to_owned();
        sender.send(HandoverFrame::AttemptSent { worker_name, class: 0, work_s: 1.0 }, None);
        assert!(sender.is_flushed(), "the frame is dropped, not queued");
    });
}

#[test]
fn protocol_errors_end_the_link() {
    let too_long = (1_u32 << 20).to_be_bytes().to_vec();
    let without_version = 0_u32.to_be_bytes().to_vec();
    let without_socket = encoded(FRAME_FORMAT_VERSION, &[0]);
    let unknown_variant = encoded(FRAME_FORMAT_VERSION, &[99]);
    for bytes in [too_long, without_version, without_socket, unknown_variant] {
        run_local(async {
            let (mut remote, local) = UnixStream::pair().unwrap();
            let (_sender, mut receiver) = link(local);
            remote.write_all(&bytes).await.unwrap();
            assert!(receiver.next().await.is_none(), "{bytes:?}");
        });
    }
}
