use std::future::Future;
use std::os::fd::AsFd;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::UnixStream;

use super::frame::{HandoverFrame, FORM, STABLE_FRAMES};
use super::{link, FrameReceiver, FrameSender};
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

/// Runs a test of links, which write in tasks of their own.
fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Two linked processes: what the first sends, the second receives.
fn linked() -> (FrameSender, FrameReceiver) {
    let (here, there) = UnixStream::pair().unwrap();
    let ((sender, _), (_, receiver)) = (link(here), link(there));
    (sender, receiver)
}

/// A frame as another process writes it.
fn encoded(form: u8, body: &[u8]) -> Vec<u8> {
    let length = 1 + body.len() as u32;
    [&length.to_be_bytes()[..], &[form], body].concat()
}

#[test]
fn frames_arrive_in_order_each_with_its_socket() {
    on_one_thread(async {
        let (sender, mut receiver) = linked();
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
fn of_another_form_only_stable_frames_are_read_and_sent() {
    on_one_thread(async {
        let (mut other, here) = UnixStream::pair().unwrap();
        let (sender, mut receiver) = link(here);
        assert!(sender.has_same_form());
        other.write_all(&encoded(FORM + 1, &[STABLE_FRAMES, 1, 2, 3])).await.unwrap();
        other.write_all(&encoded(FORM + 1, &[1])).await.unwrap();
        let received = receiver.next().await.unwrap();
        assert!(matches!(received.frame, HandoverFrame::Serving), "{:?}", received.frame);
        assert!(!sender.has_same_form());
        let worker_name = "m1".to_owned();
        sender.send(HandoverFrame::WorkSent { worker_name, class: 0, work_s: 1.0 }, None);
        assert!(sender.is_flushed(), "the frame is dropped, not queued");
    });
}

#[test]
fn a_link_that_breaks_the_format_ends() {
    let too_long = (1_u32 << 20).to_be_bytes().to_vec();
    let without_form = 0_u32.to_be_bytes().to_vec();
    let without_socket = encoded(FORM, &[0]);
    let unknown_kind = encoded(FORM, &[99]);
    for bytes in [too_long, without_form, without_socket, unknown_kind] {
        on_one_thread(async {
            let (mut other, here) = UnixStream::pair().unwrap();
            let (_sender, mut receiver) = link(here);
            other.write_all(&bytes).await.unwrap();
            assert!(receiver.next().await.is_none(), "{bytes:?}");
        });
    }
}
